/// Checks the bound on requests that crash the back ends that execute them, counted at the back ends.
import type {ArrivalRecord} from "./retry-check.js"

/// Requests whose body has this prefix crash the back end that executes them. The rest of the body identifies
/// the request.
export const CRASHING_BODY = "ends its back end"

/// A crash of a back end while it executed a request. Monotonic milliseconds.
export interface CrashRecord {
  readonly body: string
  readonly at: number
}

/// The crashes and late retries of one such request, over all callers and daemons.
export interface CrashOutcome {
  readonly body: string
  /// Number of back ends that it crashed.
  readonly ends: number
  /// Number of its arrivals at back ends later than the contact time after its third crash, sent by daemons in
  /// contact with their peers.
  readonly lateRetries: number
}

/// Allowed arrivals of a request at back ends after it has crashed three and the contact time has passed.
export const ALLOWED_LATE_RETRIES = 3
const CRASH_THRESHOLD = 3

/// Counts the crashes and late retries of each request that crashed back ends. `findBody` returns the body of a
/// crashing request by its id, `isInContact` whether the daemon that received a request was in contact at a time.
export function findCrashOutcomes(
  crashes: readonly CrashRecord[],
  arrivals: readonly ArrivalRecord[],
  findBody: (requestId: string) => string | undefined,
  isInContact: (requestId: string, at: number) => boolean,
  contactMs: number
): CrashOutcome[] {
  const bodies = [...new Set(crashes.map(({body}) => body))]
  return bodies.map(body => {
    const crashTimes = crashes.filter(crash => crash.body === body).map(({at}) => at)
    const third = crashTimes.sort((left, right) => left - right).at(CRASH_THRESHOLD - 1) ?? Infinity
    const late = arrivals.filter(
      ({requestId, at}) =>
        at > third + contactMs && findBody(requestId) === body && isInContact(requestId, at)
    )
    return {body, ends: crashTimes.length, lateRetries: late.length}
  })
}
