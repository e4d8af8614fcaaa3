/// The costs of one prompt's transfers in a fleet of several regions: the calls to the engine that computes
/// it and to the one that generates, copies of shared parts, and the hand-over of the KV cache between the
/// two. Caches its results by zone; relies on `BackendDistance` for the costs.
import type {Expense} from "../../places/distance-cost.js"
import {DISTANCE_CLASSES} from "../../places/places.js"
import type {BackendDistance} from "./backend-distance.js"
import {getCallBytes, type BackendQuery} from "./backend-choice.js"
import type {BackendView} from "../backends/backend-view.js"
import type {PromptOutline} from "../forward-request.js"

/// An engine and the tokens of a prompt that its KV cache holds.
export interface CacheHolder {
  readonly backend: BackendView
  readonly tokens: number
}

/// The transfers of one prompt.
export class PromptTransfers {
  private readonly callBytes: number
  private readonly cacheHolderByZone = new Map<string, CacheHolder | undefined>()
  private readonly handOverByZone = new Map<string, Expense>()

  constructor(
    private readonly distance: BackendDistance,
    private readonly prompt: PromptOutline,
    private readonly query: BackendQuery,
    private readonly decodes: readonly BackendView[]
  ) {
    this.callBytes = getCallBytes(query)
  }

  /// Returns the engine to copy from: the nearest of those that keep most of the prompt.
  pickCacheHolder(cacheHolders: readonly CacheHolder[], backend: BackendView): CacheHolder | undefined {
    const {zone} = backend.record
    if (!this.cacheHolderByZone.has(zone))
      this.cacheHolderByZone.set(zone, this.findCacheHolder(cacheHolders, backend))
    return this.cacheHolderByZone.get(zone)
  }

  private findCacheHolder(
    cacheHolders: readonly CacheHolder[],
    backend: BackendView
  ): CacheHolder | undefined {
    let best: CacheHolder | undefined
    for (const cacheHolder of cacheHolders) {
      if (best && cacheHolder.tokens < best.tokens) continue
      if (best && cacheHolder.tokens === best.tokens && !this.isNearer(cacheHolder, best, backend)) continue
      best = cacheHolder
    }
    return best
  }

  /// Cost of all transfers of the prompt if this engine computes it after copying `copiedTokens`.
  getTransfer(backend: BackendView, copyFrom: BackendView | undefined, copiedTokens: number): Expense {
    const {distance, query} = this
    const call = distance.getCall(backend, this.callBytes)
    const copy = copyFrom ? distance.getMove(copyFrom, backend, copiedTokens, query.engine) : undefined
    const handOverMs = backend.record.stage === "prefill" ? this.getHandOver(backend).costMs : 0
    return {
      timeMs: call.timeMs + (copy?.timeMs ?? 0),
      costMs: call.costMs + (copy?.costMs ?? 0) + handOverMs
    }
  }

  /// Cost of the second call and the hand-over, to the decode engine where both are cheapest.
  private getHandOver(backend: BackendView): Expense {
    const {zone} = backend.record
    let handOver = this.handOverByZone.get(zone)
    if (!handOver) this.handOverByZone.set(zone, (handOver = this.findHandOver(backend)))
    return handOver
  }

  private findHandOver(backend: BackendView): Expense {
    const {distance, prompt, query} = this
    let best: Expense = {timeMs: Infinity, costMs: Infinity}
    const tried = new Set<string>()
    for (const decode of this.decodes) {
      if (tried.has(decode.record.zone)) continue
      tried.add(decode.record.zone)
      const call = distance.getCall(decode, this.callBytes)
      const move = distance.getMove(backend, decode, prompt.promptTokens, query.engine)
      const costMs = call.costMs + move.costMs
      if (costMs < best.costMs) best = {timeMs: call.timeMs + move.timeMs, costMs}
    }
    return best
  }

  private isNearer(one: CacheHolder, other: CacheHolder, backend: BackendView): boolean {
    const [first, second] = [one, other].map(({backend: cacheHolder}) =>
      DISTANCE_CLASSES.indexOf(this.distance.getDistanceBetween(cacheHolder, backend))
    )
    return first < second
  }
}
