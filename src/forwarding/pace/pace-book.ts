/// How fast each back end works, beside the others of its group. Engines of one service differ in speed for
/// good, and any may turn slow for a while and recover; both are told by the same figure: the time that
/// answers took there over the time that the group takes for the same. A back end that was replaced is
/// another one and starts as an average one.
import {
  DEFAULT_PROMPT_PACE_SETTINGS,
  isValidSample,
  PromptPace,
  type PromptPaceSettings
} from "./prompt-pace.js"

/// Settings of the learning.
export interface PaceTrackerSettings {
  /// How the groups' lines are learned.
  readonly line: PromptPaceSettings
  /// Shrinkage: an engine counts as average as though it had given so many average samples. Default 5: single
  /// samples spread by half of their mean, so fewer would take noise for speed.
  readonly priorSamples: number
  /// What samples still count after this time. Milliseconds. Default 4000: an engine that gets no work any
  /// more is tried again soon. A daemon alone in a fleet of 64 has about one such sample of an engine, so
  /// that factors stay near 1 there but for engines that are many times slower.
  readonly halfLifeMs: number
  /// What the samples before still count after one more. Default 0.96.
  readonly sampleDecay: number
  /// A sample that is so many times slower or faster than the engine is thought to be is a surprise. Default
  /// 2.5.
  readonly outlierRatio: number
  /// What the samples before still count after a second surprise in the same direction. Default 0.5.
  readonly outlierDecay: number
  /// No sample counts as more times slower or faster than this. Default 8.
  readonly maximumRatio: number
  /// Samples of one engine move its group's line as though at most so many times slower than expected.
  /// Default 3.
  readonly maximumLineRatio: number
  /// An engine so many times slower than the middle one of its group is told as slow: when work changes, all
  /// of a group may take longer than its line says. Default 2.
  readonly slowFactor: number
  /// A slow one is told as sound again below this. Default 1.5.
  readonly recoveredFactor: number
}

/// Default settings.
export const DEFAULT_PACE_TRACKER_SETTINGS: PaceTrackerSettings = {
  line: DEFAULT_PROMPT_PACE_SETTINGS,
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

/// What a line says: prompts computed apart by the tokens in front, first events of whole requests by the
/// same, pauses between events by requests at the engine, answers of plain back ends by requests beyond the
/// slots.
export type PaceMeasure = "prompt" | "first" | "pause" | "answer"

/// Samples of one engine in the form that travels: id, sum of the ratios to the group's line, count. Sums add
/// up.
type PaceEvidence = readonly [id: string, ratioSum: number, count: number]

/// A change of what is believed of an engine's speed.
interface PaceChange {
  readonly id: string
  readonly slow: boolean
  readonly factor: number
}

/// Less than this much of a sample says nothing. In samples.
const MINIMUM_WEIGHT = 0.01
/// Evidence of one digest counts as at most so many samples.
const MAXIMUM_COUNT = 1000

/// The speed of one back end.
export class BackendPace {
  private weight = 0
  private ratioSum = 0
  private surprises = 0
  private unsentSum = 0
  private unsentCount = 0
  private slow = false
  private lastGroup: string | undefined

  constructor(
    private readonly settings: PaceTrackerSettings,
    private readonly getLine: (group: string) => PromptPace
  ) {}

  /// How many times longer than its group it takes: 1 without samples.
  factor(): number {
    const {priorSamples} = this.settings
    return (priorSamples + this.ratioSum) / (priorSamples + this.weight)
  }

  /// The engine took `ms` over something that had `load` in front of it. Senseless figures are ignored.
  addSample(group: string, load: number, ms: number): void {
    if (!isValidSample(load, ms)) return
    this.lastGroup = group
    const line = this.getLine(group)
    const expectedMs = line.getExpectedMs(load)
    const known = expectedMs !== undefined && expectedMs > 0
    line.addSample(load, known ? Math.min(ms, expectedMs * this.settings.maximumLineRatio) : ms)
    if (known) this.addOwn(ms / expectedMs)
  }

  /// The engine had not answered after `ms`, when it was asked no longer: a sample where that is longer than
  /// it should take.
  addUnanswered(group: string, load: number, ms: number): void {
    if (!isValidSample(load, ms)) return
    const expectedMs = this.getLine(group).getExpectedMs(load)
    if (expectedMs === undefined || expectedMs <= 0) return
    if (ms > expectedMs * this.factor()) this.addOwn(ms / expectedMs)
  }

  /// Samples of other daemons.
  applySamples(ratioSum: number, count: number): void {
    const sensible = count > 0 && count <= MAXIMUM_COUNT && ratioSum >= 0
    if (sensible) this.add(ratioSum / count, count)
  }

  /// Samples of this daemon since the last call.
  takeSamples(): {ratioSum: number; count: number} {
    const evidence = {ratioSum: this.unsentSum, count: this.unsentCount}
    this.unsentSum = 0
    this.unsentCount = 0
    return evidence
  }

  /// What is known counts this part from now on.
  decay(keptShare: number): void {
    this.weight *= keptShare
    this.ratioSum *= keptShare
    if (this.weight >= MINIMUM_WEIGHT) return
    this.reset()
  }

  /// Another engine answers there now.
  reset(): void {
    this.weight = 0
    this.ratioSum = 0
    this.surprises = 0
  }

  /// The group that it was last measured in; undefined before this daemon has.
  group(): string | undefined {
    return this.lastGroup
  }

  /// The change since the last call: it has turned slow beside the middle one of its group, or is sound
  /// again.
  takeChange(middleFactor: number): "slow" | "sound" | undefined {
    const {slowFactor, recoveredFactor: soundFactor} = this.settings
    const factor = this.factor() / middleFactor
    const slow = this.slow ? factor > soundFactor : factor >= slowFactor
    if (slow === this.slow) return undefined
    this.slow = slow
    return slow ? "slow" : "sound"
  }

  /// Whether it is told as slow.
  isSlow(): boolean {
    return this.slow
  }

  private addOwn(ratio: number): void {
    const bounded = this.bound(ratio)
    this.unsentSum += bounded
    this.unsentCount += 1
    this.add(bounded, 1)
  }

  private add(ratio: number, count: number): void {
    const bounded = this.bound(ratio)
    const kept = this.countSurprise(bounded, count)
      ? this.settings.outlierDecay
      : this.settings.sampleDecay ** count
    this.weight = this.weight * kept + count
    this.ratioSum = this.ratioSum * kept + bounded * count
  }

  /// Whether so much speaks against what was known that it is forgotten sooner.
  private countSurprise(ratio: number, count: number): boolean {
    const {outlierRatio: surpriseRatio} = this.settings
    const beside = ratio / this.factor()
    const direction = beside > surpriseRatio ? 1 : beside < 1 / surpriseRatio ? -1 : 0
    this.surprises = direction * this.surprises > 0 ? this.surprises + direction * count : direction * count
    return Math.abs(this.surprises) >= 2
  }

  private bound(ratio: number): number {
    const {maximumRatio} = this.settings
    return Math.min(maximumRatio, Math.max(1 / maximumRatio, ratio))
  }
}

/// The speeds of all back ends that a daemon knows, and the lines of their groups. Times are monotonic
/// milliseconds.
export class PaceTracker {
  private readonly lines = new Map<string, PromptPace>()
  private readonly engines = new Map<string, BackendPace>()
  private fadedAt: number | undefined
  private readonly getLine = (group: string): PromptPace => {
    let line = this.lines.get(group)
    if (!line) this.lines.set(group, (line = new PromptPace(this.settings.line)))
    return line
  }

  constructor(private readonly settings: PaceTrackerSettings) {}

  /// The speed of this incarnation of a back end.
  get(id: string): BackendPace {
    let pace = this.engines.get(id)
    if (!pace) this.engines.set(id, (pace = new BackendPace(this.settings, this.getLine)))
    return pace
  }

  /// The back end's record is gone.
  remove(id: string): void {
    this.engines.delete(id)
  }

  /// What the group takes with so much in front; undefined while too little is known. Milliseconds.
  getGroupMs(group: string, load: number): number | undefined {
    return this.getLine(group).getExpectedMs(load)
  }

  /// Lets samples fade.
  tick(now: number): void {
    const passedMs = now - (this.fadedAt ?? now)
    this.fadedAt = now
    if (passedMs <= 0) return
    const keptShare = 0.5 ** (passedMs / this.settings.halfLifeMs)
    for (const pace of this.engines.values()) pace.decay(keptShare)
  }

  /// Engines that have turned slow or sound since the last call.
  takeChanges(): PaceChange[] {
    const changes: PaceChange[] = []
    const middles = this.getMiddles()
    for (const [id, pace] of this.engines) {
      const change = pace.takeChange(middles.get(pace.group()) ?? 1)
      if (change) changes.push({id, slow: change === "slow", factor: pace.factor()})
    }
    return changes
  }

  /// The middle factor of each group; the lower one of two.
  private getMiddles(): ReadonlyMap<string | undefined, number> {
    const byGroup = new Map<string | undefined, number[]>()
    for (const pace of this.engines.values()) {
      const factors = byGroup.get(pace.group()) ?? []
      factors.push(pace.factor())
      byGroup.set(pace.group(), factors)
    }
    const middles = new Map<string | undefined, number>()
    for (const [group, factors] of byGroup) {
      factors.sort((left, right) => left - right)
      middles.set(group, factors[(factors.length - 1) >> 1])
    }
    return middles
  }

  /// This daemon's samples since the last call, for its peers.
  takeSamples(): PaceEvidence[] {
    const told: PaceEvidence[] = []
    for (const [id, pace] of this.engines) {
      const {ratioSum, count} = pace.takeSamples()
      if (count > 0) told.push([id, Math.round(ratioSum * 100) / 100, count])
    }
    return told
  }

  /// Samples of other daemons. Engines that are not known here are left out.
  applySamples(evidence: readonly PaceEvidence[]): void {
    for (const [id, ratioSum, count] of evidence) this.engines.get(id)?.applySamples(ratioSum, count)
  }

  /// Engines that are told as slow.
  countSlow(): number {
    return [...this.engines.values()].filter(pace => pace.isSlow()).length
  }

  /// Factors of all engines, the slowest first.
  getFactors(): {readonly id: string; readonly factor: number}[] {
    const factors = [...this.engines].map(([id, pace]) => ({id, factor: pace.factor()}))
    return factors.sort((left, right) => right.factor - left.factor)
  }
}
