/// Requests that began to run through this daemon, by window of the fleet's time and tenant, and what of it
/// the collectors have not been told.
import type {UsageCounts} from "./duty-messages.js"

/// Windows kept, so that a new collector can be told of those that are not reported yet. Windows.
const KEPT_WINDOWS = 4
/// A window is told once more in full after its end: what was lost on the way is made up for.
const FULL_SENDS = 2

interface CountedWindow {
  readonly counts: Map<string, number>
  readonly unsent: Set<string>
  fullSendsLeft: number
}

/// The counts of one daemon. Times of day are milliseconds.
export class UsageCounter {
  private readonly windows = new Map<number, CountedWindow>()

  constructor(private readonly windowMs: number) {}

  /// Counts a request that began to run at a time of the fleet.
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

  /// What is to be told now; undefined when it is nothing. `toAll` tells everything: collectors have changed.
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
