/// A token bucket that may go into debt.

/// Times are monotonic milliseconds.
export class TokenBucket {
  /// A bucket begins empty: whoever creates one cannot know what was spent before.
  private level = 0

  constructor(
    private ratePerSecond: number,
    private depth: number,
    private refilledAt: number
  ) {}

  /// Tokens in the bucket now; below 0 while it is in debt.
  getLevel(now: number): number {
    const passedMs = Math.max(0, now - this.refilledAt)
    this.refilledAt = Math.max(this.refilledAt, now)
    this.level = Math.min(this.depth, this.level + (this.ratePerSecond * passedMs) / 1000)
    return this.level
  }

  /// Changes rate and depth from now on. A smaller bucket is cut at once, a larger one is not filled.
  setLimits(ratePerSecond: number, depth: number, now: number): void {
    this.getLevel(now)
    this.ratePerSecond = ratePerSecond
    this.depth = depth
    this.level = Math.min(this.level, depth)
  }

  /// Takes tokens whatever the level; below 0 gives back.
  take(tokens: number, now: number): void {
    this.level = Math.min(this.depth, this.getLevel(now) - tokens)
  }

  /// Takes tokens if the bucket has all of them.
  tryTake(tokens: number, now: number): boolean {
    if (this.getLevel(now) < tokens) return false
    this.take(tokens, now)
    return true
  }

  /// How long until the level is above 0. Milliseconds.
  getDebtMs(now: number): number {
    const level = this.getLevel(now)
    return level > 0 ? 0 : (-level / this.ratePerSecond) * 1000
  }
}
