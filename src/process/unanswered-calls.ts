/**
 * Counts the daemon's own calls to back ends that were not answered, by kind and reason. The first, second,
 * fourth, eighth and so on of each is reported with its count; otherwise the failed probes of a back end that
 * is silent for an hour would fill the log. Owns the counts.
 */
export class UnansweredCalls {
  private readonly counts = new Map<string, number>();

  /** `report` is called for each call that is to be logged. */
  constructor(private readonly report: (call: string, reason: string, count: number) => void) {}

  /** Counts a call, and reports it when its count is a power of two. */
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
