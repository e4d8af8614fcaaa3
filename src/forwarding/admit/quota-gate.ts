/// Holds a request until its tenant's quota allows it, and settles what it counts. It is counted once when it
/// is let through, and again for each further back end after one that may have run it: the safe side of what
/// operators count. A call that only has the prompt computed runs nothing and does not count. What certainly
/// ran nowhere is given back.
import type {Session} from "../forward-session.js"
import type {Route, Tenant} from "../routes/route.js"
import {getQuotaCost, type QuotaAnswer, type QuotaDecision, type QuotaRequest} from "./tenant-quota.js"

/// Who knows the tenants' quotas.
export interface QuotaContext {
  /// Undefined where no quotas are held.
  takeQuota(request: QuotaRequest, now: number): QuotaAnswer | undefined
  removeQuotaRequest(requestId: string): void
  chargeQuota(tenant: Tenant, cost: number, now: number): void
}

/// Part of a route's latency objective that a request may wait for the answer, and the most. What is held
/// longer and then refused costs its caller more than a refusal at once. Milliseconds.
const WAIT_SHARE = 1 / 8
const LONGEST_WAIT_MS = 150

const GRANTED: QuotaDecision = {kind: "granted"}

/// How long a request may wait for the word of another daemon. Milliseconds.
export function getLongestWaitMs({targetLatencyMs}: Route): number {
  return Math.min(LONGEST_WAIT_MS, targetLatencyMs * WAIT_SHARE)
}

/// The gate of one daemon. Times are monotonic milliseconds.
export class QuotaGate {
  constructor(private readonly context: QuotaContext) {}

  /// Asks for a request that has just been admitted.
  checkQuota(session: Session, now: number): QuotaAnswer {
    const {request, route, tenant} = session
    if (!tenant?.quota) return GRANTED
    session.quotaCost = getQuotaCost(request, tenant)
    const ask = {requestId: request.id, tenant, cost: session.quotaCost, waitMs: getLongestWaitMs(route)}
    const answer = this.context.takeQuota(ask, now)
    if (!answer) session.quotaCost = 0
    session.quotaState = answer?.kind === "waiting" ? "waiting" : "decided"
    return answer ?? GRANTED
  }

  /// The request goes to one more back end.
  addSend({tenant, quotaCost, mayHaveExecuted: mayHaveRun}: Session, now: number): void {
    if (tenant && quotaCost > 0 && mayHaveRun) this.context.chargeQuota(tenant, quotaCost, now)
  }

  /// The request is over.
  onRequestFinished(session: Session, now: number): void {
    const {request, tenant, quotaCost, quotaState, mayHaveExecuted: mayHaveRun, wasStopped} = session
    if (!tenant || quotaCost === 0) return
    if (quotaState === "waiting") this.context.removeQuotaRequest(request.id)
    else if (quotaState === "decided" && !mayHaveRun && !wasStopped)
      this.context.chargeQuota(tenant, -quotaCost, now)
  }
}
