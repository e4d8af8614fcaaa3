/// Which daemon owns a tenant's bucket in the view of this daemon: the first by rendezvous hashing among
/// the fit members. A peer is unfit while it is new to this daemon, reports itself unfit, or does not
/// answer. This daemon is unfit while it is new, after its process was paused, and while it has no contact
/// with any peer.
///
/// Owns what this daemon knows of the fitness and the last contact of each member; relies on the
/// membership, and on its caller to report messages and asks.
import type {Member} from "../membership/membership-messages.js"
import {rankByRendezvous} from "../shared/rendezvous-hash.js"

/// This daemon's view of its fleet.
export interface FleetView {
  /// Active members, this daemon included; the same array until they change.
  readonly members: readonly Member[]
  /// Number of daemons that count as part of the fleet, lost ones included.
  readonly knownCount: number
  /// Whether this daemon has found the others, or there are none.
  readonly joined: boolean
}

/// Maximum number of members ranked for one tenant: enough that some remain when half of the fleet is
/// killed at once.
const MAXIMUM_RANKED = 8
/// Delay before a daemon that is new to this one may own buckets; by then nearly all know it.
/// Milliseconds.
const NEW_MEMBER_DELAY_MS = 1000
/// Delay after which a daemon that has joined takes over buckets that no owner hands to it: daemons that
/// do not know it yet still ask the previous owner. Milliseconds.
const JOIN_DELAY_MS = 1200
/// The same after a process pause or a loss of contact: the peers know this daemon, and hand over the
/// buckets that they own. Milliseconds.
const RETURN_DELAY_MS = 1000
/// A daemon without contact to any peer for this time owns nothing. Milliseconds. Members are probed each
/// second, and loads are published more often.
const CONTACT_TIMEOUT_MS = 1000
/// A daemon that was asked and sends no message at all for this time is not asked again until it does.
/// Milliseconds.
const SILENCE_TIMEOUT_MS = 300
/// After this time without a message this daemon takes over the buckets of the one that was asked. Longer
/// than the time-out above, so that lost or late messages do not lead to two owners: with one message in
/// five lost and 300 ms, two and more owners together granted twice what is allowed (virtual time, 72
/// daemons). Milliseconds.
const LOST_TIMEOUT_MS = 1000
/// Interval at which it is asked again meanwhile. Milliseconds.
const PROBE_INTERVAL_MS = 200
/// Maximum number of daemons probed at once.
const MAXIMUM_PROBES = 8
/// An owner whose members are less than this share of the fleet grants only the share of the limit that
/// corresponds to them: the other side of a partition may have an owner too.
const UNPARTITIONED_SHARE = 0.95

/// Ranks the members as owners. Times are monotonic milliseconds.
export class OwnerRanking {
  private members: readonly Member[] = []
  private byId = new Map<string, Member>()
  private ranked = new Map<string, readonly string[]>()
  private readonly firstSeenAt = new Map<string, number>()
  private readonly unfitUntil = new Map<string, number>()
  private readonly lastContactAt = new Map<string, number>()
  private readonly askedSince = new Map<string, number>()
  private readonly lost = new Set<string>()
  private readonly probedAt = new Map<string, number>()
  private lastAnyContactAt = -Infinity
  private fitFrom = Infinity
  private wasInContact = false
  /// Since when no daemon has become fit or unfit in the view of this one.
  private stableFrom = Infinity

  constructor(
    private readonly selfId: string,
    private readonly getFleet: () => FleetView
  ) {}

  /// Follows the members and the contact with them. Returns whether this daemon may keep the buckets that
  /// it owns.
  tick(now: number): boolean {
    const {members, joined} = this.getFleet()
    if (members !== this.members) this.setMembers(members, now)
    if (joined && this.fitFrom === Infinity) this.fitFrom = now + JOIN_DELAY_MS
    for (const [id, since] of this.askedSince) if (now - since >= LOST_TIMEOUT_MS) this.setLost(id, now)
    const inContact = this.isInContact(now)
    if (inContact && !this.wasInContact) this.setReturned(now)
    this.wasInContact = inContact
    return inContact
  }

  /// This process was paused until now: other daemons may own what it owned.
  onProcessResumed(now: number): void {
    this.setReturned(now)
    this.askedSince.clear()
    this.lost.clear()
  }

  /// A message of a daemon has arrived.
  onContact(id: string, now: number): void {
    this.lastContactAt.set(id, now)
    this.lastAnyContactAt = now
    this.askedSince.delete(id)
    if (this.lost.delete(id)) this.stableFrom = Math.max(this.stableFrom, now)
  }

  /// An ask was sent to a daemon.
  onAskSent(id: string, now: number): void {
    if (!this.askedSince.has(id)) this.askedSince.set(id, now)
    this.probedAt.set(id, now)
  }

  /// A daemon reports that it owns nothing for `forMs` milliseconds.
  setUnfit(id: string, forMs: number, now: number): void {
    this.unfitUntil.set(id, now + forMs)
    this.stableFrom = Math.max(this.stableFrom, now + forMs)
  }

  /// For how long this daemon has owned all buckets that it owns now. Milliseconds.
  getStableMs(now: number): number {
    return Math.max(0, now - Math.max(this.stableFrom, this.fitFrom))
  }

  /// For how much longer this daemon is unfit. Milliseconds.
  getUnfitMs(now: number): number {
    return this.fitFrom === Infinity ? JOIN_DELAY_MS : Math.max(0, this.fitFrom - now)
  }

  /// Whether this daemon receives messages of others, or knows of none.
  isInContact(now: number): boolean {
    const {knownCount, joined} = this.getFleet()
    return joined && (knownCount <= 1 || now - this.lastAnyContactAt <= CONTACT_TIMEOUT_MS)
  }

  /// The share of a limit that an owner may grant, from 0 to 1.
  getShare(): number {
    const {members, knownCount} = this.getFleet()
    const share = members.length / Math.max(1, knownCount)
    return share >= UNPARTITIONED_SHARE ? 1 : share
  }

  /// Number of daemons that share the allowance, which is spent without asking; undefined until it is
  /// known.
  countDaemons(): number | undefined {
    const {members, knownCount, joined} = this.getFleet()
    return joined ? Math.max(members.length, knownCount) : undefined
  }

  /// The daemon to ask for the tenant, except those in `excluded`.
  findOwner(tenant: string, now: number, excluded?: ReadonlySet<string>): Member | undefined {
    const isAsked = (id: string): boolean =>
      !excluded?.has(id) && !this.isSilent(id, now) && this.isFit(id, now)
    const id = this.getRanked(tenant).find(candidate =>
      candidate === this.selfId ? this.isOwner(tenant, now) : isAsked(candidate)
    )
    return id === undefined ? undefined : this.byId.get(id)
  }

  /// Whether this daemon owns the tenant's bucket: all that rank before it are lost or unfit.
  isOwner(tenant: string, now: number): boolean {
    return this.findBelievedOwner(tenant, now)?.id === this.selfId
  }

  /// The first fit member that does not count as lost, though it may be silent at the moment.
  findBelievedOwner(tenant: string, now: number): Member | undefined {
    const id = this.getRanked(tenant).find(
      candidate => !this.lost.has(candidate) && this.isFit(candidate, now)
    )
    return id === undefined ? undefined : this.byId.get(id)
  }

  /// Whether the last contact with the member is too old and no ask to it is outstanding, so that it
  /// should be probed.
  isProbeNeeded(id: string, now: number): boolean {
    return now - (this.lastContactAt.get(id) ?? -Infinity) > SILENCE_TIMEOUT_MS && !this.askedSince.has(id)
  }

  /// Members that have not answered yet and are to be probed again now; marks them as probed. Lost members
  /// are probed too: without it an owner that wrongly counted as lost kept granting for seconds alongside
  /// its replacement, and 1.38 times what is allowed was spent (virtual time, 72 daemons).
  pickProbes(now: number): Member[] {
    const due = [...this.askedSince.keys()].filter(
      id => now - (this.probedAt.get(id) ?? -Infinity) >= PROBE_INTERVAL_MS
    )
    const members = due.slice(0, MAXIMUM_PROBES).flatMap(id => this.byId.get(id) ?? [])
    for (const {id} of members) this.probedAt.set(id, now)
    return members
  }

  private getRanked(tenant: string): readonly string[] {
    let ids = this.ranked.get(tenant)
    if (!ids) this.ranked.set(tenant, (ids = rankByRendezvous(tenant, [...this.byId.keys()], MAXIMUM_RANKED)))
    return ids
  }

  private isSilent(id: string, now: number): boolean {
    return now - (this.askedSince.get(id) ?? Infinity) >= SILENCE_TIMEOUT_MS
  }

  private setLost(id: string, now: number): void {
    if (this.lost.has(id)) return
    this.lost.add(id)
    this.stableFrom = Math.max(this.stableFrom, now)
  }

  private setReturned(now: number): void {
    this.fitFrom = Math.max(this.fitFrom, now + RETURN_DELAY_MS)
  }

  private isFit(id: string, now: number): boolean {
    if (id === this.selfId) return now >= this.fitFrom && this.isInContact(now)
    if (now < (this.unfitUntil.get(id) ?? -Infinity)) return false
    return now - (this.firstSeenAt.get(id) ?? -Infinity) >= NEW_MEMBER_DELAY_MS
  }

  /// Members that are present before this daemon is fit itself do not count as new.
  private setMembers(members: readonly Member[], now: number): void {
    this.members = members
    this.stableFrom = now + NEW_MEMBER_DELAY_MS
    this.byId = new Map(members.map(member => [member.id, member]))
    this.ranked.clear()
    for (const {id} of members) {
      if (!this.firstSeenAt.has(id)) this.firstSeenAt.set(id, now < this.fitFrom ? -Infinity : now)
    }
    for (const known of [
      this.firstSeenAt,
      this.unfitUntil,
      this.lastContactAt,
      this.askedSince,
      this.probedAt
    ])
      for (const id of known.keys()) if (!this.byId.has(id)) known.delete(id)
    for (const id of this.lost) if (!this.byId.has(id)) this.lost.delete(id)
  }
}
