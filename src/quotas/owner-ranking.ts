/// Which daemon runs a tenant's bucket, in the view of this one: the first by rendezvous hashing among those
/// that are fit. A daemon is unfit while it is new to this one, says so itself, or is silent; this one is
/// while it is new, has just stood still, or hears nobody.
import type {Member} from "../membership/membership-messages.js"
import {rankByRendezvous} from "../shared/rendezvous-hash.js"

/// How this daemon sees its fleet.
export interface FleetView {
  /// Active members, this daemon included; the same array as long as they are the same.
  readonly members: readonly Member[]
  /// Daemons that count, lost ones included.
  readonly knownCount: number
  /// Whether it has met the others, or there are none.
  readonly joined: boolean
}

/// Members looked at for one tenant: so many that some are left when half of the fleet is killed at once.
const RANKED = 8
/// A daemon that is new to this one may own buckets after so long; by then nearly all know it. Milliseconds.
const NEWCOMER_MS = 1000
/// A daemon that has joined takes buckets that nobody hands to it after so long: those that do not know it
/// yet still ask the one before. Milliseconds.
const YOUNG_MS = 1200
/// The same after it stood still or heard nobody: others know it, and hand over what they run. Milliseconds.
const RETURNED_MS = 1000
/// A daemon that hears nobody for so long owns nothing. Milliseconds. Members are probed each second, and
/// loads are told more often.
const CONTACT_MS = 1000
/// A daemon that was asked and says nothing at all for so long is asked no more until it is heard again.
/// Milliseconds.
const SILENCE_MS = 300
/// After so long this daemon takes its place. Longer, so that messages lost or late do not make two owners:
/// with one in five lost and 300 ms the sum of two owners and more was twice what is allowed (virtual time,
/// 72 daemons). Milliseconds.
const LOST_MS = 1000
/// Meanwhile it is asked again at this interval. Milliseconds.
const PROBE_INTERVAL_MS = 200
/// So many at once at most.
const MAXIMUM_PROBES = 8
/// Below this part of the fleet an owner grants only its part: the other part of a divided fleet may have an
/// owner as well.
const WHOLE_SHARE = 0.95

/// Times are monotonic milliseconds.
export class OwnerRanking {
  private members: readonly Member[] = []
  private byId = new Map<string, Member>()
  private ranked = new Map<string, readonly string[]>()
  private readonly seenAt = new Map<string, number>()
  private readonly unfitUntil = new Map<string, number>()
  private readonly heardAt = new Map<string, number>()
  private readonly expectedSince = new Map<string, number>()
  private readonly lost = new Set<string>()
  private readonly probedAt = new Map<string, number>()
  private heardAnyAt = -Infinity
  private fitFrom = Infinity
  private wasInContact = false
  /// Since when no daemon has become fit or unfit in this one's view.
  private steadyFrom = Infinity

  constructor(
    private readonly selfId: string,
    private readonly getFleet: () => FleetView
  ) {}

  /// Follows the members and the contact with them. Returns whether this daemon may go on running what it
  /// owns.
  tick(now: number): boolean {
    const {members, joined} = this.getFleet()
    if (members !== this.members) this.setMembers(members, now)
    if (joined && this.fitFrom === Infinity) this.fitFrom = now + YOUNG_MS
    for (const [id, since] of this.expectedSince) if (now - since >= LOST_MS) this.setLost(id, now)
    const inContact = this.isInContact(now)
    if (inContact && !this.wasInContact) this.setReturned(now)
    this.wasInContact = inContact
    return inContact
  }

  /// This process stood still until now: others may own what it owned.
  onProcessResumed(now: number): void {
    this.setReturned(now)
    this.expectedSince.clear()
    this.lost.clear()
  }

  /// A message of a daemon has arrived.
  onContact(id: string, now: number): void {
    this.heardAt.set(id, now)
    this.heardAnyAt = now
    this.expectedSince.delete(id)
    if (this.lost.delete(id)) this.steadyFrom = Math.max(this.steadyFrom, now)
  }

  /// A daemon was asked.
  onAskSent(id: string, now: number): void {
    if (!this.expectedSince.has(id)) this.expectedSince.set(id, now)
    this.probedAt.set(id, now)
  }

  /// A daemon says that it owns nothing for so long.
  setUnfit(id: string, forMs: number, now: number): void {
    this.unfitUntil.set(id, now + forMs)
    this.steadyFrom = Math.max(this.steadyFrom, now + forMs)
  }

  /// For how long this daemon has owned all that it owns now. Milliseconds.
  getStableMs(now: number): number {
    return Math.max(0, now - Math.max(this.steadyFrom, this.fitFrom))
  }

  /// How long this daemon is unfit yet. Milliseconds.
  getUnfitMs(now: number): number {
    return this.fitFrom === Infinity ? YOUNG_MS : Math.max(0, this.fitFrom - now)
  }

  /// Whether this daemon hears others, or knows of none.
  isInContact(now: number): boolean {
    const {knownCount: known, joined} = this.getFleet()
    return joined && (known <= 1 || now - this.heardAnyAt <= CONTACT_MS)
  }

  /// Part of a limit that an owner may grant.
  getShare(): number {
    const {members, knownCount: known} = this.getFleet()
    const share = members.length / Math.max(1, known)
    return share >= WHOLE_SHARE ? 1 : share
  }

  /// Daemons that share what may be spent without asking; undefined before this one knows them.
  countDaemons(): number | undefined {
    const {members, knownCount: known, joined} = this.getFleet()
    return joined ? Math.max(members.length, known) : undefined
  }

  /// Who is to be asked for the tenant, leaving out some.
  findOwner(tenant: string, now: number, without?: ReadonlySet<string>): Member | undefined {
    const isAsked = (id: string): boolean =>
      !without?.has(id) && !this.isSilent(id, now) && this.isFit(id, now)
    const id = this.getRanked(tenant).find(candidate =>
      candidate === this.selfId ? this.isOwner(tenant, now) : isAsked(candidate)
    )
    return id === undefined ? undefined : this.byId.get(id)
  }

  /// Whether this daemon owns the tenant's bucket: all that rank before it are lost, or unfit.
  isOwner(tenant: string, now: number): boolean {
    return this.findBelievedOwner(tenant, now)?.id === this.selfId
  }

  /// The owner as far as that is certain, silent or not.
  findBelievedOwner(tenant: string, now: number): Member | undefined {
    const id = this.getRanked(tenant).find(
      candidate => !this.lost.has(candidate) && this.isFit(candidate, now)
    )
    return id === undefined ? undefined : this.byId.get(id)
  }

  /// Whether the member was not heard for so long that it should be asked whether it runs.
  isProbeNeeded(id: string, now: number): boolean {
    return now - (this.heardAt.get(id) ?? -Infinity) > SILENCE_MS && !this.expectedSince.has(id)
  }

  /// Members whose answer is outstanding and are to be asked again now. Lost ones too: without it an owner
  /// that was taken for lost and runs stood beside the one in its place for seconds, and 1.38 times of what
  /// is allowed was spent (virtual time, 72 daemons).
  pickProbes(now: number): Member[] {
    const due = [...this.expectedSince.keys()].filter(
      id => now - (this.probedAt.get(id) ?? -Infinity) >= PROBE_INTERVAL_MS
    )
    const members = due.slice(0, MAXIMUM_PROBES).flatMap(id => this.byId.get(id) ?? [])
    for (const {id} of members) this.probedAt.set(id, now)
    return members
  }

  private getRanked(tenant: string): readonly string[] {
    let ids = this.ranked.get(tenant)
    if (!ids) this.ranked.set(tenant, (ids = rankByRendezvous(tenant, [...this.byId.keys()], RANKED)))
    return ids
  }

  private isSilent(id: string, now: number): boolean {
    return now - (this.expectedSince.get(id) ?? Infinity) >= SILENCE_MS
  }

  private setLost(id: string, now: number): void {
    if (this.lost.has(id)) return
    this.lost.add(id)
    this.steadyFrom = Math.max(this.steadyFrom, now)
  }

  private setReturned(now: number): void {
    this.fitFrom = Math.max(this.fitFrom, now + RETURNED_MS)
  }

  private isFit(id: string, now: number): boolean {
    if (id === this.selfId) return now >= this.fitFrom && this.isInContact(now)
    if (now < (this.unfitUntil.get(id) ?? -Infinity)) return false
    return now - (this.seenAt.get(id) ?? -Infinity) >= NEWCOMER_MS
  }

  /// Those that are there when this daemon joins have been there before.
  private setMembers(members: readonly Member[], now: number): void {
    this.members = members
    this.steadyFrom = now + NEWCOMER_MS
    this.byId = new Map(members.map(member => [member.id, member]))
    this.ranked.clear()
    for (const {id} of members) {
      if (!this.seenAt.has(id)) this.seenAt.set(id, now < this.fitFrom ? -Infinity : now)
    }
    for (const known of [this.seenAt, this.unfitUntil, this.heardAt, this.expectedSince, this.probedAt])
      for (const id of known.keys()) if (!this.byId.has(id)) known.delete(id)
    for (const id of this.lost) if (!this.byId.has(id)) this.lost.delete(id)
  }
}
