/// The requests a second that a back end says it takes from all daemons together. Owns what it last said and
/// since when; who may send under the limit is decided elsewhere (src/forwarding/permits).

/// The limit of one incarnation of a back end. Times are monotonic milliseconds.
export class AdvertisedLimit {
  private perSecond: number | undefined
  private changedAt = -Infinity

  /// Requests a second; undefined when it names no limit.
  get(): number | undefined {
    return this.perSecond
  }

  /// When this daemon, or the one that told it, heard of the present state. -Infinity when there was never a
  /// limit.
  getChangedAt(): number {
    return this.changedAt
  }

  /// Takes what an answer says. The answer to a request that was sent before the present state was heard of
  /// may be older than that, and counts for nothing. Returns whether the limit has changed.
  apply(perSecond: number | undefined, sentAt: number, now: number): boolean {
    return sentAt >= this.changedAt && this.set(perSecond, now)
  }

  /// Takes what another daemon knows, and since when. Returns whether the limit has changed.
  applyFromPeer(perSecond: number | undefined, changedAt: number): boolean {
    return changedAt > this.changedAt && this.set(perSecond, changedAt)
  }

  /// The clock has not counted so many milliseconds: what is known is older by them.
  onMachineSuspended(ms: number): void {
    this.changedAt -= ms
  }

  private set(perSecond: number | undefined, at: number): boolean {
    if (perSecond === this.perSecond) return false
    this.perSecond = perSecond
    this.changedAt = at
    return true
  }
}
