/// Collects the usage counts that all daemons send. The counts of a daemon remain after it has stopped.
import type {UsageCounts, WindowCounts} from "./duty-messages.js"

/// The counts of one window: by daemon, by tenant.
type CollectedWindow = Map<string, Map<string, number>>

/// The collector of one daemon.
export class UsageCollector {
  private readonly windows = new Map<number, CollectedWindow>()

  /// Applies the totals of a daemon. Totals only increase, so messages may be late, duplicated or out of order.
  apply(daemonId: string, {windows}: UsageCounts): void {
    for (const [number, entries] of windows) {
      const known = getOrAdd(getOrAdd(this.windows, number), daemonId)
      for (const [tenant, count] of entries) known.set(tenant, Math.max(count, known.get(tenant) ?? 0))
    }
  }

  /// Whether there are counts of a window.
  has(number: number): boolean {
    return this.windows.has(number)
  }

  /// The counts of a window over all daemons.
  sum(number: number): WindowCounts {
    const sums = new Map<string, number>()
    for (const counts of this.windows.get(number)?.values() ?? [])
      for (const [tenant, count] of counts) sums.set(tenant, (sums.get(tenant) ?? 0) + count)
    return Object.fromEntries([...sums].sort(([left], [right]) => (left < right ? -1 : 1)))
  }

  /// Drops the windows before `first`.
  removeBefore(first: number): void {
    for (const number of this.windows.keys()) if (number < first) this.windows.delete(number)
  }
}

function getOrAdd<Key, Inner>(map: Map<Key, Map<string, Inner>>, key: Key): Map<string, Inner> {
  let inner = map.get(key)
  if (!inner) {
    inner = new Map()
    map.set(key, inner)
  }
  return inner
}
