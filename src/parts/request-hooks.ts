/// Hooks by which the forwarding of requests calls the parts of a daemon. Queries are passed to one part
/// after another until one answers; notifications are passed to all. Owns no state.
import type {ForwardContext} from "../forwarding/forward-manager.js"
import type {DaemonPart} from "./daemon-part.js"

/// The hooks of the forwarding of requests that parts implement.
type RequestHooks = Pick<
  ForwardContext,
  | "onExecutionStarted"
  | "getQuarantineMs"
  | "getIsolatedCaller"
  | "findPartHold"
  | "onPartTrial"
  | "onPartTrialFailed"
  | "onAttemptBroken"
  | "onAttemptAnswered"
  | "onSignals"
  | "takeQuota"
  | "removeQuotaRequest"
  | "chargeQuota"
  | "findStreamOrigin"
  | "onStreamBegan"
>

/// Creates the hooks. The parts may be created later: `getParts` is called at each use.
export function createRequestHooks(getParts: () => readonly DaemonPart[]): RequestHooks {
  const findFirst = <Answer>(getAnswer: (part: DaemonPart) => Answer | undefined): Answer | undefined => {
    for (const part of getParts()) {
      const answer = getAnswer(part)
      if (answer !== undefined) return answer
    }
    return undefined
  }
  const runAll = (run: (part: DaemonPart) => void): void => getParts().forEach(run)
  return {
    onExecutionStarted: (tenant, at) => runAll(part => part.onExecutionStarted?.(tenant, at)),
    getQuarantineMs: (key, now) => findFirst(part => part.getQuarantineMs?.(key, now)),
    getIsolatedCaller: (key, now) => findFirst(part => part.getIsolatedCaller?.(key, now)),
    findPartHold: (parts, now) => findFirst(part => part.findPartHold?.(parts, now)),
    onPartTrial: (heldPart, now) => runAll(part => part.onPartTrial?.(heldPart, now)),
    onPartTrialFailed: heldPart => runAll(part => part.onPartTrialFailed?.(heldPart)),
    onAttemptBroken: (attempt, now) => runAll(part => part.onAttemptBroken?.(attempt, now)),
    onAttemptAnswered: (attempt, now) => runAll(part => part.onAttemptAnswered?.(attempt, now)),
    onSignals: (view, report, now) => runAll(part => part.onSignals?.(view, report, now)),
    takeQuota: (request, now) => findFirst(part => part.takeQuota?.(request, now)),
    removeQuotaRequest: requestId => runAll(part => part.removeQuotaRequest?.(requestId)),
    chargeQuota: (tenant, cost, now) => runAll(part => part.chargeQuota?.(tenant, cost, now)),
    findStreamOrigin: (stream, now) => findFirst(part => part.findStreamOrigin?.(stream, now)),
    onStreamBegan: (attemptId, origin, now) => runAll(part => part.onStreamBegan?.(attemptId, origin, now))
  }
}
