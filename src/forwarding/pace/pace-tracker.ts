/// The pace of each back end: how many times longer it takes than the average of its group. Engines of one
/// service may differ in speed permanently, and any may be slow for a while and recover; both show in the
/// same ratio, the time of its answers over the time that the group takes for the same load. A back end that
/// was replaced starts again as average. Owns the regression lines of the groups and the samples of the back
/// ends.
import {DEFAULT_PACE_LINE_SETTINGS, isValidSample, PaceLine, type PaceLineSettings} from "./pace-line.js"

/// Settings of the pace tracker.
export interface PaceTrackerSettings {
  /// Settings of the groups' regression lines.
  readonly line: PaceLineSettings
  /// Shrinkage: weight of the prior, in average samples that every engine starts with. Default 5: single
  /// samples deviate by half of their mean, so a smaller prior would take noise for speed.
  readonly priorSamples: number
  /// Time after which a sample has half of its weight. Milliseconds. Default 4000: an engine that gets no
  /// more work is tried again soon. A single daemon of a fleet of 64 has about one such sample of an
  /// engine, so factors stay near 1 there except for engines that are many times slower.
  readonly halfLifeMs: number
  /// Factor applied to the weight of earlier samples with each new one. Default 0.96.
  readonly sampleDecay: number
  /// A sample that is more than this many times slower or faster than the engine's estimate is an outlier.
  /// Default 2.5.
  readonly outlierRatio: number
  /// Factor applied to the weight of earlier samples instead of `sampleDecay` from the second consecutive
  /// outlier in the same direction on. Default 0.5.
  readonly outlierDecay: number
  /// Bound of a sample's ratio, and of its inverse. Default 8.
  readonly maximumRatio: number
  /// Bound of a sample's ratio where it is added to its group's line. Default 3.
  readonly maximumLineRatio: number
  /// An engine is reported as slow when its factor is this many times the median of its group. Compared with
  /// the median, as a whole group may take longer than its line predicts when the workload changes. Default
  /// 2.
  readonly slowFactor: number
  /// A slow engine is reported as recovered at or below this multiple of the median. Default 1.5.
  readonly recoveredFactor: number
}

/// Default settings.
export const DEFAULT_PACE_TRACKER_SETTINGS: PaceTrackerSettings = {
  line: DEFAULT_PACE_LINE_SETTINGS,
  priorSamples: 5,
  halfLifeMs: 4000,
  sampleDecay: 0.96,
  outlierRatio: 2.5,
  outlierDecay: 0.5,
  maximumRatio: 8,
  maximumLineRatio: 3,
  slowFactor: 2,
  recoveredFactor: 1.5
}

/// What a regression line predicts: the time of prompts that prefill engines compute, or of the first events
/// of requests that are not split, both by the tokens queued ahead; the gaps between events, by the requests
/// at the engine; or the time of plain back ends' answers, by the requests in excess of the slots.
export type PaceMeasure = "prompt" | "first" | "gap" | "answer"

/// An engine that has become slow or has recovered.
interface PaceChange {
  readonly id: string
  readonly slow: boolean
  readonly factor: number
}

/// Below this weight the samples of an engine are dropped. In samples.
const MINIMUM_WEIGHT = 0.01

/// The pace of one back end.
export class BackendPace {
  private weight = 0
  private ratioSum = 0
  private outliers = 0
  private slow = false
  private lastGroup: string | undefined

  constructor(
    private readonly settings: PaceTrackerSettings,
    private readonly getLine: (group: string) => PaceLine
  ) {}

  /// Estimate of how many times longer than its group it takes; 1 without samples.
  factor(): number {
    const {priorSamples} = this.settings
    return (priorSamples + this.ratioSum) / (priorSamples + this.weight)
  }

  /// Adds a sample: the engine took `ms` for work with `load` ahead of it. Ignores invalid values.
  addSample(group: string, load: number, ms: number): void {
    if (!isValidSample(load, ms)) return
    this.lastGroup = group
    const line = this.getLine(group)
    const expectedMs = line.getExpectedMs(load)
    const known = expectedMs !== undefined && expectedMs > 0
    line.addSample(load, known ? Math.min(ms, expectedMs * this.settings.maximumLineRatio) : ms)
    if (known) this.addRatio(ms / expectedMs)
  }

  /// Adds a sample for work that was aborted without an answer after `ms`, if that is longer than expected.
  addUnanswered(group: string, load: number, ms: number): void {
    if (!isValidSample(load, ms)) return
    const expectedMs = this.getLine(group).getExpectedMs(load)
    if (expectedMs === undefined || expectedMs <= 0) return
    if (ms > expectedMs * this.factor()) this.addRatio(ms / expectedMs)
  }

  /// Multiplies the weight of all samples by `keptShare`.
  decay(keptShare: number): void {
    this.weight *= keptShare
    this.ratioSum *= keptShare
    if (this.weight >= MINIMUM_WEIGHT) return
    this.reset()
  }

  /// Drops all samples, as another engine answers there now.
  reset(): void {
    this.weight = 0
    this.ratioSum = 0
    this.outliers = 0
  }

  /// The group of its last sample; undefined before this daemon has added one.
  group(): string | undefined {
    return this.lastGroup
  }

  /// The change since the last call: it has become slow compared with the median factor of its group, or is
  /// normal again. Undefined without a change.
  takeChange(medianFactor: number): "slow" | "normal" | undefined {
    const {slowFactor, recoveredFactor} = this.settings
    const factor = this.factor() / medianFactor
    const slow = this.slow ? factor > recoveredFactor : factor >= slowFactor
    if (slow === this.slow) return undefined
    this.slow = slow
    return slow ? "slow" : "normal"
  }

  /// Whether it was last reported as slow.
  isSlow(): boolean {
    return this.slow
  }

  private addRatio(ratio: number): void {
    const clamped = this.clamp(ratio)
    const kept = this.countOutlier(clamped) ? this.settings.outlierDecay : this.settings.sampleDecay
    this.weight = this.weight * kept + 1
    this.ratioSum = this.ratioSum * kept + clamped
  }

  /// Counts consecutive outliers in one direction. Returns whether there are at least two samples of them, so
  /// that earlier samples have to be discounted faster.
  private countOutlier(ratio: number): boolean {
    const {outlierRatio} = this.settings
    const relative = ratio / this.factor()
    const direction = relative > outlierRatio ? 1 : relative < 1 / outlierRatio ? -1 : 0
    this.outliers = direction * this.outliers > 0 ? this.outliers + direction : direction
    return Math.abs(this.outliers) >= 2
  }

  private clamp(ratio: number): number {
    const {maximumRatio} = this.settings
    return Math.min(maximumRatio, Math.max(1 / maximumRatio, ratio))
  }
}

/// The paces of all back ends that a daemon knows, and the lines of their groups. Times are monotonic
/// milliseconds.
export class PaceTracker {
  private readonly lines = new Map<string, PaceLine>()
  private readonly engines = new Map<string, BackendPace>()
  private decayedAt: number | undefined
  private readonly getLine = (group: string): PaceLine => {
    let line = this.lines.get(group)
    if (!line) this.lines.set(group, (line = new PaceLine(this.settings.line)))
    return line
  }

  constructor(private readonly settings: PaceTrackerSettings) {}

  /// The pace of this incarnation of a back end.
  get(id: string): BackendPace {
    let pace = this.engines.get(id)
    if (!pace) this.engines.set(id, (pace = new BackendPace(this.settings, this.getLine)))
    return pace
  }

  /// Removes a back end whose record was removed.
  remove(id: string): void {
    this.engines.delete(id)
  }

  /// Expected time of an average member of the group with `load` ahead; undefined while there are too few
  /// samples. Milliseconds.
  getGroupMs(group: string, load: number): number | undefined {
    return this.getLine(group).getExpectedMs(load)
  }

  /// Decays the samples by the time since the last call.
  tick(now: number): void {
    const passedMs = now - (this.decayedAt ?? now)
    this.decayedAt = now
    if (passedMs <= 0) return
    const keptShare = 0.5 ** (passedMs / this.settings.halfLifeMs)
    for (const pace of this.engines.values()) pace.decay(keptShare)
  }

  /// Engines that have become slow or recovered since the last call.
  takeChanges(): PaceChange[] {
    const changes: PaceChange[] = []
    const medians = this.getMedians()
    for (const [id, pace] of this.engines) {
      const change = pace.takeChange(medians.get(pace.group()) ?? 1)
      if (change) changes.push({id, slow: change === "slow", factor: pace.factor()})
    }
    return changes
  }

  /// The median factor of each group; the lower one where there are two.
  private getMedians(): ReadonlyMap<string | undefined, number> {
    const byGroup = new Map<string | undefined, number[]>()
    for (const pace of this.engines.values()) {
      const factors = byGroup.get(pace.group()) ?? []
      factors.push(pace.factor())
      byGroup.set(pace.group(), factors)
    }
    const medians = new Map<string | undefined, number>()
    for (const [group, factors] of byGroup) {
      factors.sort((left, right) => left - right)
      medians.set(group, factors[(factors.length - 1) >> 1])
    }
    return medians
  }

  /// Number of engines that are reported as slow.
  countSlow(): number {
    return [...this.engines.values()].filter(pace => pace.isSlow()).length
  }

  /// Factors of all engines, slowest first.
  getFactors(): {readonly id: string; readonly factor: number}[] {
    const factors = [...this.engines].map(([id, pace]) => ({id, factor: pace.factor()}))
    return factors.sort((left, right) => right.factor - left.factor)
  }
}
