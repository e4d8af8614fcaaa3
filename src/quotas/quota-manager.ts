/// Tenants' quotas at one daemon: it asks the owners of buckets for its callers' requests, and runs the
/// buckets that it owns itself.
import type {QuotaDecision} from "../forwarding/admit/tenant-quota.js"
import type {Member} from "../membership/membership-messages.js"
import type {RandomSource} from "../shared/random.js"
import type {EffectSink} from "../shared/effect-sink.js"
import {OwnerRanking, type FleetView} from "./owner-ranking.js"
import {QuotaClient, type QuotaNeed} from "./quota-holder.js"
import type {QuotaAnswer, QuotaAsk, QuotaHandover, QuotaMessage} from "./quota-messages.js"
import {OwnedBucket} from "./quota-owner.js"
import {getBucketLimit, getDebtTokens, type QuotaLimit, type QuotaSettings} from "./quota-settings.js"

/// What the manager asks for.
export type QuotaEffect =
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: QuotaMessage}
  | {readonly kind: "decide"; readonly requestId: string; readonly decision: QuotaDecision}

/// Where a daemon is asked.
type DaemonPlace = Pick<Member, "id" | "address">

/// What was spent without asking is told so often. Milliseconds. Some four times a second.
const TELL_INTERVAL_MS = 240
/// State of a tenant that nobody uses is dropped after so long. Milliseconds.
const IDLE_MS = 30_000
/// Daemons that are asked for one request at most.
const MAXIMUM_TRIES = 4

/// The quotas of one daemon. Times are monotonic milliseconds.
export class QuotaManager {
  private limits: ReadonlyMap<string, QuotaLimit> = new Map()
  private readonly ranking: OwnerRanking
  private readonly holders = new Map<string, QuotaClient>()
  private readonly owned = new Map<string, OwnedBucket>()
  /// Tenants of waiting requests.
  private readonly tenantOf = new Map<string, string>()
  private sequence = 0
  private nextTellAt = -Infinity
  private totals = {granted: 0, refused: 0, refusedRequests: 0}

  constructor(
    private readonly selfId: string,
    private readonly settings: QuotaSettings,
    getFleet: () => FleetView,
    private readonly random: RandomSource,
    private readonly emit: EffectSink<QuotaEffect>
  ) {
    this.ranking = new OwnerRanking(selfId, getFleet)
  }

  /// Takes the limits of a configuration, by tenant. Buckets keep what they have, smaller ones are cut.
  setLimits(limits: ReadonlyMap<string, QuotaLimit>, now: number): void {
    this.limits = limits
    for (const [tenant, holder] of this.holders) {
      const limit = limits.get(tenant)
      if (limit) holder.setLimit(limit)
      else this.releaseHolder(tenant, holder)
    }
    for (const tenant of this.owned.keys()) {
      // The bucket of one that is removed stays until it would be full in any case: the tenant may come back.
      if (limits.has(tenant)) this.getBucket(tenant, now)
    }
  }

  /// Asks for a request. Undefined: it waits, and a `decide` effect follows.
  take(tenant: string, need: QuotaNeed, now: number): QuotaDecision | undefined {
    const {requestId} = need
    const holder = this.getHolder(tenant, now)
    if (!holder) return {kind: "granted"}
    const decision = holder.take(need, now)
    if (decision) return decision
    this.tenantOf.set(requestId, tenant)
    const decided = this.ask(tenant, holder, now)
    const own = decided.get(requestId)
    decided.delete(requestId)
    this.tenantOf.delete(own ? requestId : "")
    this.tell(decided)
    return own
  }

  /// Whether this daemon takes itself for the owner of the tenant's bucket.
  isOwner(tenant: string, now: number): boolean {
    return this.ranking.isOwner(tenant, now)
  }

  /// The caller of a request that waits has left.
  remove(requestId: string): void {
    const tenant = this.tenantOf.get(requestId)
    if (tenant === undefined) return
    this.tenantOf.delete(requestId)
    this.holders.get(tenant)?.remove(requestId)
  }

  /// Counts tokens without asking: of a request that runs once more, or, below 0, of one that never ran.
  charge(tenant: string, tokens: number, now: number): void {
    this.getHolder(tenant, now)?.addSpent(tokens)
  }

  /// Any message of a daemon shows that it runs.
  onContact(fromId: string, now: number): void {
    this.ranking.onContact(fromId, now)
  }

  /// Takes a message about quotas.
  receive(fromId: string, fromAddress: string, message: QuotaMessage, now: number): void {
    switch (message.kind) {
      case "quotaAsk":
        this.emit({kind: "sendPeer", address: fromAddress, message: this.answer(fromId, message, now)})
        break
      case "quotaAnswer":
        this.receiveAnswer(fromId, message, now)
        break
      case "quotaHandover":
        this.receiveHandover(message, now)
        break
    }
  }

  /// This process stood still until now. Others may own its buckets by now: what it has of them counts no
  /// more.
  onProcessResumed(now: number): void {
    this.ranking.onProcessResumed(now)
    this.owned.clear()
  }

  /// Advances timers.
  tick(now: number): void {
    if (!this.ranking.tick(now)) this.owned.clear()
    for (const {id, address} of this.ranking.pickProbes(now)) this.probe(id, address, now)
    const tells = now >= this.nextTellAt
    if (tells) this.nextTellAt = now + TELL_INTERVAL_MS
    for (const [tenant, holder] of this.holders) this.tickHolder(tenant, holder, tells, now)
    if (!tells) return
    for (const [tenant, bucket] of this.owned) this.tickBucket(tenant, bucket, now)
  }

  /// Sums over all tenants, and how many there are here. Tokens and requests since the process began.
  getFigures(): Readonly<Record<string, number>> {
    const sums = {...this.totals}
    for (const {totals} of this.holders.values()) addTotals(sums, totals)
    return {
      limits: this.limits.size,
      tenants: this.holders.size,
      owned: this.owned.size,
      waiting: this.tenantOf.size,
      granted_tokens: sums.granted,
      refused_tokens: sums.refused,
      refused_requests: sums.refusedRequests
    }
  }

  private tickHolder(tenant: string, holder: QuotaClient, tells: boolean, now: number): void {
    const isLate = holder.closeOverdueAsk(now)
    this.tell(holder.decideLocally(true, 0, now))
    if (holder.hasWaiting() ? isLate || holder.isAskDue() : tells && holder.isAskDue())
      this.tell(this.ask(tenant, holder, now))
    if (holder.isIdle(now, IDLE_MS)) this.releaseHolder(tenant, holder)
  }

  private releaseHolder(tenant: string, holder: QuotaClient): void {
    const decided = new Map<string, QuotaDecision>()
    for (const [requestId, name] of this.tenantOf)
      if (name === tenant) decided.set(requestId, {kind: "granted"})
    addTotals(this.totals, holder.totals)
    this.holders.delete(tenant)
    this.tell(decided)
  }

  private tickBucket(tenant: string, bucket: OwnedBucket, now: number): void {
    if (!this.limits.has(tenant)) {
      if (bucket.isIdle(now, IDLE_MS)) this.owned.delete(tenant)
      return
    }
    const owner = this.ranking.findBelievedOwner(tenant, now)
    if (owner && owner.id !== this.selfId && this.ranking.getUnfitMs(now) === 0) {
      const level = bucket.getLevel(now)
      this.emit({kind: "sendPeer", address: owner.address, message: {kind: "quotaHandover", tenant, level}})
      this.owned.delete(tenant)
    } else if (bucket.isIdle(now, IDLE_MS)) this.owned.delete(tenant)
    else this.getBucket(tenant, now)
  }

  /// Asks whoever owns the bucket, or the daemon that is said to own it. Returns what is decided at once.
  private ask(
    tenant: string,
    holder: QuotaClient,
    now: number,
    said?: DaemonPlace
  ): Map<string, QuotaDecision> {
    if (!holder.isAskDue()) return new Map()
    const owner = said ?? this.findUntried(tenant, holder, now)
    if (!owner) return holder.decideLocally(false, this.ranking.getUnfitMs(now), now)
    this.sequence += 1
    const ask = holder.createAsk(tenant, owner.id, this.sequence, now)
    if (owner.id === this.selfId)
      return holder.receiveAnswer(this.answer(this.selfId, ask, now), this.selfId, now) ?? new Map()
    this.send(owner.id, owner.address, ask, now)
    return new Map()
  }

  private findUntried(
    tenant: string,
    {triedOwners: tried}: QuotaClient,
    now: number
  ): DaemonPlace | undefined {
    return tried.size < MAXIMUM_TRIES ? this.ranking.findOwner(tenant, now, tried) : undefined
  }

  private send(id: string, address: string, ask: QuotaAsk, now: number): void {
    this.ranking.onAskSent(id, now)
    this.emit({kind: "sendPeer", address, message: ask})
  }

  private answer(fromId: string, ask: QuotaAsk, now: number): QuotaAnswer {
    const {tenant, sequence} = ask
    const none = {granted: [], blockedMs: 0, blockedTokens: 0, retryAfterMs: 0, reserve: 0}
    const base = {kind: "quotaAnswer" as const, sequence, tenant, notOwner: false, unfitMs: 0, owner: null}
    const bucket = this.limits.has(tenant) ? this.findBucket(tenant, now) : undefined
    if (bucket) return {...base, ...bucket.receiveAsk(fromId, ask, now)}
    const owner = this.ranking.findBelievedOwner(tenant, now)
    if (owner && this.ranking.isProbeNeeded(owner.id, now)) this.probe(owner.id, owner.address, now)
    const unfitMs = this.ranking.getUnfitMs(now)
    return {...base, ...none, notOwner: true, unfitMs, owner: owner ? [owner.id, owner.address] : null}
  }

  /// Finds out whether the owner runs, before this daemon takes its place.
  private probe(id: string, address: string, now: number): void {
    this.send(id, address, {kind: "quotaAsk", sequence: 0, tenant: "", needs: [], spent: 0}, now)
  }

  private receiveAnswer(fromId: string, answer: QuotaAnswer, now: number): void {
    if (answer.notOwner && answer.unfitMs > 0) this.ranking.setUnfit(fromId, answer.unfitMs, now)
    const holder = this.holders.get(answer.tenant)
    const decided = holder?.receiveAnswer(answer, fromId, now)
    if (!holder || !decided) return
    this.tell(decided)
    if (!holder.hasWaiting()) return
    const [id, address] = answer.owner ?? []
    const isNew =
      id !== undefined && address !== undefined && !holder.triedOwners.has(id) && id !== this.selfId
    this.tell(this.ask(answer.tenant, holder, now, isNew ? {id, address} : undefined))
  }

  private receiveHandover({tenant, level}: QuotaHandover, now: number): void {
    if (!this.limits.has(tenant) || !this.ranking.isInContact(now)) return
    this.getBucket(tenant, now, level).applyHandover(level, now)
  }

  /// The bucket, if this daemon owns it.
  private findBucket(tenant: string, now: number): OwnedBucket | undefined {
    if (this.ranking.isOwner(tenant, now)) return this.getBucket(tenant, now)
    // Handed over before this daemon is fit otherwise.
    const isYoung = this.ranking.getUnfitMs(now) > 0 && this.ranking.isInContact(now)
    return isYoung ? this.owned.get(tenant) : undefined
  }

  /// A bucket that is new here holds what came in while this daemon would have been asked for it, or what was
  /// handed over.
  private getBucket(tenant: string, now: number, handedLevel?: number): OwnedBucket {
    const {ratePerSecond, burst} = getBucketLimit(this.settings, this.limits.get(tenant) as QuotaLimit)
    const share = this.ranking.getShare()
    const limit = {ratePerSecond: ratePerSecond * share, burst: burst * share}
    let bucket = this.owned.get(tenant)
    if (bucket) bucket.setLimit(limit, now)
    else {
      const earned = (limit.ratePerSecond * this.ranking.getStableMs(now)) / 1000
      bucket = new OwnedBucket(limit, getDebtTokens(this.settings), handedLevel ?? earned, now)
      this.owned.set(tenant, bucket)
    }
    return bucket
  }

  private getHolder(tenant: string, now: number): QuotaClient | undefined {
    const limit = this.limits.get(tenant)
    if (!limit) return undefined
    let holder = this.holders.get(tenant)
    if (!holder) {
      holder = new QuotaClient(limit, this.settings, () => this.random.next(), now)
      this.holders.set(tenant, holder)
    }
    const daemons = this.ranking.countDaemons()
    if (daemons !== undefined) holder.setDaemons(daemons, now)
    return holder
  }

  private tell(decided: ReadonlyMap<string, QuotaDecision>): void {
    for (const [requestId, decision] of decided) {
      this.tenantOf.delete(requestId)
      this.emit({kind: "decide", requestId, decision})
    }
  }
}

function addTotals(
  sums: {granted: number; refused: number; refusedRequests: number},
  more: typeof sums
): void {
  sums.granted += more.granted
  sums.refused += more.refused
  sums.refusedRequests += more.refusedRequests
}
