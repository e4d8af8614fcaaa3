/// Back ends whose records were gone when the store came back from an outage. A back end that could not reach
/// the store loses its record although it lives, and writes it anew within moments; one that does not is
/// gone.
export class ExpiredBackends {
  /// Until when each one may still come back. Monotonic milliseconds.
  private readonly untilById = new Map<string, number>()

  /// The record is gone; the back end keeps its work until then.
  add(id: string, until: number): void {
    if (!this.untilById.has(id)) this.untilById.set(id, until)
  }

  /// The record is back.
  remove(id: string): void {
    this.untilById.delete(id)
  }

  /// Those that have not come back in time. They are told once.
  takeExpired(now: number): string[] {
    const expired = [...this.untilById].filter(([, until]) => now >= until).map(([id]) => id)
    for (const id of expired) this.untilById.delete(id)
    return expired
  }
}
