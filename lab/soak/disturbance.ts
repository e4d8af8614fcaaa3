/// What a soak disturbed and when, and which promises that excuses.

/// A time in which something was disturbed, by name; "*" stands for everything.
export interface Disturbance {
  readonly target: string
  readonly kind: string
  readonly from: number
  until: number
}

/// Stands for the back ends among the things that are disturbed.
export const BACKENDS = "backends"
/// Kinds of disturbances that are planned stops begin so.
export const PLANNED_STOP = "restart"
/// Kinds of disturbances that end, freeze or cut off a daemon.
const BREAKS = new RegExp(`^(kill|pause|${PLANNED_STOP}|link)`)
/// Requests sent until so long after the stop was asked for must have an answer. Milliseconds.
const STOP_TAKES_MS = 1000

/// One daemon from one moment to another. Monotonic milliseconds.
interface DaemonSpan {
  readonly daemon: string
  readonly from: number
  readonly until: number
}

/// Whether a daemon was left alone in a time, contact included.
export function isUndisturbed(
  disturbances: readonly Disturbance[],
  contactMs: number,
  {daemon, from, until}: DaemonSpan
): boolean {
  return !disturbances.some(
    ({target: what, from: began, until: ended}) =>
      (what === daemon || what === "*") && began <= until && ended + contactMs >= from
  )
}

/// Whether a daemon was neither ended, frozen nor cut off in a time.
export function isUninterrupted(
  disturbances: readonly Disturbance[],
  {daemon, from, until}: DaemonSpan
): boolean {
  return !disturbances.some(
    ({target: what, kind, from: began, until: ended}) =>
      what === daemon && BREAKS.test(kind) && began <= until && ended >= from
  )
}

/// Whether a request lost its connection to a daemon that was stopping, while nothing else was wrong.
export function isCutByStop(
  disturbances: readonly Disturbance[],
  contactMs: number,
  {daemon, sentAt, endedAt}: {daemon: string; sentAt: number; endedAt?: number}
): boolean {
  if (endedAt === undefined || endedAt === sentAt) return false
  const stop = disturbances.find(
    ({target: what, kind, from}) =>
      what === daemon && kind.startsWith(PLANNED_STOP) && sentAt < from + STOP_TAKES_MS && endedAt >= from
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
