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
    const able = this.getAble(wanted)
    const {prompt} = wanted
    const engines = able.some(view => view.record.stage !== undefined)
    if (!prompt || !engines) return this.pickPlain(getWithRoom(this.getTrusted(able, now), wanted))
    // Engines of one stage cannot stand in for those of the other, so each has its own way out when all are in trouble.
    const decodes = this.getTrusted(
      able.filter(view => view.record.stage !== "prefill"),
      now
    )
    const roomy = getWithRoom(decodes, wanted)
    if (wanted.prefilled) return this.pickDecode(roomy)
    const trusted = this.getTrusted(able, now)
    const prefills = trusted.filter(view => view.record.stage === "prefill")
    return this.pickForPrompt(prompt, wanted, roomy, prefills)
  }

  /// Those that may take the request.
  private getAble(wanted: BackendWanted): BackendView[] {
    return this.directory
      .ofService(wanted.service)
      .filter(view => view.takesWork() && !wanted.excluded.has(view.record.id))
  }

  /// Of those, the ones in trouble only when there is no other.
  private getTrusted(able: readonly BackendView[], now: number): readonly BackendView[] {
    const sound = able.filter(view => !view.avoided(now))
    const trusted = sound.filter(view => !view.distrusted())
    if (trusted.length > 0) return trusted
    return sound.length > 0 ? sound : able
  }

  private pickPlain(candidates: readonly BackendView[]): BackendPlan | undefined {
    if (candidates.length === 0) return undefined
    const backend = this.pickLeast(candidates, view => {
      const far = view.record.zone === this.ownZone ? 0 : this.settings.otherZoneCost
      return ((view.inFlight() + 1) / Math.max(1, view.record.slots)) * view.pace.factor() + far
    })
    return makePlan(backend, 0, "least-loaded")
  }

  private pickDecode(decodes: readonly BackendView[]): BackendPlan | undefined {
    if (decodes.length === 0) return undefined
    return makePlan(this.pickLeastWaiting(decodes), 0, "least-loaded")
  }

  private pickForPrompt(
    prompt: PromptOutline,
    wanted: BackendWanted,
    decodes: readonly BackendView[],
    prefills: readonly BackendView[]
  ): BackendPlan | undefined {
    if (decodes.length === 0) return undefined
    if (wanted.direct || prompt.promptTokens <= this.settings.decodePromptTokens) {
      return makePlan(this.pickLeastWaiting(decodes), prompt.promptTokens, "least-loaded")
    }
    const able = prefills.length > 0 ? getWithRoom(prefills, wanted) : decodes
    return able.length > 0 ? this.prompts.pick(prompt, wanted, able) : undefined
  }

  /// The decode engine with the least work of a few drawn, those of the own zone first: connections to them are reused, and
  /// bytes between zones are saved. One of another zone is drawn too and taken when it has clearly less work.
  private pickLeastWaiting(decodes: readonly BackendView[]): BackendView {
    const near = decodes.filter(view => view.record.zone === this.ownZone)
    const cost = (view: BackendView) => this.prompts.getWaitingCost(view)
    if (near.length === 0) return this.pickLeast(decodes, cost)
    const best = this.pickLeast(near, cost)
    const far = decodes[this.random.below(decodes.length)]
    return cost(far) + this.settings.otherZoneTokens < cost(best) ? far : best
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
