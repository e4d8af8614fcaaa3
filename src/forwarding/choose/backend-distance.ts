/// The cost of the distance between this daemon and a back end, on top of the load there. Owns the learned
/// request times, the regions that are cut off and the counts of attempts by distance; all choices of a
/// daemon share one object. Relies on the costs of src/places.
import type {DistanceCost, EngineLinks, Expense} from "../../places/distance-cost.js"
import type {DistanceClass} from "../../places/places.js"
import type {BackendChoice} from "./backend-choice.js"
import type {BackendView} from "../backends/backend-view.js"
import type {EngineTraits} from "../routes/route.js"

/// Weight of the latest answer in the learned time of a request: a moving average over some twenty answers. A
/// share.
const WORK_SAMPLE_WEIGHT = 0.05

/// Requests that no digest reports yet, as a part of the load: other daemons publish their loads every 250 ms
/// and a relay forwards them once, and a back end turns over some of its slots in that time.
const UNREPORTED_LOAD_SHARE = 0.25

/// Distances from one daemon to the back ends.
export class BackendDistance {
  private readonly workMs = new Map<string, number>()
  private cutOff: ReadonlySet<string> = new Set()
  private readonly attempts: Record<DistanceClass, number> = {sameZone: 0, sameRegion: 0, otherRegion: 0}

  constructor(
    readonly ownZone: string,
    private readonly cost: DistanceCost
  ) {}

  /// Whether the fleet spans several regions. If not, choices regard zones only.
  hasSeveralRegions(): boolean {
    return this.cost.places.hasSeveralRegions()
  }

  /// Distance from this daemon to the back end.
  getDistance(view: BackendView): DistanceClass {
    return this.cost.places.getDistance(this.ownZone, view.record.zone)
  }

  /// The region of a back end outside this daemon's region; undefined for one inside it.
  getOtherRegion(view: BackendView): string | undefined {
    if (this.getDistance(view) !== "otherRegion") return undefined
    return this.cost.places.getRegion(view.record.zone)
  }

  /// Sets the regions that this daemon cannot reach.
  setCutOff(regions: ReadonlySet<string>): void {
    this.cutOff = regions
  }

  /// Whether the back end is in a region that this daemon cannot reach.
  isCutOff(view: BackendView): boolean {
    if (this.cutOff.size === 0) return false
    const region = this.getOtherRegion(view)
    return region !== undefined && this.cutOff.has(region)
  }

  /// Distance between two back ends.
  getDistanceBetween(one: BackendView, other: BackendView): DistanceClass {
    return this.cost.places.getDistance(one.record.zone, other.record.zone)
  }

  /// Cost of a call of `bytes` to the back end.
  getCall(view: BackendView, bytes: number): Expense {
    return this.cost.getCallExpense(this.ownZone, view.record.zone, bytes)
  }

  /// Cost of copying `tokens` of a KV cache between two engines.
  getMove(from: BackendView, to: BackendView, tokens: number, engine: EngineTraits | undefined): Expense {
    return this.cost.getCopyExpense(from.record.zone, to.record.zone, tokens, getLinks(engine))
  }

  /// Prompt tokens that an engine is assumed to compute in a millisecond until its pace is known.
  getDefaultTokensPerMs(): number {
    return this.cost.settings.initialTokensPerMs
  }

  /// Average time of a request at back ends of the same service and stage. Milliseconds.
  getWorkMs(view: BackendView): number {
    return this.workMs.get(getWorkKey(view)) ?? this.cost.settings.initialWorkMs
  }

  /// Expected wait for a slot there. Milliseconds.
  getSlotWaitMs(view: BackendView): number {
    const slots = Math.max(1, view.record.slots)
    const excess = Math.max(0, view.inFlight() + 1 - slots) / slots
    return this.getWorkMs(view) * (excess + (view.inFlight() / slots) * UNREPORTED_LOAD_SHARE)
  }

  /// Expected time of an answer at the back end's own pace, the wait for a slot included. Milliseconds.
  getAnswerMs(view: BackendView): number {
    return (this.getWorkMs(view) + this.getSlotWaitMs(view)) * view.pace.factor()
  }

  /// Adds a sample: an attempt was answered completely `ms` after it was sent. Ignored in a fleet of one
  /// region, where nothing depends on it.
  addAnswerSample({backend}: BackendChoice, ms: number): void {
    if (!this.hasSeveralRegions()) return
    const before = this.getWorkMs(backend)
    this.workMs.set(getWorkKey(backend), before + (ms - before) * WORK_SAMPLE_WEIGHT)
  }

  /// Counts an attempt that is sent there.
  addAttempt(view: BackendView): void {
    this.attempts[this.getDistance(view)] += 1
  }

  /// Attempts since the start of the process, by distance.
  getAttempts(): Readonly<Record<DistanceClass, number>> {
    return this.attempts
  }
}

function getWorkKey({record}: BackendView): string {
  return `${record.service}/${record.stage ?? ""}`
}

function getLinks(engine: EngineTraits | undefined): EngineLinks | undefined {
  const {tokenBytes, linkMbps} = engine ?? {}
  return tokenBytes === undefined || linkMbps === undefined ? undefined : {tokenBytes, linkMbps}
}
