/// How long engines take over prompts, learned from what they answered: a fixed time and a time for each
/// token, waiting ones included. The tokens are those that this daemon believes, so the pace also corrects
/// what it believes wrongly, such as shared parts that an engine keeps without this daemon's knowledge.

/// Settings of the learning.
export interface PromptPaceSettings {
  /// What a sample still counts after the next one. Default 0.98.
  readonly sampleDecay: number
  /// Samples before anything is predicted. Default 8.
  readonly minimumSamples: number
}

/// Default settings.
export const DEFAULT_PROMPT_PACE_SETTINGS: PromptPaceSettings = {sampleDecay: 0.98, minimumSamples: 8}

/// Figures beyond these are senseless, and their squares would not be finite.
const MAXIMUM_TOKENS = 1e9
const MAXIMUM_MS = 1e9

/// Whether a measured time and what it was taken over can be true.
export function isValidSample(tokens: number, ms: number): boolean {
  return tokens >= 0 && tokens <= MAXIMUM_TOKENS && ms >= 0 && ms <= MAXIMUM_MS
}

/// The pace of the engines of one stage. A line of least squares whose samples fade.
export class PromptPace {
  private samples = 0
  private weight = 0
  private sumTokens = 0
  private sumMs = 0
  private sumTokensSquared = 0
  private sumProducts = 0

  constructor(private readonly settings: PromptPaceSettings) {}

  /// A prompt was computed `ms` after it was sent, with `tokens` to compute until then. Senseless figures are
  /// ignored.
  addSample(tokens: number, ms: number): void {
    if (!isValidSample(tokens, ms)) return
    const {sampleDecay: memory} = this.settings
    this.samples += 1
    this.weight = this.weight * memory + 1
    this.sumTokens = this.sumTokens * memory + tokens
    this.sumMs = this.sumMs * memory + ms
    this.sumTokensSquared = this.sumTokensSquared * memory + tokens * tokens
    this.sumProducts = this.sumProducts * memory + tokens * ms
  }

  /// How long a prompt takes when so many tokens, its own included, are to be computed; undefined while too
  /// little is known. Milliseconds.
  getExpectedMs(tokens: number): number | undefined {
    if (this.samples < this.settings.minimumSamples) return undefined
    const meanTokens = this.sumTokens / this.weight
    const meanMs = this.sumMs / this.weight
    const slope = this.getMsPerToken(meanTokens, meanMs)
    return Math.max(0, meanMs + slope * (tokens - meanTokens))
  }

  /// Between no growth at all and a line through the origin, whatever noise says.
  private getMsPerToken(meanTokens: number, meanMs: number): number {
    const variance = this.sumTokensSquared / this.weight - meanTokens * meanTokens
    const covariance = this.sumProducts / this.weight - meanTokens * meanMs
    const proportional = meanTokens > 0 ? meanMs / meanTokens : 0
    if (variance <= 0) return proportional
    return Math.min(proportional, Math.max(0, covariance / variance))
  }
}
