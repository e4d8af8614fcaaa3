/// Measures the round trips to other regions by the probes between daemons, detects regions that are cut off,
/// and reports the share of attempts that leave the daemon's own region.
import type {DaemonIdentity, MembershipMessage} from "../membership/membership-messages.js"
import type {PeerMessage} from "../daemon/peer-messages.js"
import {findCutOffRegions} from "../forwarding/backends/region-contact.js"
import {DISTANCE_CLASSES} from "../places/places.js"
import {DaemonPart, type PartFigures, type PartContext, type RegionContext} from "./daemon-part.js"

/// Largest number of probes in flight that are recorded. A probe is answered or times out within a few
/// seconds, and few are sent in that time.
const MAXIMUM_PROBES = 64

interface SentProbe {
  readonly target: string
  readonly sentAt: number
}

/// The part that tracks regions.
export class RegionPart extends DaemonPart {
  override readonly name = "regions"
  private cutOff: ReadonlySet<string> = new Set()
  private readonly probes = new Map<number, SentProbe>()

  constructor(
    private readonly context: PartContext,
    private readonly regions: RegionContext
  ) {
    super()
  }

  /// Records when a probe is sent; the message is unchanged.
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
    // An answer relayed by a third daemon took a different route.
    if (probe?.target !== fromId) return
    const member = this.context.getMembers().find(({id}) => id === fromId)
    if (member) this.addSample(member, now - probe.sentAt)
  }

  /// Discards probes from before a process pause: the pause would count as round-trip time.
  override onProcessResumed(): void {
    this.probes.clear()
  }

  override scan(_draining: boolean, now: number): void {
    const {directory, logChange} = this.context
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
    for (const region of places.getOtherRegions(this.context.identity.zone))
      figures[`round_trip_ms_${region}`] = roundTrips.getRoundTripMs(region, "otherRegion")
    return figures
  }

  private addSample({zone}: DaemonIdentity, ms: number): void {
    const {places, roundTrips} = this.regions
    const distance = places.getDistance(this.context.identity.zone, zone)
    roundTrips.addSample(places.getRegion(zone), distance, ms)
  }
}
