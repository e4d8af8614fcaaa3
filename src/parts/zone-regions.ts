/// The regions of zones, learned from the members that have been seen there: they stay known when a zone's daemons are all lost.
import type {Member} from "../membership/membership-messages.js"

/// The regions that one daemon knows of.
export class ZoneRegions {
  private readonly regions = new Map<string, string>()
  private learnedFrom: readonly Member[] | undefined

  /// `ownRegion` stands for zones where no daemon has been seen.
  constructor(
    private readonly ownRegion: string,
    private readonly members: () => readonly Member[]
  ) {}

  /// The region of a zone.
  get(zone: string): string {
    this.learn()
    return this.regions.get(zone) ?? this.ownRegion
  }

  private learn(): void {
    const members = this.members()
    if (members === this.learnedFrom) return
    this.learnedFrom = members
    for (const {zone, region} of members) this.regions.set(zone, region)
  }
}
