/// Types of the interface between the forwarding machine and the tenants' quotas.
import type {ForwardRequest} from "../forward-request.js"
import type {Tenant} from "../routes/route.js"

/// A request that needs quota.
export interface QuotaRequest {
  readonly requestId: string
  readonly tenant: Tenant
  /// In the unit of the tenant's quota.
  readonly cost: number
  /// How long it may wait for a decision. Milliseconds.
  readonly waitMs: number
}

/// The quota does not allow a request.
export interface QuotaRefusal {
  readonly kind: "refused"
  /// When its caller should retry. Milliseconds from now.
  readonly retryAfterMs: number
  /// The figures that decided it, for the log.
  readonly fields: Readonly<Record<string, unknown>>
}

/// The decision about a request.
export type QuotaDecision = {readonly kind: "granted"} | QuotaRefusal

/// A decision, or that the request must wait for one.
export type QuotaOutcome = QuotaDecision | {readonly kind: "waiting"}

/// The cost of a request, in the unit of the tenant's quota; 0 without a quota.
export function getQuotaCost({usageTokens}: ForwardRequest, {quota}: Tenant): number {
  if (!quota) return 0
  return quota.countsTokens ? (usageTokens ?? quota.plainCost) : quota.plainCost
}
