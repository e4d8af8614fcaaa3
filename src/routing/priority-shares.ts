/**
 * How the prompt tokens sent to engines divide between priority classes. Owns a smoothed rate for each class.
 */
import { SmoothedRate } from '../shared/smoothed-rate.js';

/** Time constant of the smoothed rates. Milliseconds; as the demand estimate's default. */
const TIME_CONSTANT_MS = 5000;

/** Shares of priority classes in the work sent lately. Engines do better classes first. */
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

  /** Share of tokens of this priority or better; 1 when nothing was sent. */
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
