/// Settings of quotas, and how the slack of the rule is divided.

/// What a tenant may ask of all daemons together.
export interface QuotaLimit {
  /// Tokens a second.
  readonly ratePerSecond: number
  /// Depth of the bucket. Tokens.
  readonly burst: number
}

/// What the operator promises of quotas: in any window of `windowMs` a tenant's tokens stay under
/// (rate x window + burst) x (1 + overage) + slack.
export interface QuotaSettings {
  readonly windowMs: number
  readonly overage: number
  /// Tokens.
  readonly slackTokens: number
}

/// Part of the slack that one bucket's debt may use: a request is granted though it is larger than the level
/// by so much, so that admission hardly depends on size.
const DEBT_SHARE = 0.2
/// Part of the slack that all daemons together may spend in one window without asking anybody, half of it at
/// once. What remains is for owners that change (docs/design/quotas.md).
const ALLOWANCE_SHARE = 0.15
/// Parts of the slack by which a bucket is deeper than the burst, at most and at least: what is refused below
/// the bound is lost for the callers.
const MOST_DEPTH_SHARE = 0.5
const LEAST_DEPTH_SHARE = 0.1
/// From the slack is kept what comes in while there may be two owners. Seconds.
const TWO_OWNERS_S = 0.6

/// The debt of one bucket. Tokens.
export function getDebtTokens({slackTokens}: QuotaSettings): number {
  return slackTokens * DEBT_SHARE
}

/// The bucket of the whole fleet.
export function getBucketLimit({slackTokens}: QuotaSettings, {ratePerSecond, burst}: QuotaLimit): QuotaLimit {
  const spare = slackTokens * (MOST_DEPTH_SHARE + LEAST_DEPTH_SHARE) - ratePerSecond * TWO_OWNERS_S
  const most = slackTokens * MOST_DEPTH_SHARE
  const extra = Math.min(most, Math.max(slackTokens * LEAST_DEPTH_SHARE, spare))
  return {ratePerSecond, burst: burst + extra}
}

/// What one of `daemons` may spend for each tenant without asking.
export function getAllowance(
  {slackTokens, windowMs}: QuotaSettings,
  limit: QuotaLimit,
  daemons: number
): QuotaLimit {
  const half = (slackTokens * ALLOWANCE_SHARE) / 2 / Math.max(1, daemons)
  return {
    ratePerSecond: Math.min(half / (windowMs / 1000), limit.ratePerSecond / Math.max(1, daemons)),
    burst: half
  }
}
