/// Chooses the back end of an attempt. Plain back ends: the least loaded of a few drawn. Model engines: the one
/// where the prompt is computed soonest, counting the tokens that wait there and those that its KV cache saves.
import type {RandomSource} from "../shared/random.js"
import {pickByRendezvous} from "../shared/rendezvous-hash.js"
import type {BackendDirectory} from "./backend-directory.js"
import type {BackendView} from "./backend-view.js"
import type {BackendRecord, EngineTraits} from "./route.js"
import {sharedKey, sharedTokens, type PromptOutline} from "./forward-request.js"
import type {KvIndex} from "./kv-index.js"
import {PromptPace, type PromptPaceSettings, DEFAULT_PROMPT_PACE_SETTINGS} from "./prompt-pace.js"

/// Settings of the choice.
export interface BackendPickerSettings {
  /// Back ends drawn for a choice among many. Default 3.
  readonly draws: number
  /// Shared prompts of at least so many tokens have a home. Default 1000.
  readonly minimumAffinityTokens: number
  /// How much slower a decode engine computes prompts than a prefill engine. Default 2.
  readonly decodePromptFactor: number
  /// Shared parts read again delay others too: they weigh so much more than their tokens. Default 4.
  readonly readAgainFactor: number
  /// What a token costs that is copied from another engine's KV cache, in tokens that are computed. Default 0.05.
  readonly copyFactor: number
  /// A copy is asked for when it saves so many tokens. Default 256.
  readonly minimumCopyTokens: number
  /// What one request on an engine costs another, in prompt tokens. Default 60.
  readonly requestCostTokens: number
  /// Longer prompts are computed by prefill engines while there is one: on a decode engine they would hold up
  /// the tokens of every other stream. Default 300.
  readonly decodePromptTokens: number
  /// What another zone costs, in requests per slot for plain back ends. Default 0.1.
  readonly otherZoneCost: number
  /// A prompt is expected to be in time when it is expected within this share of the time left. Default 0.6.
  readonly onTimeShare: number
  /// Part of an engine's KV cache and slots that prompts may take before late ones find no room. An engine that runs
  /// out of memory puts back what it has begun to read. Default 0.7.
  readonly lateRoomShare: number
  /// How the engines' pace is learned.
  readonly pace: PromptPaceSettings
}

/// Default settings.
export const DEFAULT_BACKEND_PICKER_SETTINGS: BackendPickerSettings = {
  draws: 3,
  minimumAffinityTokens: 1000,
  decodePromptFactor: 2,
  readAgainFactor: 4,
  copyFactor: 0.05,
  minimumCopyTokens: 256,
  requestCostTokens: 60,
  decodePromptTokens: 300,
  otherZoneCost: 0.1,
  onTimeShare: 0.6,
  lateRoomShare: 0.7,
  pace: DEFAULT_PROMPT_PACE_SETTINGS
}

/// Why a back end was chosen: the least loaded, or with regard to the shared parts of the prompt.
export type PlanReason = "least-loaded" | "home" | "kept" | "copy" | "spill"

/// Where an attempt goes.
export interface BackendPlan {
  readonly backend: BackendView
  /// Prompt tokens that are expected to be computed there; shared parts count unless they are known to be kept.
  readonly promptTokens: number
  /// Engine that keeps more of the prompt, to copy it from.
  readonly copyFrom: BackendRecord | undefined
  /// The prompt is only computed there and generated elsewhere.
  readonly prefillOnly: boolean
  /// Tokens that are to be computed there before the prompt is, its own included.
  readonly queuedTokens: number
  /// When the prompt is expected to be computed; undefined while the engines' pace is not known. Milliseconds from now.
  readonly expectedMs: number | undefined
  /// It cannot be in time there and gives way to prompts that can.
  readonly late: boolean
  /// It cannot be in time, and the engines have no room for prompts that only wait.
  readonly full: boolean
  /// Why this back end, for the log.
  readonly reason: PlanReason
}

/// What is wanted of a choice.
export interface BackendWanted {
  readonly service: string
  readonly prompt: PromptOutline | undefined
  /// The KV cache exists already: only a decode engine will do.
  readonly prefilled: boolean
  /// The prompt may not be computed apart any more: that would be one back end too many.
  readonly direct: boolean
  /// What the engines of the service have in common; undefined for services that are no engines.
  readonly engine: EngineTraits | undefined
  /// Time left until the first event should be there. Milliseconds.
  readonly targetLeftMs: number
  /// Back ends that this request has been sent to.
  readonly excluded: ReadonlySet<string>
  /// Requests that this daemon may have on one back end: its part of the connections that a back end takes.
  readonly maximumOwnInFlight: number
}

/// Chooses back ends.
export class BackendPicker {
  private readonly paces = new Map<string, PromptPace>()

  constructor(
    private readonly settings: BackendPickerSettings,
    private readonly ownZone: string,
    private readonly directory: BackendDirectory,
    private readonly kvIndex: KvIndex,
    private readonly random: RandomSource
  ) {}

  /// This process stood still until now: silence before says nothing about the back ends.
  ownPauseEnded(now: number): void {
    for (const view of this.directory.all()) view.ownPauseEnded(now)
  }

  /// A prompt was computed as planned, so long after it was sent. Late prompts wait for an unknown number of others.
  promptComputed({backend, queuedTokens, late}: BackendPlan, ms: number): void {
    if (!late) this.paceOf(backend).addSample(queuedTokens, ms)
  }

  /// The best plan, or undefined when no back end of the service takes work.
  pick(wanted: BackendWanted, now: number): BackendPlan | undefined {
    const candidates = this.candidates(wanted, now)
    const {prompt} = wanted
    const engines = candidates.some(view => view.record.stage !== undefined)
    if (!prompt || !engines) return this.pickPlain(withRoom(candidates, wanted))
    if (wanted.prefilled) return this.pickDecode(withRoom(candidates, wanted))
    return this.pickForPrompt(prompt, wanted, candidates)
  }

  /// Those that may take the request; the ones in trouble only when there is no other.
  private candidates(wanted: BackendWanted, now: number): BackendView[] {
    const able = this.directory
      .ofService(wanted.service)
      .filter(view => view.takesWork() && !wanted.excluded.has(view.record.id))
    const sound = able.filter(view => !view.avoided(now))
    const trusted = sound.filter(view => !view.distrusted())
    if (trusted.length > 0) return trusted
    return sound.length > 0 ? sound : able
  }

  private pickPlain(candidates: readonly BackendView[]): BackendPlan | undefined {
    if (candidates.length === 0) return undefined
    const backend = this.leastOf(candidates, view => {
      const far = view.record.zone === this.ownZone ? 0 : this.settings.otherZoneCost
      return view.inFlight() / Math.max(1, view.record.slots) + far
    })
    return makePlan(backend, 0, "least-loaded")
  }

  private pickDecode(candidates: readonly BackendView[]): BackendPlan | undefined {
    const decodes = candidates.filter(view => view.record.stage !== "prefill")
    if (decodes.length === 0) return undefined
    const backend = this.leastOf(decodes, view => this.waitingCost(view))
    return makePlan(backend, 0, "least-loaded")
  }

  private pickForPrompt(
    prompt: PromptOutline,
    wanted: BackendWanted,
    candidates: readonly BackendView[]
  ): BackendPlan | undefined {
    const decodes = withRoom(candidates, wanted).filter(view => view.record.stage !== "prefill")
    if (decodes.length === 0) return undefined
    if (wanted.direct || prompt.promptTokens <= this.settings.decodePromptTokens) {
      const backend = this.leastOf(decodes, view => this.waitingCost(view))
      return makePlan(backend, prompt.promptTokens, "least-loaded")
    }
    const prefills = candidates.filter(view => view.record.stage === "prefill")
    const able = prefills.length > 0 ? withRoom(prefills, wanted) : decodes
    if (able.length === 0) return undefined
    const home = this.homeOf(prompt, wanted.service, able)
    const plan = this.pickWithAffinity(prompt, able, home, false)
    const late =
      plan.expectedMs !== undefined && plan.expectedMs > wanted.targetLeftMs * this.settings.onTimeShare
    if (!late) return plan
    const roomy = able.filter(view => this.hasRoomForLate(view, prompt, wanted.engine))
    if (roomy.length > 0) return this.pickWithAffinity(prompt, roomy, home, true)
    return {...this.pickWithAffinity(prompt, able, home, true), full: true}
  }

  /// Every engine is weighed: what it keeps of the prompt it need not compute, what another engine keeps it copies from
  /// there, and what no engine keeps is computed once for all at the home.
  private pickWithAffinity(
    prompt: PromptOutline,
    candidates: readonly BackendView[],
    home: string | undefined,
    late: boolean
  ): BackendPlan {
    const keeper = this.findKeeper(prompt, candidates[0].record.service)
    const shared = sharedTokens(prompt)
    let best: BackendPlan | undefined
    let bestCost = Infinity
    for (const backend of candidates) {
      const atHome = backend.record.id === home
      const kept = this.kvIndex.getKeptTokens(backend.record.id, prompt)
      const copied =
        keeper && keeper.tokens - kept >= this.settings.minimumCopyTokens ? keeper.tokens - kept : 0
      const promptTokens = prompt.promptTokens - kept - copied
      const cold = Math.max(0, shared - kept - copied)
      const again =
        atHome || shared < this.settings.minimumAffinityTokens
          ? 0
          : cold * (this.settings.readAgainFactor - 1)
      const work = promptTokens + again + copied * this.settings.copyFactor
      const cost = this.waitingCost(backend, late) + work * this.promptFactor(backend)
      if (cost >= bestCost) continue
      bestCost = cost
      const reason = copied > 0 ? "copy" : kept > 0 ? "kept" : atHome ? "home" : "spill"
      const queuedTokens = waitingTokens(backend, late) + promptTokens
      const expectedMs = this.paceOf(backend).predictMs(queuedTokens)
      const prefillOnly = backend.record.stage === "prefill"
      const copyFrom = copied > 0 ? keeper?.backend.record : undefined
      best = {
        backend,
        promptTokens,
        copyFrom,
        prefillOnly,
        queuedTokens,
        expectedMs,
        late,
        full: false,
        reason
      }
    }
    return best as BackendPlan
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

  /// The engine of the service that keeps most of the prompt, of whatever stage; one of the own zone among equals.
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
  private homeOf(prompt: PromptOutline, service: string, able: readonly BackendView[]): string | undefined {
    if (sharedTokens(prompt) < this.settings.minimumAffinityTokens) return undefined
    const {stage} = able[0].record
    const ids = this.directory
      .ofService(service)
      .filter(view => view.takesWork() && view.record.stage === stage)
      .map(view => view.record.id)
    return pickByRendezvous(sharedKey(prompt), ids)
  }

  /// Time that a token of a prompt takes, in tokens of a prefill engine.
  private promptFactor(view: BackendView): number {
    return view.record.stage === "prefill" ? 1 : this.settings.decodePromptFactor
  }

  private waitingCost(view: BackendView, late = false): number {
    const tokens = waitingTokens(view, late)
    return tokens * this.promptFactor(view) + view.inFlight() * this.settings.requestCostTokens
  }

  private paceOf({record}: BackendView): PromptPace {
    const key = `${record.service}/${record.stage ?? ""}`
    let pace = this.paces.get(key)
    if (!pace) this.paces.set(key, (pace = new PromptPace(this.settings.pace)))
    return pace
  }

  private leastOf(candidates: readonly BackendView[], cost: (view: BackendView) => number): BackendView {
    const drawn =
      candidates.length <= this.settings.draws
        ? candidates
        : Array.from({length: this.settings.draws}, () => candidates[this.random.below(candidates.length)])
    const offset = this.random.below(drawn.length)
    let best = drawn[offset]
    for (let index = 1; index < drawn.length; index += 1) {
      const view = drawn[(offset + index) % drawn.length]
      if (cost(view) < cost(best)) best = view
    }
    return best
  }
}

/// Back ends that may have one more request of this daemon.
function withRoom(views: readonly BackendView[], wanted: BackendWanted): BackendView[] {
  return views.filter(view => view.ownInFlight() < wanted.maximumOwnInFlight)
}

/// An engine and the tokens of a prompt that it keeps.
interface Keeper {
  readonly backend: BackendView
  readonly tokens: number
}

/// A plan that does not depend on the engines' pace.
function makePlan(backend: BackendView, promptTokens: number, reason: PlanReason): BackendPlan {
  return {
    backend,
    promptTokens,
    copyFrom: undefined,
    prefillOnly: false,
    queuedTokens: backend.pendingTokens() + promptTokens,
    expectedMs: undefined,
    late: false,
    full: false,
    reason
  }
}

/// Tokens that go before those of a new prompt.
function waitingTokens(view: BackendView, late: boolean): number {
  return view.pendingTokens() + (late ? view.lateTokens() : 0)
}
