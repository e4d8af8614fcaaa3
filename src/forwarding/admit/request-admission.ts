/// Whether a request is taken on: which route it has, for whom its caller acts and which service gets it, or
/// why it is rejected.
import {STATUS_NOT_FOUND, STATUS_UNAUTHORIZED} from "../../shared/http-status.js"
import type {LimitContext} from "./forward-limits.js"
import type {RetryAfter} from "./retry-after.js"
import type {ForwardFailure} from "../forward-messages.js"
import type {ForwardRequest} from "../forward-request.js"
import type {Route, Tenant} from "../routes/route.js"
import type {TenantDirectory} from "../routes/tenant-directory.js"
import {WeightedChoice} from "../routes/weighted-choice.js"

/// What the admission depends on.
export interface AdmissionContext extends LimitContext {
  /// Callers' keys and whose they are.
  readonly tenants: TenantDirectory
  /// Whether the configuration may be out of date, so that a missing route or key proves nothing.
  configurationMayBeStale(now: number): boolean
}

/// A request that is taken on.
export interface Admitted {
  readonly kind: "admitted"
  readonly route: Route
  readonly service: string
  readonly tenant: Tenant | undefined
  readonly configurationVersion: number
}

/// What becomes of a request.
export type Admission =
  | Admitted
  /// It has not run and will not; it may be served later, after so many milliseconds.
  | {readonly kind: "refused"; readonly failure: ForwardFailure; readonly retryAfterMs: number}
  /// The configuration does not allow it.
  | {readonly kind: "denied"; readonly status: number; readonly failure: ForwardFailure}

/// The admission of one daemon. Times are monotonic milliseconds.
export class RequestAdmission {
  private readonly split = new WeightedChoice()
  private closed = false

  constructor(
    private readonly context: AdmissionContext,
    private readonly retryAfter: RetryAfter
  ) {}

  /// From now on requests are refused: the process has no time left to finish them.
  close(): void {
    this.closed = true
  }

  /// Judges a request that has just arrived.
  admit({host, path, keyDigest}: ForwardRequest, now: number): Admission {
    if (this.closed)
      return {kind: "refused", failure: "stopping", retryAfterMs: this.retryAfter.getStoppingMs()}
    const routes = this.context.getRoutes()
    if (!routes) return this.refuse("no-configuration", now)
    const route = routes.findRoute(host, path)
    if (!route) return this.deny(STATUS_NOT_FOUND, "no-route", now)
    const caller = this.context.tenants.findCaller(route, keyDigest)
    if (!caller) return this.deny(STATUS_UNAUTHORIZED, "unknown-key", now)
    const service = this.split.pickService(route)
    if (service === undefined) return this.deny(STATUS_NOT_FOUND, "no-route", now)
    const {version: configurationVersion} = routes.configuration
    return {kind: "admitted", route, service, tenant: caller.tenant, configurationVersion}
  }

  /// Where a newer configuration may allow the request, the caller is told to come back.
  private deny(status: number, failure: ForwardFailure, now: number): Admission {
    const mayBeAllowed = this.context.configurationMayBeStale(now)
    return mayBeAllowed ? this.refuse("stale-configuration", now) : {kind: "denied", status, failure}
  }

  private refuse(failure: ForwardFailure, now: number): Admission {
    return {kind: "refused", failure, retryAfterMs: this.retryAfter.getStaleConfigurationMs(now)}
  }
}
