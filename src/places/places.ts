/// Where daemons and back ends stand: which region each zone belongs to, and how far two zones are apart.

/// How far two places are apart.
export type DistanceClass = "sameZone" | "sameRegion" | "otherRegion"

/// Every class, the nearest first.
export const DISTANCE_CLASSES: readonly DistanceClass[] = ["sameZone", "sameRegion", "otherRegion"]

/// The region of each zone, by the zone's name.
export type RegionByZone = Readonly<Record<string, string>>

/// The places of a fleet.
export class Places {
  private readonly isMultiRegion: boolean
  private readonly regions: ReadonlyMap<string, string>

  constructor(private readonly regionByZone: RegionByZone) {
    this.regions = new Map(Object.entries(regionByZone))
    this.isMultiRegion = new Set(Object.values(regionByZone)).size > 1
  }

  /// Whether the fleet spans several regions.
  hasSeveralRegions(): boolean {
    return this.isMultiRegion
  }

  /// The region of a zone; undefined for a zone that the settings do not name.
  getRegion(zone: string): string | undefined {
    return this.regions.get(zone)
  }

  /// Every region but that of the zone.
  getOtherRegions(zone: string): readonly string[] {
    const own = this.getRegion(zone)
    return [...new Set(Object.values(this.regionByZone))].filter(region => region !== own)
  }

  /// How far two zones are apart. A zone that the settings do not name is taken to lie in the region: to keep
  /// away from it for what it may cost would waste its back ends.
  getDistance(one: string, other: string): DistanceClass {
    if (one === other) return "sameZone"
    if (!this.isMultiRegion) return "sameRegion"
    const region = this.getRegion(one)
    const otherRegion = this.getRegion(other)
    const isOtherRegion = region !== undefined && otherRegion !== undefined && region !== otherRegion
    return isOtherRegion ? "otherRegion" : "sameRegion"
  }
}
