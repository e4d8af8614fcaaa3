/// Chooses the engine that computes a prompt: the one where it is computed soonest, given the tokens that
/// wait there, those that its KV cache saves and those that it copies from another engine. A prompt that
/// cannot meet its target anywhere waits behind those that can. Owns no state but relies on the KV index, the
/// directory and the pace tracker.
import {pickByRendezvous} from "../../shared/rendezvous-hash.js"
import {addPromptSample, getPaceGroup} from "../pace/attempt-pace.js"
import type {BackendDistance} from "./backend-distance.js"
import type {BackendDirectory} from "../backends/backend-directory.js"
import type {BackendPickerSettings} from "./backend-picker-settings.js"
import {getCallBytes, type BackendChoice, type BackendQuery, type ChoiceReason} from "./backend-choice.js"
import type {BackendView} from "../backends/backend-view.js"
import {getSharedKey, getSharedTokens, type PromptOutline} from "../forward-request.js"
import type {KvIndex} from "../kv-cache/kv-index.js"
import {PromptTransfers, type CacheHolder} from "./prompt-transfers.js"
import type {EngineTraits} from "../routes/route.js"
import type {StreamOrigin} from "../../streams/stream-origin.js"

/// Size of the prompt from which the tokens per millisecond of a group are estimated, and the upper bound of
/// the estimate: no known engine is faster.
const PACE_TOKENS = 10_000
const MAXIMUM_TOKENS_PER_MS = 1000

/// Position of a prompt in an engine's queue: before all overdue prompts, or behind every prompt that waits
/// there.
type PromptPriority = "inTime" | "overdue"

/// A prompt to be placed.
interface PromptPlacement {
  readonly prompt: PromptOutline
  /// Id of the home engine of its shared parts; undefined when they are too short to have one.
  readonly home: string | undefined
  /// Costs of its transfers; undefined in a fleet of one region.
  readonly transfers: PromptTransfers | undefined
  /// Where the stream began that the request continues: the KV cache of other versions is not copied.
  readonly origin: StreamOrigin | undefined
}

/// Cost of a prompt at one engine. In tokens, unless stated otherwise.
interface PromptWork {
  /// To be computed there.
  readonly promptTokens: number
  /// The engine that it is copied from.
  readonly copyFrom: BackendView | undefined
  /// Total cost of computing and copying, with the surcharge for shared parts computed outside their home.
  readonly cost: number
  /// Cost of the transfers: the call, copies and the hand-over to a decode engine.
  readonly distanceTokens: number
  /// Time of the transfers before the prompt is computed. Milliseconds.
  readonly distanceMs: number
  readonly reason: ChoiceReason
}

/// Chooses engines for prompts.
export class PromptPicker {
  constructor(
    private readonly settings: BackendPickerSettings,
    private readonly directory: BackendDirectory,
    private readonly kvIndex: KvIndex,
    private readonly distance: BackendDistance
  ) {}

  /// Adds a sample: a prompt was computed as planned, `ms` after it was sent.
  addSample(choice: BackendChoice, ms: number): void {
    addPromptSample(choice, Math.max(0, ms - choice.distanceMs))
  }

  /// Returns the cheapest choice among the engines in `eligible`, which must not be empty. A prompt that is
  /// not expected within its target at the chosen engine is placed again as overdue, behind those that are.
  /// When no engine has capacity for overdue prompts, the choice is marked as saturated.
  pick(
    prompt: PromptOutline,
    query: BackendQuery,
    eligible: readonly BackendView[],
    decodes: readonly BackendView[]
  ): BackendChoice {
    const transfers = this.distance.hasSeveralRegions()
      ? new PromptTransfers(this.distance, prompt, query, decodes)
      : undefined
    const home = this.findHome(prompt, query.service, eligible)
    const placement = {prompt, home, transfers, origin: query.origin}
    const choice = this.pickCheapest(placement, eligible, "inTime")
    if (!this.isOverdue(choice, query)) return choice
    const withCapacity = eligible.filter(view => this.hasCapacityForOverdue(view, prompt, query.engine))
    if (withCapacity.length > 0) return this.pickCheapest(placement, withCapacity, "overdue")
    return {...this.pickCheapest(placement, eligible, "overdue"), saturated: true}
  }

  private isOverdue({expectedMs}: BackendChoice, {targetLeftMs}: BackendQuery): boolean {
    return expectedMs !== undefined && expectedMs > targetLeftMs * this.settings.onTimeShare
  }

  /// Compares the cost at every candidate. Tokens in the candidate's KV cache are not computed again, those
  /// in another engine's cache are copied, and shared parts that no engine keeps are cheapest at their home,
  /// so that they are computed once for all.
  private pickCheapest(
    placement: PromptPlacement,
    candidates: readonly BackendView[],
    priority: PromptPriority
  ): BackendChoice {
    const {transfers} = placement
    const cacheHolders = this.findCacheHolders(placement, candidates[0].record.service)
    let best = candidates[0]
    let bestWork: PromptWork | undefined
    let bestCost = Infinity
    let ownRegionCost = Infinity
    for (const backend of candidates) {
      const work = this.getWork(placement, backend, cacheHolders)
      const computeCost = work.cost * this.getPromptFactor(backend) * backend.pace.factor()
      const cost = this.getWaitingCost(backend, priority) + computeCost + work.distanceTokens
      if (this.distance.getDistance(backend) !== "otherRegion") ownRegionCost = Math.min(ownRegionCost, cost)
      if (cost >= bestCost) continue
      best = backend
      bestWork = work
      bestCost = cost
    }
    bestWork ??= this.getWork(placement, best, cacheHolders)
    const choice = this.makeChoice(best, bestWork, priority)
    if (!transfers) return choice
    const tokensPerMs = this.getTokensPerMs(best)
    const ownRegionMs = ownRegionCost < Infinity ? ownRegionCost / tokensPerMs : undefined
    return {...choice, costMs: bestCost / tokensPerMs, ownRegionMs}
  }

  private getWork(
    {prompt, home, transfers}: PromptPlacement,
    backend: BackendView,
    cacheHolders: readonly CacheHolder[]
  ): PromptWork {
    const {minimumCopyTokens, minimumAffinityTokens, recomputeFactor, copyFactor} = this.settings
    const shared = getSharedTokens(prompt)
    const keptTokens = this.kvIndex.getKeptTokens(backend.record.id, prompt)
    const cacheHolder = transfers ? transfers.pickCacheHolder(cacheHolders, backend) : cacheHolders[0]
    const missingTokens = (cacheHolder?.tokens ?? 0) - keptTokens
    const copiedTokens = missingTokens >= minimumCopyTokens ? missingTokens : 0
    const promptTokens = prompt.promptTokens - keptTokens - copiedTokens
    const uncachedTokens = Math.max(0, shared - keptTokens - copiedTokens)
    const atHome = backend.record.id === home
    const recomputeCost =
      atHome || shared < minimumAffinityTokens ? 0 : uncachedTokens * (recomputeFactor - 1)
    const copyCost = transfers ? 0 : copiedTokens * copyFactor
    const cost = promptTokens + recomputeCost + copyCost
    const copyFrom = copiedTokens > 0 ? cacheHolder?.backend : undefined
    const transfer = transfers?.getTransfer(backend, copyFrom, copiedTokens)
    const distanceTokens = transfer ? transfer.costMs * this.getTokensPerMs(backend) : 0
    const reason = copiedTokens > 0 ? "copy" : keptTokens > 0 ? "kept" : atHome ? "home" : "spill"
    return {promptTokens, copyFrom, cost, distanceTokens, distanceMs: transfer?.timeMs ?? 0, reason}
  }

  private makeChoice(
    backend: BackendView,
    {promptTokens, copyFrom, distanceMs, reason}: PromptWork,
    priority: PromptPriority
  ): BackendChoice {
    const queuedTokens = getWaitingTokens(backend, priority) + promptTokens
    const computedMs = this.getExpectedMs(backend, queuedTokens)
    return {
      backend,
      promptTokens,
      copyFrom: copyFrom?.record,
      prefillOnly: backend.record.stage === "prefill",
      queuedTokens,
      expectedMs: computedMs === undefined ? undefined : computedMs + distanceMs,
      overdue: priority === "overdue",
      saturated: false,
      distanceMs,
      reason
    }
  }

  /// Assumes that the other prompts there are as long as this one.
  private hasCapacityForOverdue(
    view: BackendView,
    prompt: PromptOutline,
    engine: EngineTraits | undefined
  ): boolean {
    if (!engine) return true
    const requests = view.inFlight() + 1
    const {overdueCapacityShare} = this.settings
    const fitsMemory = requests * prompt.promptTokens <= engine.kvCapacityTokens * overdueCapacityShare
    return fitsMemory && requests <= engine.slots * overdueCapacityShare
  }

  /// The engines of the service, of any stage, that keep some of the prompt; the first one keeps most of it.
  private findCacheHolders({prompt, origin}: PromptPlacement, service: string): readonly CacheHolder[] {
    const cacheHolders: CacheHolder[] = []
    let most = 0
    for (const backend of this.directory.ofService(service)) {
      if (backend.removed || backend.health.hasLostContact() || this.distance.isCutOff(backend)) continue
      if (origin && !this.directory.mayContinue(backend.record, origin)) continue
      const tokens = this.kvIndex.getKeptTokens(backend.record.id, prompt)
      if (tokens > most) {
        most = tokens
        cacheHolders.unshift({backend, tokens})
      } else if (tokens > 0) cacheHolders.push({backend, tokens})
    }
    return cacheHolders
  }

  /// The home engine of the shared parts: the same one for every daemon of a region, also while it is
  /// ejected. A region without engines of this stage uses the homes of the whole fleet.
  private findHome(
    prompt: PromptOutline,
    service: string,
    eligible: readonly BackendView[]
  ): string | undefined {
    if (getSharedTokens(prompt) < this.settings.minimumAffinityTokens) return undefined
    const {stage} = eligible[0].record
    const views = this.directory
      .ofService(service)
      .filter(view => view.takesWork() && view.record.stage === stage)
    const local = this.settings.homesByRegion
      ? views.filter(view => this.distance.getDistance(view) !== "otherRegion")
      : []
    const ids = (local.length > 0 ? local : views).map(view => view.record.id)
    return pickByRendezvous(getSharedKey(prompt), ids)
  }

  /// Time of a prompt token there, relative to a prefill engine.
  private getPromptFactor(view: BackendView): number {
    return view.record.stage === "prefill" ? 1 : this.settings.decodePromptFactor
  }

  /// Cost of the tokens that a new prompt waits for there and of one more request, in tokens of an average
  /// prefill engine.
  getWaitingCost(view: BackendView, priority: PromptPriority = "inTime"): number {
    const tokens = getWaitingTokens(view, priority)
    const requestCost = (view.inFlight() + 1) * this.settings.requestCostTokens
    return (tokens * this.getPromptFactor(view) + requestCost) * view.pace.factor()
  }

  /// Expected time of a request at a decode engine, with the call and the copy of the KV cache from its
  /// source. Milliseconds.
  getDecodeMs(view: BackendView, query: BackendQuery, source: BackendView | undefined): number {
    const {distance} = this
    const waitingMs = this.getWaitingCost(view) / this.getTokensPerMs(view) + distance.getAnswerMs(view)
    const callMs = distance.getCall(view, getCallBytes(query)).costMs
    if (!source) return waitingMs + callMs
    const tokens = query.prompt?.promptTokens ?? 0
    return waitingMs + callMs + distance.getMove(source, view, tokens, query.engine).costMs
  }

  /// Prompt tokens that an average engine of the group computes in a millisecond.
  private getTokensPerMs({record}: BackendView): number {
    const {paces} = this.directory
    const group = getPaceGroup(record, "prompt")
    const baseMs = paces.getGroupMs(group, 0)
    const loadedMs = paces.getGroupMs(group, PACE_TOKENS)
    if (baseMs === undefined || loadedMs === undefined) return this.distance.getDefaultTokensPerMs()
    return Math.min(MAXIMUM_TOKENS_PER_MS, PACE_TOKENS / Math.max(1, loadedMs - baseMs))
  }

  /// Expected time for `tokens`: that of the engine's group, scaled by the engine's pace.
  private getExpectedMs({record, pace}: BackendView, tokens: number): number | undefined {
    const groupMs = this.directory.paces.getGroupMs(getPaceGroup(record, "prompt"), tokens)
    return groupMs === undefined ? undefined : groupMs * pace.factor()
  }
}

/// Tokens that are computed before those of a new prompt.
function getWaitingTokens(view: BackendView, priority: PromptPriority): number {
  return view.pendingTokens() + (priority === "overdue" ? view.overdueTokens() : 0)
}
