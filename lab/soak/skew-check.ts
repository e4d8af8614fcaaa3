/// Checks that requests are served about as often while most new connections go to one daemon as before.
import type {Violation} from "./caller-record.js"

/// Requests that are read are served at least this part as often as before.
const SERVED_SHARE = 0.75
/// From this number on the share is judged.
const FEWEST = 20

/// One request on a new connection. Monotonic milliseconds.
export interface SkewedRequest {
  readonly sentAt: number
  /// When most new connections began to go to one daemon; undefined before.
  readonly skewedFrom: number | undefined
  /// Undefined if there was no answer.
  status?: number
  /// Whether the connection was refused.
  refused?: boolean
}

/// The requests before most connections went to one daemon, and those from the contact time after that on.
export interface SkewOutcome {
  readonly before: number
  readonly servedBefore: number
  readonly skewed: number
  readonly served: number
}

/// Counts the requests.
export function findSkewOutcome(requests: readonly SkewedRequest[], contactMs: number): SkewOutcome {
  const read = requests.filter(({refused}) => !refused)
  const before = read.filter(({skewedFrom}) => skewedFrom === undefined)
  const skewed = read.filter(
    ({sentAt, skewedFrom}) => skewedFrom !== undefined && sentAt >= skewedFrom + contactMs
  )
  const countServed = (some: readonly SkewedRequest[]) => some.filter(({status}) => status === 200).length
  return {
    before: before.length,
    servedBefore: countServed(before),
    skewed: skewed.length,
    served: countServed(skewed)
  }
}

/// Finds the broken promise about them.
export function findSkewViolations({before, servedBefore, skewed, served}: SkewOutcome): Violation[] {
  const isTooFew = served * before < SERVED_SHARE * servedBefore * skewed
  if (skewed < FEWEST || !isTooFew) return []
  const text = `${served} of ${skewed} served, ${servedBefore} of ${before} before`
  return [{promise: "requests are served while most new connections go to one daemon", text}]
}
