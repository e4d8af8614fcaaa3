/// What daemons tell each other of the speed of back ends.

/// Samples of one back end in the form that travels: id, sum of the ratios to what its group takes, count. Sums add up, so relays
/// can add those of many daemons.
export type PaceEvidence = [id: string, ratioSum: number, count: number]

/// Sums still to be passed on, by back end.
export class PaceSums {
  private readonly sums = new Map<string, PaceEvidence>()

  /// Adds what was told.
  add(evidence: readonly PaceEvidence[] = []): void {
    for (const [id, ratioSum, count] of evidence) {
      const sum = this.sums.get(id)
      if (!sum) this.sums.set(id, [id, ratioSum, count])
      else {
        sum[1] += ratioSum
        sum[2] += count
      }
    }
  }

  /// What was added since the last call.
  take(): PaceEvidence[] {
    const taken = [...this.sums.values()].map(([id, ratioSum, count]): PaceEvidence => [
      id,
      Math.round(ratioSum * 100) / 100,
      count
    ])
    this.sums.clear()
    return taken
  }
}
