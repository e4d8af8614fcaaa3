/// Selects the daemons that relay loads in a large fleet: two per zone by rendezvous hashing, of which the
/// second is the standby, and among the first relays of a region's zones one that sends to the other regions.
/// Every daemon computes the same result from its list of members, without communication.
import type {Member} from "../membership/membership-messages.js"
import {pickByRendezvous, rankByRendezvous} from "../shared/rendezvous-hash.js"

/// The first relay of a zone is active, the second is its standby.
const RELAYS_PER_ZONE = 2
const RELAY_KEY = "load-relay"
const REGION_RELAY_KEY = "region-relay"

/// Zone and region of a daemon.
export interface RelayPlace {
  readonly zone: string
  readonly region: string
}

/// The relays of a fleet, as peer addresses.
export interface RelayRanking {
  /// Relays of the local zone, best first; contains this daemon's own address if it is one of them.
  readonly ownZone: readonly string[]
  /// Relays of the other zones of the local region.
  readonly ownRegion: readonly string[]
  /// Relays of every zone of the other regions.
  readonly otherRegions: readonly string[]
  /// The relay that sends the loads of the local region to the other regions.
  readonly regionRelay: string | undefined
  /// The relay of each of the other regions that receives them.
  readonly otherRegionRelays: readonly string[]
}

interface ZoneRelays extends RelayPlace {
  readonly addresses: readonly string[]
}

/// Ranks the members that are alive; suspected members are not relays.
export function rankRelays(members: readonly Member[], local: RelayPlace): RelayRanking {
  const zones = groupByZone(members).map(createZoneRelays)
  const inRegion = zones.filter(({region}) => region === local.region)
  const otherZones = zones.filter(({region}) => region !== local.region)
  const regions = [...new Set(otherZones.map(({region}) => region))]
  return {
    ownZone: inRegion.find(({zone}) => zone === local.zone)?.addresses ?? [],
    ownRegion: inRegion.filter(({zone}) => zone !== local.zone).flatMap(({addresses}) => addresses),
    otherRegions: otherZones.flatMap(({addresses}) => addresses),
    regionRelay: pickRegionRelay(inRegion),
    otherRegionRelays: regions.flatMap(
      region => pickRegionRelay(otherZones.filter(zone => zone.region === region)) ?? []
    )
  }
}

function groupByZone(members: readonly Member[]): Member[][] {
  const byZone = new Map<string, Member[]>()
  for (const member of members) {
    if (member.state !== "alive") continue
    const zone = byZone.get(member.zone)
    if (zone) zone.push(member)
    else byZone.set(member.zone, [member])
  }
  return [...byZone.values()]
}

function createZoneRelays(members: readonly Member[]): ZoneRelays {
  const addresses = new Map(members.map(member => [member.id, member.address]))
  const ids = rankByRendezvous(RELAY_KEY, [...addresses.keys()], RELAYS_PER_ZONE)
  const [{zone, region}] = members
  return {zone, region, addresses: ids.map(id => addresses.get(id) ?? "")}
}

/// Picks one of the first relays of a region's zones.
function pickRegionRelay(zones: readonly ZoneRelays[]): string | undefined {
  return pickByRendezvous(
    REGION_RELAY_KEY,
    zones.map(({addresses}) => addresses[0])
  )
}
