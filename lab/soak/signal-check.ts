/// Checks the bounds on requests to back ends that announce a limit, that they are leaving, or a back-off. Counts
/// requests at the back ends, and only from daemons that had received the signal.

/// In any window of this length, in milliseconds, a back end receives at most this multiple of its limit, plus a
/// number of extra requests.
const WINDOW_MS = 4000
const ALLOWED_FACTOR = 1.5
const ALLOWED_EXTRA = 5
/// A daemon must keep to a limit from this long after it forwarded an answer that announces it. Milliseconds.
const LIMIT_GRACE_MS = 500

/// A period in which a back end announces a limit. Monotonic milliseconds.
export interface LimitSpan {
  readonly backend: string
  /// Requests a second.
  readonly perSecond: number
  readonly from: number
  until: number
}

/// An arrival of a request at a back end, the daemon that forwarded it, and when its caller sent it.
/// Monotonic milliseconds.
export interface DaemonArrival {
  readonly backend: string
  /// Names the start of the back end: one that is restarted may keep its id, but not what it signalled.
  readonly incarnation: string
  readonly daemon: string
  readonly at: number
  readonly sentAt: number
}

/// An answer with a signal of a back end, and when its daemon forwarded it to the caller.
export interface ForwardedSignal {
  readonly backend: string
  readonly incarnation: string
  readonly daemon: string
  readonly at: number
}

/// A period in which a daemon must back off, as a back end asked it to.
export interface BackOffSpan {
  readonly incarnation: string
  readonly daemon: string
  readonly at: number
  readonly until: number
}

/// Whether a daemon ran without interruption between two times: one that didn't may have lost the signal.
export type UninterruptedCheck = (daemon: string, from: number, until: number) => boolean

/// Allowed requests to a back end during a back-off, and the time at its start in which requests aren't counted,
/// in milliseconds.
const ALLOWED_IN_BACK_OFF = 2
const BACK_OFF_GRACE_MS = 500

/// The window of a period with a limit in which most requests arrived.
export interface LimitWindow {
  readonly backend: string
  readonly perSecond: number
  readonly seen: number
  readonly allowed: number
}

/// Requests that a daemon sent to a back end although their callers sent them more than `drainMs` after the daemon
/// had forwarded the signal that the back end is leaving.
export function findLateRequestsToLeaving(
  signals: readonly ForwardedSignal[],
  arrivals: readonly DaemonArrival[],
  isUninterrupted: UninterruptedCheck,
  drainMs: number
): DaemonArrival[] {
  return arrivals.filter(({incarnation, daemon, at, sentAt}) =>
    signals.some(
      answer =>
        answer.incarnation === incarnation &&
        answer.daemon === daemon &&
        sentAt > answer.at + drainMs &&
        isUninterrupted(daemon, answer.at, at)
    )
  )
}

/// Back-offs in which the daemon sent more requests than allowed, with their number.
export function findBackOffViolations(
  spans: readonly BackOffSpan[],
  arrivals: readonly DaemonArrival[],
  isUninterrupted: UninterruptedCheck
): {readonly span: BackOffSpan; readonly seen: number}[] {
  return spans.flatMap(span => {
    const seen = arrivals.filter(
      ({incarnation, daemon, at}) =>
        incarnation === span.incarnation &&
        daemon === span.daemon &&
        at >= span.at + BACK_OFF_GRACE_MS &&
        at < span.until &&
        isUninterrupted(daemon, span.at, at)
    ).length
    return seen > ALLOWED_IN_BACK_OFF ? [{span, seen}] : []
  })
}

/// The worst window of each period with a limit, from the contact time after its start.
export function findLimitWindows(
  spans: readonly LimitSpan[],
  arrivals: readonly DaemonArrival[],
  signals: readonly ForwardedSignal[],
  isUninterrupted: UninterruptedCheck,
  contactMs: number
): LimitWindow[] {
  return spans.map(({backend, perSecond, from, until}) => {
    const answers = signals.filter(({backend: id, at}) => id === backend && at >= from && at <= until)
    const counted = arrivals.filter(({backend: id, daemon, at}) => {
      if (id !== backend || at < from + contactMs || at > until) return false
      return answers.some(
        answer =>
          answer.daemon === daemon &&
          answer.at <= at - LIMIT_GRACE_MS &&
          isUninterrupted(daemon, answer.at, at)
      )
    })
    const allowed = (ALLOWED_FACTOR * perSecond * WINDOW_MS) / 1000 + ALLOWED_EXTRA
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
