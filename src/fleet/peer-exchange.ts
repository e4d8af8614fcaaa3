/// What daemons tell each other beside membership: the load that each puts on the back ends, and records to a
/// daemon that lags behind because the store does not answer it.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import type {BackendDirectory} from "../forwarding/backend-directory.js"
import type {PrefixPlacement} from "../forwarding/prefix-index.js"
import type {FleetMessage} from "./fleet-messages.js"
import type {FleetReplica} from "./fleet-replica.js"

/// Settings of the exchange.
export interface PeerExchangeSettings {
  /// Interval between digests. Milliseconds. Default 400.
  readonly digestIntervalMs: number
  /// Peers that get a digest at most. Default 12.
  readonly digestPeers: number
  /// A daemon that has been behind a peer for so long asks it for its records. Milliseconds. Default 300.
  readonly pullAfterMs: number
}

/// Default settings.
export const DEFAULT_PEER_EXCHANGE_SETTINGS: PeerExchangeSettings = {
  digestIntervalMs: 400,
  digestPeers: 12,
  pullAfterMs: 300
}

/// Where prompts were computed: what this daemon tells, and what it learns.
export interface PlacementExchange {
  take(): readonly PrefixPlacement[]
  learn(placement: PrefixPlacement): void
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
    this.nextDigestAt = now + this.settings.digestIntervalMs
    this.directory.expireDigests(now)
    const {configuration, backends} = this.replica.revisions()
    const message: FleetMessage = {
      kind: "loadDigest",
      configurationRevision: configuration,
      backendsRevision: backends,
      loads: this.directory.ownLoads(now),
      placements: this.placements.take()
    }
    for (const address of this.recipients()) this.emit({address, message})
  }

  /// Takes a peer's message.
  receive(fromId: string, fromAddress: string, message: FleetMessage, now: number): void {
    switch (message.kind) {
      case "loadDigest":
        this.directory.applyDigest(fromId, message.loads, now)
        for (const placement of message.placements) this.placements.learn(placement)
        this.compare(fromAddress, message.configurationRevision, message.backendsRevision, now)
        break
      case "recordsPull": {
        const {sequence} = message
        this.emit({
          address: fromAddress,
          message: {kind: "recordsSnapshot", sequence, records: this.replica.records()}
        })
        break
      }
      case "recordsSnapshot":
        this.replica.receiveFromPeer(fromId, message.records)
        break
    }
  }

  private compare(fromAddress: string, configuration: number, backends: number, now: number): void {
    const own = this.replica.revisions()
    if (configuration <= own.configuration && backends <= own.backends) {
      this.behindSince = undefined
      return
    }
    this.behindSince ??= now
    const knowsNothing = own.configuration === 0 || own.backends === 0
    if (!knowsNothing && now - this.behindSince < this.settings.pullAfterMs) return
    this.behindSince = now
    this.sequence += 1
    this.emit({address: fromAddress, message: {kind: "recordsPull", sequence: this.sequence}})
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
