/// Checks the retry budget of a soak at the back ends, where it applies: over all daemons and all restarts.

/// One arrival of a request at a back end, whatever its outcome.
export interface ArrivalRecord {
  readonly requestId: string
  readonly service: string
  readonly backend?: string
  /// Names the start of the back end: one that is restarted may keep its id.
  readonly incarnation?: string
  readonly at: number
  /// Whether the back end was only to compute the prompt (prefill).
  readonly promptOnly: boolean
  /// Whether the back end rejected it without executing it.
  rejected: boolean
}

/// The retry budget of all daemons together, for each service and any window: a ratio of the requests and a
/// constant number.
export interface RetryBounds {
  readonly ratio: number
  readonly slack: number
  readonly windowMs: number
}

/// A caller's request for a service and when it was sent. Monotonic milliseconds.
export interface ServiceRequest {
  readonly service: string
  readonly at: number
}

/// The window of one service in which the retries exceeded the allowed number most, or came closest to it.
/// Monotonic milliseconds.
export interface RetryWindow {
  readonly service: string
  readonly seen: number
  readonly allowed: number
  readonly from: number
}

/// Finds the worst window of each service that received retries.
export function findWorstWindows(
  arrivals: readonly ArrivalRecord[],
  requests: readonly ServiceRequest[],
  bounds: RetryBounds
): RetryWindow[] {
  const services = new Set(arrivals.map(({service}) => service))
  return [...services].flatMap(service => {
    const retries = findRetries(arrivals.filter(arrival => arrival.service === service))
    const requestTimes = requests.filter(request => request.service === service).map(({at}) => at)
    return findWorstWindow(service, retries, requestTimes, bounds) ?? []
  })
}

/// Times of the arrivals after the first of each request, in order. The first accepted prefill call of a request
/// is no retry.
function findRetries(arrivals: readonly ArrivalRecord[]): number[] {
  const seenRequests = new Set<string>()
  const prefilled = new Set<string>()
  const retries: number[] = []
  for (const {requestId, at, promptOnly, rejected} of arrivals) {
    const isFirstCall = promptOnly && !rejected && !prefilled.has(requestId)
    if (isFirstCall) prefilled.add(requestId)
    else if (seenRequests.has(requestId)) retries.push(at)
    else seenRequests.add(requestId)
  }
  return retries.sort((left, right) => left - right)
}

/// Finds the worst window. The budget follows from the highest number of requests among the window itself, the
/// one a whole window earlier and the one half a window earlier.
function findWorstWindow(
  service: string,
  retries: readonly number[],
  requestTimes: readonly number[],
  {ratio, slack, windowMs}: RetryBounds
): RetryWindow | undefined {
  const windows = retries.map(from => {
    const most = Math.max(
      ...[0, windowMs / 2, windowMs].map(offsetMs => countInWindow(requestTimes, from - offsetMs, windowMs))
    )
    const allowed = Math.floor(ratio * most + slack)
    return {service, seen: countInWindow(retries, from, windowMs), allowed, from: Math.round(from)}
  })
  windows.sort((left, right) => right.seen - right.allowed - (left.seen - left.allowed))
  return windows.at(0)
}

function countInWindow(times: readonly number[], from: number, windowMs: number): number {
  return times.filter(at => at >= from && at < from + windowMs).length
}
