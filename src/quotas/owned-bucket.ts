/// The buckets that one daemon owns for the whole fleet. Their accounting is exact: tokens are debited
/// before the grant is sent. Owns the decision on each need; relies on its caller to ensure that it is the
/// owner.
import {getQuotaRetryAfterMs, LONGEST_QUOTA_RETRY_AFTER_MS} from "../forwarding/admit/retry-after.js"
import type {QuotaAnswer, QuotaAsk} from "./quota-messages.js"
import type {QuotaLimit} from "./quota-settings.js"
import {TokenBucket} from "./token-bucket.js"

/// An owner's decision on an ask.
type OwnerDecision = Pick<QuotaAnswer, "granted" | "blockedMs" | "blockedTokens" | "retryAfterMs" | "reserve">

/// For this time after its last ask a daemon counts among those that serve the tenant, and may spend the
/// reserve of the owner's last answer. Milliseconds; docs/design/quotas.md.
export const RESERVE_MS = 2500
/// Share of the level that all daemons that serve the tenant may spend together when the owner stops
/// answering. The next owner starts with an empty bucket, so that no more than this share is spent in
/// addition.
const RESERVE_SHARE = 0.25
/// The minimum depth of a bucket is the inflow of this time: a limit without a burst would grant nothing.
/// Milliseconds.
const MINIMUM_DEPTH_MS = 250
/// Share of the rate that may be overdrawn.
const OVERDRAFT_SHARE = 0.25
/// Requests of less than this share of the maximum debt do not overdraw: they would exhaust it for the
/// larger ones.
const SMALL_REQUEST_SHARE = 0.02
/// Tokens that less urgent needs leave in the bucket while more urgent ones are expected.
const URGENT_RESERVE_TOKENS = 1
/// More urgent needs are expected for this time after the last one. Milliseconds.
const URGENT_MEMORY_MS = 4000
/// Bounds of the time for which a daemon does not ask again. Milliseconds. The maximum bounds the
/// delay after which a full refill is noticed.
const MINIMUM_BLOCK_MS = 20
const MAXIMUM_BLOCK_MS = 500

/// One tenant's bucket, and the daemons that ask for it. Times are monotonic milliseconds.
export class OwnedBucket {
  private readonly bucket: TokenBucket
  /// Starts empty like the other, so that the debts of frequently changing owners do not add up.
  private readonly overdraft: TokenBucket
  private readonly debtTokens: number
  private readonly askedAt = new Map<string, number>()
  /// When needs of each priority last arrived.
  private readonly neededAt = new Map<number, number>()
  /// Tokens of refused requests whose time to retry has not come yet.
  private backlog = 0
  private backlogAt: number
  private usedAt: number

  /// `level` is the number of tokens that the bucket certainly holds.
  constructor(
    private limit: QuotaLimit,
    debtTokens: number,
    level: number,
    now: number
  ) {
    this.bucket = new TokenBucket(limit.ratePerSecond, getDepth(limit), now)
    this.bucket.take(-level, now)
    this.overdraft = new TokenBucket(limit.ratePerSecond * OVERDRAFT_SHARE, debtTokens, now)
    this.debtTokens = debtTokens
    this.backlogAt = now
    this.usedAt = now
  }

  /// Applies a new limit, or the share of it that this side of a partitioned fleet may use.
  setLimit(limit: QuotaLimit, now: number): void {
    if (limit.ratePerSecond === this.limit.ratePerSecond && limit.burst === this.limit.burst) return
    this.limit = limit
    this.bucket.setLimits(limit.ratePerSecond, getDepth(limit), now)
    this.overdraft.setLimits(limit.ratePerSecond * OVERDRAFT_SHARE, this.debtTokens, now)
  }

  /// Tokens in the bucket now; negative while it is in debt.
  getLevel(now: number): number {
    return this.bucket.getLevel(now)
  }

  /// Whether the bucket is full and nobody has asked for `idleMs` milliseconds, so that it can be dropped.
  isIdle(now: number, idleMs: number): boolean {
    return now - this.usedAt > idleMs && this.bucket.getLevel(now) >= getDepth(this.limit)
  }

  /// Lowers the level to that of the previous owner of this bucket. Tokens.
  applyHandover(level: number, now: number): void {
    const localLevel = this.bucket.getLevel(now)
    if (level < localLevel) this.bucket.take(localLevel - level, now)
  }

  /// Receives an ask: grants each of its needs, in order, if the bucket covers it.
  receiveAsk(
    daemonId: string,
    {needs, spent, priority}: Pick<QuotaAsk, "needs" | "spent" | "priority">,
    now: number
  ): OwnerDecision {
    this.usedAt = now
    if (priority !== undefined && needs.length > 0) this.neededAt.set(priority, now)
    this.bucket.take(spent, now)
    if (needs.length > 0) this.askedAt.set(daemonId, now)
    const granted: number[] = []
    const refused: number[] = []
    needs.forEach((tokens, index) => {
      if (this.isUrgentReserveKept(tokens, priority, now) && this.tryGrant(tokens, now)) granted.push(index)
      else refused.push(tokens)
    })
    const blockedTokens = refused.length > 0 ? Math.min(...refused) : 0
    return {
      granted,
      blockedTokens,
      blockedMs: refused.length > 0 ? this.getBlockedMs(blockedTokens, now) : 0,
      retryAfterMs: refused.length > 0 ? this.addBacklog(sum(refused), now) : 0,
      reserve: this.getReserve(now)
    }
  }

  /// Whether granting the tokens keeps the reserve for more urgent needs. A full bucket always does.
  private isUrgentReserveKept(tokens: number, priority: number | undefined, now: number): boolean {
    if (priority === undefined) return true
    let isUrgentExpected = false
    for (const [other, at] of this.neededAt)
      if (other < priority && now - at < URGENT_MEMORY_MS) isUrgentExpected = true
    const requiredLevel = Math.min(getDepth(this.limit), tokens + URGENT_RESERVE_TOKENS)
    return !isUrgentExpected || this.bucket.getLevel(now) >= requiredLevel
  }

  /// A request that the level covers is granted ahead of one that it does not cover. Larger requests
  /// overdraw the bucket, at a share of the rate, so that they do not starve. A request that exceeds the
  /// overdraft waits until the bucket is full. One that even then would overdraw it by more than the
  /// maximum debt is never granted: it alone could break the guarantee.
  private tryGrant(tokens: number, now: number): boolean {
    const level = this.bucket.getLevel(now)
    const depth = getDepth(this.limit)
    const isCovered = tokens <= level || (level >= depth && tokens <= depth + this.debtTokens)
    const mayOverdraw = level > 0 && tokens > this.debtTokens * SMALL_REQUEST_SHARE
    if (!isCovered && !(mayOverdraw && this.overdraft.tryTake(tokens - level, now))) return false
    this.bucket.take(tokens, now)
    return true
  }

  private getBlockedMs(tokens: number, now: number): number {
    const level = this.bucket.getLevel(now)
    const missing = Math.max(0, Math.min(getDepth(this.limit), tokens) - level)
    return clamp((missing / this.limit.ratePerSecond) * 1000, MINIMUM_BLOCK_MS, MAXIMUM_BLOCK_MS)
  }

  /// Adds refused tokens to the backlog. Returns the time after which their callers should retry: callers
  /// retry in the order in which the bucket can cover them. Milliseconds.
  private addBacklog(tokens: number, now: number): number {
    const {ratePerSecond} = this.limit
    const paid = ((now - this.backlogAt) / 1000) * ratePerSecond
    const maximum = (LONGEST_QUOTA_RETRY_AFTER_MS / 1000) * ratePerSecond
    this.backlog = Math.min(maximum, Math.max(0, this.backlog - paid) + tokens)
    this.backlogAt = now
    const waitMs = this.bucket.getDebtMs(now) + (this.backlog / ratePerSecond) * 1000
    return getQuotaRetryAfterMs(waitMs)
  }

  private getReserve(now: number): number {
    for (const [id, at] of this.askedAt) if (now - at > RESERVE_MS) this.askedAt.delete(id)
    const level = Math.max(0, this.bucket.getLevel(now))
    return Math.floor((level * RESERVE_SHARE) / Math.max(1, this.askedAt.size))
  }
}

function getDepth({ratePerSecond, burst}: QuotaLimit): number {
  return Math.max(burst, (ratePerSecond * MINIMUM_DEPTH_MS) / 1000)
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, value) => total + value, 0)
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value))
}
