/// Round trips to other regions and zones, learned from probes between daemons.
import type {DistanceClass} from "./places.js"

/// Samples of which the middle one counts: a sample also holds the time that the peer took, and one peer that
/// is slow or stood still says nothing of the link to the others there.
const LOOKED_BACK_ON = 5

/// The learned times of one daemon. Milliseconds.
export class RoundTrips {
  private readonly learned = new Map<string, number>()
  private readonly recent = new Map<string, number[]>()

  constructor(private readonly defaults: Readonly<Record<DistanceClass, number>>) {}

  /// A probe of a daemon in `region`, which lies so far away, was answered after `ms`.
  addSample(region: string | undefined, distance: DistanceClass, ms: number): void {
    if (!(ms >= 0) || !Number.isFinite(ms)) return
    const key = getKey(region, distance)
    const samples = this.recent.get(key) ?? []
    samples.push(ms)
    if (samples.length > LOOKED_BACK_ON) samples.shift()
    this.recent.set(key, samples)
    const before = Array.from({length: LOOKED_BACK_ON - samples.length}, () => this.defaults[distance])
    const sorted = [...before, ...samples].sort((left, right) => left - right)
    this.learned.set(key, sorted[LOOKED_BACK_ON >> 1])
  }

  /// The round trip to `region`, which lies so far away.
  getRoundTripMs(region: string | undefined, distance: DistanceClass): number {
    return this.learned.get(getKey(region, distance)) ?? this.defaults[distance]
  }
}

/// Regions differ in how far they are; zones of one region are taken to be alike.
function getKey(region: string | undefined, distance: DistanceClass): string {
  return distance === "otherRegion" ? `${distance}/${region ?? ""}` : distance
}
