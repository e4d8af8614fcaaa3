/// Tenants' quotas at one daemon: it asks the owners of buckets for tokens for its callers' requests, and
/// serves the buckets that it owns itself. Owns the quota clients and the buckets; relies on its caller
/// for the limits, the messages and the view of the fleet.
import type {QuotaDecision} from "../forwarding/admit/tenant-quota.js"
import type {Member} from "../membership/membership-messages.js"
import type {RandomSource} from "../shared/random.js"
import type {EffectSink} from "../shared/effect-sink.js"
import {OwnerRanking, type FleetView} from "./owner-ranking.js"
import {QuotaClient, type QuotaNeed} from "./quota-client.js"
import type {QuotaAnswer, QuotaAsk, QuotaHandover, QuotaMessage} from "./quota-messages.js"
import {OwnedBucket} from "./owned-bucket.js"
import {getBucketLimit, getDebtTokens, type QuotaLimit, type QuotaSettings} from "./quota-settings.js"

/// Messages and decisions that the manager emits.
export type QuotaEffect =
  | {readonly kind: "sendPeer"; readonly address: string; readonly message: QuotaMessage}
  | {readonly kind: "decide"; readonly requestId: string; readonly decision: QuotaDecision}

/// The id of a daemon, and the address at which it is asked.
type DaemonAddress = Pick<Member, "id" | "address">

/// Interval at which tokens spent without asking are reported. Milliseconds; some four times a second.
const REPORT_INTERVAL_MS = 240
/// State of an unused tenant is dropped after this time. Milliseconds.
const IDLE_MS = 30_000
/// Maximum number of daemons that are asked for one request.
const MAXIMUM_TRIES = 4

/// The quotas of one daemon. Times are monotonic milliseconds.
export class QuotaManager {
  private limits: ReadonlyMap<string, QuotaLimit> = new Map()
  private readonly ranking: OwnerRanking
  private readonly clients = new Map<string, QuotaClient>()
  private readonly buckets = new Map<string, OwnedBucket>()
  /// Tenants of waiting requests, by the id of the request.
  private readonly tenantByRequest = new Map<string, string>()
  private sequence = 0
  private nextReportAt = -Infinity
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

  /// Applies the limits of a configuration, by tenant. Buckets keep their level, up to a smaller depth.
  setLimits(limits: ReadonlyMap<string, QuotaLimit>, now: number): void {
    this.limits = limits
    for (const [tenant, client] of this.clients) {
      const limit = limits.get(tenant)
      if (limit) client.setLimit(limit)
      else this.removeClient(tenant, client)
    }
    for (const tenant of this.buckets.keys()) {
      // The bucket of a removed tenant is kept until it is idle and full: the tenant may be added again.
      if (limits.has(tenant)) this.getBucket(tenant, now)
    }
  }

  /// Asks for the tokens of a request. Returns undefined if the request waits; a `decide` effect follows.
  take(tenant: string, need: QuotaNeed, now: number): QuotaDecision | undefined {
    const {requestId} = need
    const client = this.getClient(tenant, now)
    if (!client) return {kind: "granted"}
    const decision = client.take(need, now)
    if (decision) return decision
    this.tenantByRequest.set(requestId, tenant)
    const decided = this.sendAsk(tenant, client, now)
    const immediate = decided.get(requestId)
    decided.delete(requestId)
    this.tenantByRequest.delete(immediate ? requestId : "")
    this.emitDecisions(decided)
    return immediate
  }

  /// Whether this daemon believes that it owns the tenant's bucket.
  isOwner(tenant: string, now: number): boolean {
    return this.ranking.isOwner(tenant, now)
  }

  /// The caller of a waiting request has disconnected.
  remove(requestId: string): void {
    const tenant = this.tenantByRequest.get(requestId)
    if (tenant === undefined) return
    this.tenantByRequest.delete(requestId)
    this.clients.get(tenant)?.remove(requestId)
  }

  /// Counts tokens without asking: of a request that is retried, or, if negative, of one that was never
  /// executed.
  charge(tenant: string, tokens: number, now: number): void {
    this.getClient(tenant, now)?.addSpent(tokens)
  }

  /// A message of any kind has arrived from a daemon, which shows that it is running.
  onContact(fromId: string, now: number): void {
    this.ranking.onContact(fromId, now)
  }

  /// Receives a message about quotas.
  receive(fromId: string, fromAddress: string, message: QuotaMessage, now: number): void {
    switch (message.kind) {
      case "quotaAsk":
        this.emit({kind: "sendPeer", address: fromAddress, message: this.makeAnswer(fromId, message, now)})
        break
      case "quotaAnswer":
        this.receiveAnswer(fromId, message, now)
        break
      case "quotaHandover":
        this.receiveHandover(message, now)
        break
    }
  }

  /// This process was paused until now: other daemons may own its buckets by now, so it drops them.
  onProcessResumed(now: number): void {
    this.ranking.onProcessResumed(now)
    this.buckets.clear()
  }

  /// Advances timers.
  tick(now: number): void {
    if (!this.ranking.tick(now)) this.buckets.clear()
    for (const {id, address} of this.ranking.pickProbes(now)) this.sendProbe(id, address, now)
    const isReportDue = now >= this.nextReportAt
    if (isReportDue) this.nextReportAt = now + REPORT_INTERVAL_MS
    for (const [tenant, client] of this.clients) this.tickClient(tenant, client, isReportDue, now)
    if (!isReportDue) return
    for (const [tenant, bucket] of this.buckets) this.tickBucket(tenant, bucket, now)
  }

  /// Figures for operators: numbers of tenants, buckets and requests here, and tokens and requests of all
  /// tenants since the process started.
  getFigures(): Readonly<Record<string, number>> {
    const sums = {...this.totals}
    for (const {totals} of this.clients.values()) addTotals(sums, totals)
    return {
      limits: this.limits.size,
      tenants: this.clients.size,
      owned: this.buckets.size,
      waiting: this.tenantByRequest.size,
      granted_tokens: sums.granted,
      refused_tokens: sums.refused,
      refused_requests: sums.refusedRequests
    }
  }

  private tickClient(tenant: string, client: QuotaClient, isReportDue: boolean, now: number): void {
    const isClosed = client.closeOverdueAsk(now)
    this.emitDecisions(client.decideLocally(true, 0, now))
    if (client.hasWaiting() ? isClosed || client.isAskDue() : isReportDue && client.isAskDue())
      this.emitDecisions(this.sendAsk(tenant, client, now))
    if (client.isIdle(now, IDLE_MS)) this.removeClient(tenant, client)
  }

  private removeClient(tenant: string, client: QuotaClient): void {
    const decided = new Map<string, QuotaDecision>()
    for (const [requestId, name] of this.tenantByRequest)
      if (name === tenant) decided.set(requestId, {kind: "granted"})
    addTotals(this.totals, client.totals)
    this.clients.delete(tenant)
    this.emitDecisions(decided)
  }

  private tickBucket(tenant: string, bucket: OwnedBucket, now: number): void {
    if (!this.limits.has(tenant)) {
      if (bucket.isIdle(now, IDLE_MS)) this.buckets.delete(tenant)
      return
    }
    const owner = this.ranking.findBelievedOwner(tenant, now)
    if (owner && owner.id !== this.selfId && this.ranking.getUnfitMs(now) === 0) {
      const level = bucket.getLevel(now)
      this.emit({kind: "sendPeer", address: owner.address, message: {kind: "quotaHandover", tenant, level}})
      this.buckets.delete(tenant)
    } else if (bucket.isIdle(now, IDLE_MS)) this.buckets.delete(tenant)
    else this.getBucket(tenant, now)
  }

  /// Sends an ask to `named`, the owner that a peer named, or else to the owner in the view of this
  /// daemon. Returns the decisions that are made at once.
  private sendAsk(
    tenant: string,
    client: QuotaClient,
    now: number,
    named?: DaemonAddress
  ): Map<string, QuotaDecision> {
    if (!client.isAskDue()) return new Map()
    const owner = named ?? this.findUntriedOwner(tenant, client, now)
    if (!owner) return client.decideLocally(false, this.ranking.getUnfitMs(now), now)
    this.sequence += 1
    const ask = client.createAsk(tenant, owner.id, this.sequence, now)
    if (owner.id === this.selfId)
      return client.receiveAnswer(this.makeAnswer(this.selfId, ask, now), this.selfId, now) ?? new Map()
    this.send(owner.id, owner.address, ask, now)
    return new Map()
  }

  private findUntriedOwner(
    tenant: string,
    {triedOwners}: QuotaClient,
    now: number
  ): DaemonAddress | undefined {
    return triedOwners.size < MAXIMUM_TRIES ? this.ranking.findOwner(tenant, now, triedOwners) : undefined
  }

  private send(id: string, address: string, ask: QuotaAsk, now: number): void {
    this.ranking.onAskSent(id, now)
    this.emit({kind: "sendPeer", address, message: ask})
  }

  private makeAnswer(fromId: string, ask: QuotaAsk, now: number): QuotaAnswer {
    const {tenant, sequence} = ask
    const none = {granted: [], blockedMs: 0, blockedTokens: 0, retryAfterMs: 0, reserve: 0}
    const base = {kind: "quotaAnswer" as const, sequence, tenant, notOwner: false, unfitMs: 0, owner: null}
    const bucket = this.limits.has(tenant) ? this.findBucket(tenant, now) : undefined
    if (bucket) return {...base, ...bucket.receiveAsk(fromId, ask, now)}
    const owner = this.ranking.findBelievedOwner(tenant, now)
    if (owner && this.ranking.isProbeNeeded(owner.id, now)) this.sendProbe(owner.id, owner.address, now)
    const unfitMs = this.ranking.getUnfitMs(now)
    return {...base, ...none, notOwner: true, unfitMs, owner: owner ? [owner.id, owner.address] : null}
  }

  /// Checks whether the owner answers, before this daemon takes over its buckets.
  private sendProbe(id: string, address: string, now: number): void {
    this.send(id, address, {kind: "quotaAsk", sequence: 0, tenant: "", needs: [], spent: 0}, now)
  }

  private receiveAnswer(fromId: string, answer: QuotaAnswer, now: number): void {
    if (answer.notOwner && answer.unfitMs > 0) this.ranking.setUnfit(fromId, answer.unfitMs, now)
    const client = this.clients.get(answer.tenant)
    const decided = client?.receiveAnswer(answer, fromId, now)
    if (!client || !decided) return
    this.emitDecisions(decided)
    if (!client.hasWaiting()) return
    const [id, address] = answer.owner ?? []
    const isNew =
      id !== undefined && address !== undefined && !client.triedOwners.has(id) && id !== this.selfId
    this.emitDecisions(this.sendAsk(answer.tenant, client, now, isNew ? {id, address} : undefined))
  }

  private receiveHandover({tenant, level}: QuotaHandover, now: number): void {
    if (!this.limits.has(tenant) || !this.ranking.isInContact(now)) return
    this.getBucket(tenant, now, level).applyHandover(level, now)
  }

  /// The bucket, if this daemon owns it.
  private findBucket(tenant: string, now: number): OwnedBucket | undefined {
    if (this.ranking.isOwner(tenant, now)) return this.getBucket(tenant, now)
    // While it is unfit it serves only buckets that were handed over to it.
    const isReturning = this.ranking.getUnfitMs(now) > 0 && this.ranking.isInContact(now)
    return isReturning ? this.buckets.get(tenant) : undefined
  }

  /// A bucket that is new here starts with the level that was handed over, or else with the inflow of the
  /// time for which this daemon would have been asked for it.
  private getBucket(tenant: string, now: number, handedLevel?: number): OwnedBucket {
    const {ratePerSecond, burst} = getBucketLimit(this.settings, this.limits.get(tenant) as QuotaLimit)
    const share = this.ranking.getShare()
    const limit = {ratePerSecond: ratePerSecond * share, burst: burst * share}
    let bucket = this.buckets.get(tenant)
    if (bucket) bucket.setLimit(limit, now)
    else {
      const inflow = (limit.ratePerSecond * this.ranking.getStableMs(now)) / 1000
      bucket = new OwnedBucket(limit, getDebtTokens(this.settings), handedLevel ?? inflow, now)
      this.buckets.set(tenant, bucket)
    }
    return bucket
  }

  private getClient(tenant: string, now: number): QuotaClient | undefined {
    const limit = this.limits.get(tenant)
    if (!limit) return undefined
    let client = this.clients.get(tenant)
    if (!client) {
      client = new QuotaClient(limit, this.settings, () => this.random.next(), now)
      this.clients.set(tenant, client)
    }
    const daemons = this.ranking.countDaemons()
    if (daemons !== undefined) client.setDaemons(daemons, now)
    return client
  }

  private emitDecisions(decided: ReadonlyMap<string, QuotaDecision>): void {
    for (const [requestId, decision] of decided) {
      this.tenantByRequest.delete(requestId)
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
