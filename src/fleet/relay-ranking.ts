/// Which daemons relay loads in a large fleet: two in each zone, the first by rendezvous hashing and one to stand in for
/// it. Every daemon finds the same ones from its list of members, without talking.
import type {Member} from "../membership/membership-messages.js"
import {rankByRendezvous} from "../shared/rendezvous-hash.js"

/// Relays of one zone: the first does the work, the second knows enough to take over.
const RELAYS_PER_ZONE = 2
const RELAY_KEY = "load-relay"

/// The relays of a fleet, as peer addresses.
export interface RelayRanking {
  /// Relays of the own zone, best first; this daemon's own address among them if it is one.
  readonly ownZone: readonly string[]
  /// Relays of every other zone.
  readonly otherZones: readonly string[]
}

/// Ranks the members that are alive; those that are suspected relay nothing.
export function rankRelays(members: readonly Member[], ownZone: string): RelayRanking {
  const byZone = new Map<string, Member[]>()
  for (const member of members) {
    if (member.state !== "alive") continue
    const zone = byZone.get(member.zone)
    if (zone) zone.push(member)
    else byZone.set(member.zone, [member])
  }
  const otherZones: string[] = []
  for (const [zone, inZone] of byZone) if (zone !== ownZone) otherZones.push(...pickRelays(inZone))
  return {ownZone: pickRelays(byZone.get(ownZone) ?? []), otherZones}
}

function pickRelays(members: readonly Member[]): string[] {
  const addresses = new Map(members.map(member => [member.id, member.address]))
  return rankByRendezvous(RELAY_KEY, [...addresses.keys()], RELAYS_PER_ZONE).map(
    id => addresses.get(id) ?? ""
  )
}
