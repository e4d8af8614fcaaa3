/**
 * Shares of the priority classes in the prompt tokens sent to engines. Owns a smoothed rate for each class.
 */
import { SmoothedRate } from '../shared/smoothed-rate.js';

/** Time constant of the smoothed rates. Milliseconds; equal to the default of the demand estimate. */
const TIME_CONSTANT_MS = 5000;

/** Shares of the priority classes in recently sent work. Engines execute higher classes first. */
export class PriorityShares {
  private readonly rates = new Map<number, SmoothedRate>();

  /** Counts prompt tokens sent at `now` (monotonic milliseconds). */
  count(priority: number, tokens: number, now: number): void {
    let rate = this.rates.get(priority);
    if (!rate) {
      rate = new SmoothedRate(TIME_CONSTANT_MS);
      this.rates.set(priority, rate);
    }
    rate.add(tokens, now);
  }

  /** Share of tokens of this priority or a higher one; 1 when nothing was sent. */
  shareUpTo(priority: number, now: number): number {
    let upTo = 0;
    let total = 0;
    for (const [level, rate] of this.rates) {
      const perSecond = rate.perSecond(now);
      total += perSecond;
      if (level <= priority) upTo += perSecond;
    }
    return total === 0 ? 1 : upTo / total;
  }
}
