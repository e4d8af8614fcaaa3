/// The buckets that one daemon runs for the whole fleet. Exact: whatever is granted is debited before it is told.
import type {QuotaAnswer, QuotaAsk} from "./quota-messages.js"
import type {QuotaLimit} from "./quota-settings.js"
import {TokenBucket} from "./token-bucket.js"

/// What an owner decides on an ask.
export type OwnerDecision = Pick<QuotaAnswer, "granted" | "blockedMs" | "retryAfterMs" | "reserve">

/// A daemon counts as one that serves a tenant for so long after it asked. Milliseconds.
export const RESERVE_MS = 2500
/// Part of the level that all who serve the tenant may spend when the owner falls silent. An owner that takes its place begins empty, so
/// that this and no more comes on top.
const RESERVE_SHARE = 0.25
/// A bucket holds at least what comes in this time: a limit without a burst would grant nothing. Milliseconds.
const SHALLOWEST_MS = 250
/// A new bucket may go into its whole debt after so long. Milliseconds.
const FULL_DEBT_MS = 8000
/// Bounds of the time for which a daemon does not ask again. Milliseconds. The longest is what a full refill may be late.
const SHORTEST_BLOCK_MS = 20
const LONGEST_BLOCK_MS = 500
/// Bounds of the time that refused callers are told. Milliseconds.
const SHORTEST_RETRY_MS = 100
const LONGEST_RETRY_MS = 5000

/// One tenant's bucket with those who ask for it. Times are monotonic milliseconds.
export class OwnedBucket {
  private readonly bucket: TokenBucket
  private readonly askedAt = new Map<string, number>()
  /// Tokens of refused requests that have not come due yet.
  private backlog = 0
  private backlogAt: number
  private usedAt: number
  private readonly createdAt: number

  /// `level` is what it certainly holds.
  constructor(
    private limit: QuotaLimit,
    private readonly debtTokens: number,
    level: number,
    now: number
  ) {
    this.bucket = new TokenBucket(limit.ratePerSecond, getDepth(limit), now)
    this.bucket.take(-level, now)
    this.backlogAt = now
    this.usedAt = now
    this.createdAt = now
  }

  /// Takes a new limit, or a share of it that this side of a divided fleet may use.
  setLimit(limit: QuotaLimit, now: number): void {
    if (limit.ratePerSecond === this.limit.ratePerSecond && limit.burst === this.limit.burst) return
    this.limit = limit
    this.bucket.setLimits(limit.ratePerSecond, getDepth(limit), now)
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

  /// Grants needs in their order as far as the bucket goes.
  receive(daemonId: string, {needs, spent}: Pick<QuotaAsk, "needs" | "spent">, now: number): OwnerDecision {
    this.usedAt = now
    this.bucket.take(spent, now)
    if (needs.length > 0) this.askedAt.set(daemonId, now)
    let granted = 0
    while (granted < needs.length && this.mayGrant(needs[granted], now)) {
      this.bucket.take(needs[granted], now)
      granted += 1
    }
    const refused = needs.slice(granted).reduce((sum, tokens) => sum + tokens, 0)
    return {
      granted,
      blockedMs: refused > 0 ? this.getBlockedMs(needs[granted], now) : 0,
      retryAfterMs: refused > 0 ? this.addBacklog(refused, now) : 0,
      reserve: this.getReserve(now)
    }
  }

  /// What is larger than the bucket and the debt waits until the bucket is full.
  private mayGrant(tokens: number, now: number): boolean {
    const level = this.bucket.getLevel(now)
    return level > 0 && (tokens <= level + this.getDebtTokens(now) || level >= getDepth(this.limit))
  }

  /// Debt grows with the time for which the bucket has been here, so that owners that change often do not add up theirs.
  private getDebtTokens(now: number): number {
    return this.debtTokens * Math.min(1, (now - this.createdAt) / FULL_DEBT_MS)
  }

  private getBlockedMs(tokens: number, now: number): number {
    const level = this.bucket.getLevel(now)
    const missing = Math.max(
      -level,
      Math.min(getDepth(this.limit), tokens - this.getDebtTokens(now)) - level,
      0
    )
    return clamp((missing / this.limit.ratePerSecond) * 1000, SHORTEST_BLOCK_MS, LONGEST_BLOCK_MS)
  }

  /// Callers come back in the order in which the bucket could pay for them.
  private addBacklog(tokens: number, now: number): number {
    const {ratePerSecond} = this.limit
    const paid = ((now - this.backlogAt) / 1000) * ratePerSecond
    const longest = (LONGEST_RETRY_MS / 1000) * ratePerSecond
    this.backlog = Math.min(longest, Math.max(0, this.backlog - paid) + tokens)
    this.backlogAt = now
    const waitMs = this.bucket.getDebtMs(now) + (this.backlog / ratePerSecond) * 1000
    return clamp(waitMs, SHORTEST_RETRY_MS, LONGEST_RETRY_MS)
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

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value))
}
