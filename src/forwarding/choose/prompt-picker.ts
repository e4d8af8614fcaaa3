/// Chooses the engine that computes a prompt: where it is computed soonest, counting the tokens that wait
/// there, those that its KV cache saves and those that it copies from another engine. A prompt that cannot be
/// in time anywhere gives way to those that can.
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

/// Prompt tokens over which an engine's pace is taken, and the fastest that is believed: none is known that
/// computes more.
const PACE_TOKENS = 10_000
const MAXIMUM_TOKENS_PER_MS = 1000

/// When an engine computes a prompt: before all that are overdue, or behind every prompt that waits there.
type PromptTurn = "inTime" | "overdue"

/// A prompt for which an engine is looked for.
interface PromptPlacement {
  readonly prompt: PromptOutline
  /// Id of the engine that keeps its shared parts; undefined when they are too short to have one.
  readonly home: string | undefined
  /// What its ways cost; undefined in a fleet of one region.
  readonly transfers: PromptTransfers | undefined
}

/// What a prompt would cost at one engine, in tokens.
interface PromptWork {
  /// To be computed there.
  readonly promptTokens: number
  /// The engine that it is copied from.
  readonly copyFrom: BackendView | undefined
  /// What it costs in all, shared parts that are read beside their home included.
  readonly cost: number
  /// What the way there, copies and the way to a decode engine cost.
  readonly distanceTokens: number
  /// Part of that which passes before the prompt is computed. Milliseconds.
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

  /// A prompt was computed as planned, so long after it was sent.
  addSample(choice: BackendChoice, ms: number): void {
    addPromptSample(choice, Math.max(0, ms - choice.distanceMs))
  }

  /// The best choice at one of these engines, of which there is at least one. A prompt that is not expected
  /// within its target anywhere is placed once more, behind those that are; when no engine has capacity for
  /// it, the choice is saturated.
  pick(
    prompt: PromptOutline,
    query: BackendQuery,
    able: readonly BackendView[],
    decodes: readonly BackendView[]
  ): BackendChoice {
    const transfers = this.distance.hasSeveralRegions()
      ? new PromptTransfers(this.distance, prompt, query, decodes)
      : undefined
    const placement = {prompt, home: this.findHome(prompt, query.service, able), transfers}
    const choice = this.pickCheapest(placement, able, "inTime")
    if (!this.isOverdue(choice, query)) return choice
    const withCapacity = able.filter(view => this.hasCapacityForOverdue(view, prompt, query.engine))
    if (withCapacity.length > 0) return this.pickCheapest(placement, withCapacity, "overdue")
    return {...this.pickCheapest(placement, able, "overdue"), saturated: true}
  }

  private isOverdue({expectedMs}: BackendChoice, {targetLeftMs}: BackendQuery): boolean {
    return expectedMs !== undefined && expectedMs > targetLeftMs * this.settings.onTimeShare
  }

  /// Every engine is weighed: what it keeps of the prompt it need not compute, what another engine keeps it
  /// copies from there, and what no engine keeps is computed once for all at the home.
  private pickCheapest(
    placement: PromptPlacement,
    candidates: readonly BackendView[],
    turn: PromptTurn
  ): BackendChoice {
    const {prompt, transfers} = placement
    const cacheHolders = this.findCacheHolders(prompt, candidates[0].record.service)
    let best = candidates[0]
    let bestWork: PromptWork | undefined
    let bestCost = Infinity
    let ownRegionCost = Infinity
    for (const backend of candidates) {
      const work = this.getWork(placement, backend, cacheHolders)
      const ownCost = work.cost * this.getPromptFactor(backend) * backend.pace.factor()
      const cost = this.getWaitingCost(backend, turn) + ownCost + work.distanceTokens
      if (this.distance.getDistance(backend) !== "otherRegion") ownRegionCost = Math.min(ownRegionCost, cost)
      if (cost >= bestCost) continue
      best = backend
      bestWork = work
      bestCost = cost
    }
    bestWork ??= this.getWork(placement, best, cacheHolders)
    const choice = this.makeChoice(best, bestWork, turn)
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
    const {
      minimumCopyTokens,
      minimumAffinityTokens,
      recomputeFactor: readAgainFactor,
      copyFactor
    } = this.settings
    const shared = getSharedTokens(prompt)
    const keptTokens = this.kvIndex.getKeptTokens(backend.record.id, prompt)
    const cacheHolder = transfers ? transfers.pickCacheHolder(cacheHolders, backend) : cacheHolders[0]
    const missing = (cacheHolder?.tokens ?? 0) - keptTokens
    const copiedTokens = missing >= minimumCopyTokens ? missing : 0
    const promptTokens = prompt.promptTokens - keptTokens - copiedTokens
    const coldTokens = Math.max(0, shared - keptTokens - copiedTokens)
    const atHome = backend.record.id === home
    const readElsewhere = atHome || shared < minimumAffinityTokens ? 0 : coldTokens * (readAgainFactor - 1)
    const copyCost = transfers ? 0 : copiedTokens * copyFactor
    const cost = promptTokens + readElsewhere + copyCost
    const copyFrom = copiedTokens > 0 ? cacheHolder?.backend : undefined
    const transfer = transfers?.getTransfer(backend, copyFrom, copiedTokens)
    const distanceTokens = transfer ? transfer.costMs * this.getTokensPerMs(backend) : 0
    const reason = copiedTokens > 0 ? "copy" : keptTokens > 0 ? "kept" : atHome ? "home" : "spill"
    return {promptTokens, copyFrom, cost, distanceTokens, distanceMs: transfer?.timeMs ?? 0, reason}
  }

  private makeChoice(
    backend: BackendView,
    {promptTokens, copyFrom, distanceMs, reason}: PromptWork,
    turn: PromptTurn
  ): BackendChoice {
    const queuedTokens = getWaitingTokens(backend, turn) + promptTokens
    const computedMs = this.getExpectedMs(backend, queuedTokens)
    return {
      backend,
      promptTokens,
      copyFrom: copyFrom?.record,
      prefillOnly: backend.record.stage === "prefill",
      queuedTokens,
      expectedMs: computedMs === undefined ? undefined : computedMs + distanceMs,
      overdue: turn === "overdue",
      saturated: false,
      distanceMs,
      reason
    }
  }

  /// Prompts of others are taken to be as long as this one.
  private hasCapacityForOverdue(
    view: BackendView,
    prompt: PromptOutline,
    engine: EngineTraits | undefined
  ): boolean {
    if (!engine) return true
    const requests = view.inFlight() + 1
    const {overdueCapacityShare: lateRoomShare} = this.settings
    const memory = requests * prompt.promptTokens <= engine.kvCapacityTokens * lateRoomShare
    return memory && requests <= engine.slots * lateRoomShare
  }

  /// The engines of the service that keep some of the prompt, of whatever stage; one that keeps most of it is
  /// the first.
  private findCacheHolders(prompt: PromptOutline, service: string): readonly CacheHolder[] {
    const cacheHolders: CacheHolder[] = []
    let most = 0
    for (const backend of this.directory.ofService(service)) {
      if (backend.removed || backend.health.hasLostContact() || this.distance.isCutOff(backend)) continue
      const tokens = this.kvIndex.getKeptTokens(backend.record.id, prompt)
      if (tokens > most) {
        most = tokens
        cacheHolders.unshift({backend, tokens})
      } else if (tokens > 0) cacheHolders.push({backend, tokens})
    }
    return cacheHolders
  }

  /// The engine that keeps the shared parts: the same for every daemon of a region, also while it is avoided
  /// for a moment. A region without such engines shares the homes of all.
  private findHome(prompt: PromptOutline, service: string, able: readonly BackendView[]): string | undefined {
    if (getSharedTokens(prompt) < this.settings.minimumAffinityTokens) return undefined
    const {stage} = able[0].record
    const views = this.directory
      .ofService(service)
      .filter(view => view.takesWork() && view.record.stage === stage)
    const own = this.settings.homesByRegion
      ? views.filter(view => this.distance.getDistance(view) !== "otherRegion")
      : []
    const ids = (own.length > 0 ? own : views).map(view => view.record.id)
    return pickByRendezvous(getSharedKey(prompt), ids)
  }

  /// Time that a token of a prompt takes, in tokens of a prefill engine.
  private getPromptFactor(view: BackendView): number {
    return view.record.stage === "prefill" ? 1 : this.settings.decodePromptFactor
  }

  /// What a prompt waits for there, and what one more request costs, in tokens of an average prefill engine.
  getWaitingCost(view: BackendView, turn: PromptTurn = "inTime"): number {
    const tokens = getWaitingTokens(view, turn)
    const requestCost = (view.inFlight() + 1) * this.settings.requestCostTokens
    return (tokens * this.getPromptFactor(view) + requestCost) * view.pace.factor()
  }

  /// What a request would wait for at a decode engine, the way there and that of the KV cache from its source
  /// included. Milliseconds.
  getDecodeMs(view: BackendView, query: BackendQuery, source: BackendView | undefined): number {
    const {distance} = this
    const waitingMs = this.getWaitingCost(view) / this.getTokensPerMs(view) + distance.getAnswerMs(view)
    const callMs = distance.getCall(view, getCallBytes(query)).costMs
    if (!source) return waitingMs + callMs
    const tokens = query.prompt?.promptTokens ?? 0
    return waitingMs + callMs + distance.getMove(source, view, tokens, query.engine).costMs
  }

  /// Tokens of a prompt that an average engine of the group computes in a millisecond.
  private getTokensPerMs({record}: BackendView): number {
    const {paces} = this.directory
    const group = getPaceGroup(record, "prompt")
    const none = paces.getGroupMs(group, 0)
    const many = paces.getGroupMs(group, PACE_TOKENS)
    if (none === undefined || many === undefined) return this.distance.getDefaultTokensPerMs()
    return Math.min(MAXIMUM_TOKENS_PER_MS, PACE_TOKENS / Math.max(1, many - none))
  }

  /// The time of the engine's group, by its own pace.
  private getExpectedMs({record, pace}: BackendView, tokens: number): number | undefined {
    const groupMs = this.directory.paces.getGroupMs(getPaceGroup(record, "prompt"), tokens)
    return groupMs === undefined ? undefined : groupMs * pace.factor()
  }
}

/// Tokens that go before those of a new prompt.
function getWaitingTokens(view: BackendView, turn: PromptTurn): number {
  return view.pendingTokens() + (turn === "overdue" ? view.overdueTokens() : 0)
}
