/// The time that the back ends of one group take, as a linear regression over their answers: a fixed time and
/// a time per unit of load. For prompts the load is the number of tokens to compute, including those queued
/// ahead, as this daemon assumes it; so the line also corrects wrong assumptions, such as shared parts that
/// an engine keeps without this daemon's knowledge. Owns the weighted sums of the samples.

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
const MAXIMUM_LOAD = 1e9
const MAXIMUM_MS = 1e9

/// Whether a measured time and its load are within the valid range.
export function isValidSample(load: number, ms: number): boolean {
  return load >= 0 && load <= MAXIMUM_LOAD && ms >= 0 && ms <= MAXIMUM_MS
}

/// The pace of one group: a least-squares line of time over load, with exponentially decaying weights.
export class PaceLine {
  private samples = 0
  private weight = 0
  private sumLoad = 0
  private sumMs = 0
  private sumLoadSquared = 0
  private sumProducts = 0

  constructor(private readonly settings: PaceLineSettings) {}

  /// Adds a sample: work with this load took `ms`; for a prompt, the load is the number of tokens that were
  /// computed until it was complete. Ignores invalid values.
  addSample(load: number, ms: number): void {
    if (!isValidSample(load, ms)) return
    const {sampleDecay} = this.settings
    this.samples += 1
    this.weight = this.weight * sampleDecay + 1
    this.sumLoad = this.sumLoad * sampleDecay + load
    this.sumMs = this.sumMs * sampleDecay + ms
    this.sumLoadSquared = this.sumLoadSquared * sampleDecay + load * load
    this.sumProducts = this.sumProducts * sampleDecay + load * ms
  }

  /// Expected time of work with this load; undefined while there are too few samples. Milliseconds.
  getExpectedMs(load: number): number | undefined {
    if (this.samples < this.settings.minimumSamples) return undefined
    const meanLoad = this.sumLoad / this.weight
    const meanMs = this.sumMs / this.weight
    const slope = this.getSlope(meanLoad, meanMs)
    return Math.max(0, meanMs + slope * (load - meanLoad))
  }

  /// Slope of the line, clamped between zero and that of a line through the origin to limit the effect of
  /// noise.
  private getSlope(meanLoad: number, meanMs: number): number {
    const variance = this.sumLoadSquared / this.weight - meanLoad * meanLoad
    const covariance = this.sumProducts / this.weight - meanLoad * meanMs
    const proportional = meanLoad > 0 ? meanMs / meanLoad : 0
    if (variance <= 0) return proportional
    return Math.min(proportional, Math.max(0, covariance / variance))
  }
}
