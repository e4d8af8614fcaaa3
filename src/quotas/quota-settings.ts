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

/// Part of the slack that one bucket's debt may use: a request is granted though it is larger than the level by so much, so
/// that admission hardly depends on size.
const DEBT_SHARE = 0.2
/// Part of the slack that all daemons together may spend in one window without asking anybody, half of it at once. With debt,
/// one more owner's debt and the largest request it leaves a fifth (docs/design/quotas.md).
const ALLOWANCE_SHARE = 0.3

/// The debt of one bucket. Tokens.
export function getDebtTokens({slackTokens}: QuotaSettings): number {
  return slackTokens * DEBT_SHARE
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
