/// Back ends whose records were missing when the store recovered from an outage. The record of a back end that
/// could not reach the store expires although the back end is healthy, and the back end writes it again
/// shortly afterwards. A back end that does not is treated as removed.
export class ExpiredBackends {
  /// End of the grace period of each back end. Monotonic milliseconds.
  private readonly untilById = new Map<string, number>()

  /// Adds a back end whose record is missing, unless it has a grace period already. Monotonic milliseconds.
  add(id: string, until: number): void {
    if (!this.untilById.has(id)) this.untilById.set(id, until)
  }

  /// Ends the grace period of a back end whose record was written again.
  remove(id: string): void {
    this.untilById.delete(id)
  }

  /// Returns and forgets the back ends whose grace period has ended.
  takeExpired(now: number): string[] {
    const expired = [...this.untilById].filter(([, until]) => now >= until).map(([id]) => id)
    for (const id of expired) this.untilById.delete(id)
    return expired
  }
}
