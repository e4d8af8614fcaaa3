/// The fleet's time of day: the median of the clocks of many daemons. The clock of one machine may be off by
/// seconds or jump; the median is right while fewer than half of the clocks are wrong at the same time.

/// Lifetime of a sample. Milliseconds. At one probe per second in each direction a daemon receives samples of
/// about 30 others in this time, so that with 30 of 100 clocks wrong the median is wrong about once in 10,000
/// times.
const SAMPLE_LIFETIME_MS = 15_000
/// Maximum number of samples: twice the number of other daemons in that time.
const MAXIMUM_SAMPLES = 64

interface Sample {
  /// Time of day minus this daemon's monotonic clock. Milliseconds.
  readonly offset: number
  /// When the sample was taken. Monotonic milliseconds.
  readonly at: number
}

/// The fleet's time as one daemon knows it. `now` is its monotonic clock; all times are milliseconds.
export class FleetClock {
  /// By daemon, the newest sample last.
  private readonly samples = new Map<string, Sample>()
  private median: number | undefined

  constructor(private readonly selfId: string) {}

  /// Adds the time of day of this machine.
  setLocalTime(wallMs: number, now: number): void {
    this.addSample(this.selfId, wallMs, now)
  }

  /// Adds the time of day of a daemon when it sent a message that arrives now.
  addSample(id: string, wallMs: number, now: number): void {
    this.samples.delete(id)
    this.samples.set(id, {offset: wallMs - now, at: now})
    this.removeOld(now)
    this.median = undefined
  }

  /// The time of day of this machine; undefined before the first tick.
  getLocalTime(now: number): number | undefined {
    const local = this.samples.get(this.selfId)
    return local && local.offset + now
  }

  /// The time of day of the fleet; undefined before the first sample.
  getTime(now: number): number | undefined {
    if (this.samples.size === 0) return undefined
    this.median ??= getMedian([...this.samples.values()].map(sample => sample.offset))
    return this.median + now
  }

  private removeOld(now: number): void {
    for (const [id, {at}] of this.samples) {
      if (this.samples.size <= MAXIMUM_SAMPLES && now - at <= SAMPLE_LIFETIME_MS) return
      this.samples.delete(id)
    }
  }
}

function getMedian(values: number[]): number {
  values.sort((left, right) => left - right)
  const middle = values.length >> 1
  return values.length % 2 === 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2
}
