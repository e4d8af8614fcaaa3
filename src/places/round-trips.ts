/// Round trips to other regions and zones, learned from probes between daemons.
import type {DistanceClass} from "./places.js"

/// What a sample above the estimate counts: it holds the time that two busy processes took as well. Ten probes of a link that
/// has become slow bring the estimate to two thirds of its time.
const RISING_SHARE = 0.1
/// What a sample below counts: a round trip cannot have been shorter than the link.
const FALLING_SHARE = 0.5

/// The learned times of one daemon. Milliseconds.
export class RoundTrips {
  private readonly learned = new Map<string, number>()

  constructor(private readonly defaults: Readonly<Record<DistanceClass, number>>) {}

  /// A probe of a daemon in `region`, which lies so far away, was answered after `ms`.
  addSample(region: string | undefined, distance: DistanceClass, ms: number): void {
    if (!(ms >= 0) || !Number.isFinite(ms)) return
    const key = getKey(region, distance)
    const before = this.learned.get(key) ?? this.defaults[distance]
    const share = ms > before ? RISING_SHARE : FALLING_SHARE
    this.learned.set(key, before + (ms - before) * share)
  }

  /// The round trip to `region`, which lies so far away.
  getMs(region: string | undefined, distance: DistanceClass): number {
    return this.learned.get(getKey(region, distance)) ?? this.defaults[distance]
  }
}

/// Regions differ in how far they are; zones of one region are taken to be alike.
function getKey(region: string | undefined, distance: DistanceClass): string {
  return distance === "otherRegion" ? `${distance}/${region ?? ""}` : distance
}
