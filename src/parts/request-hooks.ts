/// What the parts of a daemon have to say on requests, asked of one after another: the first part with an
/// answer decides.
import type {ForwardContext} from "../forwarding/forward-manager.js"
import type {DaemonPart} from "./daemon-part.js"

/// What the forwarding of requests asks of the parts, and tells them.
type RequestHooks = Pick<
  ForwardContext,
  | "onRequestBegan"
  | "getQuarantineMs"
  | "getIsolatedCaller"
  | "onAttemptBroken"
  | "onAttemptAnswered"
  | "onSignals"
  | "takeQuota"
  | "removeQuotaRequest"
  | "chargeQuota"
>

/// The hooks of parts that may be created later than these.
export function createRequestHooks(getParts: () => readonly DaemonPart[]): RequestHooks {
  const findFirst = <Answer>(ask: (part: DaemonPart) => Answer | undefined): Answer | undefined => {
    for (const part of getParts()) {
      const answer = ask(part)
      if (answer !== undefined) return answer
    }
    return undefined
  }
  const tellAll = (tell: (part: DaemonPart) => void): void => getParts().forEach(tell)
  return {
    onRequestBegan: (tenant, at) => tellAll(part => part.onRequestBegan?.(tenant, at)),
    getQuarantineMs: (key, now) => findFirst(part => part.getQuarantineMs?.(key, now)),
    getIsolatedCaller: (key, now) => findFirst(part => part.getIsolatedCaller?.(key, now)),
    onAttemptBroken: (key, backend, startedAt, now) =>
      tellAll(part => part.onAttemptBroken?.(key, backend, startedAt, now)),
    onAttemptAnswered: (key, now) => tellAll(part => part.onAttemptAnswered?.(key, now)),
    onSignals: (view, report, now) => tellAll(part => part.onSignals?.(view, report, now)),
    takeQuota: (request, now) => findFirst(part => part.takeQuota?.(request, now)),
    removeQuotaRequest: requestId => tellAll(part => part.removeQuotaRequest?.(requestId)),
    chargeQuota: (tenant, cost, now) => tellAll(part => part.chargeQuota?.(tenant, cost, now))
  }
}
