/// Chooses the back end of an attempt. Plain back ends and decode engines: the least loaded of a few drawn. Prompts: see
/// `PromptPicker`.
import type {RandomSource} from "../shared/random.js"
import type {BackendDirectory} from "./backend-directory.js"
import type {BackendPickerSettings} from "./backend-picker-settings.js"
import {getWithRoom, makePlan, type BackendPlan, type BackendWanted} from "./backend-plan.js"
import type {BackendView} from "./backend-view.js"
import type {PromptOutline} from "./forward-request.js"
import type {KvIndex} from "./kv-index.js"
import {PromptPicker} from "./prompt-picker.js"

/// Chooses back ends.
export class BackendPicker {
  private readonly prompts: PromptPicker

  constructor(
    private readonly settings: BackendPickerSettings,
    private readonly ownZone: string,
    private readonly directory: BackendDirectory,
    kvIndex: KvIndex,
    private readonly random: RandomSource
  ) {
    this.prompts = new PromptPicker(settings, directory, kvIndex)
  }

  /// This process stood still until now: silence before says nothing about the back ends.
  ownPauseEnded(now: number): void {
    for (const view of this.directory.all()) view.ownPauseEnded(now)
  }

  /// A prompt was computed as planned, so long after it was sent.
  promptComputed(plan: BackendPlan, ms: number): void {
    this.prompts.addSample(plan, ms)
  }

  /// The best plan, or undefined when no back end of the service takes work.
  pick(wanted: BackendWanted, now: number): BackendPlan | undefined {
    const candidates = this.getCandidates(wanted, now)
    const {prompt} = wanted
    const engines = candidates.some(view => view.record.stage !== undefined)
    if (!prompt || !engines) return this.pickPlain(getWithRoom(candidates, wanted))
    if (wanted.prefilled) return this.pickDecode(getWithRoom(candidates, wanted))
    return this.pickForPrompt(prompt, wanted, candidates)
  }

  /// Those that may take the request; the ones in trouble only when there is no other.
  private getCandidates(wanted: BackendWanted, now: number): BackendView[] {
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
    const backend = this.pickLeast(candidates, view => {
      const far = view.record.zone === this.ownZone ? 0 : this.settings.otherZoneCost
      return view.inFlight() / Math.max(1, view.record.slots) + far
    })
    return makePlan(backend, 0, "least-loaded")
  }

  private pickDecode(candidates: readonly BackendView[]): BackendPlan | undefined {
    const decodes = candidates.filter(view => view.record.stage !== "prefill")
    if (decodes.length === 0) return undefined
    const backend = this.pickLeast(decodes, view => this.prompts.getWaitingCost(view))
    return makePlan(backend, 0, "least-loaded")
  }

  private pickForPrompt(
    prompt: PromptOutline,
    wanted: BackendWanted,
    candidates: readonly BackendView[]
  ): BackendPlan | undefined {
    const decodes = getWithRoom(candidates, wanted).filter(view => view.record.stage !== "prefill")
    if (decodes.length === 0) return undefined
    if (wanted.direct || prompt.promptTokens <= this.settings.decodePromptTokens) {
      const backend = this.pickLeast(decodes, view => this.prompts.getWaitingCost(view))
      return makePlan(backend, prompt.promptTokens, "least-loaded")
    }
    const prefills = candidates.filter(view => view.record.stage === "prefill")
    const able = prefills.length > 0 ? getWithRoom(prefills, wanted) : decodes
    if (able.length === 0) return undefined
    return this.prompts.pick(prompt, wanted, able)
  }

  private pickLeast(candidates: readonly BackendView[], cost: (view: BackendView) => number): BackendView {
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
