/// The rules and constants behind the Retry-After of the forwarding interface. Only a request that has not
/// been executed and will not be gets one; the answer to a request that may have been executed carries none.
///
/// By the reason of the refusal:
///
/// - stopping: another daemon can take the request immediately, so `stoppingRetryAfterMs`.
/// - no-configuration, stale-configuration: an outage of the store is expected to last as long again as it
///   has already lasted.
/// - overloaded: the time until the engines have worked off enough for the prompt to meet its target, if no
///   more requests arrived.
/// - quarantined: the rest of the quarantine, unbounded; any earlier retry would be refused.
/// - over-quota: the value from the owner of the tenant's bucket, or `NO_OWNER_RETRY_AFTER_MS` if no owner
///   has answered; with jitter.
/// - backend-limit: when the limits of the back ends are expected to allow the request
///   (permits/permit-manager.ts).
/// - backing-off: the shortest remaining back-off that a back end has asked this daemon for.
/// - no-backend, unreachable, turned-away, deadline: `retryAfterMs`.
///
/// The values for outage and overload are clamped to the settings `retryAfterMs` and `maximumRetryAfterMs`,
/// so that callers neither retry in quick succession nor wait long after the cause is gone.
import type {BackendChoice} from "../choose/backend-choice.js"
import type {Session} from "../forward-session.js"
import type {ForwardSettings} from "../forward-settings.js"

/// Bounds of the Retry-After that the owner of a bucket gives to callers over quota. Milliseconds. The lower
/// one equals the default of `retryAfterMs`; the upper one also bounds the backlog that an owner counts.
const SHORTEST_QUOTA_RETRY_AFTER_MS = 100
export const LONGEST_QUOTA_RETRY_AFTER_MS = 5000

/// Retry-After of a request whose quota no owner has decided. Milliseconds. By then the failure of an owner
/// has usually been detected.
export const NO_OWNER_RETRY_AFTER_MS = 1200

/// Jitter for callers over quota: up to this share is added to the owner's value, so that they do not all
/// retry at the same time.
const QUOTA_SPREAD_SHARE = 0.5

/// The Retry-After of one daemon's refusals. Times are monotonic milliseconds, results are milliseconds from
/// now.
export class RetryAfter {
  constructor(
    private readonly settings: ForwardSettings,
    /// For how long the store has not answered reads of the configuration; 0 while it answers.
    /// Milliseconds.
    private readonly getOutageMs: (now: number) => number
  ) {}

  /// No back end could take the request, or its deadline passed before one had it.
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

  /// The engines have no capacity for a prompt that would miss its target, or a plain back end has reached
  /// its limit of requests.
  getOverloadedMs({request, route}: Session, {expectedMs = 0}: BackendChoice, now: number): number {
    const leftMs = request.arrivedAt + route.targetLatencyMs - now
    return this.clamp(expectedMs - leftMs)
  }

  private clamp(ms: number): number {
    const {retryAfterMs, maximumRetryAfterMs} = this.settings
    return Math.min(maximumRetryAfterMs, Math.max(retryAfterMs, ms))
  }
}

/// Retry-After for callers over quota whose cost the bucket refills in `waitMs`. Milliseconds.
export function getQuotaRetryAfterMs(waitMs: number): number {
  return Math.min(LONGEST_QUOTA_RETRY_AFTER_MS, Math.max(SHORTEST_QUOTA_RETRY_AFTER_MS, waitMs))
}

/// Adds jitter for one of these callers; `random` is drawn for it, at least 0 and below 1. Whole
/// milliseconds.
export function spreadQuotaRetryAfter(retryAfterMs: number, random: number): number {
  return Math.round(retryAfterMs * (1 + random * QUOTA_SPREAD_SHARE))
}
