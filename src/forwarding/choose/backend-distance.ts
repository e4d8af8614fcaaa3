/// What the way to a back end costs an attempt, beside what waits there. One object serves every choice of
/// back ends.
import type {DistanceCost, EngineLinks, Expense} from "../../places/distance-cost.js"
import type {DistanceClass} from "../../places/places.js"
import type {BackendChoice} from "./backend-choice.js"
import type {BackendView} from "../backends/backend-view.js"
import type {EngineTraits} from "../routes/route.js"

/// What the last answer counts in the learned time of a request: some twenty answers are looked back on. A
/// share.
const WORK_SHARE = 0.05

/// Requests on their way that nobody has told yet, as a part of the load: loads of other daemons are told
/// every 250 ms and passed on once, and a back end turns over some of its slots in that time.
const UNTOLD_LOAD_SHARE = 0.25

/// The ways from one daemon to the back ends.
export class BackendDistance {
  private readonly workMs = new Map<string, number>()
  private cutOff: ReadonlySet<string> = new Set()
  private readonly attempts: Record<DistanceClass, number> = {sameZone: 0, sameRegion: 0, otherRegion: 0}

  constructor(
    readonly ownZone: string,
    private readonly cost: DistanceCost
  ) {}

  /// Whether the fleet spans several regions. If not, choices count zones only.
  hasSeveralRegions(): boolean {
    return this.cost.places.hasSeveralRegions()
  }

  /// How far the back end is from this daemon.
  getDistance(view: BackendView): DistanceClass {
    return this.cost.places.getDistance(this.ownZone, view.record.zone)
  }

  /// The region of a back end outside the own region; undefined for one in it.
  getOtherRegion(view: BackendView): string | undefined {
    if (this.getDistance(view) !== "otherRegion") return undefined
    return this.cost.places.getRegion(view.record.zone)
  }

  /// Takes the regions to which this daemon has no way.
  setCutOff(regions: ReadonlySet<string>): void {
    this.cutOff = regions
  }

  /// Whether the back end lies in a region to which this daemon has no way.
  isCutOff(view: BackendView): boolean {
    if (this.cutOff.size === 0) return false
    const region = this.getOtherRegion(view)
    return region !== undefined && this.cutOff.has(region)
  }

  /// How far two back ends are apart.
  getDistanceBetween(one: BackendView, other: BackendView): DistanceClass {
    return this.cost.places.getDistance(one.record.zone, other.record.zone)
  }

  /// A call with so many bytes to the back end.
  getCall(view: BackendView, bytes: number): Expense {
    return this.cost.getCallExpense(this.ownZone, view.record.zone, bytes)
  }

  /// So many tokens of a KV cache copied between two engines.
  getMove(from: BackendView, to: BackendView, tokens: number, engine: EngineTraits | undefined): Expense {
    return this.cost.getCopyExpense(from.record.zone, to.record.zone, tokens, getLinks(engine))
  }

  /// Prompt tokens that an engine computes in a millisecond until its pace is known.
  getDefaultTokensPerMs(): number {
    return this.cost.settings.initialTokensPerMs
  }

  /// How long a request takes at a back end of this kind. Milliseconds.
  getWorkMs(view: BackendView): number {
    return this.workMs.get(getKind(view)) ?? this.cost.settings.initialWorkMs
  }

  /// What a request would wait for a slot there. Milliseconds.
  getSlotWaitMs(view: BackendView): number {
    const slots = Math.max(1, view.record.slots)
    const excess = Math.max(0, view.inFlight() + 1 - slots) / slots
    return this.getWorkMs(view) * (excess + (view.inFlight() / slots) * UNTOLD_LOAD_SHARE)
  }

  /// How long an answer takes there by the back end's own pace, the wait for a slot included. Milliseconds.
  getAnswerMs(view: BackendView): number {
    return (this.getWorkMs(view) + this.getSlotWaitMs(view)) * view.pace.factor()
  }

  /// An attempt was answered whole, so long after it was sent. In one region nothing depends on it.
  addAnswerSample({backend}: BackendChoice, ms: number): void {
    if (!this.hasSeveralRegions()) return
    const before = this.getWorkMs(backend)
    this.workMs.set(getKind(backend), before + (ms - before) * WORK_SHARE)
  }

  /// An attempt goes there.
  addAttempt(view: BackendView): void {
    this.attempts[this.getDistance(view)] += 1
  }

  /// Attempts planned since the start, by distance.
  getAttempts(): Readonly<Record<DistanceClass, number>> {
    return this.attempts
  }
}

function getKind({record}: BackendView): string {
  return `${record.service}/${record.stage ?? ""}`
}

function getLinks(engine: EngineTraits | undefined): EngineLinks | undefined {
  const {tokenBytes, linkMbps} = engine ?? {}
  return tokenBytes === undefined || linkMbps === undefined ? undefined : {tokenBytes, linkMbps}
}
