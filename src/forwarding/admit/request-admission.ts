/// Decides whether a request is accepted: finds its route, the tenant of its caller and the service that
/// handles it, or the reason why it is refused.
import {STATUS_NOT_FOUND, STATUS_UNAUTHORIZED, STATUS_UNAVAILABLE} from "../../shared/http-status.js"
import type {DecisionFields, NotAccepted} from "../finish/forward-answers.js"
import type {LimitContext} from "./forward-limits.js"
import type {RetryAfter} from "./retry-after.js"
import type {ForwardFailure} from "../forward-messages.js"
import type {ForwardRequest} from "../forward-request.js"
import type {Route, Tenant} from "../routes/route.js"
import type {TenantDirectory} from "../routes/tenant-directory.js"
import {WeightedChoice} from "../routes/weighted-choice.js"

/// What admission depends on.
export interface AdmissionContext extends LimitContext {
  /// The tenants and the keys of their callers.
  readonly tenants: TenantDirectory
  /// Whether the configuration may be out of date, so that a missing route or key is not conclusive.
  configurationMayBeStale(now: number): boolean
  /// On what that is based, for the log.
  getConfigurationEvidence(now: number): DecisionFields
}

/// A request that is accepted.
export interface Admitted {
  readonly kind: "admitted"
  readonly route: Route
  readonly service: string
  readonly tenant: Tenant | undefined
  readonly configurationVersion: number
}

/// The decision about a request. One that is not accepted is denied where the configuration does not allow it, and
/// refused with a Retry-After where it may be accepted later.
export type AdmissionDecision = Admitted | ({readonly kind: "notAccepted"} & NotAccepted)

/// Admission of requests to one daemon. Times are monotonic milliseconds.
export class RequestAdmission {
  private readonly targets = new WeightedChoice()
  private closed = false

  constructor(
    private readonly context: AdmissionContext,
    private readonly retryAfter: RetryAfter
  ) {}

  /// Refuses all further requests: the process has no time left to finish them.
  close(): void {
    this.closed = true
  }

  /// Decides about a request that has just arrived.
  admit({host, path, keyDigest}: ForwardRequest, now: number): AdmissionDecision {
    if (this.closed) return refuse("stopping", this.retryAfter.getStoppingMs())
    const routes = this.context.getRoutes()
    if (!routes) return refuse("no-configuration", this.retryAfter.getStaleConfigurationMs(now))
    const route = routes.findRoute(host, path)
    if (!route) return this.deny(STATUS_NOT_FOUND, "no-route", now)
    const caller = this.context.tenants.findCaller(route, keyDigest)
    if (!caller) return this.deny(STATUS_UNAUTHORIZED, "unknown-key", now)
    const service = this.targets.pickService(route)
    if (service === undefined) return this.deny(STATUS_NOT_FOUND, "no-route", now)
    const {version: configurationVersion} = routes.configuration
    return {kind: "admitted", route, service, tenant: caller.tenant, configurationVersion}
  }

  /// Denies the request, or refuses it with a Retry-After where a newer configuration may allow it.
  private deny(status: number, failure: ForwardFailure, now: number): AdmissionDecision {
    const configuration = this.context.getRoutes()?.configuration.version
    const reasons = {configuration, ...this.context.getConfigurationEvidence(now)}
    if (this.context.configurationMayBeStale(now))
      return refuse("stale-configuration", this.retryAfter.getStaleConfigurationMs(now), reasons)
    return {kind: "notAccepted", status, failure, retryAfterMs: undefined, reasons}
  }
}

function refuse(
  failure: ForwardFailure,
  retryAfterMs: number,
  reasons: DecisionFields = {}
): AdmissionDecision {
  return {kind: "notAccepted", status: STATUS_UNAVAILABLE, failure, retryAfterMs, reasons}
}
