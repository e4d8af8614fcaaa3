/// Messages between daemons other than membership: the load that each daemon puts on the back ends, changes
/// read from the store, and records for a daemon that lags behind because the store does not answer it. Relies
/// on the list of members, the fleet replica and, in a large fleet, the load relays.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import type {BackendDirectory} from "../forwarding/backends/backend-directory.js"
import type {PartPlacement} from "../forwarding/kv-cache/kv-index.js"
import type {LeavingBackends} from "../forwarding/backends/leaving-backends.js"
import type {BackendLimits} from "../forwarding/permits/backend-limits.js"
import type {BackendPaths} from "../forwarding/paths/backend-paths.js"
import type {Member} from "../membership/membership-messages.js"
import type {FleetKnowledge, FleetMessage, RecordsChanged} from "./fleet-messages.js"
import type {FleetReplica} from "./fleet-replica.js"
import {LoadRelay, type RelayedLoads} from "./load-relay.js"
import {rankRelays, type RelayPlace, type RelayRanking} from "./relay-ranking.js"
import type {RecordCollection} from "./record-store.js"

/// Settings of the exchange.
export interface PeerExchangeSettings {
  /// The longest interval between digests, and the range of the random first delay. Milliseconds. Default 400.
  readonly digestIntervalMs: number
  /// Share of the interval for each peer that receives a digest: a small fleet can afford fresher digests.
  /// Milliseconds. Default 20.
  readonly digestIntervalPerPeerMs: number
  /// The shortest interval. Milliseconds. Default 100.
  readonly minimumDigestIntervalMs: number
  /// In a fleet with more peers than this, loads are sent through relays. Default 12.
  readonly digestPeers: number
  /// The longest interval between digests through relays. Milliseconds. Default 250: three intervals are about
  /// the time in which an engine computes a long prompt.
  readonly relayIntervalMs: number
  /// Share of that interval for each daemon of the fleet: the traffic of a relay grows with its members, and a
  /// medium-sized fleet can afford fresher loads. Milliseconds. Default 2.
  readonly relayIntervalPerDaemonMs: number
  /// The shortest interval between digests through relays. Milliseconds. Default 120.
  readonly minimumRelayIntervalMs: number
  /// Interval between digests from region to region: these links are expensive, and engines of another region
  /// are seldom used. Milliseconds. Default 350.
  readonly regionIntervalMs: number
  /// A relay that has sent nothing for this duration is replaced by the next one. Milliseconds. Default 1000.
  readonly relayTimeoutMs: number
  /// A daemon that has lagged behind a peer for this duration asks it for its records. Milliseconds. Default
  /// 300.
  readonly pullDelayMs: number
}

/// Default settings.
export const DEFAULT_PEER_EXCHANGE_SETTINGS: PeerExchangeSettings = {
  digestIntervalMs: 400,
  digestIntervalPerPeerMs: 20,
  minimumDigestIntervalMs: 100,
  digestPeers: 12,
  relayIntervalMs: 250,
  relayIntervalPerDaemonMs: 2,
  minimumRelayIntervalMs: 120,
  regionIntervalMs: 350,
  relayTimeoutMs: 1000,
  pullDelayMs: 300
}

/// Where prompt parts were computed.
interface PlacementExchange {
  /// Returns and clears the placements that this daemon has not published yet.
  take(): readonly PartPlacement[]
  /// Applies a placement that a peer published.
  addPlacement(placement: PartPlacement): void
}

/// Further contents of a digest.
interface DigestExtras {
  readonly placements: PlacementExchange
  readonly limits: Pick<BackendLimits, "getForPeers" | "applyFromPeer">
  readonly leaving: Pick<LeavingBackends, "getForPeers" | "applyFromPeer">
  readonly paths: Pick<BackendPaths, "offersTunnels">
}

/// A message to a peer.
interface PeerSend {
  readonly address: string
  readonly message: FleetMessage
}

/// The name under which the directory keeps the whole fleet's loads from a relay, in place of those of
/// individual peers.
const FLEET_LOADS_KEY = "fleet"

/// The daemons of the fleet.
interface PeerMembers extends RelayPlace {
  readonly selfAddress: string
  /// Active members, this daemon included; the same array until the members change.
  getActive(): readonly Member[]
}

/// A daemon that replaced a silent relay tries the first relay again after this delay. Without the retry, both
/// relays of a zone stayed in use permanently: 150 instead of 100 digests per second between zones at 72
/// daemons (virtual time). Milliseconds.
const PREFERRED_RELAY_RETRY_MS = 10_000

const NO_RELAYS: RelayRanking = {
  ownZone: [],
  ownRegion: [],
  otherRegions: [],
  regionRelay: undefined,
  otherRegionRelays: []
}

type LoadDigest = Extract<FleetMessage, {kind: "loadDigest"}>

/// The exchange of one daemon. Times are monotonic milliseconds.
export class PeerExchange {
  private nextDigestAt: number
  private behindSince: number | undefined
  /// Sequence number and time of the latest pull.
  private sequence = 0
  private pulledAt = -Infinity
  private readonly relay = new LoadRelay()
  private rankedMembers: readonly Member[] = []
  private ranking: RelayRanking = NO_RELAYS
  private nextRegionDigestAt = -Infinity
  private peers: readonly string[] = []
  /// The relay in use, and when it was selected or last sent something.
  private relayAddress: string | undefined
  private lastRelayContactAt = -Infinity
  private preferredRelayRetryAt = -Infinity

  constructor(
    private readonly settings: PeerExchangeSettings,
    private readonly replica: FleetReplica,
    private readonly directory: BackendDirectory,
    private readonly extras: DigestExtras,
    private readonly members: PeerMembers,
    random: RandomSource,
    private readonly emit: EffectSink<PeerSend>,
    now: number
  ) {
    this.nextDigestAt = now + random.next() * settings.digestIntervalMs
  }

  /// Sends digests when they are due.
  tick(now: number): void {
    if (now < this.nextDigestAt) return
    this.rankMembers()
    this.directory.peers.removeOld(now)
    const local = {loads: this.directory.takeLoads(now), placements: [...this.extras.placements.take()]}
    if (this.isRelayed()) this.tickRelayed(local, now)
    else {
      this.nextDigestAt = now + this.getDigestIntervalMs(this.peers.length)
      this.sendDigest(this.peers, "own", local, now)
    }
  }

  /// Makes the next digest due now, because something should not wait for its interval.
  sendDigestSoon(now: number): void {
    this.nextDigestAt = Math.min(this.nextDigestAt, now)
  }

  private tickRelayed(local: RelayedLoads, now: number): void {
    this.nextDigestAt = now + this.getRelayIntervalMs()
    this.relay.removeExpired(now)
    const {selfAddress} = this.members
    const relayAddress = this.pickRelay(now)
    const memberAddresses = this.relay.getMemberAddresses()
    if (relayAddress === selfAddress || memberAddresses.length > 0)
      this.sendRelayedLoads(local, memberAddresses, now)
    else {
      // Other relays send for the region: outcomes kept here would be out of date when they are sent.
      this.relay.removeRegionBacklog()
      if (relayAddress !== undefined) this.sendDigest([relayAddress], "own", local, now)
    }
  }

  /// Sends the loads of the zone, the region and the fleet. While daemons disagree about the relay, a zone has
  /// two of them, and each sends the other the loads of its part of the zone.
  private sendRelayedLoads(
    {loads, placements}: RelayedLoads,
    memberAddresses: readonly string[],
    now: number
  ): void {
    this.relay.addOutcomes(loads)
    this.relay.addPlacements(placements)
    this.sendDigest(this.getOtherRelaysOfRegion(), "zone", this.relay.takeZone(loads), now)
    this.sendRegionLoads(loads, now)
    const fleet = this.relay.takeFleet(loads)
    this.sendDigest(memberAddresses, "fleet", fleet, now)
    this.directory.applyFleetLoads(FLEET_LOADS_KEY, fleet.loads, now)
  }

  /// Sends the region's loads to each other region, if this daemon is the region's relay and they are due.
  private sendRegionLoads(loads: RelayedLoads["loads"], now: number): void {
    const {regionRelay, otherRegionRelays} = this.ranking
    if (regionRelay !== this.members.selfAddress || otherRegionRelays.length === 0) {
      this.relay.removeRegionBacklog()
      return
    }
    if (now < this.nextRegionDigestAt) return
    this.nextRegionDigestAt = now + this.settings.regionIntervalMs
    this.sendDigest(otherRegionRelays, "region", this.relay.takeRegion(loads), now)
  }

  private getOtherRelaysOfRegion(): string[] {
    const {ownZone, ownRegion} = this.ranking
    return [...ownRegion, ...ownZone.filter(address => address !== this.members.selfAddress)]
  }

  private sendDigest(
    addresses: readonly string[],
    scope: LoadDigest["scope"],
    {loads, placements}: RelayedLoads,
    now: number
  ): void {
    if (addresses.length === 0) return
    const knowledge = this.replica.getKnowledge(now)
    const ofRegion = scope === "region" ? {region: this.members.region, passOn: true} : {}
    const limits = this.extras.limits.getForPeers(now)
    const leaving = this.extras.leaving.getForPeers()
    const message: FleetMessage = {
      kind: "loadDigest",
      scope,
      knowledge,
      loads,
      placements,
      ...(limits.length > 0 ? {limits} : {}),
      ...(leaving.length > 0 ? {leaving} : {}),
      ...(this.extras.paths.offersTunnels(now) ? {tunnels: true} : {}),
      ...ofRegion
    }
    this.sendToAll(addresses, message)
  }

  /// Handles a message from a peer.
  receive(fromId: string, fromAddress: string, message: FleetMessage, now: number): void {
    switch (message.kind) {
      case "loadDigest":
        this.applyLoads(fromId, fromAddress, message, now)
        this.replica.receiveKnowledge(fromId, message.knowledge, now)
        if (message.passOn === true) this.sendLoadsToRelays(message, now)
        this.sendPullWhenBehind(fromAddress, message.knowledge, now)
        break
      case "recordsPull": {
        const {sequence} = message
        const knowledge = this.replica.getKnowledge(now)
        const records = this.replica.getRecords()
        this.emit({address: fromAddress, message: {kind: "recordsSnapshot", sequence, knowledge, records}})
        break
      }
      case "recordsSnapshot": {
        const {sequence, knowledge, records} = message
        this.replica.receiveSnapshot(
          fromId,
          {knowledge, records, requestedAt: this.getPullTime(sequence)},
          now
        )
        break
      }
      case "recordsChanged":
        this.replica.receiveChanges(fromId, message, now)
        if (message.passOn === true)
          this.sendToAll(this.relay.getMemberAddresses(), {...message, passOn: false})
        break
    }
  }

  /// Sends changes to every peer; in a large fleet to the relays, which forward them. A zone without a relay
  /// learns of them from digests, or reads the store itself.
  sendChanges(message: RecordsChanged): void {
    this.rankMembers()
    if (this.isRelayed()) {
      const relays = [...this.getOtherRelaysOfRegion(), ...this.ranking.otherRegions]
      this.sendToAll(relays, {...message, passOn: true})
      this.sendToAll(this.relay.getMemberAddresses(), message)
    } else this.sendToAll(this.peers, message)
  }

  /// Forwards the loads of another region to the other relays of this one, with the current state of this
  /// daemon's copies in place of the sender's.
  private sendLoadsToRelays(message: LoadDigest, now: number): void {
    const knowledge = this.replica.getKnowledge(now)
    const tunnels = this.extras.paths.offersTunnels(now)
    this.sendToAll(this.getOtherRelaysOfRegion(), {...message, knowledge, tunnels, passOn: false})
  }

  private sendToAll(addresses: readonly string[], message: FleetMessage): void {
    for (const address of addresses) this.emit({address, message})
  }

  private isRelayed(): boolean {
    return this.peers.length > this.settings.digestPeers
  }

  /// Asks a peer for its records when this daemon has lagged behind for a while. The store is read first, so
  /// the pull waits for `pullDelayMs` unless nothing is known yet.
  private sendPullWhenBehind(fromAddress: string, knowledge: FleetKnowledge, now: number): void {
    const local = this.replica.getKnowledge(now)
    const lacks = (collection: RecordCollection) =>
      this.replica.lacks(collection, knowledge[collection].changed)
    const behind = this.replica.isBehind("configuration") || this.replica.isBehind("backends")
    if (!behind) this.behindSince = undefined
    if (!lacks("configuration") && !lacks("backends")) return
    this.behindSince ??= now
    const isEmpty = local.configuration.changed === 0 || local.backends.changed === 0
    if (!isEmpty && now - this.behindSince < this.settings.pullDelayMs) return
    this.behindSince = now
    this.sequence += 1
    this.pulledAt = now
    this.emit({address: fromAddress, message: {kind: "recordsPull", sequence: this.sequence}})
  }

  /// When the pull with this sequence number was sent; undefined for an earlier one than the latest.
  private getPullTime(sequence: number): number | undefined {
    return sequence === this.sequence ? this.pulledAt : undefined
  }

  private getRelayIntervalMs(): number {
    const {relayIntervalMs, relayIntervalPerDaemonMs, minimumRelayIntervalMs} = this.settings
    const ms = this.rankedMembers.length * relayIntervalPerDaemonMs
    return Math.min(relayIntervalMs, Math.max(minimumRelayIntervalMs, ms))
  }

  private getDigestIntervalMs(peers: number): number {
    const {digestIntervalMs, digestIntervalPerPeerMs, minimumDigestIntervalMs} = this.settings
    return Math.min(digestIntervalMs, Math.max(minimumDigestIntervalMs, peers * digestIntervalPerPeerMs))
  }

  private applyLoads(fromId: string, fromAddress: string, message: LoadDigest, now: number): void {
    for (const placement of message.placements) this.extras.placements.addPlacement(placement)
    this.extras.limits.applyFromPeer(message.limits ?? [], now)
    this.extras.leaving.applyFromPeer(message.leaving ?? [], now)
    switch (message.scope ?? "own") {
      case "own":
        // A daemon that sends its loads to a relay receives those of the fleet from it; in a small fleet every
        // daemon sends to every other one.
        if (this.isRelayed()) this.relay.applyMember(fromId, fromAddress, message, now)
        else this.directory.peers.applyDigest(fromId, message.loads, now)
        break
      case "zone":
        this.relay.applyZone(fromId, fromAddress, message, now)
        break
      case "region":
        if (message.region !== undefined) this.relay.applyRegion(message.region, fromAddress, message, now)
        break
      case "fleet":
        if (fromAddress === this.relayAddress) this.lastRelayContactAt = now
        this.directory.applyFleetLoads(FLEET_LOADS_KEY, message.loads, now)
        break
    }
  }

  /// Picks the first relay of the zone; the next one when it has sent nothing for a while; and after a delay
  /// the first one again.
  private pickRelay(now: number): string | undefined {
    const {ownZone} = this.ranking
    const known = this.relayAddress !== undefined && ownZone.includes(this.relayAddress)
    const isSelf = this.relayAddress === this.members.selfAddress
    const isResponding = isSelf || now - this.lastRelayContactAt <= this.settings.relayTimeoutMs
    if (known && isResponding && (this.relayAddress === ownZone[0] || now < this.preferredRelayRetryAt))
      return this.relayAddress
    const isSilent = known && !isResponding
    this.preferredRelayRetryAt = isSilent ? now + PREFERRED_RELAY_RETRY_MS : -Infinity
    const index = isSilent ? ownZone.indexOf(this.relayAddress ?? "") + 1 : 0
    this.relayAddress = ownZone[index % Math.max(1, ownZone.length)]
    this.lastRelayContactAt = now
    return this.relayAddress
  }

  private rankMembers(): void {
    const members = this.members.getActive()
    if (members === this.rankedMembers) return
    this.rankedMembers = members
    this.peers = members.map(({address}) => address).filter(address => address !== this.members.selfAddress)
    if (this.isRelayed()) this.ranking = rankRelays(members, this.members)
  }
}
