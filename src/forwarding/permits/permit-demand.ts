/// The requests that compete for the permits of one service at one daemon, by priority, and the permits that
/// were granted for them.
import {WindowCount} from "../backends/window-count.js"

/// Window over which both are counted. Milliseconds.
const WINDOW_MS = 4000

/// The demand for the permits of one service. Times are monotonic milliseconds.
export class PermitDemand {
  private readonly requests = new Map<number, WindowCount>()
  private readonly permits = new WindowCount(WINDOW_MS)

  /// Counts a request of this priority, 0 being the most urgent, that can only be served with a permit.
  addRequest(priority: number, now: number): void {
    let count = this.requests.get(priority)
    if (!count) this.requests.set(priority, (count = new WindowCount(WINDOW_MS)))
    count.add(now)
  }

  /// Counts a permit that was granted.
  addPermit(now: number): void {
    this.permits.add(now)
  }

  /// Time to serve the unserved requests of this priority or a more urgent one at the rate of granted
  /// permits. Milliseconds.
  getBacklogMs(priority: number, now: number): number {
    let requests = 0
    for (const [other, count] of this.requests) if (other <= priority) requests += count.count(now)
    const permits = this.permits.count(now)
    return (Math.max(0, requests - permits) / Math.max(1, permits)) * WINDOW_MS
  }
}
