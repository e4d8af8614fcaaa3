/// Estimates how many back ends a service needs from their requests in flight: a slowly decaying peak of the
/// recent need. Owns the average and the peak of one service. Demand changes within seconds, while a back end
/// takes seconds to start and longer to fill its cache, so a past need is kept for a while. In bursts of
/// three times the usual requests, 0.92 and 0.68 of the achievable value were earned in the seconds that
/// earned 0.29 and 0.27 with a fixed number of back ends (one run each).
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {ScalingRules} from "../forwarding/routes/route.js"

/// Settings of the estimate.
export interface CapacityDemandSettings {
  /// Target number of prompts in flight per prefill engine. A prompt occupies its engine exclusively, and
  /// daemons choose engines by loads that are about 500 ms old, so most engines must be idle for prompts not
  /// to queue behind each other. Default 0.5.
  readonly promptsPerEngine: number
  /// Target share of slots in use on other back ends. Default 0.5.
  readonly slotShare: number
  /// Time constant of the average need. Milliseconds. Default 1000.
  readonly averageMs: number
  /// Time constant of the decay of the peak: it falls to e^-1 in this time. Milliseconds. Default 120000.
  readonly peakDecayMs: number
  /// Upper bound of the need, as a multiple of the back ends in service, so that a fault that delays all
  /// requests doesn't cause a complete new fleet to be ordered. Default 1.5.
  readonly growthFactor: number
  /// Number of spot back ends that replace each initial ordinary one. They cost less but start with empty
  /// caches; most of a prompt is shared and cached once it has been computed. Default 1.5.
  readonly replacementFactor: number
  /// Time after the first back end during which a new daemon estimates nothing, since it discovers the back
  /// ends one after another. Milliseconds. Default 5000.
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

/// The demand for back ends of one service. Times are monotonic milliseconds.
export class CapacityDemand {
  private average = 0
  /// Peak need in back ends. The initial back ends are assumed to be needed.
  private peak = 0
  private startedAt: number | undefined
  private updatedAt = -Infinity

  constructor(private readonly settings: CapacityDemandSettings) {}

  /// Updates the estimate from the current load of the back ends. `hasSpot`: whether spot ones can be
  /// ordered.
  update(views: readonly BackendView[], hasSpot: boolean, now: number): void {
    const serving = views.filter(view => view.takesWork())
    if (serving.length === 0) return
    const sinceMs = now - this.updatedAt
    this.updatedAt = now
    this.startedAt ??= now
    if (!this.isDiscovered(now)) {
      this.peak = Math.max(this.peak, this.getInitialNeed(serving, hasSpot))
      return
    }
    const {averageMs, peakDecayMs, growthFactor} = this.settings
    const needed = serving.reduce((sum, view) => sum + this.getNeed(view), 0)
    this.average += (needed - this.average) * (1 - Math.exp(-sinceMs / averageMs))
    const kept = this.peak * Math.exp(-sinceMs / peakDecayMs)
    const bounded = Math.min(this.average, serving.length * growthFactor)
    this.peak = Math.max(kept, bounded)
  }

  /// The total number of back ends wanted; undefined during discovery, or when the number is fixed.
  getWanted(scaling: ScalingRules | undefined, now: number): number | undefined {
    if (!scaling || !this.isDiscovered(now)) return undefined
    const maximum = scaling.max * Object.keys(scaling.zonePrices).length
    return Math.min(maximum, Math.ceil(this.peak))
  }

  private getInitialNeed(serving: readonly BackendView[], hasSpot: boolean): number {
    const factor = hasSpot ? this.settings.replacementFactor : 1
    return serving.reduce((sum, {record}) => sum + (record.isSpot ? 1 : factor), 0)
  }

  private isDiscovered(now: number): boolean {
    return this.startedAt !== undefined && now - this.startedAt >= this.settings.discoveryMs
  }

  /// The number of back ends that the requests in flight on this one need.
  private getNeed(view: BackendView): number {
    const {promptsPerEngine, slotShare} = this.settings
    const {stage, slots} = view.record
    return view.inFlight() / (stage === "prefill" ? promptsPerEngine : slots * slotShare)
  }
}
