/// What daemons tell each other beside membership: the load that each puts on the back ends, and records to a
/// daemon that lags behind because the store does not answer it.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import type {BackendDirectory} from "../forwarding/backend-directory.js"
import type {PartPlacement} from "../forwarding/kv-index.js"
import type {FleetKnowledge, FleetMessage, RecordsChanged} from "./fleet-messages.js"
import type {FleetReplica} from "./fleet-replica.js"
import type {RecordCollection} from "./record-store.js"

/// Settings of the exchange.
export interface PeerExchangeSettings {
  /// The longest interval between digests. Milliseconds. Default 400.
  readonly digestIntervalMs: number
  /// Interval for each peer that gets one: a small fleet can afford fresher digests. Milliseconds. Default 20.
  readonly digestIntervalPerPeerMs: number
  /// The shortest interval. Milliseconds. Default 100.
  readonly minimumDigestIntervalMs: number
  /// Peers that get a digest at most. Default 12.
  readonly digestPeers: number
  /// A daemon that has been behind a peer for so long asks it for its records. Milliseconds. Default 300.
  readonly pullAfterMs: number
}

/// Default settings.
export const DEFAULT_PEER_EXCHANGE_SETTINGS: PeerExchangeSettings = {
  digestIntervalMs: 400,
  digestIntervalPerPeerMs: 20,
  minimumDigestIntervalMs: 100,
  digestPeers: 12,
  pullAfterMs: 300
}

/// Where prompts were computed: what this daemon tells, and what it learns.
export interface PlacementExchange {
  take(): readonly PartPlacement[]
  learn(placement: PartPlacement): void
}

/// A message to a peer.
export interface PeerSend {
  readonly address: string
  readonly message: FleetMessage
}

/// The exchange of one daemon. Times are monotonic milliseconds.
export class PeerExchange {
  private nextDigestAt: number
  private behindSince: number | undefined
  private sequence = 0

  constructor(
    private readonly settings: PeerExchangeSettings,
    private readonly replica: FleetReplica,
    private readonly directory: BackendDirectory,
    private readonly placements: PlacementExchange,
    private readonly peerAddresses: () => readonly string[],
    private readonly random: RandomSource,
    private readonly emit: EffectSink<PeerSend>,
    now: number
  ) {
    this.nextDigestAt = now + random.next() * settings.digestIntervalMs
  }

  /// Sends digests when they are due.
  tick(now: number): void {
    if (now < this.nextDigestAt) return
    const recipients = this.recipients()
    this.nextDigestAt = now + this.digestIntervalMs(recipients.length)
    this.directory.peers.removeOld(now)
    const message: FleetMessage = {
      kind: "loadDigest",
      knowledge: this.replica.getKnowledge(now),
      loads: this.directory.ownLoads(now),
      placements: [...this.placements.take()]
    }
    for (const address of recipients) this.emit({address, message})
  }

  /// Takes a peer's message.
  receive(fromId: string, fromAddress: string, message: FleetMessage, now: number): void {
    switch (message.kind) {
      case "loadDigest":
        this.directory.peers.applyDigest(fromId, message.loads, now)
        for (const placement of message.placements) this.placements.learn(placement)
        this.replica.receiveKnowledge(message.knowledge, now)
        this.pullWhenBehind(fromAddress, message.knowledge, now)
        break
      case "recordsPull": {
        const {sequence} = message
        const knowledge = this.replica.getKnowledge(now)
        const records = this.replica.records()
        this.emit({address: fromAddress, message: {kind: "recordsSnapshot", sequence, knowledge, records}})
        break
      }
      case "recordsSnapshot":
        this.replica.receiveSnapshot(fromId, message.knowledge, message.records, now)
        break
      case "recordsChanged":
        this.replica.receiveChanges(fromId, message, now)
        break
    }
  }

  /// Sends changes to every peer.
  sendChanges(message: RecordsChanged): void {
    for (const address of this.peerAddresses()) this.emit({address, message})
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
    if (!knowsNothing && now - this.behindSince < this.settings.pullAfterMs) return
    this.behindSince = now
    this.sequence += 1
    this.emit({address: fromAddress, message: {kind: "recordsPull", sequence: this.sequence}})
  }

  private digestIntervalMs(peers: number): number {
    const {digestIntervalMs, digestIntervalPerPeerMs, minimumDigestIntervalMs} = this.settings
    return Math.min(digestIntervalMs, Math.max(minimumDigestIntervalMs, peers * digestIntervalPerPeerMs))
  }

  private recipients(): readonly string[] {
    const all = this.peerAddresses()
    if (all.length <= this.settings.digestPeers) return all
    const start = this.random.below(all.length)
    return Array.from(
      {length: this.settings.digestPeers},
      (_unused, index) => all[(start + index) % all.length]
    )
  }
}
