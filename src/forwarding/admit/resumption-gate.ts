/// Restricts a request that takes a stream up to the version that began the stream. The origin may have to be
/// found out from other daemons; a stream whose origin cannot be found is refused.
import {isResumable} from "../routes/route.js"
import type {Session} from "../forward-session.js"
import type {OriginOutcome, TakenUpStream} from "../../streams/origin-manager.js"
import type {StreamOrigin} from "../../streams/stream-origin.js"

/// The holder of the origins of streams.
export interface StreamContext {
  /// Finds the origin of a stream that a request takes up. Undefined where no origins are held.
  findStreamOrigin(stream: TakenUpStream, now: number): OriginOutcome | undefined
  /// Called with the origin of each resumable stream that begins here.
  onStreamBegan(attemptId: string, origin: StreamOrigin, now: number): void
}

/// Longer ids are not passed between daemons, which bound the texts in their messages. Characters.
const MAXIMUM_ID_LENGTH = 512

const UNKNOWN: OriginOutcome = {kind: "unknown"}

/// Checks the requests of one daemon. Times are monotonic milliseconds.
export class ResumptionGate {
  constructor(private readonly context: StreamContext) {}

  /// Finds the origin of the stream that a request takes up; undefined if it takes none up.
  findOrigin({request, route}: Session, now: number): OriginOutcome | undefined {
    if (!request.resumption || !isResumable(route)) return undefined
    const {firstAttemptId} = request.resumption
    const attemptId = isUsable(firstAttemptId) ? firstAttemptId : undefined
    const service = route.targets.length === 1 ? route.targets[0].service : undefined
    return this.context.findStreamOrigin({requestId: request.id, attemptId, service}, now) ?? UNKNOWN
  }

  /// Reports the origin of a stream that has just begun, unless its caller cannot take it up.
  onStreamBegan({request, route, origin}: Session, now: number): void {
    if (origin && isUsable(request.callerId) && isResumable(route))
      this.context.onStreamBegan(request.callerId, origin, now)
  }
}

function isUsable(attemptId = ""): boolean {
  return attemptId !== "" && attemptId.length <= MAXIMUM_ID_LENGTH
}
