/// Relates the store's steady clock to this daemon's monotonic clock, so that the age of a copy that a peer has
/// confirmed is known however long the peer's message took.
///
/// An answer is made after its request was sent. From then on the store's clock shows at most what the answer names plus
/// the time since the request was sent. The smallest of these bounds holds; it grows by what two steady clocks may drift
/// apart.

/// Two steady clocks differ by at most this share of the time that passes: an oscillator's error and the adjustment by a
/// time service, at both ends.
const MAXIMUM_DRIFT = 0.001
/// A bound is loose when it has grown by this much, well under the time in which a change must be in force.
/// Milliseconds.
const LOOSE_BOUND_MS = 200
/// Clocks are read in whole milliseconds at both ends, so the bound may be exceeded by this much. Milliseconds.
const ROUNDING_MS = 2

/// The bounds of one daemon. Local times are monotonic milliseconds; the store's are milliseconds of its own clock.
export class StoreClock {
  /// At `boundedAt`, the store's clock minus the local one was at most this; Infinity before any answer.
  private largestOffsetMs = Infinity
  private boundedAt = 0
  /// Whether the bound comes from an answer of the store itself.
  private isMeasured = false

  /// Receives the store's clock at its answer to a request that was sent at `sentAt`.
  receiveAnswer(storeMs: number, sentAt: number, now: number): void {
    // The store's clock has jumped, or this machine was suspended: earlier answers bound nothing any more.
    if (!this.isMeasured || !this.isPossible(storeMs, now)) this.largestOffsetMs = Infinity
    this.isMeasured = true
    this.setBound(storeMs, sentAt)
  }

  /// Receives what the store's clock showed at most when a peer answered a request that was sent at `sentAt`. Counts
  /// only until the store has answered this daemon.
  receivePeerAnswer(storeMs: number, sentAt: number): void {
    if (!this.isMeasured) this.setBound(storeMs, sentAt)
  }

  /// The earliest local time at which the store's clock may have shown this; undefined when that is unknown. Never
  /// after `now`.
  findEarliestTime(storeMs: number, now: number): number | undefined {
    if (!Number.isFinite(this.largestOffsetMs) || !this.isPossible(storeMs, now)) return undefined
    return Math.min(now, storeMs - this.getLargestOffsetMs(now))
  }

  /// Whether the bound has grown so much that a call that is answered at once should renew it. Never where the store
  /// does not tell its clock.
  isLoose(now: number): boolean {
    return this.isMeasured && this.getDriftMs(now) > LOOSE_BOUND_MS
  }

  /// The machine was suspended for a time that the monotonic clock did not count. Milliseconds.
  onMachineSuspended(forMs: number): void {
    this.largestOffsetMs += forMs
  }

  private setBound(storeMs: number, sentAt: number): void {
    const offsetMs = storeMs - sentAt
    if (offsetMs >= this.getLargestOffsetMs(sentAt)) return
    this.largestOffsetMs = offsetMs
    this.boundedAt = sentAt
  }

  /// Whether the store's clock may show this by now.
  private isPossible(storeMs: number, now: number): boolean {
    return storeMs <= now + this.getLargestOffsetMs(now) + ROUNDING_MS
  }

  private getLargestOffsetMs(now: number): number {
    return this.largestOffsetMs + this.getDriftMs(now)
  }

  private getDriftMs(now: number): number {
    return Math.max(0, now - this.boundedAt) * MAXIMUM_DRIFT
  }
}
