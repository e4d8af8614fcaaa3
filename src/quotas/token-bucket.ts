/// A token bucket that may go into debt.

/// The bucket. Amounts are tokens, times are monotonic milliseconds.
export class TokenBucket {
  /// A bucket starts empty: its creator cannot know what was spent before.
  private level = 0

  constructor(
    private ratePerSecond: number,
    private depth: number,
    private refilledAt: number
  ) {}

  /// Tokens in the bucket now; negative while it is in debt.
  getLevel(now: number): number {
    const passedMs = Math.max(0, now - this.refilledAt)
    this.refilledAt = Math.max(this.refilledAt, now)
    this.level = Math.min(this.depth, this.level + (this.ratePerSecond * passedMs) / 1000)
    return this.level
  }

  /// Changes rate and depth from now on. A smaller depth lowers the level at once, a larger one adds no
  /// tokens.
  setLimits(ratePerSecond: number, depth: number, now: number): void {
    this.getLevel(now)
    this.ratePerSecond = ratePerSecond
    this.depth = depth
    this.level = Math.min(this.level, depth)
  }

  /// Takes tokens regardless of the level; a negative number returns them.
  take(tokens: number, now: number): void {
    this.level = Math.min(this.depth, this.getLevel(now) - tokens)
  }

  /// Takes tokens if the bucket has all of them.
  tryTake(tokens: number, now: number): boolean {
    if (this.getLevel(now) < tokens) return false
    this.take(tokens, now)
    return true
  }

  /// Time until the debt is paid. Milliseconds.
  getDebtMs(now: number): number {
    const level = this.getLevel(now)
    return level > 0 ? 0 : (-level / this.ratePerSecond) * 1000
  }
}
