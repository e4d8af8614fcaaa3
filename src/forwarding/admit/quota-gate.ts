/// Delays a request until its tenant's quota allows it, and accounts for its cost. The cost is charged once
/// when the request is granted, and again for each send after an attempt that may have executed it, so that
/// the daemons never count less than operators do. A prefill-only attempt executes nothing and is not
/// charged. The cost of a request that certainly executed nowhere is refunded.
import type {Session} from "../forward-session.js"
import type {Route, Tenant} from "../routes/route.js"
import {getQuotaCost, type QuotaOutcome, type QuotaDecision, type QuotaRequest} from "./tenant-quota.js"

/// The holder of the tenants' quotas.
export interface QuotaContext {
  /// Charges the request to its tenant's quota. Undefined where no quotas are enforced.
  takeQuota(request: QuotaRequest, now: number): QuotaOutcome | undefined
  /// A request that waits for its quota is over.
  removeQuotaRequest(requestId: string): void
  /// Charges a cost without asking; a negative cost is a refund.
  chargeQuota(tenant: Tenant, cost: number, now: number): void
}

/// A request waits for a quota decision for at most this share of its route's latency target, and at most
/// this long. Refusing a request after a longer wait costs its caller more than refusing it immediately.
const WAIT_SHARE = 1 / 8
const LONGEST_WAIT_MS = 150

const GRANTED: QuotaDecision = {kind: "granted"}

/// How long a request may wait for the decision of another daemon. Milliseconds.
export function getLongestWaitMs({targetLatencyMs}: Route): number {
  return Math.min(LONGEST_WAIT_MS, targetLatencyMs * WAIT_SHARE)
}

/// Checks the requests of one daemon. Times are monotonic milliseconds.
export class QuotaGate {
  constructor(private readonly context: QuotaContext) {}

  /// Asks for the quota of a request that has just been admitted.
  checkQuota(session: Session, now: number): QuotaOutcome {
    const {request, route, tenant} = session
    if (!tenant?.quota) return GRANTED
    session.quotaCost = getQuotaCost(request, tenant)
    const need = {requestId: request.id, tenant, cost: session.quotaCost, waitMs: getLongestWaitMs(route)}
    const answer = this.context.takeQuota(need, now)
    if (!answer) session.quotaCost = 0
    session.quotaState = answer?.kind === "waiting" ? "waiting" : "decided"
    return answer ?? GRANTED
  }

  /// The request is sent to a back end: charged again if an earlier one may have executed it.
  addSend({tenant, quotaCost, mayHaveExecuted}: Session, now: number): void {
    if (tenant && quotaCost > 0 && mayHaveExecuted) this.context.chargeQuota(tenant, quotaCost, now)
  }

  /// The request is over: its cost is refunded if no back end can have executed it.
  onRequestFinished(session: Session, now: number): void {
    const {request, tenant, quotaCost, quotaState, mayHaveExecuted, wasStopped} = session
    if (!tenant || quotaCost === 0) return
    if (quotaState === "waiting") this.context.removeQuotaRequest(request.id)
    else if (quotaState === "decided" && !mayHaveExecuted && !wasStopped)
      this.context.chargeQuota(tenant, -quotaCost, now)
  }
}
