/// Chooses the engine that computes a prompt: where it is computed soonest, counting the tokens that wait there, those
/// that its KV cache saves and those that it copies from another engine. A prompt that cannot be in time anywhere gives
/// way to those that can.
import {pickByRendezvous} from "../shared/rendezvous-hash.js"
import {addPromptSample, getPaceGroup} from "./attempt-pace.js"
import type {BackendDirectory} from "./backend-directory.js"
import type {BackendPickerSettings} from "./backend-picker-settings.js"
import type {BackendPlan, BackendWanted, PlanReason} from "./backend-plan.js"
import type {BackendView} from "./backend-view.js"
import {sharedKey, sharedTokens, type PromptOutline} from "./forward-request.js"
import type {KvIndex} from "./kv-index.js"
import type {EngineTraits} from "./route.js"

/// An engine and the tokens of a prompt that it keeps.
interface Keeper {
  readonly backend: BackendView
  readonly tokens: number
}

/// What a prompt would cost at one engine, in tokens.
interface PromptWork {
  /// To be computed there.
  readonly promptTokens: number
  /// Copied from the keeper.
  readonly copiedTokens: number
  /// What it costs in all, shared parts that are read beside their home included.
  readonly cost: number
  readonly reason: PlanReason
}

/// Chooses engines for prompts.
export class PromptPicker {
  constructor(
    private readonly settings: BackendPickerSettings,
    private readonly directory: BackendDirectory,
    private readonly kvIndex: KvIndex
  ) {}

  /// A prompt was computed as planned, so long after it was sent.
  addSample(plan: BackendPlan, ms: number): void {
    addPromptSample(plan, ms)
  }

  /// The best plan at one of these engines, of which there is at least one.
  pick(prompt: PromptOutline, wanted: BackendWanted, able: readonly BackendView[]): BackendPlan {
    const home = this.findHome(prompt, wanted.service, able)
    const plan = this.pickCheapest(prompt, able, home, false)
    const late =
      plan.expectedMs !== undefined && plan.expectedMs > wanted.targetLeftMs * this.settings.onTimeShare
    if (!late) return plan
    const roomy = able.filter(view => this.hasRoomForLate(view, prompt, wanted.engine))
    if (roomy.length > 0) return this.pickCheapest(prompt, roomy, home, true)
    return {...this.pickCheapest(prompt, able, home, true), full: true}
  }

  /// Every engine is weighed: what it keeps of the prompt it need not compute, what another engine keeps it copies from
  /// there, and what no engine keeps is computed once for all at the home.
  private pickCheapest(
    prompt: PromptOutline,
    candidates: readonly BackendView[],
    home: string | undefined,
    late: boolean
  ): BackendPlan {
    const keeper = this.findKeeper(prompt, candidates[0].record.service)
    let best = candidates[0]
    let bestWork = this.getWork(prompt, best, keeper, home)
    let bestCost = Infinity
    for (const backend of candidates) {
      const work = this.getWork(prompt, backend, keeper, home)
      const ownCost = work.cost * this.getPromptFactor(backend) * backend.pace.factor()
      const cost = this.getWaitingCost(backend, late) + ownCost
      if (cost >= bestCost) continue
      best = backend
      bestWork = work
      bestCost = cost
    }
    return this.makePlan(best, bestWork, keeper, late)
  }

  private getWork(
    prompt: PromptOutline,
    backend: BackendView,
    keeper: Keeper | undefined,
    home: string | undefined
  ): PromptWork {
    const {minimumCopyTokens, minimumAffinityTokens, readAgainFactor, copyFactor} = this.settings
    const shared = sharedTokens(prompt)
    const keptTokens = this.kvIndex.getKeptTokens(backend.record.id, prompt)
    const missing = (keeper?.tokens ?? 0) - keptTokens
    const copiedTokens = missing >= minimumCopyTokens ? missing : 0
    const promptTokens = prompt.promptTokens - keptTokens - copiedTokens
    const coldTokens = Math.max(0, shared - keptTokens - copiedTokens)
    const atHome = backend.record.id === home
    const readElsewhere = atHome || shared < minimumAffinityTokens ? 0 : coldTokens * (readAgainFactor - 1)
    const cost = promptTokens + readElsewhere + copiedTokens * copyFactor
    const reason = copiedTokens > 0 ? "copy" : keptTokens > 0 ? "kept" : atHome ? "home" : "spill"
    return {promptTokens, copiedTokens, cost, reason}
  }

  private makePlan(
    backend: BackendView,
    {promptTokens, copiedTokens, reason}: PromptWork,
    keeper: Keeper | undefined,
    late: boolean
  ): BackendPlan {
    const queuedTokens = getWaitingTokens(backend, late) + promptTokens
    return {
      backend,
      promptTokens,
      copyFrom: copiedTokens > 0 ? keeper?.backend.record : undefined,
      prefillOnly: backend.record.stage === "prefill",
      queuedTokens,
      expectedMs: this.getExpectedMs(backend, queuedTokens),
      late,
      full: false,
      reason
    }
  }

  /// Prompts of others are taken to be as long as this one.
  private hasRoomForLate(
    view: BackendView,
    prompt: PromptOutline,
    engine: EngineTraits | undefined
  ): boolean {
    if (!engine) return true
    const requests = view.inFlight() + 1
    const {lateRoomShare} = this.settings
    const memory = requests * prompt.promptTokens <= engine.kvCapacityTokens * lateRoomShare
    return memory && requests <= engine.slots * lateRoomShare
  }

  /// The engine of the service that keeps most of the prompt, of whatever stage; the first among equals.
  private findKeeper(prompt: PromptOutline, service: string): Keeper | undefined {
    let best: Keeper | undefined
    for (const backend of this.directory.ofService(service)) {
      if (backend.gone || backend.unreachable()) continue
      const tokens = this.kvIndex.getKeptTokens(backend.record.id, prompt)
      if (tokens > (best?.tokens ?? 0)) best = {backend, tokens}
    }
    return best
  }

  /// The engine that keeps the shared parts: the same for every daemon, also while it is avoided for a moment.
  private findHome(prompt: PromptOutline, service: string, able: readonly BackendView[]): string | undefined {
    if (sharedTokens(prompt) < this.settings.minimumAffinityTokens) return undefined
    const {stage} = able[0].record
    const ids = this.directory
      .ofService(service)
      .filter(view => view.takesWork() && view.record.stage === stage)
      .map(view => view.record.id)
    return pickByRendezvous(sharedKey(prompt), ids)
  }

  /// Time that a token of a prompt takes, in tokens of a prefill engine.
  private getPromptFactor(view: BackendView): number {
    return view.record.stage === "prefill" ? 1 : this.settings.decodePromptFactor
  }

  /// What a prompt waits for there, and what one more request costs, in tokens of an average prefill engine.
  getWaitingCost(view: BackendView, late = false): number {
    const tokens = getWaitingTokens(view, late)
    const requestCost = (view.inFlight() + 1) * this.settings.requestCostTokens
    return (tokens * this.getPromptFactor(view) + requestCost) * view.pace.factor()
  }

  /// The time of the engine's group, by its own pace.
  private getExpectedMs({record, pace}: BackendView, tokens: number): number | undefined {
    const groupMs = this.directory.paces.getGroupMs(getPaceGroup(record, "prompt"), tokens)
    return groupMs === undefined ? undefined : groupMs * pace.factor()
  }
}

/// Tokens that go before those of a new prompt.
function getWaitingTokens(view: BackendView, late: boolean): number {
  return view.pendingTokens() + (late ? view.lateTokens() : 0)
}
