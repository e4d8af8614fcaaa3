/** An exponentially smoothed rate of events. */

/** Estimates a rate per second with a time constant; reading it needs no timer. */
export class SmoothedRate {
  private level = 0;
  private updatedAt: number | undefined;

  /** @param timeConstantMs after this long without events the estimate has fallen to 1/e. */
  constructor(private readonly timeConstantMs: number) {}

  /** Counts `amount` at time `now` (monotonic milliseconds). */
  add(amount: number, now: number): void {
    this.decay(now);
    this.level += amount / this.timeConstantMs;
  }

  /** The rate per second at time `now`. */
  perSecond(now: number): number {
    this.decay(now);
    return this.level * 1000;
  }

  private decay(now: number): void {
    const elapsed = now - (this.updatedAt ?? now);
    if (elapsed > 0) this.level *= Math.exp(-elapsed / this.timeConstantMs);
    this.updatedAt = Math.max(now, this.updatedAt ?? now);
  }
}
