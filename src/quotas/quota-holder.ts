/// What one daemon knows and has of one tenant's quota: requests that wait for the owner's word, what it may
/// spend without, and until when nothing is to be had.
import type {QuotaDecision} from "../forwarding/admit/tenant-quota.js"
import {NO_OWNER_RETRY_AFTER_MS, spreadQuotaRetryAfter} from "../forwarding/admit/retry-after.js"
import {MAXIMUM_NEEDS, type QuotaAnswer, type QuotaAsk} from "./quota-messages.js"
import {RESERVE_MS} from "./quota-owner.js"
import {getAllowance, type QuotaLimit, type QuotaSettings} from "./quota-settings.js"
import {TokenBucket} from "./token-bucket.js"

/// A request that waits.
export interface QuotaNeed {
  readonly requestId: string
  readonly tokens: number
  /// 0 the most urgent; undefined where all count alike.
  readonly priority?: number | undefined
  /// It is decided without the owner from then on. Monotonic milliseconds.
  readonly decideBy: number
}

const GRANTED: QuotaDecision = {kind: "granted"}
/// Requests of one tenant that wait at most.
const MAXIMUM_WAITING = 256
/// An ask without an answer times out after so long, and what a late answer grants is not spent.
/// Milliseconds. So what was granted outside of a window arrives within it for no more than this time.
const ASK_TIMEOUT_MS = 250

/// An ask that carries needs is given up after so long, and the next daemon in rank is asked: callers wait
/// 150 ms at most, and an owner that was killed costs them less. Milliseconds.
const REASK_MS = 20
/// Late answers to asks that were given up are heeded so long: what they grant in time is spent, the rest is
/// handed back. Milliseconds.
const CLOSED_MS = 2000

/// An ask that is under way.
interface OpenAsk {
  readonly sequence: number
  readonly ownerId: string
  readonly askedAt: number
  readonly needs: readonly QuotaNeed[]
  readonly spent: number
}

/// One tenant at one daemon. Times are monotonic milliseconds.
export class QuotaClient {
  private readonly allowance: TokenBucket
  private waiting: QuotaNeed[] = []
  private open: OpenAsk | undefined
  private closed: OpenAsk[] = []
  /// Daemons that were asked in vain for those that wait now.
  readonly triedOwners = new Set<string>()
  /// Requests of so many tokens or more are refused until then.
  private blockedUntil = -Infinity
  private blockedTokens = 0
  private retryAfterMs = NO_OWNER_RETRY_AFTER_MS
  private reserve = 0
  private answeredAt = -Infinity
  private answeredBy: string | undefined
  private unreported = 0
  private usedAt: number
  /// Since the process began. Tokens and requests.
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

  /// Takes a new limit: nothing that was told under the old one counts any more.
  setLimit(limit: QuotaLimit): void {
    if (limit.ratePerSecond === this.limit.ratePerSecond && limit.burst === this.limit.burst) return
    this.limit = limit
    this.reserve = 0
    this.blockedUntil = -Infinity
  }

  /// The daemons that share the allowance.
  setDaemons(daemons: number, now: number): void {
    const {ratePerSecond, burst} = getAllowance(this.settings, this.limit, daemons)
    this.allowance.setLimits(ratePerSecond, burst, now)
  }

  /// Decides at once where that is possible; else the request waits.
  take(need: QuotaNeed, now: number): QuotaDecision | undefined {
    this.usedAt = now
    if (!this.hasWaiting() && this.allowance.tryTake(need.tokens, now)) return this.spend(need)
    if (now < this.blockedUntil && need.tokens >= this.blockedTokens) return this.refuse(need, "limit", now)
    if (this.waiting.length >= MAXIMUM_WAITING) return this.refuse(need, "waiting", now)
    this.waiting.push(need)
    return undefined
  }

  /// Ends the wait of a request. Returns whether it waited.
  remove(requestId: string): boolean {
    const before = this.waiting.length
    this.waiting = this.waiting.filter(need => need.requestId !== requestId)
    return this.waiting.length < before
  }

  hasWaiting(): boolean {
    return this.waiting.length > 0
  }

  /// Whether there is something to ask or to tell, and no ask is under way.
  isAskDue(): boolean {
    return !this.open && (this.waiting.length > 0 || this.unreported !== 0)
  }

  /// Tokens were spent without asking, or given back when below 0.
  addSpent(tokens: number): void {
    this.unreported += tokens
  }

  /// The ask for all that wait.
  createAsk(tenant: string, ownerId: string, sequence: number, now: number): QuotaAsk {
    const needs = this.waiting.slice(0, MAXIMUM_NEEDS)
    const spent = this.unreported
    this.open = {sequence, ownerId, askedAt: now, needs, spent}
    this.unreported = 0
    const [first] = needs
    const priority = first?.priority === undefined ? {} : {priority: first.priority}
    return {kind: "quotaAsk", sequence, tenant, needs: needs.map(({tokens}) => tokens), ...priority, spent}
  }

  /// Takes the owner's word. Returns what became of those that waited; undefined when nothing waits for this
  /// answer.
  receiveAnswer(answer: QuotaAnswer, fromId: string, now: number): Map<string, QuotaDecision> | undefined {
    const late = this.takeClosed(answer.sequence)
    if (late) return this.receiveLate(late, answer, fromId, now)
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
    return this.settle(needs, answer.granted, now)
  }

  private takeClosed(sequence: number): OpenAsk | undefined {
    const late = this.closed.find(ask => ask.sequence === sequence)
    if (late) this.closed = this.closed.filter(ask => ask !== late)
    return late
  }

  /// An owner that is busy answers after another daemon was asked in its place. Its word counts for those that
  /// still wait: they would be refused although they are within the limit. After the time-out what it grants is
  /// not spent but handed back.
  private receiveLate(
    late: OpenAsk,
    answer: QuotaAnswer,
    fromId: string,
    now: number
  ): Map<string, QuotaDecision> | undefined {
    if (answer.notOwner) return undefined
    if (now - late.askedAt <= ASK_TIMEOUT_MS) return this.applyAnswer(late, answer, fromId, now)
    for (const place of answer.granted) this.unreported -= late.needs[place]?.tokens ?? 0
    return undefined
  }

  /// Ends an ask that nobody answers. What it told may have been debited: it is told again, unless that would
  /// credit twice.
  closeOverdueAsk(now: number): boolean {
    const {open} = this
    if (!open || now - open.askedAt < (open.needs.length > 0 ? REASK_MS : ASK_TIMEOUT_MS)) return false
    this.closed = [...this.closed.filter(({askedAt}) => now - askedAt < CLOSED_MS), open]
    this.unreported += Math.max(0, open.spent)
    this.triedOwners.add(open.ownerId)
    this.open = undefined
    return true
  }

  /// Decides what can wait no longer, or all that waits when there is nobody to ask.
  /// `unfitMs` is how long it takes at least until there is an owner.
  decideLocally(hasOwner: boolean, unfitMs: number, now: number): Map<string, QuotaDecision> {
    const decided = new Map<string, QuotaDecision>()
    for (const need of this.waiting)
      if (!hasOwner || now >= need.decideBy) decided.set(need.requestId, this.decideAlone(need, unfitMs, now))
    if (decided.size > 0) this.waiting = this.waiting.filter(need => !decided.has(need.requestId))
    if (this.waiting.length === 0) this.triedOwners.clear()
    return decided
  }

  /// Whether nothing here matters any more.
  isIdle(now: number, idleMs: number): boolean {
    return now - this.usedAt > idleMs && !this.open && this.unreported === 0 && this.waiting.length === 0
  }

  private settle(
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
      // Its caller left while the ask was under way.
      else if (isGranted) this.unreported -= need.tokens
    })
    this.waiting = this.waiting.filter(need => !decided.has(need.requestId))
    return decided
  }

  private decideAlone(need: QuotaNeed, unfitMs: number, now: number): QuotaDecision {
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
