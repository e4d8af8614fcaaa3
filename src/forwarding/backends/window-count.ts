/// Counts events within a sliding window.

/// Width of a bucket, the resolution of the counts. Milliseconds.
export const BUCKET_MS = 250

/// A sliding window of buckets. Times are monotonic milliseconds and must not decrease.
export class WindowCount {
  private readonly buckets: {readonly number: number; count: number}[] = []
  private sum = 0

  constructor(private readonly windowMs: number) {}

  /// Adds one event.
  add(now: number): void {
    const number = Math.floor(now / BUCKET_MS)
    const last = this.buckets.at(-1)
    if (last?.number === number) last.count += 1
    else this.buckets.push({number, count: 1})
    this.sum += 1
  }

  /// Events within the window that ends at `now`, and those of up to one bucket before it.
  count(now: number): number {
    const first = Math.floor((now - this.windowMs) / BUCKET_MS)
    while (this.buckets.length > 0 && this.buckets[0].number < first) {
      this.sum -= this.buckets[0].count
      this.buckets.shift()
    }
    return this.sum
  }
}
