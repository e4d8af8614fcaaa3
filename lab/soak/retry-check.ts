/// The retry budget of a soak, counted where it binds: at the back ends, over all daemons and all restarts.

/// One arrival of a request at a back end, whatever became of it.
export interface ArrivalRecord {
  readonly requestId: string
  readonly service: string
  readonly backend?: string
  readonly at: number
  /// Only its prompt was to be computed.
  readonly promptOnly: boolean
  /// The back end said that it would not run it.
  rejected: boolean
}

/// What all daemons together may repeat within any window, for each service.
export interface RetryBounds {
  readonly ratio: number
  readonly slack: number
  readonly windowMs: number
}

/// A caller's request for a service, as it was sent. Monotonic milliseconds.
export interface ServiceRequest {
  readonly service: string
  readonly at: number
}

/// The window of one service in which most repeats came beyond what was allowed, or fewest were left.
export interface RetryWindow {
  readonly service: string
  readonly seen: number
  readonly allowed: number
  readonly from: number
}

/// The worst window of each service that got arrivals past the first of their requests.
export function findWorstWindows(
  arrivals: readonly ArrivalRecord[],
  requests: readonly ServiceRequest[],
  bounds: RetryBounds
): RetryWindow[] {
  const services = new Set(arrivals.map(({service}) => service))
  return [...services].flatMap(service => {
    const repeats = findRetries(arrivals.filter(arrival => arrival.service === service))
    const asked = requests.filter(request => request.service === service).map(({at}) => at)
    return findWorstWindow(service, repeats, asked, bounds) ?? []
  })
}

/// When arrivals past the first of each request came, in order. The first call that only had the prompt
/// computed is none.
function findRetries(arrivals: readonly ArrivalRecord[]): number[] {
  const arrived = new Set<string>()
  const prefilled = new Set<string>()
  const repeats: number[] = []
  for (const {requestId, at, promptOnly, rejected} of arrivals) {
    const isFirstCall = promptOnly && !rejected && !prefilled.has(requestId)
    if (isFirstCall) prefilled.add(requestId)
    else if (arrived.has(requestId)) repeats.push(at)
    else arrived.add(requestId)
  }
  return repeats.sort((left, right) => left - right)
}

/// The worst window. Its requests, those of the window before it, or of the one half a window before it
/// count, whichever are most.
function findWorstWindow(
  service: string,
  repeats: readonly number[],
  asked: readonly number[],
  {ratio, slack, windowMs}: RetryBounds
): RetryWindow | undefined {
  const windows = repeats.map(from => {
    const most = Math.max(
      ...[0, windowMs / 2, windowMs].map(back => countInWindow(asked, from - back, windowMs))
    )
    const allowed = Math.floor(ratio * most + slack)
    return {service, seen: countInWindow(repeats, from, windowMs), allowed, from: Math.round(from)}
  })
  windows.sort((left, right) => right.seen - right.allowed - (left.seen - left.allowed))
  return windows.at(0)
}

function countInWindow(times: readonly number[], from: number, windowMs: number): number {
  return times.filter(at => at >= from && at < from + windowMs).length
}
