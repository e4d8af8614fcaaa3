/// Permits of this daemon to send requests to back ends that advertise a limit. The limit, in requests a
/// second, applies to all daemons together, so each request to such a back end takes a permit from a token
/// bucket that one daemon runs for the whole fleet, as for tenants' quotas (src/quotas).
///
/// A daemon with requests for a service asks for one permit of each limited back end in advance, so that no
/// request waits for the decision while other back ends can take it. Owns the unused permits and the pending
/// asks; relies on `QuotaManager` for the buckets.
import {getQuotaRetryAfterMs, NO_OWNER_RETRY_AFTER_MS, spreadQuotaRetryAfter} from "../admit/retry-after.js"
import type {QuotaDecision} from "../admit/tenant-quota.js"
import type {BackendView} from "../backends/backend-view.js"
import {getIncarnation} from "../../quarantine/incarnation.js"
import type {FleetView} from "../../quotas/owner-ranking.js"
import {QuotaManager, type QuotaEffect} from "../../quotas/quota-manager.js"
import type {QuotaMessage} from "../../quotas/quota-messages.js"
import type {QuotaLimit, QuotaSettings} from "../../quotas/quota-settings.js"
import type {EffectSink} from "../../shared/effect-sink.js"
import type {RandomSource} from "../../shared/random.js"
import {PermitDemand} from "./permit-demand.js"

/// In any window a back end may get one and a half times its limit plus five requests.
const BUCKET_SETTINGS: QuotaSettings = {windowMs: 4000, overage: 0.5, slackTokens: 5}
/// Lowest rate of a bucket, so that requests reach each back end often enough to show whether its limit still
/// holds. Requests a second; within the slack of the bucket.
const MINIMUM_PER_SECOND = 0.25
/// Burst of a bucket, for urgent requests that arrive together. Requests.
const BURST = 1
/// A permit that is not used within this time is returned. Milliseconds. A granted request thus reaches the
/// back end at about the time at which it was counted.
const PERMIT_LIFETIME_MS = 500
/// An ask without a decision counts as refused after this time. Milliseconds.
const ASK_TIMEOUT_MS = 250
/// Time after a refusal until the next ask for a permit of the same back end, per daemon of the fleet, and
/// its minimum. Keeps the load of the daemon that grants the permits at a hundred asks a second.
/// Milliseconds.
const ASK_INTERVAL_PER_DAEMON_MS = 10
const MINIMUM_ASK_INTERVAL_MS = 100

/// Dependencies of the permit manager.
interface PermitManagerDependencies {
  readonly selfId: string
  readonly random: RandomSource
  readonly getFleet: () => FleetView
  /// Called when a request of the service may get a permit, or no longer has to wait for one.
  readonly onDecision: (service: string, now: number) => void
  readonly emit: EffectSink<{
    readonly kind: "sendPeer"
    readonly address: string
    readonly message: QuotaMessage
  }>
}

/// The permits of one back end.
interface PermitState {
  /// Name of its bucket: the incarnation of the back end.
  readonly key: string
  /// Id of the pending ask.
  askId: string | undefined
  /// Priority of the request of the pending or the last ask.
  priority: number
  /// No ask before this time for requests that are not more urgent.
  nextAskAt: number
  /// Time until a permit, as estimated in the last refusal of the daemon that grants them. Milliseconds.
  retryAfterMs: number | undefined
  /// When the unused permit is returned.
  expiresAt: number
}

/// The permits of one daemon. Times are monotonic milliseconds.
export class PermitManager {
  private readonly buckets: QuotaManager
  private readonly states = new Map<BackendView, PermitState>()
  private readonly viewByAskId = new Map<string, BackendView>()
  private readonly demands = new Map<string, PermitDemand>()
  private askCount = 0
  /// Time of the event that is being handled.
  private now = -Infinity

  constructor(private readonly dependencies: PermitManagerDependencies) {
    const {selfId, random, getFleet} = dependencies
    this.buckets = new QuotaManager(selfId, BUCKET_SETTINGS, getFleet, random, effect => this.onQuota(effect))
  }

  /// Sets the back ends that advertise a limit now. Drops the permits and asks of all others.
  setLimited(views: readonly BackendView[], now: number): void {
    this.now = now
    const limits = new Map<string, QuotaLimit>()
    for (const view of views) {
      const ratePerSecond = Math.max(MINIMUM_PER_SECOND, view.limit.get() ?? 0)
      limits.set(getIncarnation(view.record), {ratePerSecond, burst: BURST})
    }
    for (const [view, {key, askId}] of this.states) {
      if (limits.has(key) && getIncarnation(view.record) === key) continue
      view.permits = 0
      this.states.delete(view)
      if (askId !== undefined) this.viewByAskId.delete(askId)
    }
    this.buckets.setLimits(limits, now)
    for (const service of new Set(views.map(view => view.record.service)))
      if (!this.demands.has(service)) this.demands.set(service, new PermitDemand())
  }

  /// Demand for the permits of a service; undefined until one of its back ends has advertised a limit.
  getDemand(service: string): PermitDemand | undefined {
    return this.demands.get(service)
  }

  /// Asks for a permit of each of these back ends, which advertise a limit, unless an unused one is left.
  ask(views: readonly BackendView[], priority: number, now: number): void {
    this.now = now
    for (const view of views) if (this.mayAsk(view, priority)) this.askOne(view, priority)
  }

  /// Asks for one permit of any of these back ends, one back end after another, for a request that no other
  /// back end can take. Asking for all at once could grant several permits to this request and none to
  /// others.
  askAny(views: readonly BackendView[], priority: number, now: number): void {
    this.now = now
    const offset = this.dependencies.random.below(views.length)
    for (let index = 0; index < views.length; index += 1) {
      if (views.some(view => view.permits > 0 || this.isAskedFor(view, priority))) return
      const view = views[(offset + index) % views.length]
      if (this.mayAsk(view, priority)) this.askOne(view, priority)
    }
  }

  /// Whether an ask for one of these back ends is pending.
  isAsking(views: readonly BackendView[]): boolean {
    return views.some(view => this.states.get(view)?.askId !== undefined)
  }

  /// Estimated time until a permit of one of these back ends for a request of this priority: by the fleet's
  /// demand, as last reported, or by this daemon's demand of that priority if that is shorter. Milliseconds.
  getRetryAfterMs(views: readonly BackendView[], priority: number, now: number): number {
    const [{record}] = views
    const backlogMs = this.demands.get(record.service)?.getBacklogMs(priority, now) ?? 0
    const localMs = spreadQuotaRetryAfter(getQuotaRetryAfterMs(backlogMs), this.dependencies.random.next())
    const ownerMs = views.map(view => this.states.get(view)?.retryAfterMs ?? NO_OWNER_RETRY_AFTER_MS)
    return Math.min(localMs, ...ownerMs)
  }

  /// Whether this daemon runs the bucket of the back end.
  isOwner(view: BackendView, now: number): boolean {
    return this.buckets.isOwner(getIncarnation(view.record), now)
  }

  /// A message was received from another daemon, so it is running.
  onContact(fromId: string, now: number): void {
    this.buckets.onContact(fromId, now)
  }

  /// Applies a message about permits.
  receive(fromId: string, fromAddress: string, message: QuotaMessage, now: number): void {
    this.now = now
    this.buckets.receive(fromId, fromAddress, message, now)
  }

  /// This process was paused until now: permits granted before are out of date.
  onProcessResumed(now: number): void {
    for (const view of this.states.keys()) view.permits = 0
    this.buckets.onProcessResumed(now)
  }

  /// Advances timers.
  tick(now: number): void {
    this.now = now
    this.buckets.tick(now)
    for (const [view, {key, expiresAt}] of this.states) {
      if (view.permits === 0 || now < expiresAt) continue
      this.buckets.charge(key, -view.permits, now)
      view.permits = 0
    }
  }

  /// Figures summed over all back ends; requests are counted since the start of the process.
  getFigures(): Readonly<Record<string, number>> {
    const {granted_tokens: granted, refused_requests: refused, limits, owned} = this.buckets.getFigures()
    return {limited: limits, owned, granted, refused}
  }

  private mayAsk(view: BackendView, priority: number): boolean {
    const {askId, nextAskAt, priority: askedPriority} = this.getState(view)
    const isTooEarly = this.now < nextAskAt && priority >= askedPriority
    return view.permits === 0 && askId === undefined && !isTooEarly
  }

  /// Whether an ask for a request of this priority or a more urgent one is pending.
  private isAskedFor(view: BackendView, priority: number): boolean {
    const state = this.states.get(view)
    return state?.askId !== undefined && state.priority <= priority
  }

  private askOne(view: BackendView, priority: number): void {
    const state = this.getState(view)
    this.askCount += 1
    const askId = `permit ${this.askCount}`
    state.askId = askId
    state.priority = priority
    this.viewByAskId.set(askId, view)
    const need = {requestId: askId, tokens: 1, priority, decideBy: this.now + ASK_TIMEOUT_MS}
    const decision = this.buckets.take(state.key, need, this.now)
    if (decision) this.applyDecision(askId, decision)
  }

  private getState(view: BackendView): PermitState {
    const key = getIncarnation(view.record)
    let state = this.states.get(view)
    if (state?.key !== key) {
      state = {
        key,
        askId: undefined,
        priority: 0,
        nextAskAt: -Infinity,
        retryAfterMs: undefined,
        expiresAt: -Infinity
      }
      this.states.set(view, state)
    }
    return state
  }

  private onQuota(effect: QuotaEffect): void {
    if (effect.kind === "sendPeer") {
      const {address, message} = effect
      this.dependencies.emit({kind: "sendPeer", address, message: {...message, scope: "backend"}})
      return
    }
    const view = this.viewByAskId.get(effect.requestId)
    this.applyDecision(effect.requestId, effect.decision)
    if (view) this.dependencies.onDecision(view.record.service, this.now)
  }

  private applyDecision(askId: string, decision: QuotaDecision): void {
    const view = this.viewByAskId.get(askId)
    const state = view && this.states.get(view)
    this.viewByAskId.delete(askId)
    if (!view || state?.askId !== askId) return
    state.askId = undefined
    if (decision.kind === "refused") {
      const intervalMs = this.dependencies.getFleet().members.length * ASK_INTERVAL_PER_DAEMON_MS
      state.retryAfterMs = decision.retryAfterMs
      state.nextAskAt = this.now + Math.max(MINIMUM_ASK_INTERVAL_MS, intervalMs)
      return
    }
    view.permits += 1
    state.expiresAt = this.now + PERMIT_LIFETIME_MS
    this.demands.get(view.record.service)?.addPermit(this.now)
  }
}
