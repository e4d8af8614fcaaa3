/// What a soak disturbed and when, and whether a promise has to be kept at that time.

/// A period in which a daemon, by name, or another part of the site was disturbed; "*" stands for everything.
export interface Disturbance {
  readonly target: string
  readonly kind: string
  readonly from: number
  until: number
}

/// The `target` of disturbances of back ends.
export const BACKENDS = "backends"
/// Prefix of the kinds of disturbances that are planned stops.
export const PLANNED_STOP = "restart"
/// Kinds of disturbances that stop, pause or disconnect a daemon.
const INTERRUPTIONS = new RegExp(`^(kill|pause|${PLANNED_STOP}|link)`)
/// Requests sent up to this long after the SIGTERM must be answered. Milliseconds.
const STOP_ACCEPTS_MS = 1000

/// A daemon and a period. Monotonic milliseconds.
interface DaemonSpan {
  readonly daemon: string
  readonly from: number
  readonly until: number
}

/// Whether no disturbance of a daemon overlapped a period, the contact time after each disturbance included.
export function isUndisturbed(
  disturbances: readonly Disturbance[],
  contactMs: number,
  {daemon, from, until}: DaemonSpan
): boolean {
  return !disturbances.some(
    ({target, from: disturbedFrom, until: ended}) =>
      (target === daemon || target === "*") && disturbedFrom <= until && ended + contactMs >= from
  )
}

/// Whether a daemon was neither stopped, paused nor disconnected in a period.
export function isUninterrupted(
  disturbances: readonly Disturbance[],
  {daemon, from, until}: DaemonSpan
): boolean {
  return !disturbances.some(
    ({target, kind, from: disturbedFrom, until: ended}) =>
      target === daemon && INTERRUPTIONS.test(kind) && disturbedFrom <= until && ended >= from
  )
}

/// Whether a request lost its connection because of a planned stop of its daemon, with no other disturbance.
export function isCutByStop(
  disturbances: readonly Disturbance[],
  contactMs: number,
  {daemon, sentAt, endedAt}: {daemon: string; sentAt: number; endedAt?: number}
): boolean {
  if (endedAt === undefined || endedAt === sentAt) return false
  const stop = disturbances.find(
    ({target, kind, from}) =>
      target === daemon && kind.startsWith(PLANNED_STOP) && sentAt < from + STOP_ACCEPTS_MS && endedAt >= from
  )
  if (!stop) return false
  return !disturbances.some(
    other =>
      other !== stop &&
      [daemon, "*", BACKENDS].includes(other.target) &&
      other.from <= endedAt &&
      other.until + contactMs >= sentAt
  )
}

/// Whether nothing but planned work disturbed a request, the contact time before it included. While its daemon is
/// down for a planned stop, no request is undisturbed.
export function isBesidePlannedWork(
  disturbances: readonly Disturbance[],
  contactMs: number,
  {daemon, sentAt, endedAt}: {daemon: string; sentAt: number; endedAt: number}
): boolean {
  return !disturbances.some(({target, kind, from, until}) => {
    if (![daemon, "*", BACKENDS].includes(target) || from > endedAt || until + contactMs < sentAt)
      return false
    return !kind.startsWith(PLANNED_STOP) || sentAt >= from + STOP_ACCEPTS_MS
  })
}
