/// When the caller of a refused request should come back: every rule and constant behind the Retry-After of
/// the forwarding interface. Only requests that have not run and will not get one; an answer for a request
/// that may have run carries none.
///
/// By the reason of the refusal:
///
/// - stopping: another daemon can take the request at once, so after `stoppingRetryAfterMs`.
/// - no-configuration, stale-configuration: an outage of the store is expected to last as long again as it
///   has lasted.
/// - overloaded: the time until the engines have computed enough for the prompt to be within its target, if
///   nothing more came.
/// - quarantined: the rest of the quarantine, unbounded; the request would be refused at each earlier try.
/// - over-quota: what the owner of the tenant's bucket says, or `NO_OWNER_RETRY_AFTER_MS` when none has said
///   anything; spread.
/// - backend-limit: when the back ends' limits are expected to leave room (permits/permit-manager.ts).
/// - backing-off: the time left for which a back end has asked this daemon to back off, the shortest of all.
/// - no-backend, unreachable, turned-away, deadline: `retryAfterMs`.
///
/// Outage and overload are held between the settings `retryAfterMs` and `maximumRetryAfterMs`, so that
/// callers neither come back twice within a moment nor stay away long after the cause has gone.
import type {BackendChoice} from "../choose/backend-choice.js"
import type {Session} from "../forward-session.js"
import type {ForwardSettings} from "../forward-settings.js"

/// Bounds of what the owner of a bucket tells callers that are over quota. Milliseconds; the lower one is the
/// default of `retryAfterMs`, the upper one also bounds the backlog that an owner counts.
const SHORTEST_QUOTA_RETRY_AFTER_MS = 100
export const LONGEST_QUOTA_RETRY_AFTER_MS = 5000

/// When a caller comes back whose quota no owner has decided. Milliseconds; by then a lost owner has mostly
/// been found to be lost.
export const NO_OWNER_RETRY_AFTER_MS = 1200

/// Callers over quota are spread over this part more than what the owner says, so that they do not come back
/// together.
const QUOTA_SPREAD_SHARE = 0.5

/// The rules of one daemon. Times are monotonic milliseconds, results are milliseconds from now.
export class RetryAfter {
  constructor(
    private readonly settings: ForwardSettings,
    /// How long the store has not answered about the configuration; 0 when it does. Milliseconds.
    private readonly getOutageMs: (now: number) => number
  ) {}

  /// No back end could take the request, or its time was over before one had it.
  getNotServedMs(): number {
    return this.settings.retryAfterMs
  }

  /// This daemon is stopping.
  getStoppingMs(): number {
    return this.settings.stoppingRetryAfterMs
  }

  /// The configuration is missing, or too old to deny the request.
  getStaleConfigurationMs(now: number): number {
    return this.clamp(this.getOutageMs(now))
  }

  /// The engines have no capacity for a prompt that would miss its target, or a plain back end has as many
  /// requests as it may have.
  getOverloadedMs({request, route}: Session, {expectedMs = 0}: BackendChoice, now: number): number {
    const leftMs = request.arrivedAt + route.targetLatencyMs - now
    return this.clamp(expectedMs - leftMs)
  }

  private clamp(ms: number): number {
    const {retryAfterMs, maximumRetryAfterMs} = this.settings
    return Math.min(maximumRetryAfterMs, Math.max(retryAfterMs, ms))
  }
}

/// What the owner of a bucket tells callers that wait for `waitMs` of its refill. Milliseconds.
export function getQuotaRetryAfterMs(waitMs: number): number {
  return Math.min(LONGEST_QUOTA_RETRY_AFTER_MS, Math.max(SHORTEST_QUOTA_RETRY_AFTER_MS, waitMs))
}

/// What one of these callers is told; `random` is drawn for it, at least 0 and below 1. Whole milliseconds.
export function spreadQuotaRetryAfter(retryAfterMs: number, random: number): number {
  return Math.round(retryAfterMs * (1 + random * QUOTA_SPREAD_SHARE))
}
