/// Round trips to other zones and regions, measured by probes between daemons.
import type {DistanceClass} from "./places.js"

/// Number of samples of which the median is taken. A sample includes the time that the peer took to answer, and
/// one slow or paused peer says nothing about the link to the other daemons at its location.
const MEDIAN_WINDOW = 5

/// The round trips measured by one daemon. Milliseconds.
export class RoundTrips {
  private readonly medians = new Map<string, number>()
  private readonly recent = new Map<string, number[]>()

  constructor(private readonly defaults: Readonly<Record<DistanceClass, number>>) {}

  /// Adds a probe of a daemon in `region`, at this distance, that was answered after `ms`. Values that are
  /// negative or not finite are ignored.
  addSample(region: string | undefined, distance: DistanceClass, ms: number): void {
    if (!(ms >= 0) || !Number.isFinite(ms)) return
    const key = getKey(region, distance)
    const samples = this.recent.get(key) ?? []
    samples.push(ms)
    if (samples.length > MEDIAN_WINDOW) samples.shift()
    this.recent.set(key, samples)
    const padding = Array.from({length: MEDIAN_WINDOW - samples.length}, () => this.defaults[distance])
    const sorted = [...padding, ...samples].sort((left, right) => left - right)
    this.medians.set(key, sorted[MEDIAN_WINDOW >> 1])
  }

  /// The round trip to `region`, at this distance; the default before the first sample.
  getRoundTripMs(region: string | undefined, distance: DistanceClass): number {
    return this.medians.get(getKey(region, distance)) ?? this.defaults[distance]
  }
}

/// Other regions have a value each; the zones of one region share one, since they are assumed to be alike.
function getKey(region: string | undefined, distance: DistanceClass): string {
  return distance === "otherRegion" ? `${distance}/${region ?? ""}` : distance
}
