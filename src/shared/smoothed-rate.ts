/** Exponential smoothing of an event rate. */

/** An exponentially smoothed rate per second. It decays when it is read or updated, without a timer. */
export class SmoothedRate {
  private level = 0;
  private updatedAt: number | undefined;

  /** @param timeConstantMs the time without events in which the estimate falls to 1/e. */
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
