/// This daemon's part of a retry budget that all daemons share without talking: within any window, a service may
/// get at most `ratio` repeats per request and `slack` more, over all daemons. A daemon counts its own requests
/// and takes an equal part of the slack.

/// Figures of the budget.
export interface RetryAllowanceSettings {
  /// Repeats per request.
  readonly ratio: number
  /// Repeats beyond the ratio in one window, over all daemons.
  readonly slack: number
  /// Length of the sliding window. Milliseconds.
  readonly windowMs: number
}

/// What a daemon has done with its part of one service's budget, for the log.
export interface RetryUse {
  readonly service: string
  /// Repeats taken, and wished for in vain, since the last such record.
  readonly taken: number
  readonly refused: number
  /// Counts of the window that ends now.
  readonly requests: number
  readonly repeats: number
  /// Repeats left now.
  readonly left: number
  /// Daemons among which the slack was divided.
  readonly daemons: number
}

/// Services in one record; those with the most repeats come first.
const MAXIMUM_SERVICES_TOLD = 10

/// Part of the budget that is used; the rest covers counts that lie on both sides of a window's edge.
const SAFE_SHARE = 0.8
const BUCKET_MS = 250

/// Counts of a sliding window in buckets.
class WindowCount {
  private buckets: {at: number; count: number}[] = []

  add(now: number): void {
    const at = Math.floor(now / BUCKET_MS)
    const last = this.buckets.at(-1)
    if (last?.at === at) last.count += 1
    else this.buckets.push({at, count: 1})
  }

  since(from: number): number {
    const first = Math.floor(from / BUCKET_MS)
    while (this.buckets.length > 0 && this.buckets[0].at < first) this.buckets.shift()
    return this.buckets.reduce((sum, bucket) => sum + bucket.count, 0)
  }
}

/// The allowance of one daemon, by service. Times are monotonic milliseconds.
export class RetryAllowance {
  private readonly requests = new Map<string, WindowCount>()
  private readonly repeats = new Map<string, WindowCount>()
  private readonly untold = new Map<string, {taken: number; refused: number}>()

  constructor(private readonly settings: RetryAllowanceSettings) {}

  /// Counts a request for `service`.
  requestSeen(service: string, now: number): void {
    countOf(this.requests, service).add(now)
  }

  /// Takes one repeat if the allowance has one; `daemons` share the slack.
  tryRepeat(service: string, daemons: number, now: number): boolean {
    const allowed = this.left(service, daemons, now) >= 1
    if (allowed) countOf(this.repeats, service).add(now)
    this.countUse(service, allowed)
    return allowed
  }

  /// What was done since the last call, by service; empty when nobody wished for a repeat.
  takeUse(daemons: number, now: number): readonly RetryUse[] {
    const used = [...this.untold].sort(([, left], [, right]) => right.taken - left.taken)
    this.untold.clear()
    const {windowMs} = this.settings
    return used.slice(0, MAXIMUM_SERVICES_TOLD).map(([service, {taken, refused}]) => ({
      service,
      taken,
      refused,
      requests: countOf(this.requests, service).since(now - windowMs),
      repeats: countOf(this.repeats, service).since(now - windowMs),
      left: this.left(service, daemons, now),
      daemons
    }))
  }

  private countUse(service: string, allowed: boolean): void {
    const use = this.untold.get(service) ?? {taken: 0, refused: 0}
    if (allowed) use.taken += 1
    else use.refused += 1
    this.untold.set(service, use)
  }

  /// Repeats left in this window.
  left(service: string, daemons: number, now: number): number {
    const {ratio, slack, windowMs} = this.settings
    const requests = countOf(this.requests, service).since(now - windowMs)
    const repeats = countOf(this.repeats, service).since(now - windowMs - BUCKET_MS)
    return SAFE_SHARE * (ratio * requests + slack / Math.max(1, daemons)) - repeats
  }
}

function countOf(counts: Map<string, WindowCount>, service: string): WindowCount {
  let count = counts.get(service)
  if (!count) {
    count = new WindowCount()
    counts.set(service, count)
  }
  return count
}
