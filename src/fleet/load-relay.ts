/// Loads in a large fleet. Each daemon tells its zone's relay what it puts on the back ends; the relays of a
/// region tell each other the sums of their zones, one of them tells each other region the sum of its region,
/// and each tells its zone the sum of the whole fleet. Every daemon so knows its region's load after three
/// intervals at most, for some ten messages a second instead of one to and from everybody, and a region hears
/// of another by one message instead of one for each pair of zones.
import type {BackendLoad} from "../forwarding/backends/peer-loads.js"
import type {PartPlacement} from "../forwarding/kv-cache/kv-index.js"

/// A digest that is older counts no more. Milliseconds. As long as digests between peers count (`PeerLoads`).
const DIGEST_LIFETIME_MS = 2000
/// Placements passed on in one message at most: each costs some 30 bytes, and a message goes to a whole zone.
const MAXIMUM_PLACEMENTS = 256

interface ReceivedLoads {
  readonly address: string
  readonly loads: readonly BackendLoad[]
  readonly at: number
}

/// Outcomes of attempts that are still to be passed on.
interface Outcomes {
  succeeded: number
  failed: number
}

/// What goes to others in one message.
export interface RelayedLoads {
  readonly loads: BackendLoad[]
  readonly placements: PartPlacement[]
}

/// Sums by back end. Outcomes are counted once, when they arrive; everything else is as it stands now.
class LoadSums {
  private readonly sums = new Map<string, [number, number, number, number]>()

  add(loads: readonly BackendLoad[]): void {
    for (const [id, inFlight, pending, distrust, late = 0] of loads) {
      const sum = this.sums.get(id)
      if (!sum) this.sums.set(id, [inFlight, pending, distrust, late])
      else {
        sum[0] += inFlight
        sum[1] += pending
        sum[2] += distrust
        sum[3] += late
      }
    }
  }

  /// The sums with the outcomes that go along.
  takeLoads(outcomes: Map<string, Outcomes>): BackendLoad[] {
    for (const id of outcomes.keys()) if (!this.sums.has(id)) this.sums.set(id, [0, 0, 0, 0])
    const loads: BackendLoad[] = []
    for (const [id, [inFlight, pending, distrust, late]] of this.sums) {
      const {succeeded = 0, failed = 0} = outcomes.get(id) ?? {}
      loads.push([id, inFlight, pending, distrust, late, succeeded, failed])
    }
    outcomes.clear()
    return loads
  }
}

/// What a relay has been told and has still to tell. Times are monotonic milliseconds.
export class LoadRelay {
  private readonly members = new Map<string, ReceivedLoads>()
  /// Zones of the own region, by the relay that told.
  private readonly zones = new Map<string, ReceivedLoads>()
  /// Other regions, by name: a region whose relay changes is not counted twice.
  private readonly regions = new Map<string, ReceivedLoads>()
  /// Outcomes and placements of the own zone for the other zones, of the region for other regions, and of the
  /// whole fleet for the own zone.
  private readonly outcomesForZones = new Map<string, Outcomes>()
  private readonly outcomesForRegions = new Map<string, Outcomes>()
  private readonly outcomesForMembers = new Map<string, Outcomes>()
  private placementsForZones: PartPlacement[] = []
  private placementsForRegions: PartPlacement[] = []
  private placementsForMembers: PartPlacement[] = []

  /// A daemon of the own zone told its loads.
  applyMember(id: string, address: string, {loads, placements}: RelayedLoads, now: number): void {
    this.members.set(id, {address, loads, at: now})
    this.addOutcomes(loads)
    this.addPlacements(placements)
  }

  /// The relay of another zone of the region told the sums of that zone.
  applyZone(id: string, address: string, {loads, placements}: RelayedLoads, now: number): void {
    this.zones.set(id, {address, loads, at: now})
    addOutcomes(this.outcomesForMembers, loads)
    addOutcomes(this.outcomesForRegions, loads)
    this.placementsForMembers = appendPlacements(this.placementsForMembers, placements)
    this.placementsForRegions = appendPlacements(this.placementsForRegions, placements)
  }

  /// The relay of another region told the sums of that region.
  applyRegion(region: string, address: string, {loads, placements}: RelayedLoads, now: number): void {
    this.regions.set(region, {address, loads, at: now})
    addOutcomes(this.outcomesForMembers, loads)
    this.placementsForMembers = appendPlacements(this.placementsForMembers, placements)
  }

  /// This daemon's own outcomes and placements, which go with those of its zone.
  addOutcomes(loads: readonly BackendLoad[]): void {
    addOutcomes(this.outcomesForZones, loads)
    addOutcomes(this.outcomesForRegions, loads)
    addOutcomes(this.outcomesForMembers, loads)
  }

  addPlacements(placements: readonly PartPlacement[]): void {
    this.placementsForZones = appendPlacements(this.placementsForZones, placements)
    this.placementsForRegions = appendPlacements(this.placementsForRegions, placements)
    this.placementsForMembers = appendPlacements(this.placementsForMembers, placements)
  }

  /// Daemons that have told their loads here and so rely on this one.
  getMemberAddresses(): string[] {
    return [...this.members.values()].map(({address}) => address)
  }

  /// Forgets what is too old.
  removeExpired(now: number): void {
    for (const loadsById of [this.members, this.zones, this.regions])
      for (const [id, {at}] of loadsById) if (now - at > DIGEST_LIFETIME_MS) loadsById.delete(id)
    if (this.members.size > 0) return
    // Nobody listens: what is kept for them would be old when somebody does.
    this.outcomesForMembers.clear()
    this.placementsForMembers = []
  }

  /// The sums of the own zone, for the other zones.
  takeZone(own: readonly BackendLoad[]): RelayedLoads {
    const sums = this.getZoneSums(own)
    const placements = this.placementsForZones
    this.placementsForZones = []
    return {loads: sums.takeLoads(this.outcomesForZones), placements}
  }

  /// The sums of the own region, for the other regions.
  takeRegion(own: readonly BackendLoad[]): RelayedLoads {
    const sums = this.getRegionSums(own)
    const placements = this.placementsForRegions
    this.placementsForRegions = []
    return {loads: sums.takeLoads(this.outcomesForRegions), placements}
  }

  /// Another daemon tells the other regions: what was kept for them is its to tell.
  removeRegionBacklog(): void {
    this.outcomesForRegions.clear()
    this.placementsForRegions = []
  }

  /// The sums of the whole fleet, for the own zone.
  takeFleet(own: readonly BackendLoad[]): RelayedLoads {
    const sums = this.getRegionSums(own)
    for (const {loads} of this.regions.values()) sums.add(loads)
    const placements = this.placementsForMembers
    this.placementsForMembers = []
    return {loads: sums.takeLoads(this.outcomesForMembers), placements}
  }

  private getRegionSums(own: readonly BackendLoad[]): LoadSums {
    const sums = this.getZoneSums(own)
    for (const {loads} of this.zones.values()) sums.add(loads)
    return sums
  }

  private getZoneSums(own: readonly BackendLoad[]): LoadSums {
    const sums = new LoadSums()
    sums.add(own)
    for (const {loads} of this.members.values()) sums.add(loads)
    return sums
  }
}

function addOutcomes(outcomes: Map<string, Outcomes>, loads: readonly BackendLoad[]): void {
  for (const [id, , , , , succeeded = 0, failed = 0] of loads) {
    if (succeeded + failed === 0) continue
    const known = outcomes.get(id)
    if (known) {
      known.succeeded += succeeded
      known.failed += failed
    } else outcomes.set(id, {succeeded, failed})
  }
}

function appendPlacements(known: PartPlacement[], more: readonly PartPlacement[]): PartPlacement[] {
  return [...known, ...more].slice(-MAXIMUM_PLACEMENTS)
}
