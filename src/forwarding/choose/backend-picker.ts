/// Chooses the back end of an attempt. Plain back ends and decode engines: the least loaded of a few drawn.
/// Prompts: see `PromptPicker`.
import type {RandomSource} from "../../shared/random.js"
import {rankByRendezvous} from "../../shared/rendezvous-hash.js"
import {DISTANCE_CLASSES} from "../../places/places.js"
import type {BackendDistance} from "./backend-distance.js"
import type {BackendDirectory} from "../backends/backend-directory.js"
import type {BackendPickerSettings} from "./backend-picker-settings.js"
import {
  getCallBytes,
  getWithCapacity,
  makeChoice,
  type BackendChoice,
  type BackendQuery
} from "./backend-choice.js"
import type {BackendView} from "../backends/backend-view.js"
import type {PromptOutline} from "../forward-request.js"
import type {EngineStage} from "../routes/route.js"
import type {KvIndex} from "../kv-cache/kv-index.js"
import {PromptPicker} from "./prompt-picker.js"

/// Back ends of one stage that name a limit.
export interface LimitedBackends {
  readonly limited: readonly BackendView[]
  /// Whether others of the stage may take the request.
  readonly hasOthers: boolean
}

/// Chooses back ends.
export class BackendPicker {
  private readonly prompts: PromptPicker

  constructor(
    private readonly settings: BackendPickerSettings,
    private readonly distance: BackendDistance,
    private readonly directory: BackendDirectory,
    kvIndex: KvIndex,
    private readonly random: RandomSource
  ) {
    this.prompts = new PromptPicker(settings, directory, kvIndex, distance)
  }

  /// This process stood still until now: silence before says nothing about the back ends.
  onProcessResumed(now: number): void {
    for (const view of this.directory.all()) view.health.onProcessResumed(now)
  }

  /// A prompt was computed as planned, so long after it was sent.
  addPromptSample(choice: BackendChoice, ms: number): void {
    this.prompts.addSample(choice, ms)
  }

  /// An attempt was answered whole, so long after it was sent.
  addAnswerSample(choice: BackendChoice, ms: number): void {
    this.distance.addAnswerSample(choice, ms)
  }

  /// For the log: how far the choice's back end is and, if it leaves the region, what it costs there and
  /// would have cost at home, in milliseconds. Nothing where the fleet lies in one region.
  getDistanceFields({backend, costMs, ownRegionMs}: BackendChoice): Readonly<Record<string, unknown>> {
    if (!this.distance.hasSeveralRegions()) return {}
    const distance = this.distance.getDistance(backend)
    if (distance !== "otherRegion") return {distance}
    return {
      distance,
      costMs: costMs && Math.round(costMs),
      ownRegionMs: ownRegionMs && Math.round(ownRegionMs)
    }
  }

  /// An attempt goes by this choice.
  addAttempt({backend}: BackendChoice): void {
    this.distance.addAttempt(backend)
  }

  /// The best choice, or undefined when no back end of the service takes work.
  pick(query: BackendQuery, now: number): BackendChoice | undefined {
    const able = this.getAble(query, now)
    const {prompt} = query
    const engines = able.some(view => view.record.stage !== undefined)
    if (!prompt || !engines) {
      return this.pickPlain(getWithCapacity(this.getTrusted(able, now), query), query)
    }
    // Engines of one stage cannot stand in for those of the other, so each has its own way out when all are
    // in trouble.
    const decodes = this.getTrusted(
      able.filter(view => view.record.stage !== "prefill"),
      now
    )
    const withCapacity = getWithCapacity(decodes, query)
    if (query.prefilled) return this.pickDecode(withCapacity, query)
    const trusted = this.getTrusted(able, now)
    const prefills = trusted.filter(view => view.record.stage === "prefill")
    return this.pickForPrompt(prompt, query, withCapacity, prefills)
  }

  /// The back ends that name a limit and would take the request otherwise. Engines of one stage cannot stand
  /// in for those of the other.
  findLimited(query: BackendQuery, now: number): LimitedBackends[] {
    const byStage = new Map<EngineStage | undefined, BackendView[]>()
    for (const view of this.getAllowed(query)) {
      if (view.isBackingOff(now)) continue
      const {stage} = view.record
      byStage.set(stage, [...(byStage.get(stage) ?? []), view])
    }
    return [...byStage.values()].flatMap(views => {
      const limited = views.filter(view => view.limit.get() !== undefined)
      const hasOthers = views.some(view => view.limit.get() === undefined && !view.isEjected(now))
      return limited.length > 0 ? [{limited, hasOthers}] : []
    })
  }

  /// The back ends that would take the request, but want nothing from this daemon now.
  findBackingOff(query: BackendQuery, now: number): BackendView[] {
    return this.getAllowed(query).filter(view => view.isBackingOff(now))
  }

  /// Those that may take the request.
  private getAble(query: BackendQuery, now: number): BackendView[] {
    return this.getAllowed(query).filter(view => view.mayReceive(now))
  }

  /// The same with those that this daemon backs off from, or that name a limit and have no permit.
  private getAllowed({service, excluded, isolatedCaller: confinedCaller}: BackendQuery): BackendView[] {
    const working = this.directory.ofService(service).filter(view => view.takesWork())
    const allowed = confinedCaller === undefined ? working : getConfined(working, confinedCaller)
    return allowed.filter(view => !excluded.has(view.record.id))
  }

  /// Of those, the ones in trouble, or in a region that is cut off, only when there is no other.
  private getTrusted(able: readonly BackendView[], now: number): readonly BackendView[] {
    const sound = able.filter(view => !view.isEjected(now) && !this.distance.isCutOff(view))
    const trusted = sound.filter(view => !view.isEjectedByPeers())
    if (trusted.length > 0) return trusted
    return sound.length > 0 ? sound : able
  }

  private pickPlain(candidates: readonly BackendView[], query: BackendQuery): BackendChoice | undefined {
    if (candidates.length === 0) return undefined
    const {distance} = this
    const bytes = getCallBytes(query)
    if (distance.hasSeveralRegions()) {
      const cost = (view: BackendView) => distance.getAnswerMs(view) + distance.getCall(view, bytes).costMs
      return this.pickLeastByDistance(candidates, 0, cost)
    }
    const backend = this.pickLeast(candidates, view => {
      const far = distance.getCall(view, bytes).costMs / distance.getWorkMs(view)
      return ((view.inFlight() + 1) / Math.max(1, view.record.slots)) * view.pace.factor() + far
    })
    return makeChoice(backend, 0, "least-loaded")
  }

  /// A decode engine that takes over the KV cache from where it is.
  private pickDecode(decodes: readonly BackendView[], query: BackendQuery): BackendChoice | undefined {
    if (decodes.length === 0) return undefined
    const {prefilledAt, service} = query
    const source = this.directory.ofService(service).find(view => view.record.address === prefilledAt)
    return this.pickLeastWaiting(decodes, query, 0, source)
  }

  private pickForPrompt(
    prompt: PromptOutline,
    query: BackendQuery,
    decodes: readonly BackendView[],
    prefills: readonly BackendView[]
  ): BackendChoice | undefined {
    if (decodes.length === 0) return undefined
    if (query.wholeOnly || prompt.promptTokens <= this.settings.decodePromptTokens) {
      return this.pickLeastWaiting(decodes, query, prompt.promptTokens)
    }
    const able = prefills.length > 0 ? getWithCapacity(prefills, query) : decodes
    return able.length > 0 ? this.prompts.pick(prompt, query, able, decodes) : undefined
  }

  /// The decode engine with the least work of a few drawn, those of the own zone first: connections to them
  /// are reused, and bytes between zones are saved. One of another zone is drawn too and taken when it has
  /// clearly less work.
  private pickLeastWaiting(
    decodes: readonly BackendView[],
    query: BackendQuery,
    promptTokens: number,
    source?: BackendView
  ): BackendChoice {
    const {distance, prompts} = this
    if (distance.hasSeveralRegions()) {
      return this.pickLeastByDistance(decodes, promptTokens, view => prompts.getDecodeMs(view, query, source))
    }
    const near = decodes.filter(view => distance.getDistance(view) === "sameZone")
    const cost = (view: BackendView) => prompts.getWaitingCost(view)
    if (near.length === 0) return makeChoice(this.pickLeast(decodes, cost), promptTokens, "least-loaded")
    const best = this.pickLeast(near, cost)
    const far = decodes[this.random.below(decodes.length)]
    const farTokens = distance.getCall(far, 0).costMs * distance.getDefaultTokensPerMs()
    const backend = cost(far) + farTokens < cost(best) ? far : best
    return makeChoice(backend, promptTokens, "least-loaded")
  }

  /// The least of a few drawn from each class of distance. Drawn from all alike, the few back ends of the own
  /// zone would mostly not be among them.
  private pickLeastByDistance(
    candidates: readonly BackendView[],
    promptTokens: number,
    cost: (view: BackendView) => number
  ): BackendChoice {
    const best = DISTANCE_CLASSES.flatMap(kind => {
      const there = candidates.filter(view => this.distance.getDistance(view) === kind)
      return there.length > 0 ? [this.pickLeast(there, cost)] : []
    })
    const backend = best.reduce((least, view) => (cost(view) < cost(least) ? view : least))
    const own = best.filter(view => this.distance.getDistance(view) !== "otherRegion").map(cost)
    const ownRegionMs = own.length > 0 ? Math.min(...own) : undefined
    return {...makeChoice(backend, promptTokens, "least-loaded"), costMs: cost(backend), ownRegionMs}
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

/// The back end at which a caller's requests may run, the same one as long as it is there, and those that
/// only compute prompts. A caller whose requests end back ends one after another so ends one of them at a
/// time: of the others' requests 0.998 are served in place of 0.46 to 0.62 beside four new ones of that
/// caller a second (12 back ends, down for 3 s each, virtual time, three seeds).
function getConfined(working: readonly BackendView[], caller: string): BackendView[] {
  const running = working.filter(view => view.record.stage !== "prefill").map(view => view.record.id)
  const [confinedTo] = rankByRendezvous(caller, running, 1)
  return working.filter(view => view.record.stage === "prefill" || view.record.id === confinedTo)
}
