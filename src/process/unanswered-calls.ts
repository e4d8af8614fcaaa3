/**
 * Counts calls of the daemon's own that were not answered. Of each kind and reason the first, second, fourth,
 * eighth ... is told with its count: a back end that is silent for an hour would else fill the log with its
 * probes.
 */
export class UnansweredCalls {
  private readonly counts = new Map<string, number>();

  /** `tell` hears of a call that is to be logged. */
  constructor(private readonly report: (call: string, reason: string, count: number) => void) {}

  /** Counts a call. */
  add(call: string, reason: string): void {
    const key = `${call} ${reason}`;
    const count = (this.counts.get(key) ?? 0) + 1;
    this.counts.set(key, count);
    if (isPowerOfTwo(count)) this.report(call, reason, count);
  }
}

function isPowerOfTwo(count: number): boolean {
  return Number.isInteger(Math.log2(count));
}
