/// How many back ends a service needs, from what runs on them: the most that was needed lately. Demand turns
/// within seconds and a back end takes seconds to start and longer to fill its cache, so what was needed once
/// is kept for a while. In bursts of three times the usual requests 0.92 and 0.68 of worth were earned in the
/// seconds that earned 0.29 and 0.27 with a fixed number (one play each).
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {ScalingRules} from "../forwarding/routes/route.js"

/// Settings of the demand.
export interface CapacityDemandSettings {
  /// Prompts under way for each prefill engine. A prompt takes an engine for itself, and daemons choose
  /// engines by loads that are some 500 ms old, so that engines must mostly be free for prompts not to wait
  /// behind each other. Default 0.5.
  readonly promptsPerEngine: number
  /// Part of the slots of other back ends that may be taken. Default 0.5.
  readonly slotShare: number
  /// Time over which what runs is averaged. Milliseconds. Default 1000.
  readonly averageMs: number
  /// What was needed counts for e^-1 after so long. Milliseconds. Default 120000.
  readonly peakDecayMs: number
  /// Back ends at most, as a multiple of those that serve now: a fault that makes requests wait everywhere
  /// orders no whole fleet. Default 1.5.
  readonly growthFactor: number
  /// Spot back ends for each other one that is there at first. They cost less and come with empty caches;
  /// most of a prompt is shared and kept once it has been computed. Default 1.5.
  readonly replacementFactor: number
  /// A daemon that starts finds the back ends one after another; it judges nothing before it has looked for
  /// so long. Milliseconds. Default 5000.
  readonly discoveryMs: number
}

/// Default settings.
export const DEFAULT_CAPACITY_DEMAND_SETTINGS: CapacityDemandSettings = {
  promptsPerEngine: 0.5,
  slotShare: 0.5,
  averageMs: 1000,
  peakDecayMs: 120_000,
  growthFactor: 1.5,
  replacementFactor: 1.5,
  discoveryMs: 5000
}

/// The demand for one service. Times are monotonic milliseconds.
export class CapacityDemand {
  private average = 0
  /// What is there at first is taken to be needed.
  private peak = 0
  private startedAt: number | undefined
  private updatedAt = -Infinity

  constructor(private readonly settings: CapacityDemandSettings) {}

  /// Takes what runs on the back ends now. `hasSpot` says whether there are spot ones to be had.
  update(views: readonly BackendView[], hasSpot: boolean, now: number): void {
    const serving = views.filter(view => view.takesWork())
    if (serving.length === 0) return
    const sinceMs = now - this.updatedAt
    this.updatedAt = now
    this.startedAt ??= now
    if (!this.isSettled(now)) {
      this.peak = Math.max(this.peak, this.getFirstNeed(serving, hasSpot))
      return
    }
    const {averageMs, peakDecayMs: memoryMs, growthFactor} = this.settings
    const needed = serving.reduce((sum, view) => sum + this.getNeeded(view), 0)
    this.average += (needed - this.average) * (1 - Math.exp(-sinceMs / averageMs))
    const kept = this.peak * Math.exp(-sinceMs / memoryMs)
    const grown = Math.min(this.average, serving.length * growthFactor)
    this.peak = Math.max(kept, grown)
  }

  /// Back ends that are wanted in all; undefined while too little is known, or where their number is fixed.
  getWanted(scaling: ScalingRules | undefined, now: number): number | undefined {
    if (!scaling || !this.isSettled(now)) return undefined
    const most = scaling.max * Object.keys(scaling.zonePrices).length
    return Math.min(most, Math.ceil(this.peak))
  }

  private getFirstNeed(serving: readonly BackendView[], hasSpot: boolean): number {
    const factor = hasSpot ? this.settings.replacementFactor : 1
    return serving.reduce((sum, {record}) => sum + (record.isSpot ? 1 : factor), 0)
  }

  private isSettled(now: number): boolean {
    return this.startedAt !== undefined && now - this.startedAt >= this.settings.discoveryMs
  }

  /// Back ends that what runs on this one needs.
  private getNeeded(view: BackendView): number {
    const {promptsPerEngine, slotShare} = this.settings
    const {stage, slots} = view.record
    return view.inFlight() / (stage === "prefill" ? promptsPerEngine : slots * slotShare)
  }
}
