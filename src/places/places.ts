/// Locations of daemons and back ends: the region of each zone, and the distance between two zones.

/// The distance between two zones.
export type DistanceClass = "sameZone" | "sameRegion" | "otherRegion"

/// All classes, nearest first.
export const DISTANCE_CLASSES: readonly DistanceClass[] = ["sameZone", "sameRegion", "otherRegion"]

/// The region of each zone, by the zone's name.
export type RegionByZone = Readonly<Record<string, string>>

/// The zones and regions of a fleet.
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

  /// Every region except that of the zone.
  getOtherRegions(zone: string): readonly string[] {
    const localRegion = this.getRegion(zone)
    return [...new Set(Object.values(this.regionByZone))].filter(region => region !== localRegion)
  }

  /// The distance between two zones. A zone that the settings do not name is assumed to be in the same region,
  /// since avoiding it for a cost that may not exist would waste its back ends.
  getDistance(one: string, other: string): DistanceClass {
    if (one === other) return "sameZone"
    if (!this.isMultiRegion) return "sameRegion"
    const region = this.getRegion(one)
    const otherRegion = this.getRegion(other)
    const isOtherRegion = region !== undefined && otherRegion !== undefined && region !== otherRegion
    return isOtherRegion ? "otherRegion" : "sameRegion"
  }
}
