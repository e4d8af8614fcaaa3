/// The bound on requests to back ends that name a limit, counted at the back ends over all daemons that had
/// passed on such an answer.

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

/// A request at a back end, and the daemon that sent it there.
export interface DaemonArrival {
  readonly backend: string
  readonly daemon: string
  readonly at: number
}

/// An answer that names a limit, as a daemon passed it on.
export type ToldLimitAnswer = DaemonArrival

/// The worst window of one span.
export interface LimitWindow {
  readonly backend: string
  readonly perSecond: number
  readonly seen: number
  readonly allowed: number
}

/// The worst window of each span, from the contact time after its beginning on. `isUndisturbed` says whether
/// a daemon ran on between two moments: one that did not must be told anew.
export function findLimitWindows(
  spans: readonly LimitSpan[],
  arrivals: readonly DaemonArrival[],
  told: readonly ToldLimitAnswer[],
  isUndisturbed: (daemon: string, from: number, until: number) => boolean,
  contactMs: number
): LimitWindow[] {
  return spans.map(({backend, perSecond, from, until}) => {
    const answers = told.filter(({backend: id, at}) => id === backend && at >= from && at <= until)
    const counted = arrivals.filter(({backend: id, daemon, at}) => {
      if (id !== backend || at < from + contactMs || at > until) return false
      return answers.some(
        answer =>
          answer.daemon === daemon && answer.at <= at - TOLD_AFTER_MS && isUndisturbed(daemon, answer.at, at)
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
