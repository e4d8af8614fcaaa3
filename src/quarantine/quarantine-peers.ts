/// Which peers receive the facts of the quarantine: all of them in a small fleet; in a larger one a few, which relay
/// new facts to others. Owns no state.
import type {Member} from "../membership/membership-messages.js"
import type {RandomSource} from "../shared/random.js"
import type {QuarantineSettings} from "./quarantine-settings.js"

/// The view of the fleet that it relies on.
export interface PeerContext {
  readonly selfId: string
  /// Active members, this daemon included.
  getMembers(): readonly Member[]
}

/// The peers of one daemon, by address.
export class QuarantinePeers {
  constructor(
    private readonly settings: QuarantineSettings,
    private readonly context: PeerContext,
    private readonly random: RandomSource
  ) {}

  /// Whether new facts are relayed from daemon to daemon.
  isRelayed(): boolean {
    return this.context.getMembers().length - 1 > this.settings.maximumDirectPeers
  }

  /// The receivers of new facts.
  pickReceivers(): readonly string[] {
    return this.isRelayed() ? this.pick(this.settings.relayFanout) : this.getAll()
  }

  /// Draws up to `count` peers.
  pick(count: number): string[] {
    const peers = this.getAll()
    const picked = new Set<string>()
    for (let i = 0; i < count && peers.length > 0; i += 1) picked.add(peers[this.random.below(peers.length)])
    return [...picked]
  }

  private getAll(): string[] {
    const {selfId} = this.context
    const others = this.context.getMembers().filter(({id}) => id !== selfId)
    return others.map(({address}) => address)
  }
}
