/// Checks by health checks whether lost direct paths work again. Owns the times of the checks; the caller
/// names the back ends and sends the checks.

/// Interval between checks of lost paths, over all back ends. Milliseconds. They are priced, and one answer
/// ends a cut; after an answer the next lost path is checked at once.
const PROBE_INTERVAL_MS = 300

/// Shortest interval between checks of one path. Milliseconds.
const PATH_INTERVAL_MS = 500

/// The prober of one daemon. Times are monotonic milliseconds.
export class PathProber {
  private lastProbeAt = -Infinity
  private readonly probedAt = new Map<string, number>()

  /// Picks the path to check now, the one that was checked the longest ago; undefined if none is due.
  pickDue(ids: readonly string[], now: number): string | undefined {
    if (ids.length === 0 || now - this.lastProbeAt < PROBE_INTERVAL_MS) return undefined
    const getProbedAt = (id: string): number => this.probedAt.get(id) ?? -Infinity
    const next = ids.reduce((least, id) => (getProbedAt(id) < getProbedAt(least) ? id : least))
    if (now - getProbedAt(next) < PATH_INTERVAL_MS) return undefined
    this.probedAt.set(next, now)
    this.lastProbeAt = now
    return next
  }

  /// A check was answered: the other paths probably work again too.
  onAnswered(id: string): void {
    this.probedAt.delete(id)
    this.lastProbeAt = -Infinity
  }

  /// The back end is gone.
  remove(id: string): void {
    this.probedAt.delete(id)
  }
}
