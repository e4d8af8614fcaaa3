/// Learns the round trips to other regions from the probes between daemons, finds which of them are cut off,
/// and tells how much work leaves the own region.
import type {DaemonIdentity, MembershipMessage} from "../membership/membership-messages.js"
import type {PeerMessage} from "../daemon/peer-messages.js"
import {findCutOffRegions} from "../forwarding/backends/region-contact.js"
import {DISTANCE_CLASSES} from "../places/places.js"
import {DaemonPart, type PartFigures, type PartContext, type RegionContext} from "./daemon-part.js"

/// Probes remembered at most; one is answered or timed out within a few seconds, and few are sent in that
/// time.
const MAXIMUM_PROBES = 64

interface SentProbe {
  readonly target: string
  readonly sentAt: number
}

/// Regions as a part.
export class RegionPart extends DaemonPart {
  override readonly name = "regions"
  private cutOff: ReadonlySet<string> = new Set()
  private readonly probes = new Map<number, SentProbe>()

  constructor(
    private readonly surroundings: PartContext,
    private readonly regions: RegionContext
  ) {
    super()
  }

  /// Notes when a probe is sent; nothing is added to it.
  override addToMembership(message: MembershipMessage, now: number): MembershipMessage {
    if (message.kind === "ping") {
      this.probes.set(message.sequence, {target: message.target, sentAt: now})
      const [oldest] = this.probes.keys()
      if (this.probes.size > MAXIMUM_PROBES) this.probes.delete(oldest)
    }
    return message
  }

  override receivePeer(fromId: string, _fromAddress: string, message: PeerMessage, now: number): void {
    if (message.kind !== "ack") return
    const probe = this.probes.get(message.sequence)
    this.probes.delete(message.sequence)
    // An answer through a third daemon went another way.
    if (probe?.target !== fromId) return
    const member = this.surroundings.members().find(({id}) => id === fromId)
    if (member) this.addSample(member, now - probe.sentAt)
  }

  /// Silence while this process stood still is nobody's.
  override onProcessResumed(): void {
    this.probes.clear()
  }

  override scan(_leaving: boolean, now: number): void {
    const {directory, logChange} = this.surroundings
    const {distance} = this.regions
    const cutOff = findCutOffRegions(directory.all(), distance, now)
    for (const region of cutOff) if (!this.cutOff.has(region)) logChange("region.lost", {region})
    for (const region of this.cutOff) if (!cutOff.has(region)) logChange("region.regained", {region})
    this.cutOff = cutOff
    distance.setCutOff(cutOff)
  }

  override getFigures(): PartFigures {
    const {distance, places, roundTrips} = this.regions
    const attempts = distance.getAttempts()
    const all = DISTANCE_CLASSES.reduce((sum, kind) => sum + attempts[kind], 0)
    const figures: Record<string, number> = {}
    for (const kind of DISTANCE_CLASSES) figures[`attempts_${kind}`] = attempts[kind]
    figures.share_elsewhere = all > 0 ? attempts.otherRegion / all : 0
    figures.regions_cut_off = this.cutOff.size
    for (const region of places.getOtherRegions(this.surroundings.identity.zone))
      figures[`round_trip_ms_${region}`] = roundTrips.getMs(region, "otherRegion")
    return figures
  }

  private addSample({zone}: DaemonIdentity, ms: number): void {
    const {places, roundTrips} = this.regions
    const distance = places.getDistance(this.surroundings.identity.zone, zone)
    roundTrips.addSample(places.getRegion(zone), distance, ms)
  }
}
