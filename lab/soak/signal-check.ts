/// The bounds on requests to back ends that name a limit, say that they leave or ask daemons to back off, counted at the
/// back ends from the daemons that they had told.

/// In any window a back end gets so many times what its limit allows, and so many requests more.
const WINDOW_MS = 4000
const ALLOWED_FACTOR = 1.5
const ALLOWED_MORE = 5
/// A daemon counts as told so long after it has passed on an answer that names the limit. Milliseconds.
const TOLD_AFTER_MS = 500

/// A time in which a back end names a limit. Monotonic milliseconds.
export interface LimitSpan {
  readonly backend: string
  /// Requests a second.
  readonly perSecond: number
  readonly from: number
  until: number
}

/// A request at a back end, the daemon that sent it there, and when its caller sent it.
export interface DaemonArrival {
  readonly backend: string
  readonly daemon: string
  readonly at: number
  readonly sentAt: number
}

/// An answer in which a back end says something of itself, as a daemon passed it on.
export interface ForwardedSignal {
  readonly backend: string
  readonly daemon: string
  readonly at: number
}

/// A time for which a back end has asked a daemon to back off.
export interface BackOffSpan extends ForwardedSignal {
  readonly until: number
}

/// Whether a daemon ran on between two moments: one that did not must be told anew.
export type UninterruptedCheck = (daemon: string, from: number, until: number) => boolean

/// So many requests may reach a back end meanwhile, and none count that come sooner than this. Milliseconds.
const ALLOWED_IN_BACK_OFF = 2
const BACK_OFF_FROM_MS = 500

/// The worst window of one span.
export interface LimitWindow {
  readonly backend: string
  readonly perSecond: number
  readonly seen: number
  readonly allowed: number
}

/// Requests that callers sent later than `drainMs` after a daemon had passed on that a back end leaves, and
/// that it sent there.
export function findLateRequestsToLeaving(
  told: readonly ForwardedSignal[],
  arrivals: readonly DaemonArrival[],
  hasRunOn: UninterruptedCheck,
  drainMs: number
): DaemonArrival[] {
  return arrivals.filter(({backend, daemon, at, sentAt}) =>
    told.some(
      answer =>
        answer.backend === backend &&
        answer.daemon === daemon &&
        sentAt > answer.at + drainMs &&
        hasRunOn(daemon, answer.at, at)
    )
  )
}

/// Back-offs in which more requests came from the daemon than may, with how many.
export function findBackOffViolations(
  spans: readonly BackOffSpan[],
  arrivals: readonly DaemonArrival[],
  hasRunOn: UninterruptedCheck
): {readonly span: BackOffSpan; readonly seen: number}[] {
  return spans.flatMap(span => {
    const seen = arrivals.filter(
      ({backend, daemon, at}) =>
        backend === span.backend &&
        daemon === span.daemon &&
        at >= span.at + BACK_OFF_FROM_MS &&
        at < span.until &&
        hasRunOn(daemon, span.at, at)
    ).length
    return seen > ALLOWED_IN_BACK_OFF ? [{span, seen}] : []
  })
}

/// The worst window of each span, from the contact time after its beginning on.
export function findLimitWindows(
  spans: readonly LimitSpan[],
  arrivals: readonly DaemonArrival[],
  told: readonly ForwardedSignal[],
  hasRunOn: UninterruptedCheck,
  contactMs: number
): LimitWindow[] {
  return spans.map(({backend, perSecond, from, until}) => {
    const answers = told.filter(({backend: id, at}) => id === backend && at >= from && at <= until)
    const counted = arrivals.filter(({backend: id, daemon, at}) => {
      if (id !== backend || at < from + contactMs || at > until) return false
      return answers.some(
        answer =>
          answer.daemon === daemon && answer.at <= at - TOLD_AFTER_MS && hasRunOn(daemon, answer.at, at)
      )
    })
    const allowed = (ALLOWED_FACTOR * perSecond * WINDOW_MS) / 1000 + ALLOWED_MORE
    return {backend, perSecond, seen: countWorstWindow(counted.map(({at}) => at)), allowed}
  })
}

function countWorstWindow(times: readonly number[]): number {
  const inOrder = [...times].sort((left, right) => left - right)
  let first = 0
  let worst = 0
  inOrder.forEach((at, last) => {
    while (inOrder[first] <= at - WINDOW_MS) first += 1
    worst = Math.max(worst, last - first + 1)
  })
  return worst
}
