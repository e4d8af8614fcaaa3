/// Which daemons hold the origin of a stream: the first by rendezvous hashing of its attempt id. In a large
/// fleet only some daemons are keepers, so that each daemon needs connections to these alone.
import type {Member} from "../membership/membership-messages.js"
import {rankByRendezvous} from "../shared/rendezvous-hash.js"

/// Maximum number of keepers.
const MAXIMUM_KEEPERS = 64
/// Rendezvous key by which the keepers are chosen among the members.
const KEEPERS_KEY = "stream-origins"

/// The keepers in the view of one daemon. They are ranked by address, which a restarted daemon keeps.
export class OriginKeepers {
  private members: readonly Member[] | undefined
  private addresses: readonly string[] = []
  private keepers = new Map<string, Member>()
  private changed = false

  constructor(
    private readonly selfAddress: string,
    /// Active members, this daemon included; the same array until they change.
    private readonly getMembers: () => readonly Member[]
  ) {}

  /// Returns the addresses of the first keepers of a stream, at most `count`, without this daemon's own.
  pick(attemptId: string, count: number): string[] {
    this.updateAddresses()
    return rankByRendezvous(attemptId, this.addresses, count)
  }

  /// Returns the members behind `pick`.
  pickMembers(attemptId: string, count: number): Member[] {
    return this.pick(attemptId, count).flatMap(address => this.keepers.get(address) ?? [])
  }

  /// Whether the keepers, or their processes, are others than at the last call.
  hasChanged(): boolean {
    this.updateAddresses()
    const {changed} = this
    this.changed = false
    return changed
  }

  private updateAddresses(): void {
    const members = this.getMembers()
    if (members === this.members) return
    this.members = members
    const before = this.keepers
    const addresses = members.map(({address}) => address)
    const keepers = rankByRendezvous(KEEPERS_KEY, addresses, MAXIMUM_KEEPERS)
    this.addresses = keepers.filter(address => address !== this.selfAddress)
    const byAddress = new Map(members.map(member => [member.address, member]))
    this.keepers = new Map(
      this.addresses.flatMap(address => {
        const member = byAddress.get(address)
        return member ? [[address, member]] : []
      })
    )
    const isKnown = ([address, {id}]: [string, Member]): boolean => before.get(address)?.id === id
    this.changed ||= this.keepers.size !== before.size || ![...this.keepers].every(isKnown)
  }
}
