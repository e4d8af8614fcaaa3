/// The bound on requests that end the back ends that run them, counted at the back ends.
import type {ArrivalRecord} from "./retry-check.js"

/// Requests whose body begins so end the back end that runs them. The rest of the body tells them apart.
export const CRASHING_BODY = "ends its back end"

/// A back end that ended under a request. Monotonic milliseconds.
export interface CrashRecord {
  readonly body: string
  readonly at: number
}

/// What became of one such request, whoever sent it on.
export interface CrashOutcome {
  readonly body: string
  /// Back ends that ended under it.
  readonly ends: number
  /// Times that it reached back ends from the contact time after its third end on, by daemons in contact.
  readonly lateRetries: number
}

/// A request may reach back ends so often once it has ended three and contact was found.
export const ALLOWED_LATE_RETRIES = 3
const ENDS_THAT_TELL = 3

/// Judges each request that ended back ends. `findBody` gives the body of a request that would, `isInContact`
/// says whether the daemon that got a request was in contact at a moment.
export function findCrashOutcomes(
  crashes: readonly CrashRecord[],
  arrivals: readonly ArrivalRecord[],
  findBody: (requestId: string) => string | undefined,
  isInContact: (requestId: string, at: number) => boolean,
  contactMs: number
): CrashOutcome[] {
  const bodies = [...new Set(crashes.map(({body}) => body))]
  return bodies.map(body => {
    const ends = crashes.filter(crash => crash.body === body).map(({at}) => at)
    const third = ends.sort((left, right) => left - right).at(ENDS_THAT_TELL - 1) ?? Infinity
    const late = arrivals.filter(
      ({requestId, at}) =>
        at > third + contactMs && findBody(requestId) === body && isInContact(requestId, at)
    )
    return {body, ends: ends.length, lateRetries: late.length}
  })
}
