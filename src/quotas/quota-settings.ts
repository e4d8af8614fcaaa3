/// Settings of quotas, and how the slack of the guarantee is divided among the parts that may exceed a
/// limit.

/// The limit of a tenant at all daemons together.
export interface QuotaLimit {
  /// Tokens a second.
  readonly ratePerSecond: number
  /// Depth of the bucket. Tokens.
  readonly burst: number
}

/// The guarantee: in any window of `windowMs` a tenant's tokens stay under
/// (rate x window + burst) x (1 + overage) + slack.
export interface QuotaSettings {
  /// Milliseconds.
  readonly windowMs: number
  /// Fraction above the limit.
  readonly overage: number
  /// Tokens.
  readonly slackTokens: number
}

/// Share of the slack that the debt of one bucket may use: a request is granted although it exceeds the
/// level by up to this, so that admission hardly depends on the size of a request.
const DEBT_SHARE = 0.2
/// Share of the slack that all daemons together may spend in one window without asking an owner, half of
/// it at once. The remainder of the slack covers changes of owners (docs/design/quotas.md).
const ALLOWANCE_SHARE = 0.15
/// Maximum and minimum share of the slack by which a bucket is deeper than the burst: a request that is
/// refused although the guarantee would hold is a loss for its caller.
const MAXIMUM_EXTRA_DEPTH_SHARE = 0.5
const MINIMUM_EXTRA_DEPTH_SHARE = 0.1
/// The inflow of this time is withheld from the slack: two owners may exist for this long. Seconds.
const TWO_OWNERS_S = 0.6

/// The maximum debt of one bucket. Tokens.
export function getDebtTokens({slackTokens}: QuotaSettings): number {
  return slackTokens * DEBT_SHARE
}

/// Rate and depth of a tenant's bucket for the whole fleet. Tokens.
export function getBucketLimit({slackTokens}: QuotaSettings, {ratePerSecond, burst}: QuotaLimit): QuotaLimit {
  const spare =
    slackTokens * (MAXIMUM_EXTRA_DEPTH_SHARE + MINIMUM_EXTRA_DEPTH_SHARE) - ratePerSecond * TWO_OWNERS_S
  const maximum = slackTokens * MAXIMUM_EXTRA_DEPTH_SHARE
  const extra = Math.min(maximum, Math.max(slackTokens * MINIMUM_EXTRA_DEPTH_SHARE, spare))
  return {ratePerSecond, burst: burst + extra}
}

/// The allowance: what each of `daemons` daemons may spend for a tenant without asking its owner. Tokens.
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
