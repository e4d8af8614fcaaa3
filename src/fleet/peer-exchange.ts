/// What daemons tell each other beside membership: the load that each puts on the back ends, and records to a
/// daemon that lags behind because the store does not answer it.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import type {BackendDirectory} from "../forwarding/backends/backend-directory.js"
import type {PartPlacement} from "../forwarding/kv-cache/kv-index.js"
import type {LeavingBackends} from "../forwarding/backends/leaving-backends.js"
import type {BackendLimits} from "../forwarding/permits/backend-limits.js"
import type {Member} from "../membership/membership-messages.js"
import type {FleetKnowledge, FleetMessage, RecordsChanged} from "./fleet-messages.js"
import type {FleetReplica} from "./fleet-replica.js"
import {LoadRelay, type RelayedLoads} from "./load-relay.js"
import {rankRelays, type RelayPlace, type RelayRanking} from "./relay-ranking.js"
import type {RecordCollection} from "./record-store.js"

/// Settings of the exchange.
export interface PeerExchangeSettings {
  /// The longest interval between digests. Milliseconds. Default 400.
  readonly digestIntervalMs: number
  /// Interval for each peer that gets one: a small fleet can afford fresher digests. Milliseconds. Default
  /// 20.
  readonly digestIntervalPerPeerMs: number
  /// The shortest interval. Milliseconds. Default 100.
  readonly minimumDigestIntervalMs: number
  /// In a fleet with more peers than this loads go through relays. Default 12.
  readonly digestPeers: number
  /// The longest interval between digests through relays. Milliseconds. Default 250: three of them are about
  /// the time in which an engine computes a long prompt.
  readonly relayIntervalMs: number
  /// Interval for each daemon of the fleet: what a relay sends grows with its members, and a middle fleet can
  /// afford fresher loads. Milliseconds. Default 2.
  readonly relayIntervalPerDaemonMs: number
  /// The shortest such interval. Milliseconds. Default 120.
  readonly minimumRelayIntervalMs: number
  /// Interval between digests from region to region, whose links are dear and whose engines are seldom used.
  /// Milliseconds. Default 350.
  readonly regionIntervalMs: number
  /// A relay that has told nothing for so long is passed over. Milliseconds. Default 1000.
  readonly relayTimeoutMs: number
  /// A daemon that has been behind a peer for so long asks it for its records. Milliseconds. Default 300.
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

/// Where prompts were computed: what this daemon tells, and what it learns.
interface PlacementExchange {
  take(): readonly PartPlacement[]
  addPlacement(placement: PartPlacement): void
}

/// What goes along with the loads.
interface ExchangedNews {
  readonly placements: PlacementExchange
  readonly limits: Pick<BackendLimits, "getForPeers" | "applyFromPeer">
  readonly leaving: Pick<LeavingBackends, "getForPeers" | "applyFromPeer">
}

/// A message to a peer.
interface PeerSend {
  readonly address: string
  readonly message: FleetMessage
}

/// Loads of the whole fleet as a relay tells them stand under this name, in place of those of single peers.
const FLEET = "fleet"

/// The daemons of the fleet.
interface PeerMembers extends RelayPlace {
  readonly selfAddress: string
  /// Active members, this daemon included; the same array as long as they are the same.
  getActive(): readonly Member[]
}

/// A daemon that passed over a silent relay tries the first one again after so long. Milliseconds. Without it
/// both relays of a zone went on for good: 150 in place of 100 digests a second between zones at 72 daemons
/// (virtual time).
const RETURN_MS = 10_000

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
  private sequence = 0
  private readonly relay = new LoadRelay()
  private rankedAmong: readonly Member[] = []
  private ranking: RelayRanking = NO_RELAYS
  private nextRegionDigestAt = -Infinity
  private peers: readonly string[] = []
  /// The relay in use, and when it was taken or last heard.
  private relayAddress: string | undefined
  private relayHeardAt = -Infinity
  private returnAt = -Infinity

  constructor(
    private readonly settings: PeerExchangeSettings,
    private readonly replica: FleetReplica,
    private readonly directory: BackendDirectory,
    private readonly news: ExchangedNews,
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
    const own = {loads: this.directory.takeLoads(now), placements: [...this.news.placements.take()]}
    if (this.isRelayed()) this.tickRelayed(own, now)
    else {
      this.nextDigestAt = now + this.digestIntervalMs(this.peers.length)
      this.sendDigest(this.peers, "own", own, now)
    }
  }

  /// There is news that should not wait for the next digest.
  sendDigestSoon(now: number): void {
    this.nextDigestAt = Math.min(this.nextDigestAt, now)
  }

  private tickRelayed(own: RelayedLoads, now: number): void {
    this.nextDigestAt = now + this.getRelayIntervalMs()
    this.relay.removeOld(now)
    const {selfAddress} = this.members
    const relayAddress = this.pickRelay(now)
    const dependants = this.relay.getMemberAddresses()
    if (relayAddress === selfAddress || dependants.length > 0) this.relayLoads(own, dependants, now)
    else {
      // Others tell for the region: kept here, it would be told when it is long past.
      this.relay.forgetRegion()
      if (relayAddress !== undefined) this.sendDigest([relayAddress], "own", own, now)
    }
  }

  /// Where daemons disagree for a while on who relays, a zone has two relays, and each tells the other what
  /// its part puts on.
  private relayLoads({loads, placements}: RelayedLoads, dependants: readonly string[], now: number): void {
    this.relay.addOutcomes(loads)
    this.relay.addPlacements(placements)
    this.sendDigest(this.getOtherRelaysOfRegion(), "zone", this.relay.takeZone(loads), now)
    this.relayRegion(loads, now)
    const fleet = this.relay.takeFleet(loads)
    this.sendDigest(dependants, "fleet", fleet, now)
    this.directory.applyFleetLoads(FLEET, fleet.loads, now)
  }

  /// One daemon of a region tells each other region what its own puts on.
  private relayRegion(loads: RelayedLoads["loads"], now: number): void {
    const {regionRelay, otherRegionRelays} = this.ranking
    if (regionRelay !== this.members.selfAddress || otherRegionRelays.length === 0) {
      this.relay.forgetRegion()
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
    const limits = this.news.limits.getForPeers(now)
    const leaving = this.news.leaving.getForPeers()
    const message: FleetMessage = {
      kind: "loadDigest",
      scope,
      knowledge,
      loads,
      placements,
      ...(limits.length > 0 ? {limits} : {}),
      ...(leaving.length > 0 ? {leaving} : {}),
      ...ofRegion
    }
    this.sendToAll(addresses, message)
  }

  /// Takes a peer's message.
  receive(fromId: string, fromAddress: string, message: FleetMessage, now: number): void {
    switch (message.kind) {
      case "loadDigest":
        this.applyLoads(fromId, fromAddress, message, now)
        this.replica.receiveKnowledge(message.knowledge, now)
        if (message.passOn === true) this.passOnLoads(message, now)
        this.pullWhenBehind(fromAddress, message.knowledge, now)
        break
      case "recordsPull": {
        const {sequence} = message
        const knowledge = this.replica.getKnowledge(now)
        const records = this.replica.getRecords()
        this.emit({address: fromAddress, message: {kind: "recordsSnapshot", sequence, knowledge, records}})
        break
      }
      case "recordsSnapshot":
        this.replica.receiveSnapshot(fromId, message.knowledge, message.records, now)
        break
      case "recordsChanged":
        this.replica.receiveChanges(fromId, message, now)
        if (message.passOn === true)
          this.sendToAll(this.relay.getMemberAddresses(), {...message, passOn: false})
        break
    }
  }

  /// Sends changes to every peer; in a large fleet to the relays, which pass them on. A zone without a relay
  /// hears of them by digests, or reads them itself.
  sendChanges(message: RecordsChanged): void {
    this.rankMembers()
    if (this.isRelayed()) {
      const relays = [...this.getOtherRelaysOfRegion(), ...this.ranking.otherRegions]
      this.sendToAll(relays, {...message, passOn: true})
      this.sendToAll(this.relay.getMemberAddresses(), message)
    } else this.sendToAll(this.peers, message)
  }

  /// Loads of another region go to the other relays of this one, with what this daemon knows of the store by
  /// now.
  private passOnLoads(message: LoadDigest, now: number): void {
    const knowledge = this.replica.getKnowledge(now)
    this.sendToAll(this.getOtherRelaysOfRegion(), {...message, knowledge, passOn: false})
  }

  private sendToAll(addresses: readonly string[], message: FleetMessage): void {
    for (const address of addresses) this.emit({address, message})
  }

  private isRelayed(): boolean {
    return this.peers.length > this.settings.digestPeers
  }

  /// The store is asked first; a peer is asked when the store has not helped for a while.
  private pullWhenBehind(fromAddress: string, knowledge: FleetKnowledge, now: number): void {
    const own = this.replica.getKnowledge(now)
    const lacks = (collection: RecordCollection) => knowledge[collection].changed > own[collection].complete
    const behind = this.replica.isBehind("configuration") || this.replica.isBehind("backends")
    if (!behind) this.behindSince = undefined
    if (!lacks("configuration") && !lacks("backends")) return
    this.behindSince ??= now
    const knowsNothing = own.configuration.changed === 0 || own.backends.changed === 0
    if (!knowsNothing && now - this.behindSince < this.settings.pullDelayMs) return
    this.behindSince = now
    this.sequence += 1
    this.emit({address: fromAddress, message: {kind: "recordsPull", sequence: this.sequence}})
  }

  private getRelayIntervalMs(): number {
    const {relayIntervalMs, relayIntervalPerDaemonMs, minimumRelayIntervalMs} = this.settings
    const ms = this.rankedAmong.length * relayIntervalPerDaemonMs
    return Math.min(relayIntervalMs, Math.max(minimumRelayIntervalMs, ms))
  }

  private digestIntervalMs(peers: number): number {
    const {digestIntervalMs, digestIntervalPerPeerMs, minimumDigestIntervalMs} = this.settings
    return Math.min(digestIntervalMs, Math.max(minimumDigestIntervalMs, peers * digestIntervalPerPeerMs))
  }

  private applyLoads(fromId: string, fromAddress: string, message: LoadDigest, now: number): void {
    for (const placement of message.placements) this.news.placements.addPlacement(placement)
    this.news.limits.applyFromPeer(message.limits ?? [], now)
    this.news.leaving.applyFromPeer(message.leaving ?? [], now)
    switch (message.scope ?? "own") {
      case "own":
        // Whoever tells a relay its loads hears those of the fleet from it; in a small fleet everybody tells
        // everybody.
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
        if (fromAddress === this.relayAddress) this.relayHeardAt = now
        this.directory.applyFleetLoads(FLEET, message.loads, now)
        break
    }
  }

  /// The first relay of the zone, or the second when the first has told nothing for a while; then the first
  /// again.
  private pickRelay(now: number): string | undefined {
    const {ownZone} = this.ranking
    const known = this.relayAddress !== undefined && ownZone.includes(this.relayAddress)
    const isSelf = this.relayAddress === this.members.selfAddress
    const isHeard = isSelf || now - this.relayHeardAt <= this.settings.relayTimeoutMs
    if (known && isHeard && (this.relayAddress === ownZone[0] || now < this.returnAt))
      return this.relayAddress
    const isSilent = known && !isHeard
    this.returnAt = isSilent ? now + RETURN_MS : -Infinity
    const place = isSilent ? ownZone.indexOf(this.relayAddress ?? "") + 1 : 0
    this.relayAddress = ownZone[place % Math.max(1, ownZone.length)]
    this.relayHeardAt = now
    return this.relayAddress
  }

  private rankMembers(): void {
    const members = this.members.getActive()
    if (members === this.rankedAmong) return
    this.rankedAmong = members
    this.peers = members.map(({address}) => address).filter(address => address !== this.members.selfAddress)
    if (this.isRelayed()) this.ranking = rankRelays(members, this.members)
  }
}
