/// The client side of one tenant's quota at one daemon: requests that wait for the owner's answer, tokens
/// that may be spent without it, and the time until which requests are refused without asking. Owns the
/// asks to the owner and the tokens that are still to be reported to it; relies on its caller to pick the
/// owner and to send the asks.
import type {QuotaDecision} from "../forwarding/admit/tenant-quota.js"
import {NO_OWNER_RETRY_AFTER_MS, spreadQuotaRetryAfter} from "../forwarding/admit/retry-after.js"
import {MAXIMUM_NEEDS, type QuotaAnswer, type QuotaAsk} from "./quota-messages.js"
import {RESERVE_MS} from "./owned-bucket.js"
import {getAllowance, type QuotaLimit, type QuotaSettings} from "./quota-settings.js"
import {TokenBucket} from "./token-bucket.js"

/// A request that needs tokens.
export interface QuotaNeed {
  readonly requestId: string
  readonly tokens: number
  /// 0 the most urgent; undefined where all are equal.
  readonly priority?: number | undefined
  /// From this time on it is decided without the owner. Monotonic milliseconds.
  readonly decideBy: number
}

const GRANTED: QuotaDecision = {kind: "granted"}
/// Maximum number of waiting requests of one tenant.
const MAXIMUM_WAITING = 256
/// An ask without an answer times out after this time, and what a later answer grants is not spent.
/// Milliseconds. So tokens granted before a window can be spent within it for no longer than this time.
const ASK_TIMEOUT_MS = 250

/// An ask with needs is closed without an answer after this time, and the next daemon in rank is asked:
/// callers wait 150 ms at most, and an owner that was killed must cost them less. Milliseconds.
const REASK_MS = 20
/// Answers to closed asks are accepted for this time: what they grant before the time-out is spent, the
/// rest is returned. Milliseconds.
const CLOSED_ASK_MEMORY_MS = 2000

/// An ask in flight.
interface OpenAsk {
  readonly sequence: number
  readonly ownerId: string
  readonly askedAt: number
  readonly needs: readonly QuotaNeed[]
  readonly spent: number
}

/// The quota client of one tenant. Times are monotonic milliseconds.
export class QuotaClient {
  private readonly allowance: TokenBucket
  private waiting: QuotaNeed[] = []
  private open: OpenAsk | undefined
  private closed: OpenAsk[] = []
  /// Daemons that were asked for the waiting requests and decided nothing.
  readonly triedOwners = new Set<string>()
  /// Until this time requests of at least `blockedTokens` tokens are refused.
  private blockedUntil = -Infinity
  private blockedTokens = 0
  private retryAfterMs = NO_OWNER_RETRY_AFTER_MS
  private reserve = 0
  private answeredAt = -Infinity
  private answeredBy: string | undefined
  private unreported = 0
  private usedAt: number
  /// Tokens and requests since the process started.
  readonly totals = {granted: 0, refused: 0, refusedRequests: 0}

  constructor(
    private limit: QuotaLimit,
    private readonly settings: QuotaSettings,
    private readonly getRandom: () => number,
    now: number
  ) {
    this.allowance = new TokenBucket(0, 0, now)
    this.usedAt = now
  }

  /// Applies a new limit: the owner's answers under the old one are void.
  setLimit(limit: QuotaLimit): void {
    if (limit.ratePerSecond === this.limit.ratePerSecond && limit.burst === this.limit.burst) return
    this.limit = limit
    this.reserve = 0
    this.blockedUntil = -Infinity
  }

  /// Sets the number of daemons that share the allowance.
  setDaemons(daemons: number, now: number): void {
    const {ratePerSecond, burst} = getAllowance(this.settings, this.limit, daemons)
    this.allowance.setLimits(ratePerSecond, burst, now)
  }

  /// Decides at once where possible; otherwise the request waits and undefined is returned.
  take(need: QuotaNeed, now: number): QuotaDecision | undefined {
    this.usedAt = now
    if (!this.hasWaiting() && this.allowance.tryTake(need.tokens, now)) return this.spend(need)
    if (now < this.blockedUntil && need.tokens >= this.blockedTokens) return this.refuse(need, "limit", now)
    if (this.waiting.length >= MAXIMUM_WAITING) return this.refuse(need, "waiting", now)
    this.waiting.push(need)
    return undefined
  }

  /// Removes a waiting request. Returns whether it was waiting.
  remove(requestId: string): boolean {
    const countBefore = this.waiting.length
    this.waiting = this.waiting.filter(need => need.requestId !== requestId)
    return this.waiting.length < countBefore
  }

  hasWaiting(): boolean {
    return this.waiting.length > 0
  }

  /// Whether there is something to ask for or to report, and no ask is in flight.
  isAskDue(): boolean {
    return !this.open && (this.waiting.length > 0 || this.unreported !== 0)
  }

  /// Adds tokens that were spent without asking; a negative number returns tokens.
  addSpent(tokens: number): void {
    this.unreported += tokens
  }

  /// Creates the ask for the waiting requests.
  createAsk(tenant: string, ownerId: string, sequence: number, now: number): QuotaAsk {
    const needs = this.waiting.slice(0, MAXIMUM_NEEDS)
    const spent = this.unreported
    this.open = {sequence, ownerId, askedAt: now, needs, spent}
    this.unreported = 0
    const [first] = needs
    const priority = first?.priority === undefined ? {} : {priority: first.priority}
    return {kind: "quotaAsk", sequence, tenant, needs: needs.map(({tokens}) => tokens), ...priority, spent}
  }

  /// Receives the owner's answer. Returns the decisions on waiting requests; undefined when no ask waits
  /// for this answer.
  receiveAnswer(answer: QuotaAnswer, fromId: string, now: number): Map<string, QuotaDecision> | undefined {
    const closed = this.removeClosedAsk(answer.sequence)
    if (closed) return this.receiveLateAnswer(closed, answer, fromId, now)
    const {open} = this
    if (open?.sequence !== answer.sequence || now - open.askedAt > ASK_TIMEOUT_MS) return undefined
    this.open = undefined
    if (answer.notOwner) {
      this.unreported += open.spent
      this.triedOwners.add(fromId)
      return new Map()
    }
    return this.applyAnswer(open, answer, fromId, now)
  }

  private applyAnswer(
    {needs}: OpenAsk,
    answer: QuotaAnswer,
    fromId: string,
    now: number
  ): Map<string, QuotaDecision> {
    this.triedOwners.clear()
    this.answeredAt = now
    this.answeredBy = fromId
    this.reserve = answer.reserve
    this.retryAfterMs = answer.retryAfterMs || NO_OWNER_RETRY_AFTER_MS
    this.blockedUntil = now + answer.blockedMs
    this.blockedTokens = answer.blockedTokens
    return this.applyGrants(needs, answer.granted, now)
  }

  private removeClosedAsk(sequence: number): OpenAsk | undefined {
    const closed = this.closed.find(ask => ask.sequence === sequence)
    if (closed) this.closed = this.closed.filter(ask => ask !== closed)
    return closed
  }

  /// A busy owner may answer after the next daemon in rank was asked. Its answer counts for requests that
  /// still wait: they would be refused although they are within the limit. After the time-out the tokens
  /// that it grants are not spent but returned.
  private receiveLateAnswer(
    closed: OpenAsk,
    answer: QuotaAnswer,
    fromId: string,
    now: number
  ): Map<string, QuotaDecision> | undefined {
    if (answer.notOwner) return undefined
    if (now - closed.askedAt <= ASK_TIMEOUT_MS) return this.applyAnswer(closed, answer, fromId, now)
    for (const index of answer.granted) this.unreported -= closed.needs[index]?.tokens ?? 0
    return undefined
  }

  /// Closes an ask that was not answered in time. Returns whether one was closed. The tokens that it
  /// reported as spent may have been debited already and are reported again; returned tokens are not,
  /// since they might be credited twice.
  closeOverdueAsk(now: number): boolean {
    const {open} = this
    if (!open || now - open.askedAt < (open.needs.length > 0 ? REASK_MS : ASK_TIMEOUT_MS)) return false
    this.closed = [...this.closed.filter(({askedAt}) => now - askedAt < CLOSED_ASK_MEMORY_MS), open]
    this.unreported += Math.max(0, open.spent)
    this.triedOwners.add(open.ownerId)
    this.open = undefined
    return true
  }

  /// Decides the requests that can wait no longer, or all that wait when there is no daemon to ask.
  /// `unfitMs` is the minimum time until there is an owner, in milliseconds.
  decideLocally(hasOwner: boolean, unfitMs: number, now: number): Map<string, QuotaDecision> {
    const decided = new Map<string, QuotaDecision>()
    for (const need of this.waiting)
      if (!hasOwner || now >= need.decideBy) decided.set(need.requestId, this.decideOne(need, unfitMs, now))
    if (decided.size > 0) this.waiting = this.waiting.filter(need => !decided.has(need.requestId))
    if (this.waiting.length === 0) this.triedOwners.clear()
    return decided
  }

  /// Whether there is nothing to ask for or to report, and no request has come for `idleMs` milliseconds.
  isIdle(now: number, idleMs: number): boolean {
    return now - this.usedAt > idleMs && !this.open && this.unreported === 0 && this.waiting.length === 0
  }

  private applyGrants(
    needs: readonly QuotaNeed[],
    granted: readonly number[],
    now: number
  ): Map<string, QuotaDecision> {
    const decided = new Map<string, QuotaDecision>()
    const waiting = new Set(this.waiting)
    needs.forEach((need, index) => {
      const isGranted = granted.includes(index)
      if (waiting.has(need))
        decided.set(need.requestId, isGranted ? this.grant(need) : this.refuse(need, "limit", now))
      // The caller disconnected while the ask was in flight.
      else if (isGranted) this.unreported -= need.tokens
    })
    this.waiting = this.waiting.filter(need => !decided.has(need.requestId))
    return decided
  }

  private decideOne(need: QuotaNeed, unfitMs: number, now: number): QuotaDecision {
    if (this.allowance.tryTake(need.tokens, now)) return this.spend(need)
    if (now - this.answeredAt > RESERVE_MS || need.tokens > this.reserve) {
      this.retryAfterMs = unfitMs + NO_OWNER_RETRY_AFTER_MS
      return this.refuse(need, "silence", now)
    }
    this.reserve -= need.tokens
    return this.spend(need)
  }

  private spend(need: QuotaNeed): QuotaDecision {
    this.unreported += need.tokens
    return this.grant(need)
  }

  private grant({tokens}: QuotaNeed): QuotaDecision {
    this.totals.granted += tokens
    return GRANTED
  }

  private refuse({tokens}: QuotaNeed, reason: string, now: number): QuotaDecision {
    this.totals.refused += tokens
    this.totals.refusedRequests += 1
    const retryAfterMs = spreadQuotaRetryAfter(this.retryAfterMs, this.getRandom())
    const {ratePerSecond, burst} = this.limit
    const toldMsAgo = this.answeredBy === undefined ? undefined : Math.round(now - this.answeredAt)
    const allowance = Math.floor(this.allowance.getLevel(now))
    const fields = {reason, tokens, ratePerSecond, burst, allowance, toldBy: this.answeredBy, toldMsAgo}
    return {kind: "refused", retryAfterMs, fields}
  }
}
