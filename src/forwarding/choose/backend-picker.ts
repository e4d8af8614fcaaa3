/// Chooses the back end of an attempt: for plain back ends and decode engines the least loaded one of a
/// random sample, for prompts the engine that `PromptPicker` chooses. Relies on the directory for the state
/// of the back ends.
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
import type {StreamOrigin} from "../../streams/stream-origin.js"
import {PromptPicker} from "./prompt-picker.js"

/// Back ends of one stage that advertise a limit.
export interface LimitedBackends {
  readonly limited: readonly BackendView[]
  /// Whether back ends of the stage without a limit may take the request.
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

  /// This process was paused until now: earlier silence says nothing about the back ends.
  onProcessResumed(now: number): void {
    for (const view of this.directory.all()) view.health.onProcessResumed(now)
  }

  /// Adds a sample: a prompt was computed as planned, `ms` after it was sent.
  addPromptSample(choice: BackendChoice, ms: number): void {
    this.prompts.addSample(choice, ms)
  }

  /// Adds a sample: an attempt was answered completely, `ms` after it was sent.
  addAnswerSample(choice: BackendChoice, ms: number): void {
    this.distance.addAnswerSample(choice, ms)
  }

  /// Log fields of a choice: the distance to its back end and, if that is in another region, the cost there
  /// and the lowest cost within the own region, in milliseconds. Empty in a fleet of one region.
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

  /// Counts an attempt that is sent by this choice.
  addAttempt({backend}: BackendChoice): void {
    this.distance.addAttempt(backend)
  }

  /// Whether the back end may still take an attempt that was chosen earlier.
  isStillAllowed({backend}: BackendChoice, origin: StreamOrigin | undefined): boolean {
    return backend.takesWork() && (!origin || this.directory.mayContinue(backend.record, origin))
  }

  /// Whether nothing is heard of a back end, its region is cut off, or enough other daemons avoid it.
  isDoubtful(view: BackendView, now: number): boolean {
    return view.health.needsProbe(now) || this.distance.isCutOff(view) || view.isEjectedByPeers()
  }

  /// Returns the best choice, or undefined when no back end of the service may take the request.
  pick(query: BackendQuery, now: number): BackendChoice | undefined {
    const eligible = this.getEligible(query, now)
    const {prompt} = query
    const engines = eligible.some(view => view.record.stage !== undefined)
    if (!prompt || !engines) {
      return this.pickPlain(getWithCapacity(this.getTrusted(eligible, now), query), query)
    }
    // Engines of one stage cannot replace those of the other, so each stage falls back to its ejected engines
    // on its own.
    const decodes = this.getTrusted(
      eligible.filter(view => view.record.stage !== "prefill"),
      now
    )
    const withCapacity = getWithCapacity(decodes, query)
    if (query.prefilled) return this.pickDecode(withCapacity, query)
    const trusted = this.getTrusted(eligible, now)
    const prefills = trusted.filter(view => view.record.stage === "prefill")
    return this.pickForPrompt(prompt, query, withCapacity, prefills)
  }

  /// The back ends that advertise a limit and would otherwise take the request, grouped by stage because
  /// engines of one stage cannot replace those of the other.
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

  /// The back ends that would take the request but have asked this daemon to back off.
  findBackingOff(query: BackendQuery, now: number): BackendView[] {
    return this.getAllowed(query).filter(view => view.isBackingOff(now))
  }

  /// The back ends that may take the request now.
  private getEligible(query: BackendQuery, now: number): BackendView[] {
    return this.getAllowed(query).filter(view => view.mayReceive(now))
  }

  /// The same, including those that this daemon backs off from and those with a limit but no permit.
  private getAllowed({service, excluded, isolatedCaller, origin}: BackendQuery): BackendView[] {
    const accepting = this.directory.ofService(service).filter(view => view.takesWork())
    const allowed = isolatedCaller === undefined ? accepting : getIsolated(accepting, isolatedCaller)
    return allowed.filter(
      ({record}) => !excluded.has(record.id) && (!origin || this.directory.mayContinue(record, origin))
    )
  }

  /// Leaves out the ejected ones and those in a region that is cut off, and next those that peers eject,
  /// while any other is left.
  private getTrusted(eligible: readonly BackendView[], now: number): readonly BackendView[] {
    const healthy = eligible.filter(view => !view.isEjected(now) && !this.distance.isCutOff(view))
    const trusted = healthy.filter(view => !view.isEjectedByPeers())
    if (trusted.length > 0) return trusted
    return healthy.length > 0 ? healthy : eligible
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

  /// A decode engine that fetches the KV cache from the engine that holds it.
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
    if (query.singleBackendOnly || prompt.promptTokens <= this.settings.decodePromptTokens) {
      return this.pickLeastWaiting(decodes, query, prompt.promptTokens)
    }
    const eligible = prefills.length > 0 ? getWithCapacity(prefills, query) : decodes
    return eligible.length > 0 ? this.prompts.pick(prompt, query, eligible, decodes) : undefined
  }

  /// The decode engine with the least work of a random sample from this daemon's zone, which reuses
  /// connections and saves traffic between zones. One engine of any zone is sampled too and preferred when it
  /// has clearly less work.
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

  /// The cheapest of the random samples drawn from each class of distance. A sample of all back ends would
  /// mostly miss the few in this daemon's zone.
  private pickLeastByDistance(
    candidates: readonly BackendView[],
    promptTokens: number,
    cost: (view: BackendView) => number
  ): BackendChoice {
    const best = DISTANCE_CLASSES.flatMap(kind => {
      const ofKind = candidates.filter(view => this.distance.getDistance(view) === kind)
      return ofKind.length > 0 ? [this.pickLeast(ofKind, cost)] : []
    })
    const backend = best.reduce((least, view) => (cost(view) < cost(least) ? view : least))
    const inOwnRegion = best.filter(view => this.distance.getDistance(view) !== "otherRegion").map(cost)
    const ownRegionMs = inOwnRegion.length > 0 ? Math.min(...inOwnRegion) : undefined
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

/// The only back end at which an isolated caller's requests may be executed, the same one while it is
/// present, and the engines that only compute prompts. A caller whose requests crash back ends can then crash
/// only one at a time: 0.998 of the other callers' requests are served instead of 0.46 to 0.62, with four new
/// requests of that caller a second (12 back ends, each down for 3 s after a crash, virtual time, three
/// seeds).
function getIsolated(accepting: readonly BackendView[], caller: string): BackendView[] {
  const executing = accepting.filter(view => view.record.stage !== "prefill").map(view => view.record.id)
  const [isolatedTo] = rankByRendezvous(caller, executing, 1)
  return accepting.filter(view => view.record.stage === "prefill" || view.record.id === isolatedTo)
}
