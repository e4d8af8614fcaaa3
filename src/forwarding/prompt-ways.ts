/// What the ways of one prompt cost in a fleet of several regions: the calls to the engine that computes it and to the one that
/// generates, copies of shared parts, and the hand-over between the two.
import type {Expense} from "../places/distance-cost.js"
import {DISTANCE_CLASSES} from "../places/places.js"
import type {BackendDistance} from "./backend-distance.js"
import {getCallBytes, type BackendWanted} from "./backend-plan.js"
import type {BackendView} from "./backend-view.js"

/// An engine and the tokens of a prompt that it keeps.
export interface Keeper {
  readonly backend: BackendView
  readonly tokens: number
}

/// The ways of one prompt.
export class PromptWays {
  private readonly callBytes: number
  private readonly restByZone = new Map<string, number>()

  constructor(
    private readonly distance: BackendDistance,
    private readonly wanted: BackendWanted,
    private readonly decodes: readonly BackendView[],
    /// What generating at the one engine costs when the other has computed the prompt: work that waits there, the second call
    /// and the hand-over. Milliseconds.
    private readonly getDecodeMs: (decode: BackendView, source: BackendView) => number
  ) {
    this.callBytes = getCallBytes(wanted)
  }

  /// Whom the engine copies from: the one that keeps most, the nearest of these.
  pickKeeper(keepers: readonly Keeper[], backend: BackendView): Keeper | undefined {
    let best: Keeper | undefined
    for (const keeper of keepers) {
      if (best && keeper.tokens < best.tokens) continue
      if (best && keeper.tokens === best.tokens && !this.isNearer(keeper, best, backend)) continue
      best = keeper
    }
    return best
  }

  /// The whole way of the prompt if this engine computes it, and copies so many tokens first.
  getWay(backend: BackendView, copyFrom: BackendView | undefined, copiedTokens: number): Expense {
    const {distance, wanted} = this
    const call = distance.getCall(backend, this.callBytes)
    const copy = copyFrom ? distance.getMove(copyFrom, backend, copiedTokens, wanted.engine) : undefined
    const restMs = backend.record.stage === "prefill" ? this.getRestMs(backend) : 0
    return {
      timeMs: call.timeMs + (copy?.timeMs ?? 0),
      costMs: call.costMs + (copy?.costMs ?? 0) + restMs
    }
  }

  /// What follows at the decode engine that suits the engine's zone best. Milliseconds.
  private getRestMs(backend: BackendView): number {
    const {zone} = backend.record
    let restMs = this.restByZone.get(zone)
    if (restMs === undefined) {
      restMs = Math.min(...this.decodes.map(decode => this.getDecodeMs(decode, backend)))
      this.restByZone.set(zone, restMs)
    }
    return restMs
  }

  private isNearer(one: Keeper, other: Keeper, backend: BackendView): boolean {
    const [first, second] = [one, other].map(({backend: keeper}) =>
      DISTANCE_CLASSES.indexOf(this.distance.getDistanceBetween(keeper, backend))
    )
    return first < second
  }
}
