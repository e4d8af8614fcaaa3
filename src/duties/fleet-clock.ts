/// The time of day as most daemons have it. The clock of one machine may be seconds off or jump; the median
/// of many does not, as long as fewer than half of them are wrong at once.

/// A daemon's word on its clock counts for so long. Milliseconds. At one probe a second each way a daemon
/// hears some 30 others in it, so that with 30 in 100 clocks wrong the median is right but for one time in
/// 10,000.
const SAMPLE_LIFETIME_MS = 15_000
/// Samples kept at most; twice the others that are heard in that time.
const MAXIMUM_SAMPLES = 64

interface Sample {
  /// Time of day less this daemon's steady clock. Milliseconds.
  readonly offset: number
  readonly at: number
}

/// The fleet's time as one daemon knows it. `now` is its steady clock; all times are milliseconds.
export class FleetClock {
  /// By daemon, the one heard last at the end.
  private readonly samples = new Map<string, Sample>()
  private median: number | undefined

  constructor(private readonly selfId: string) {}

  /// Takes the time of day of this machine.
  setLocalTime(wallMs: number, now: number): void {
    this.addSample(this.selfId, wallMs, now)
  }

  /// Takes the time of day that a daemon had when it sent a message that arrives now.
  addSample(id: string, wallMs: number, now: number): void {
    this.samples.delete(id)
    this.samples.set(id, {offset: wallMs - now, at: now})
    this.removeOld(now)
    this.median = undefined
  }

  /// The time of day of this machine; undefined before the first tick.
  getLocalTime(now: number): number | undefined {
    const own = this.samples.get(this.selfId)
    return own && own.offset + now
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
