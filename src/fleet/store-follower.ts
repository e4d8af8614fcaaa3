/// Follows the store's changes of one collection: decides when this daemon reads, how long it backs off after
/// a failure, up to which revision its copy is complete and when that was last confirmed. One daemon of the
/// fleet follows the store; the others read it themselves when their copy has not been confirmed for a while,
/// the next in rank first.
///
/// A confirmation is identified by the store's clock at the answer and counts once. Otherwise a confirmation
/// that is forwarded in a circle would return each time with a little more delay, and the copy would appear
/// to age more slowly than it does.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import {STORE_SOURCE, type FleetEffect, type RecordSource} from "./fleet-effects.js"
import type {RecordKnowledge} from "./fleet-messages.js"
import type {FleetReplicaSettings} from "./fleet-replica-settings.js"
import type {RecordCollection} from "./record-store.js"
import type {StoreClock} from "./store-clock.js"

/// Limit of the doublings of the back-off; the longest back-off is reached before it.
const MAXIMUM_BACKOFF_DOUBLINGS = 6
/// Only daemons of these first ranks publish changes, so that an outage of the first one does not make every
/// daemon send to every other one.
const PUBLISHING_RANKS = 3
/// Delay of a read for a change of back ends that a peer reports, since in most cases the change itself is
/// about to arrive from the reader. The same as the reader's pause between answers with changes. Milliseconds.
const PEER_CHANGE_DELAY_MS = 150

/// On what the age of a copy is based.
export interface CopyEvidence {
  /// The longest time for which the store may have had something newer. Milliseconds.
  readonly ageMs: number
  /// The store, or the peer that passed the store's word on; undefined before any confirmation.
  readonly confirmedBy: RecordSource | undefined
}

/// The follower of one collection. Times are monotonic milliseconds.
export class StoreFollower {
  /// The copy is complete up to this revision; undefined until a snapshot was applied, and again after the
  /// store has dropped its history.
  private knownRevision: number | undefined
  /// The copy contains all removals after this revision.
  private knowsRemovalsSince = 0
  private inFlight = false
  private lastSentAt: number
  /// How long the latest read waits at the store for a change. Milliseconds.
  private lastWaitMs = 0
  private nextAt: number
  private failures = 0
  /// Whether one of the failures was a rejection or a timeout; a dropped history is an answer.
  private hasStoreFailure = false
  /// Whether `storeLost` was emitted and `storeRegained` was not yet.
  private isReportedLost = false
  /// When the first read of the current series of failures was sent.
  private failingSince: number
  /// Until when a removal that this daemon reads may only mean that the record expired during an outage.
  private readHoldUntil = -Infinity
  /// The same for a removal that a peer has read after an outage.
  private peerHoldUntil = -Infinity
  /// The earliest time at which the copy may have been complete last, as the store or a peer confirmed.
  private completeAt = -Infinity
  /// The store's clock at the newest answer that this daemon or a peer received.
  private storeMs = -Infinity
  /// Who confirmed the copy last: the store, or the peer that passed the store's word on.
  private confirmedBy: RecordSource | undefined
  /// The newest revision that a peer reported; this daemon may lack it.
  private peerRevision = 0
  private rank = 0

  /// `hasRecords` returns whether any record of the collection is known, from the store or a peer.
  constructor(
    readonly collection: RecordCollection,
    private readonly settings: FleetReplicaSettings,
    private readonly random: RandomSource,
    private readonly clock: StoreClock,
    private readonly hasRecords: () => boolean,
    private readonly emit: EffectSink<FleetEffect>,
    now: number
  ) {
    this.lastSentAt = now
    this.nextAt = now
    this.failingSince = now
  }

  /// The revision up to which the copy is complete; undefined before a snapshot.
  get cursor(): number | undefined {
    return this.knownRevision
  }

  /// When the latest read was sent.
  get sentAt(): number {
    return this.lastSentAt
  }

  /// Sets this daemon's rank among those that follow the store; 0 is the first.
  setRank(rank: number): void {
    this.rank = rank
  }

  /// Whether this daemon publishes changes to its peers.
  isPublisher(): boolean {
    return this.rank < PUBLISHING_RANKS
  }

  /// The state of the copy, for the peers; `changed` is the newest revision among the records.
  getKnowledge(changed: number, now: number): RecordKnowledge {
    const {cursor, completeAt, storeMs, knowsRemovalsSince} = this
    // The copy comes only from a peer whose own copy was incomplete, so its completeness is not confirmed.
    if (cursor === undefined || completeAt === -Infinity) return {complete: -1, changed, ageMs: 0}
    const knownStoreMs = Number.isFinite(storeMs) ? storeMs : undefined
    const since = knowsRemovalsSince > 0 ? {since: knowsRemovalsSince} : {}
    return {complete: cursor, changed, ageMs: Math.ceil(now - completeAt), storeMs: knownStoreMs, ...since}
  }

  /// The machine was suspended for a time that the monotonic clock did not count, so the copy is older than
  /// this clock shows. Milliseconds.
  onMachineSuspended(forMs: number): void {
    this.completeAt -= forMs
  }

  /// The longest time for which the store may have had something newer. Milliseconds.
  getAgeMs(now: number): number {
    return now - this.completeAt
  }

  /// On what the age of the copy is based, for the log.
  getEvidence(now: number): CopyEvidence {
    return {ageMs: Math.ceil(this.getAgeMs(now)), confirmedBy: this.confirmedBy}
  }

  /// Whether a peer has changes that are missing here.
  isBehind(): boolean {
    return this.cursor === undefined || this.cursor < this.peerRevision
  }

  /// How long the store has answered neither this daemon nor, as far as is known here, another one.
  /// Milliseconds; 0 when there is no outage.
  getOutageMs(now: number): number {
    if (this.failures > 0) return now - Math.max(this.failingSince, this.completeAt)
    // The first read does not wait for a change, so the answer has been overdue since it was sent.
    return this.cursor === undefined && this.inFlight ? now - this.sentAt : 0
  }

  /// Until when a back end whose removal was read from the store keeps its work; undefined when the removal
  /// takes effect immediately. Monotonic milliseconds.
  getReadHold(now: number): number | undefined {
    return now < this.readHoldUntil ? this.readHoldUntil : undefined
  }

  /// The same for a removal that a peer has read after an outage.
  getPeerHold(now: number): number | undefined {
    this.updatePeerHold(now)
    return now < this.peerHoldUntil ? this.peerHoldUntil : undefined
  }

  /// Sends a read if one is due.
  tick(now: number): void {
    if (!this.inFlight && now >= this.nextAt && this.isDue(now)) this.read(now)
  }

  /// The read has ended; `answered` when it returned records.
  receiveReadEnd(answered: boolean, now: number): void {
    this.inFlight = false
    if (answered && this.hasStoreFailure) this.readHoldUntil = this.getHoldAfterOutage(now)
  }

  /// The store has confirmed with its answer that the copy is complete; the next read follows after `pauseMs`.
  receiveConfirmation(storeMs: number | undefined, pauseMs: number, now: number): void {
    // A newer answer to another daemon counts, unless the store's clock has been set back since.
    const isNewest = (storeMs ?? -Infinity) > this.storeMs
    if (isNewest || this.clock.findEarliestTime(this.storeMs, now) === undefined) {
      this.storeMs = storeMs ?? -Infinity
      this.confirmedBy = STORE_SOURCE
    }
    if (this.isReportedLost)
      this.emit({kind: "storeRegained", collection: this.collection, outageMs: this.getOutageMs(now)})
    this.isReportedLost = false
    this.removeFailures()
    this.updatePeerHold(now)
    // An answer may be handled long after it was made, but it was made after its read was sent.
    const answeredAt = storeMs === undefined ? undefined : this.clock.findEarliestTime(storeMs, now)
    this.completeAt = Math.max(this.completeAt, answeredAt ?? this.sentAt, this.sentAt)
    // A read that does not wait is answered immediately, also by a store that lags behind the peers.
    const pause = this.lastWaitMs > 0 ? pauseMs : Math.max(pauseMs, this.settings.batchDelayMs)
    this.nextAt = now + pause
    if (pause === 0 && this.isDue(now)) this.read(now)
  }

  /// The store's history does not reach back far enough, so a snapshot is read next.
  receiveHistoryGone(now: number): void {
    this.knownRevision = undefined
    this.startBackoff(now)
  }

  /// The read was rejected or had no answer.
  receiveFailure(reason: string, now: number): void {
    if (!this.isReportedLost) this.emit({kind: "storeLost", collection: this.collection, reason})
    this.isReportedLost = true
    this.startBackoff(now)
    this.hasStoreFailure = true
  }

  /// A snapshot of the store with this revision was applied.
  receiveSnapshot(revision: number): void {
    this.knownRevision = revision
    if (this.collection === "backends") this.knowsRemovalsSince = revision
  }

  /// A peer's copy of this state was applied.
  receiveCopy({complete, since = 0}: RecordKnowledge): void {
    if (complete < 0) return
    if (this.cursor === undefined || this.cursor < Math.min(since, complete)) this.knowsRemovalsSince = since
    this.setKnownRevision(complete)
  }

  /// The copy is complete up to this revision; never lowers it.
  setKnownRevision(revision: number): void {
    this.knownRevision = Math.max(this.cursor ?? 0, revision)
  }

  /// A peer has reported a change of this revision, which may be missing here.
  receivePeerRevision(changed: number, now: number): void {
    if (changed <= this.peerRevision) return
    // A report does not delay a read that is due anyway. When every report did, no read was sent while reports
    // arrived every 140 ms, and a read that was already overdue was delayed by another 150 ms.
    const wasDue = this.isDue(now)
    this.peerRevision = changed
    if (!wasDue && this.collection === "backends")
      this.nextAt = Math.max(this.nextAt, now + PEER_CHANGE_DELAY_MS)
  }

  /// Applies the state of a peer's copy.
  ///
  /// The absence of newer changes in a peer's copy confirms this one only if the peer's copy reaches back to
  /// this one: a copy that began later lacks earlier removals. Without this condition, a daemon that started
  /// while the store rejected the first reader made eight of nine daemons skip a removal permanently (virtual
  /// time).
  receiveKnowledge(peerId: string, knowledge: RecordKnowledge, now: number): void {
    const {complete, changed, storeMs = -Infinity, since = 0} = knowledge
    if (complete < 0 || this.cursor === undefined) return
    if (this.cursor < changed) {
      this.receivePeerRevision(changed, now)
      return
    }
    if (this.cursor < since) return
    this.setKnownRevision(complete)
    if (storeMs <= this.storeMs) return
    // The age in the message leaves out how long the message took, and so would make a copy look current for as
    // long as changes wait in the same queue.
    const confirmedAt = this.clock.findEarliestTime(storeMs, now)
    if (confirmedAt === undefined) return
    this.storeMs = storeMs
    this.confirmedBy = peerId
    this.updatePeerHold(now)
    this.completeAt = Math.max(this.completeAt, confirmedAt)
  }

  /// Whether this daemon should read the store itself.
  private isDue(now: number): boolean {
    if (this.rank === 0 || this.isBehind()) return true
    const {standbyDelayMs, standbyDelayStepMs, maximumStandbyDelayMs} = this.settings
    const delayMs = Math.min(maximumStandbyDelayMs, standbyDelayMs + (this.rank - 1) * standbyDelayStepMs)
    return now - this.completeAt > delayMs
  }

  /// Sends a read. The first in rank waits at the store for changes, unless it has to bound the store's clock anew. The others read when their copy has not
  /// been confirmed for long, and do not wait: the loss of a waiting read is detected so late that a daemon
  /// that its peers cannot reach would learn of a leaving back end after the bound.
  private read(now: number): void {
    // The store has answered another daemon since the latest read here, so earlier failures belong to a
    // different outage. If they still counted, old failures would delay the first read and hold a removal.
    if (this.rank > 0 && this.completeAt > this.lastSentAt) this.removeFailures()
    this.inFlight = true
    this.lastSentAt = now
    const {collection, cursor, settings} = this
    const follows = this.rank === 0 && !this.clock.isLoose(now)
    this.lastWaitMs = follows ? settings.waitMs : 0
    const answerTimeoutMs =
      follows || this.failures > 0 ? settings.answerTimeoutMs : settings.firstAnswerTimeoutMs
    this.emit({
      kind: "readRecords",
      read: {collection, after: cursor, waitMs: this.lastWaitMs, answerTimeoutMs}
    })
  }

  private removeFailures(): void {
    this.failures = 0
    this.hasStoreFailure = false
  }

  /// Called before a confirmation is applied: after a time without one, removed records may only have expired.
  private updatePeerHold(now: number): void {
    this.peerHoldUntil = Math.max(this.peerHoldUntil, this.getHoldAfterOutage(now))
  }

  /// Until when removals are held after a time without a confirmation, as of now; -Infinity for not at all.
  ///
  /// A store that did not answer this daemon need not have an outage, since it may have rejected only this
  /// machine; an outage means that no daemon was answered. Before `peerConfirmationMs` this is uncertain, so the
  /// hold ends early enough for removals of that time to be applied within the bound. When a daemon held them
  /// for the whole grace period because of an outage of its own, a back end was known to be removed up to
  /// 3,428 ms after the removal, with a bound of 3,000 ms (virtual time, 16 daemons, the first reader rejected
  /// for 5 s).
  private getHoldAfterOutage(now: number): number {
    const {expiryOutageMs, expiryGraceMs, peerConfirmationMs, staleMs} = this.settings
    const unconfirmedMs = this.getAgeMs(now)
    if (unconfirmedMs < expiryOutageMs || !Number.isFinite(unconfirmedMs)) return -Infinity
    const until = now + expiryGraceMs
    return unconfirmedMs >= peerConfirmationMs ? until : Math.min(until, this.completeAt + staleMs)
  }

  private startBackoff(now: number): void {
    const {backoffMs, maximumBackoffMs, emptyBackoffMs} = this.settings
    const pause = Math.min(
      this.hasRecords() ? maximumBackoffMs : emptyBackoffMs,
      backoffMs * 2 ** Math.min(this.failures, MAXIMUM_BACKOFF_DOUBLINGS)
    )
    if (this.failures === 0) this.failingSince = this.sentAt
    this.failures += 1
    this.nextAt = now + pause * (0.5 + this.random.next())
  }
}
