/// The buckets that one daemon runs for the whole fleet. Exact: whatever is granted is debited before it is
/// told.
import {getQuotaRetryAfterMs, LONGEST_QUOTA_RETRY_AFTER_MS} from "../forwarding/admit/retry-after.js"
import type {QuotaAnswer, QuotaAsk} from "./quota-messages.js"
import type {QuotaLimit} from "./quota-settings.js"
import {TokenBucket} from "./token-bucket.js"

/// What an owner decides on an ask.
type OwnerDecision = Pick<QuotaAnswer, "granted" | "blockedMs" | "blockedTokens" | "retryAfterMs" | "reserve">

/// A daemon counts as one that serves a tenant for so long after it asked, and may use the reserve of the
/// owner's last answer. Milliseconds; docs/design/quotas.md.
export const RESERVE_MS = 2500
/// Part of the level that all who serve the tenant may spend when the owner falls silent. An owner that takes
/// its place begins empty, so that this and no more comes on top.
const RESERVE_SHARE = 0.25
/// A bucket holds at least what comes in this time: a limit without a burst would grant nothing.
/// Milliseconds.
const SHALLOWEST_MS = 250
/// Part of the rate that may be overdrawn.
const OVERDRAFT_SHARE = 0.25
/// Requests of less than this part of the debt do not overdraw: they would leave nothing of it for the larger
/// ones.
const SMALL_SHARE = 0.02
/// While more urgent needs come, others leave so many tokens in the bucket for them.
const URGENT_TOKENS = 1
/// More urgent needs are expected for so long after the last one. Milliseconds.
const URGENT_MS = 4000
/// Bounds of the time for which a daemon does not ask again. Milliseconds. The longest is what a full refill
/// may be late.
const SHORTEST_BLOCK_MS = 20
const LONGEST_BLOCK_MS = 500

/// One tenant's bucket with those who ask for it. Times are monotonic milliseconds.
export class OwnedBucket {
  private readonly bucket: TokenBucket
  /// Begins empty like the other, so that owners that change often do not add up their debts.
  private readonly overdraft: TokenBucket
  private readonly debtTokens: number
  private readonly askedAt = new Map<string, number>()
  /// When needs of each priority last came.
  private readonly neededAt = new Map<number, number>()
  /// Tokens of refused requests that have not come due yet.
  private backlog = 0
  private backlogAt: number
  private usedAt: number

  /// `level` is what it certainly holds.
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

  /// Takes a new limit, or a share of it that this side of a divided fleet may use.
  setLimit(limit: QuotaLimit, now: number): void {
    if (limit.ratePerSecond === this.limit.ratePerSecond && limit.burst === this.limit.burst) return
    this.limit = limit
    this.bucket.setLimits(limit.ratePerSecond, getDepth(limit), now)
    this.overdraft.setLimits(limit.ratePerSecond * OVERDRAFT_SHARE, this.debtTokens, now)
  }

  getLevel(now: number): number {
    return this.bucket.getLevel(now)
  }

  /// Whether nobody has asked for so long that the bucket is full in any case.
  isIdle(now: number, idleMs: number): boolean {
    return now - this.usedAt > idleMs && this.bucket.getLevel(now) >= getDepth(this.limit)
  }

  /// Lowers the level to what another daemon that granted from this bucket had left.
  applyHandover(level: number, now: number): void {
    const own = this.bucket.getLevel(now)
    if (level < own) this.bucket.take(own - level, now)
  }

  /// Grants needs in their order, as far as the bucket goes for each.
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
    needs.forEach((tokens, place) => {
      if (this.isLeft(tokens, priority, now) && this.tryGrant(tokens, now)) granted.push(place)
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

  /// Whether more urgent needs leave so many tokens. A full bucket has room for everybody.
  private isLeft(tokens: number, priority: number | undefined, now: number): boolean {
    if (priority === undefined) return true
    let isUrgentExpected = false
    for (const [other, at] of this.neededAt)
      if (other < priority && now - at < URGENT_MS) isUrgentExpected = true
    const wanted = Math.min(getDepth(this.limit), tokens + URGENT_TOKENS)
    return !isUrgentExpected || this.bucket.getLevel(now) >= wanted
  }

  /// A request that the bucket holds in full passes one that it does not. Larger ones overdraw it, for a part
  /// of the rate, so that they do not starve; one that is larger than that waits until the bucket is full,
  /// and one that even then would overdraw it by more is not granted at all: alone it could break the
  /// promise.
  private tryGrant(tokens: number, now: number): boolean {
    const level = this.bucket.getLevel(now)
    const depth = getDepth(this.limit)
    const isCovered = tokens <= level || (level >= depth && tokens <= depth + this.debtTokens)
    const mayOverdraw = level > 0 && tokens > this.debtTokens * SMALL_SHARE
    if (!isCovered && !(mayOverdraw && this.overdraft.tryTake(tokens - level, now))) return false
    this.bucket.take(tokens, now)
    return true
  }

  private getBlockedMs(tokens: number, now: number): number {
    const level = this.bucket.getLevel(now)
    const missing = Math.max(0, Math.min(getDepth(this.limit), tokens) - level)
    return clamp((missing / this.limit.ratePerSecond) * 1000, SHORTEST_BLOCK_MS, LONGEST_BLOCK_MS)
  }

  /// Callers come back in the order in which the bucket could pay for them.
  private addBacklog(tokens: number, now: number): number {
    const {ratePerSecond} = this.limit
    const paid = ((now - this.backlogAt) / 1000) * ratePerSecond
    const longest = (LONGEST_QUOTA_RETRY_AFTER_MS / 1000) * ratePerSecond
    this.backlog = Math.min(longest, Math.max(0, this.backlog - paid) + tokens)
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
  return Math.max(burst, (ratePerSecond * SHALLOWEST_MS) / 1000)
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, value) => total + value, 0)
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value))
}
