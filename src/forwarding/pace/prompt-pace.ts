/// The time that engines take for prompts, as a linear regression over their answers: a fixed time and a time
/// for each token, including tokens queued ahead. The tokens are those that this daemon assumes, so the line
/// also corrects wrong assumptions, such as shared parts that an engine keeps without this daemon's
/// knowledge. Owns the weighted sums of the samples.

/// Settings of a regression line.
export interface PaceLineSettings {
  /// Factor applied to the weight of earlier samples with each new one. Default 0.98.
  readonly sampleDecay: number
  /// Number of samples needed for a prediction. Default 8.
  readonly minimumSamples: number
}

/// Default settings.
export const DEFAULT_PACE_LINE_SETTINGS: PaceLineSettings = {sampleDecay: 0.98, minimumSamples: 8}

/// Bounds of valid samples; the squares of larger values might not be finite.
const MAXIMUM_TOKENS = 1e9
const MAXIMUM_MS = 1e9

/// Whether a measured time and its load are within the valid range.
export function isValidSample(tokens: number, ms: number): boolean {
  return tokens >= 0 && tokens <= MAXIMUM_TOKENS && ms >= 0 && ms <= MAXIMUM_MS
}

/// The pace of the engines of one group: a least-squares line with exponentially decaying weights.
export class PaceLine {
  private samples = 0
  private weight = 0
  private sumTokens = 0
  private sumMs = 0
  private sumTokensSquared = 0
  private sumProducts = 0

  constructor(private readonly settings: PaceLineSettings) {}

  /// Adds a sample: a prompt was computed `ms` after it was sent, with `tokens` to compute until then.
  /// Ignores invalid values.
  addSample(tokens: number, ms: number): void {
    if (!isValidSample(tokens, ms)) return
    const {sampleDecay} = this.settings
    this.samples += 1
    this.weight = this.weight * sampleDecay + 1
    this.sumTokens = this.sumTokens * sampleDecay + tokens
    this.sumMs = this.sumMs * sampleDecay + ms
    this.sumTokensSquared = this.sumTokensSquared * sampleDecay + tokens * tokens
    this.sumProducts = this.sumProducts * sampleDecay + tokens * ms
  }

  /// Expected time of a prompt when `tokens`, its own included, have to be computed; undefined while there
  /// are too few samples. Milliseconds.
  getExpectedMs(tokens: number): number | undefined {
    if (this.samples < this.settings.minimumSamples) return undefined
    const meanTokens = this.sumTokens / this.weight
    const meanMs = this.sumMs / this.weight
    const slope = this.getMsPerToken(meanTokens, meanMs)
    return Math.max(0, meanMs + slope * (tokens - meanTokens))
  }

  /// Slope of the line, clamped between zero and that of a line through the origin to limit the effect of
  /// noise.
  private getMsPerToken(meanTokens: number, meanMs: number): number {
    const variance = this.sumTokensSquared / this.weight - meanTokens * meanTokens
    const covariance = this.sumProducts / this.weight - meanTokens * meanMs
    const proportional = meanTokens > 0 ? meanMs / meanTokens : 0
    if (variance <= 0) return proportional
    return Math.min(proportional, Math.max(0, covariance / variance))
  }
}
