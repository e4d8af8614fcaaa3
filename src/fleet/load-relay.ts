/// Aggregates loads in a large fleet. Each daemon sends the load that it puts on the back ends to its zone's
/// relay; the relays of a region send each other the sums of their zones, one of them sends the sum of its
/// region to each other region, and each relay sends the sum of the whole fleet to its zone. Every daemon thus
/// knows the load of its region after at most three intervals, with about ten messages per second instead of
/// one to and from every peer, and a region receives the loads of another one in one message instead of one
/// for each pair of zones.
import type {BackendLoad} from "../forwarding/backends/peer-loads.js"
import type {PartPlacement} from "../forwarding/kv-cache/kv-index.js"

/// Older digests are dropped; the same as for digests between peers (`PeerLoads`). Milliseconds.
const DIGEST_LIFETIME_MS = 2000
/// Maximum number of placements forwarded in one message: each takes about 30 bytes, and a message goes to
/// every daemon of a zone.
const MAXIMUM_PLACEMENTS = 256

interface ReceivedLoads {
  readonly address: string
  readonly loads: readonly BackendLoad[]
  /// When they were received. Monotonic milliseconds.
  readonly at: number
}

/// Outcomes of attempts that have not been forwarded yet.
interface Outcomes {
  succeeded: number
  failed: number
}

/// Loads and placements that are sent in one message.
export interface RelayedLoads {
  readonly loads: BackendLoad[]
  readonly placements: PartPlacement[]
}

/// Sums by back end. Outcomes are counted once, when they arrive; everything else is the current state.
class LoadSums {
  private readonly sums = new Map<string, [number, number, number, number]>()

  add(loads: readonly BackendLoad[]): void {
    for (const [id, inFlight, pending, distrust, overdue = 0] of loads) {
      const sum = this.sums.get(id)
      if (!sum) this.sums.set(id, [inFlight, pending, distrust, overdue])
      else {
        sum[0] += inFlight
        sum[1] += pending
        sum[2] += distrust
        sum[3] += overdue
      }
    }
  }

  /// Returns the sums together with the outcomes, which are then cleared.
  takeLoads(outcomes: Map<string, Outcomes>): BackendLoad[] {
    for (const id of outcomes.keys()) if (!this.sums.has(id)) this.sums.set(id, [0, 0, 0, 0])
    const loads: BackendLoad[] = []
    for (const [id, [inFlight, pending, distrust, overdue]] of this.sums) {
      const {succeeded = 0, failed = 0} = outcomes.get(id) ?? {}
      loads.push([id, inFlight, pending, distrust, overdue, succeeded, failed])
    }
    outcomes.clear()
    return loads
  }
}

/// What a relay has received and has yet to send. Times are monotonic milliseconds.
export class LoadRelay {
  private readonly members = new Map<string, ReceivedLoads>()
  /// Other zones of the local region, by the id of the relay that sent the loads.
  private readonly zones = new Map<string, ReceivedLoads>()
  /// Other regions, by name, so that a region whose relay changes is not counted twice.
  private readonly regions = new Map<string, ReceivedLoads>()
  /// Outcomes and placements of the local zone for the other zones, of the local region for the other regions,
  /// and of the whole fleet for the local zone.
  private readonly outcomesForZones = new Map<string, Outcomes>()
  private readonly outcomesForRegions = new Map<string, Outcomes>()
  private readonly outcomesForMembers = new Map<string, Outcomes>()
  private placementsForZones: PartPlacement[] = []
  private placementsForRegions: PartPlacement[] = []
  private placementsForMembers: PartPlacement[] = []

  /// Applies the loads that a daemon of the local zone sent.
  applyMember(id: string, address: string, {loads, placements}: RelayedLoads, now: number): void {
    this.members.set(id, {address, loads, at: now})
    this.addOutcomes(loads)
    this.addPlacements(placements)
  }

  /// Applies the sums of another zone of the region, which that zone's relay sent.
  applyZone(id: string, address: string, {loads, placements}: RelayedLoads, now: number): void {
    this.zones.set(id, {address, loads, at: now})
    addOutcomes(this.outcomesForMembers, loads)
    addOutcomes(this.outcomesForRegions, loads)
    this.placementsForMembers = appendPlacements(this.placementsForMembers, placements)
    this.placementsForRegions = appendPlacements(this.placementsForRegions, placements)
  }

  /// Applies the sums of another region, which that region's relay sent.
  applyRegion(region: string, address: string, {loads, placements}: RelayedLoads, now: number): void {
    this.regions.set(region, {address, loads, at: now})
    addOutcomes(this.outcomesForMembers, loads)
    this.placementsForMembers = appendPlacements(this.placementsForMembers, placements)
  }

  /// Adds outcomes of this daemon or of its zone's members.
  addOutcomes(loads: readonly BackendLoad[]): void {
    addOutcomes(this.outcomesForZones, loads)
    addOutcomes(this.outcomesForRegions, loads)
    addOutcomes(this.outcomesForMembers, loads)
  }

  /// Adds placements of this daemon or of its zone's members.
  addPlacements(placements: readonly PartPlacement[]): void {
    this.placementsForZones = appendPlacements(this.placementsForZones, placements)
    this.placementsForRegions = appendPlacements(this.placementsForRegions, placements)
    this.placementsForMembers = appendPlacements(this.placementsForMembers, placements)
  }

  /// Addresses of the daemons that send their loads here and so depend on this relay.
  getMemberAddresses(): string[] {
    return [...this.members.values()].map(({address}) => address)
  }

  /// Drops loads that are too old.
  removeExpired(now: number): void {
    for (const loadsById of [this.members, this.zones, this.regions])
      for (const [id, {at}] of loadsById) if (now - at > DIGEST_LIFETIME_MS) loadsById.delete(id)
    if (this.members.size > 0) return
    // There are no receivers: what is kept for them would be out of date once there are.
    this.outcomesForMembers.clear()
    this.placementsForMembers = []
  }

  /// Returns the sums of the local zone for the other zones, and clears the outcomes and placements for them.
  takeZone(localLoads: readonly BackendLoad[]): RelayedLoads {
    const sums = this.getZoneSums(localLoads)
    const placements = this.placementsForZones
    this.placementsForZones = []
    return {loads: sums.takeLoads(this.outcomesForZones), placements}
  }

  /// Returns the sums of the local region for the other regions, and clears the outcomes and placements for
  /// them.
  takeRegion(localLoads: readonly BackendLoad[]): RelayedLoads {
    const sums = this.getRegionSums(localLoads)
    const placements = this.placementsForRegions
    this.placementsForRegions = []
    return {loads: sums.takeLoads(this.outcomesForRegions), placements}
  }

  /// Drops what was kept for the other regions, because another daemon sends it to them.
  removeRegionBacklog(): void {
    this.outcomesForRegions.clear()
    this.placementsForRegions = []
  }

  /// Returns the sums of the whole fleet for the local zone, and clears the outcomes and placements for it.
  takeFleet(localLoads: readonly BackendLoad[]): RelayedLoads {
    const sums = this.getRegionSums(localLoads)
    for (const {loads} of this.regions.values()) sums.add(loads)
    const placements = this.placementsForMembers
    this.placementsForMembers = []
    return {loads: sums.takeLoads(this.outcomesForMembers), placements}
  }

  private getRegionSums(localLoads: readonly BackendLoad[]): LoadSums {
    const sums = this.getZoneSums(localLoads)
    for (const {loads} of this.zones.values()) sums.add(loads)
    return sums
  }

  private getZoneSums(localLoads: readonly BackendLoad[]): LoadSums {
    const sums = new LoadSums()
    sums.add(localLoads)
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
