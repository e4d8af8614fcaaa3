/// Permits of this daemon to send requests to back ends that name a limit. All daemons together may send such
/// a back end so many requests a second as it names, so each request there takes a permit of a bucket that
/// one daemon runs for the whole fleet, as it does for tenants' quotas (src/quotas).
///
/// A daemon with requests for a service asks for one permit of each limited back end ahead of its use: where
/// others take the requests, none of them waits for the answer. Owns the permits in hand and the asks under
/// way.
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

/// In any window a back end may get one and a half times its limit, and five requests more.
const BUCKET_SETTINGS: QuotaSettings = {windowMs: 4000, overage: 0.5, slackTokens: 5}
/// A back end is asked at least so often whether its limit still holds. Requests a second; within the slack
/// of the bucket.
const SLOWEST_PER_SECOND = 0.25
/// Requests beyond the rate, at once: urgent ones that come together.
const BURST = 1
/// A permit that is not used for so long is handed back. Milliseconds. What is granted so reaches the back
/// end at about the time at which it was counted.
const PERMIT_LIFETIME_MS = 500
/// An ask without an answer counts as refused after so long. Milliseconds.
const ASK_TIMEOUT_MS = 250
/// After a refusal a back end's permit is asked for again after so long for each daemon of the fleet, and at
/// least after so long, so that the daemon that grants them bears a hundred asks a second. Milliseconds.
const ASK_PAUSE_PER_DAEMON_MS = 10
const SHORTEST_ASK_PAUSE_MS = 100

/// What the manager relies on.
interface PermitManagerDependencies {
  readonly selfId: string
  readonly random: RandomSource
  readonly getFleet: () => FleetView
  /// Called when a request of the service may find a permit, or need not wait for one any more.
  readonly onDecision: (service: string, now: number) => void
  readonly emit: EffectSink<{
    readonly kind: "sendPeer"
    readonly address: string
    readonly message: QuotaMessage
  }>
}

/// The permits of one back end.
interface PermitState {
  readonly key: string
  /// The ask under way.
  askId: string | undefined
  /// Priority of the request that is or was last asked for.
  priority: number
  /// For requests that are no more urgent it is not asked for again before.
  nextAskAt: number
  /// When the daemon that grants permits expects one to be free, as it last said. Milliseconds.
  retryAfterMs: number | undefined
  /// The permit in hand is handed back then.
  expiresAt: number
}

/// The permits of one daemon. Times are monotonic milliseconds.
export class PermitManager {
  private readonly buckets: QuotaManager
  private readonly states = new Map<BackendView, PermitState>()
  private readonly asked = new Map<string, BackendView>()
  private readonly demands = new Map<string, PermitDemand>()
  private asks = 0
  /// The time of the event that is handled now.
  private now = -Infinity

  constructor(private readonly dependencies: PermitManagerDependencies) {
    const {selfId, random, getFleet} = dependencies
    this.buckets = new QuotaManager(selfId, BUCKET_SETTINGS, getFleet, random, effect => this.onQuota(effect))
  }

  /// Takes the back ends that name a limit now.
  setLimited(views: readonly BackendView[], now: number): void {
    this.now = now
    const limits = new Map<string, QuotaLimit>()
    for (const view of views) {
      const ratePerSecond = Math.max(SLOWEST_PER_SECOND, view.limit.get() ?? 0)
      limits.set(getIncarnation(view.record), {ratePerSecond, burst: BURST})
    }
    for (const [view, {key, askId}] of this.states) {
      if (limits.has(key) && getIncarnation(view.record) === key) continue
      view.permits = 0
      this.states.delete(view)
      if (askId !== undefined) this.asked.delete(askId)
    }
    this.buckets.setLimits(limits, now)
    for (const service of new Set(views.map(view => view.record.service)))
      if (!this.demands.has(service)) this.demands.set(service, new PermitDemand())
  }

  /// What competes for the permits of a service; undefined until one of its back ends has named a limit.
  getDemand(service: string): PermitDemand | undefined {
    return this.demands.get(service)
  }

  /// Asks for a permit of each of these back ends, which name a limit, where none is in hand.
  ask(views: readonly BackendView[], priority: number, now: number): void {
    this.now = now
    for (const view of views) if (this.mayAsk(view, priority)) this.askOne(view, priority)
  }

  /// Asks for one permit of any of these back ends, one back end after another, for a request that no other
  /// back end can take. Asked all at once they would grant it several, and others none.
  askAny(views: readonly BackendView[], priority: number, now: number): void {
    this.now = now
    const offset = this.dependencies.random.below(views.length)
    for (let index = 0; index < views.length; index += 1) {
      if (views.some(view => view.permits > 0 || this.isAskedFor(view, priority))) return
      const view = views[(offset + index) % views.length]
      if (this.mayAsk(view, priority)) this.askOne(view, priority)
    }
  }

  /// Whether an answer is due from one of these.
  isAsking(views: readonly BackendView[]): boolean {
    return views.some(view => this.states.get(view)?.askId !== undefined)
  }

  /// When there may be a permit of one of these for a request of this priority: what the fleet's demand says,
  /// or sooner when this daemon's own demand of that priority is small. Milliseconds from now.
  getRetryAfterMs(views: readonly BackendView[], priority: number, now: number): number {
    const [{record}] = views
    const backlogMs = this.demands.get(record.service)?.getBacklogMs(priority, now) ?? 0
    const ownMs = spreadQuotaRetryAfter(getQuotaRetryAfterMs(backlogMs), this.dependencies.random.next())
    const toldMs = views.map(view => this.states.get(view)?.retryAfterMs ?? NO_OWNER_RETRY_AFTER_MS)
    return Math.min(ownMs, ...toldMs)
  }

  /// Whether this daemon runs the bucket of a back end.
  isOwner(view: BackendView, now: number): boolean {
    return this.buckets.isOwner(getIncarnation(view.record), now)
  }

  /// Any message of a daemon shows that it runs.
  onContact(fromId: string, now: number): void {
    this.buckets.onContact(fromId, now)
  }

  /// Takes a message about permits.
  receive(fromId: string, fromAddress: string, message: QuotaMessage, now: number): void {
    this.now = now
    this.buckets.receive(fromId, fromAddress, message, now)
  }

  /// This process stood still until now: what it was granted before is out of date.
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

  /// Sums over all back ends. Requests since the process began.
  getFigures(): Readonly<Record<string, number>> {
    const {granted_tokens: granted, refused_requests: refused, limits, owned} = this.buckets.getFigures()
    return {limited: limits, owned, granted, refused}
  }

  private mayAsk(view: BackendView, priority: number): boolean {
    const {askId, nextAskAt, priority: askedPriority} = this.getState(view)
    const isPaused = this.now < nextAskAt && priority >= askedPriority
    return view.permits === 0 && askId === undefined && !isPaused
  }

  /// Whether a permit is asked for, for a request of this priority or a more urgent one.
  private isAskedFor(view: BackendView, priority: number): boolean {
    const state = this.states.get(view)
    return state?.askId !== undefined && state.priority <= priority
  }

  private askOne(view: BackendView, priority: number): void {
    const state = this.getState(view)
    this.asks += 1
    const askId = `permit ${this.asks}`
    state.askId = askId
    state.priority = priority
    this.asked.set(askId, view)
    const need = {requestId: askId, tokens: 1, priority, decideBy: this.now + ASK_TIMEOUT_MS}
    const decision = this.buckets.take(state.key, need, this.now)
    if (decision) this.settle(askId, decision)
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
    const view = this.asked.get(effect.requestId)
    this.settle(effect.requestId, effect.decision)
    if (view) this.dependencies.onDecision(view.record.service, this.now)
  }

  private settle(askId: string, decision: QuotaDecision): void {
    const view = this.asked.get(askId)
    const state = view && this.states.get(view)
    this.asked.delete(askId)
    if (!view || state?.askId !== askId) return
    state.askId = undefined
    if (decision.kind === "refused") {
      const pauseMs = this.dependencies.getFleet().members.length * ASK_PAUSE_PER_DAEMON_MS
      state.retryAfterMs = decision.retryAfterMs
      state.nextAskAt = this.now + Math.max(SHORTEST_ASK_PAUSE_MS, pauseMs)
      return
    }
    view.permits += 1
    state.expiresAt = this.now + PERMIT_LIFETIME_MS
    this.demands.get(view.record.service)?.addPermit(this.now)
  }
}
