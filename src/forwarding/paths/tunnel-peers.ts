/// The peers that offer tunnels to back ends, and the one in use for each back end. Owns the offers, the
/// failures and the choices; relies on the list of members for the places of the peers.
import type {RandomSource} from "../../shared/random.js"
import type {DaemonIdentity, Member} from "../../membership/membership-messages.js"

/// An offer expires after this time. Milliseconds. In a large fleet a daemon hears of most peers by their
/// probes alone, once in several seconds; a peer that takes none any more refuses at once.
const OFFER_LIFETIME_MS = 10_000

/// A peer that refused or failed is avoided for this time. Milliseconds.
const AVOIDANCE_MS = 1000

/// What the choice of a peer relies on.
interface TunnelPeersContext {
  readonly identity: DaemonIdentity
  readonly random: RandomSource
  /// Active members, this daemon included.
  getMembers(): readonly Member[]
}

/// The peers of one daemon. Peers are named by their addresses; times are monotonic milliseconds.
export class TunnelPeers {
  private readonly offeredAt = new Map<string, number>()
  private readonly avoidedUntil = new Map<string, number>()
  /// The peer through which each back end was last reached, by the back end's id.
  private readonly chosen = new Map<string, string>()

  constructor(private readonly context: TunnelPeersContext) {}

  /// Takes a peer's word whether it takes tunnels.
  applyOffer(address: string, offers: boolean, now: number): void {
    if (offers) this.offeredAt.set(address, now)
    else this.offeredAt.delete(address)
  }

  /// A peer failed, or has no room now.
  onFailed(address: string, now: number): void {
    this.avoidedUntil.set(address, now + AVOIDANCE_MS)
    for (const [backendId, chosen] of this.chosen) if (chosen === address) this.chosen.delete(backendId)
  }

  /// A peer takes no tunnels any more.
  removeOffer(address: string): void {
    this.offeredAt.delete(address)
  }

  /// Removes offers and failures that have expired, and the choices of peers that take no tunnels any more.
  removeExpired(now: number): void {
    for (const [address, at] of this.offeredAt)
      if (now - at > OFFER_LIFETIME_MS) this.offeredAt.delete(address)
    for (const [address, until] of this.avoidedUntil) if (now >= until) this.avoidedUntil.delete(address)
    for (const [backendId, address] of this.chosen)
      if (!this.offeredAt.has(address)) this.chosen.delete(backendId)
  }

  /// Removes the choices: back ends are reached directly again.
  removeChoices(): void {
    this.chosen.clear()
  }

  /// Whether a peer still offers tunnels.
  hasOffer(address: string): boolean {
    return this.offeredAt.has(address)
  }

  /// Number of peers that offer tunnels.
  getCount(now: number): number {
    return this.findOffering(now).length
  }

  /// The peer for a back end: the one in use while it takes tunnels, else one drawn at random from the nearest,
  /// since bytes between zones and regions are priced. One that is avoided is better than none. Undefined if
  /// no peer offers tunnels.
  pick(backendId: string, now: number): string | undefined {
    const sound = this.findSound(now)
    return this.pickOf(sound.length > 0 ? sound : this.findOffering(now), backendId)
  }

  /// The same without those that are avoided: another peer after one failed.
  pickOther(backendId: string, now: number): string | undefined {
    return this.pickOf(this.findSound(now), backendId)
  }

  private pickOf(candidates: readonly Member[], backendId: string): string | undefined {
    const known = candidates.find(({address}) => address === this.chosen.get(backendId))
    if (known) return known.address
    if (candidates.length === 0) return undefined
    const least = Math.min(...candidates.map(member => this.getRank(member)))
    const nearest = candidates.filter(member => this.getRank(member) === least)
    const {address} = nearest[this.context.random.below(nearest.length)]
    this.chosen.set(backendId, address)
    return address
  }

  private findSound(now: number): Member[] {
    return this.findOffering(now).filter(({address}) => now >= (this.avoidedUntil.get(address) ?? -Infinity))
  }

  private findOffering(now: number): Member[] {
    if (this.offeredAt.size === 0) return []
    return this.context.getMembers().filter(({address, state}) => {
      const offeredAt = this.offeredAt.get(address)
      if (state !== "alive" || offeredAt === undefined || now - offeredAt > OFFER_LIFETIME_MS) return false
      return address !== this.context.identity.address
    })
  }

  private getRank({zone, region}: Member): number {
    const {identity} = this.context
    if (region !== identity.region) return 2
    return zone === identity.zone ? 0 : 1
  }
}
