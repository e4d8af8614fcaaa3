/// Which daemons relay loads in a large fleet: two in each zone, the first by rendezvous hashing and one to
/// stand in for it, and of a region's first ones one that tells the other regions. Every daemon finds the
/// same ones from its list of members, without talking.
import type {Member} from "../membership/membership-messages.js"
import {pickByRendezvous, rankByRendezvous} from "../shared/rendezvous-hash.js"

/// Relays of one zone: the first does the work, the second knows enough to take over.
const RELAYS_PER_ZONE = 2
const RELAY_KEY = "load-relay"
const REGION_RELAY_KEY = "region-relay"

/// Where a daemon stands.
export interface RelayPlace {
  readonly zone: string
  readonly region: string
}

/// The relays of a fleet, as peer addresses.
export interface RelayRanking {
  /// Relays of the own zone, best first; this daemon's own address among them if it is one.
  readonly ownZone: readonly string[]
  /// Relays of the other zones of the own region.
  readonly ownRegion: readonly string[]
  /// Relays of every zone of the other regions.
  readonly otherRegions: readonly string[]
  /// Who tells the other regions what the own one puts on.
  readonly regionRelay: string | undefined
  /// Who hears it in each of the other regions.
  readonly otherRegionRelays: readonly string[]
}

interface ZoneRelays extends RelayPlace {
  readonly addresses: readonly string[]
}

/// Ranks the members that are alive; those that are suspected relay nothing.
export function rankRelays(members: readonly Member[], own: RelayPlace): RelayRanking {
  const zones = groupByZone(members).map(makeZoneRelays)
  const inRegion = zones.filter(({region}) => region === own.region)
  const elsewhere = zones.filter(({region}) => region !== own.region)
  const regions = [...new Set(elsewhere.map(({region}) => region))]
  return {
    ownZone: inRegion.find(({zone}) => zone === own.zone)?.addresses ?? [],
    ownRegion: inRegion.filter(({zone}) => zone !== own.zone).flatMap(({addresses}) => addresses),
    otherRegions: elsewhere.flatMap(({addresses}) => addresses),
    regionRelay: pickRegionRelay(inRegion),
    otherRegionRelays: regions.flatMap(
      region => pickRegionRelay(elsewhere.filter(zone => zone.region === region)) ?? []
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

function makeZoneRelays(members: readonly Member[]): ZoneRelays {
  const addresses = new Map(members.map(member => [member.id, member.address]))
  const ids = rankByRendezvous(RELAY_KEY, [...addresses.keys()], RELAYS_PER_ZONE)
  const [{zone, region}] = members
  return {zone, region, addresses: ids.map(id => addresses.get(id) ?? "")}
}

/// One of the first relays of a region's zones.
function pickRegionRelay(zones: readonly ZoneRelays[]): string | undefined {
  return pickByRendezvous(
    REGION_RELAY_KEY,
    zones.map(({addresses}) => addresses[0])
  )
}
