/// Counts this daemon's requests that a back end began to execute, by window of the fleet's time and by tenant,
/// and keeps track of the counts that were not sent to the collectors yet.
import type {UsageCounts} from "./duty-messages.js"

/// Number of windows kept, so that a new collector can receive those that are not reported yet.
const KEPT_WINDOWS = 4
/// How often the complete counts of a window are sent after its end, to replace lost messages.
const FULL_SENDS = 2

interface CountedWindow {
  readonly counts: Map<string, number>
  /// Tenants whose count has changed since the last message.
  readonly unsent: Set<string>
  fullSendsLeft: number
}

/// The counts of one daemon. Times of day and window lengths are milliseconds.
export class UsageCounter {
  private readonly windows = new Map<number, CountedWindow>()

  constructor(private readonly windowMs: number) {}

  /// Counts a request that a back end began to execute at a time of the fleet's clock.
  add(tenant: string, fleetMs: number): void {
    const number = Math.floor(fleetMs / this.windowMs)
    let window = this.windows.get(number)
    if (!window) {
      window = {counts: new Map(), unsent: new Set(), fullSendsLeft: FULL_SENDS}
      this.windows.set(number, window)
    }
    window.counts.set(tenant, (window.counts.get(tenant) ?? 0) + 1)
    window.unsent.add(tenant)
  }

  /// Returns the counts to send now, or undefined if there are none. `toAll` includes all counts, because the
  /// collectors have changed.
  takeUnsent(fleetMs: number, toAll: boolean): UsageCounts | undefined {
    const current = Math.floor(fleetMs / this.windowMs)
    const windows: UsageCounts["windows"] = []
    for (const [number, window] of this.windows) {
      if (number <= current - KEPT_WINDOWS) this.windows.delete(number)
      else {
        const entries = takeEntries(window, toAll, number < current)
        if (entries.length > 0) windows.push([number, entries])
      }
    }
    return windows.length > 0 ? {kind: "usageCounts", windows} : undefined
  }
}

function takeEntries(window: CountedWindow, toAll: boolean, ended: boolean): [string, number][] {
  const {counts, unsent} = window
  const full = ended && window.fullSendsLeft > 0
  if (full) window.fullSendsLeft -= 1
  const tenants = toAll || full ? [...counts.keys()] : [...unsent]
  unsent.clear()
  return tenants.map(tenant => [tenant, counts.get(tenant) ?? 0])
}
