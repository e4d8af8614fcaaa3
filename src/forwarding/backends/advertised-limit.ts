/// The request rate that a back end advertises, in requests a second over all daemons together. Owns the last
/// advertised value and the time of its last change; src/forwarding/permits decides which daemon may send.

/// The limit of one incarnation of a back end. Times are monotonic milliseconds.
export class AdvertisedLimit {
  private perSecond: number | undefined
  private changedAt = -Infinity

  /// Requests a second; undefined when the back end advertises no limit.
  get(): number | undefined {
    return this.perSecond
  }

  /// When this daemon, or the peer that reported it, learned the current value. -Infinity when there never
  /// was a limit.
  getChangedAt(): number {
    return this.changedAt
  }

  /// Applies the value from an answer. Ignores the answer to a request that was sent before the last change,
  /// as it may carry an older value. Returns whether the limit has changed.
  apply(perSecond: number | undefined, sentAt: number, now: number): boolean {
    return sentAt >= this.changedAt && this.set(perSecond, now)
  }

  /// Applies the value that a peer reports and when it changed. Returns whether the limit has changed.
  applyFromPeer(perSecond: number | undefined, changedAt: number): boolean {
    return changedAt > this.changedAt && this.set(perSecond, changedAt)
  }

  /// The machine was suspended for `forMs`, which the monotonic clock did not count: moves the time of the
  /// last change back by it.
  onMachineSuspended(forMs: number): void {
    this.changedAt -= forMs
  }

  private set(perSecond: number | undefined, at: number): boolean {
    if (perSecond === this.perSecond) return false
    this.perSecond = perSecond
    this.changedAt = at
    return true
  }
}
