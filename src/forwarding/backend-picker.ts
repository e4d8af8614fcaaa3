/// Chooses the back end of an attempt. Plain back ends: the least loaded of a few drawn. Model engines: the one
/// where the prompt is computed soonest, counting the tokens that wait there and those that its KV cache saves.
import type {RandomSource} from "../shared/random.js"
import {pickByRendezvous} from "../shared/rendezvous-hash.js"
import type {BackendDirectory} from "./backend-directory.js"
import type {BackendView} from "./backend-view.js"
import {sharedKey, sharedTokens, type PromptOutline} from "./forward-request.js"
import type {PrefixIndex} from "./prefix-index.js"

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
  /// What one request on an engine costs another, in prompt tokens. Default 60.
  readonly requestCostTokens: number
  /// Longer prompts are computed by prefill engines while there is one: on a decode engine they would hold up
  /// the tokens of every other stream. Default 300.
  readonly decodePromptTokens: number
  /// What another zone costs, in requests per slot for plain back ends. Default 0.1.
  readonly otherZoneCost: number
}

/// Default settings.
export const DEFAULT_BACKEND_PICKER_SETTINGS: BackendPickerSettings = {
  draws: 3,
  minimumAffinityTokens: 1000,
  decodePromptFactor: 2,
  readAgainFactor: 4,
  requestCostTokens: 60,
  decodePromptTokens: 300,
  otherZoneCost: 0.1
}

/// Why a back end was chosen: the least loaded, or with regard to the shared parts of the prompt.
export type PlanReason = "least-loaded" | "home" | "kept" | "spill"

/// Where an attempt goes.
export interface BackendPlan {
  readonly backend: BackendView
  /// Prompt tokens that are expected to be computed there; shared parts count unless they are known to be kept.
  readonly promptTokens: number
  /// The prompt is only computed there and generated elsewhere.
  readonly prefillOnly: boolean
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
  /// Back ends that this request has been sent to.
  readonly excluded: ReadonlySet<string>
  /// Requests that this daemon may have on one back end: its part of the connections that a back end takes.
  readonly maximumOwnInFlight: number
}

/// Chooses back ends.
export class BackendPicker {
  constructor(
    private readonly settings: BackendPickerSettings,
    private readonly ownZone: string,
    private readonly directory: BackendDirectory,
    private readonly prefixes: PrefixIndex,
    private readonly random: RandomSource
  ) {}

  /// This process stood still until now: silence before says nothing about the back ends.
  ownPauseEnded(now: number): void {
    for (const view of this.directory.all()) view.ownPauseEnded(now)
  }

  /// The best plan, or undefined when no back end of the service takes work.
  pick(wanted: BackendWanted, now: number): BackendPlan | undefined {
    const candidates = this.candidates(wanted, now)
    if (candidates.length === 0) return undefined
    const {prompt} = wanted
    const engines = candidates.some(view => view.record.stage !== undefined)
    if (!prompt || !engines) return this.pickPlain(candidates)
    if (wanted.prefilled) return this.pickDecode(candidates)
    return this.pickForPrompt(prompt, wanted, candidates)
  }

  /// Those that may take the request; the ones in trouble only when there is no other.
  private candidates(wanted: BackendWanted, now: number): BackendView[] {
    const able = this.directory
      .ofService(wanted.service)
      .filter(
        view =>
          view.takesWork() &&
          !wanted.excluded.has(view.record.id) &&
          view.ownInFlight() < wanted.maximumOwnInFlight
      )
    const sound = able.filter(view => !view.avoided(now))
    const trusted = sound.filter(view => !view.distrusted())
    if (trusted.length > 0) return trusted
    return sound.length > 0 ? sound : able
  }

  private pickPlain(candidates: readonly BackendView[]): BackendPlan {
    const backend = this.leastOf(candidates, view => {
      const far = view.record.zone === this.ownZone ? 0 : this.settings.otherZoneCost
      return view.inFlight() / Math.max(1, view.record.slots) + far
    })
    return {backend, promptTokens: 0, prefillOnly: false, reason: "least-loaded"}
  }

  private pickDecode(candidates: readonly BackendView[]): BackendPlan | undefined {
    const decodes = candidates.filter(view => view.record.stage !== "prefill")
    if (decodes.length === 0) return undefined
    const backend = this.leastOf(decodes, view => this.waitingCost(view))
    return {backend, promptTokens: 0, prefillOnly: false, reason: "least-loaded"}
  }

  private pickForPrompt(
    prompt: PromptOutline,
    wanted: BackendWanted,
    candidates: readonly BackendView[]
  ): BackendPlan | undefined {
    const decodes = candidates.filter(view => view.record.stage !== "prefill")
    if (decodes.length === 0) return undefined
    if (wanted.direct || prompt.promptTokens <= this.settings.decodePromptTokens) {
      const backend = this.leastOf(decodes, view => this.waitingCost(view))
      return {backend, promptTokens: prompt.promptTokens, prefillOnly: false, reason: "least-loaded"}
    }
    const prefills = candidates.filter(view => view.record.stage === "prefill")
    const able = prefills.length > 0 ? prefills : decodes
    return this.pickWithAffinity(prompt, able, this.homeOf(prompt, wanted.service, able))
  }

  /// Every engine is weighed: one that is known to keep the shared parts saves their tokens; the home computes them
  /// once for all; any other engine would compute them beside it.
  private pickWithAffinity(
    prompt: PromptOutline,
    candidates: readonly BackendView[],
    home: string | undefined
  ): BackendPlan {
    const shared = sharedTokens(prompt)
    const key = sharedKey(prompt)
    const affine = shared >= this.settings.minimumAffinityTokens
    const again = affine ? shared * this.settings.readAgainFactor : shared
    let best: BackendPlan | undefined
    let bestCost = Infinity
    for (const backend of candidates) {
      const atHome = backend.record.id === home
      const kept = this.prefixes.has(backend.record.id, key)
      const promptTokens = prompt.promptTokens - (kept ? shared : 0)
      const work = atHome || kept ? promptTokens : prompt.promptTokens - shared + again
      const cost = this.waitingCost(backend) + work * this.promptFactor(backend)
      if (cost >= bestCost) continue
      bestCost = cost
      const reason = atHome ? "home" : kept ? "kept" : "spill"
      best = {backend, promptTokens, prefillOnly: backend.record.stage === "prefill", reason}
    }
    return best as BackendPlan
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

  private waitingCost(view: BackendView): number {
    return view.pendingTokens() * this.promptFactor(view) + view.inFlight() * this.settings.requestCostTokens
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
