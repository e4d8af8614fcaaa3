/// How a daemon follows the store's changes of one collection: when it asks, how long it pauses after a
/// failure, up to which revision its copy is complete and since when. One daemon of the fleet follows the
/// store; the others ask for themselves when they have not heard for a while that their copy is complete, the
/// next in rank first.
///
/// Word of a complete copy is known by the store's clock at the answer and counts once: passed on in a circle
/// it would come back each time a little late, and the copy would seem to age more slowly.
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import type {FleetEffect} from "./fleet-effects.js"
import type {RecordKnowledge} from "./fleet-messages.js"
import type {FleetReplicaSettings} from "./fleet-replica-settings.js"
import type {RecordCollection} from "./record-store.js"

/// Doublings of the pause after a failure; the longest pause is reached before.
const MAXIMUM_BACKOFF_DOUBLINGS = 6
/// Only the first in rank tell their peers, so that an outage of the first does not make everybody tell
/// everybody.
const TELLING_RANKS = 3
/// A read that took so much longer than it was to wait says nothing about the time at which it was answered.
/// Milliseconds; a slow store answers in some 200.
const ANSWER_DELAY_MS = 300
/// A change of back ends that a peer knows of is on its way here already, most times. Milliseconds;
/// the pause of the reader between answers with changes.
const RUMOR_DELAY_MS = 150

/// The follower of one collection. Times are monotonic milliseconds.
export class StoreFollower {
  /// Changes up to this revision are known; undefined until a snapshot was read.
  private knownRevision: number | undefined
  /// Removals after this revision are known.
  private knowsRemovalsSince = 0
  private inFlight = false
  private lastSentAt: number
  /// How long the newest read waits for a change. Milliseconds.
  private lastWaitMs = 0
  private nextAt: number
  private failures = 0
  /// One of the failures was a refusal or silence; a history that is gone is an answer.
  private unanswered = false
  /// `storeLost` was told, and `storeRegained` not yet.
  private isReportedLost = false
  /// When the first of the failures in a row was asked.
  private failingSince: number
  /// Until when a removal that this daemon reads may mean only that a record lapsed in an outage.
  private readHoldUntil = -Infinity
  /// The same of a removal of which a peer says so.
  private toldHoldUntil = -Infinity
  /// When the copy was last known to be complete, from the store or by a peer's word.
  private completeAt = -Infinity
  /// The store's clock at the newest answer of which this daemon knows, its own or a peer's.
  private storeMs = -Infinity
  /// The newest revision that a peer knows and this daemon may lack.
  private rumored = 0
  private rank = 0

  /// `hasRecords` says whether anything of the collection is known here, from whomever.
  constructor(
    readonly collection: RecordCollection,
    private readonly settings: FleetReplicaSettings,
    private readonly random: RandomSource,
    private readonly hasRecords: () => boolean,
    private readonly emit: EffectSink<FleetEffect>,
    now: number
  ) {
    this.lastSentAt = now
    this.nextAt = now
    this.failingSince = now
  }

  /// The revision up to which changes are known; undefined until a snapshot was read.
  get cursor(): number | undefined {
    return this.knownRevision
  }

  /// When the store was last asked.
  get sentAt(): number {
    return this.lastSentAt
  }

  /// Sets this daemon's place among those that follow the store; 0 is the first.
  setRank(rank: number): void {
    this.rank = rank
  }

  /// Whether this daemon is among those that tell their peers of changes.
  hasToTell(): boolean {
    return this.rank < TELLING_RANKS
  }

  /// How much is known, for the peers; `changed` is the newest revision among the records.
  getKnowledge(changed: number, now: number): RecordKnowledge {
    const {cursor, completeAt, storeMs, knowsRemovalsSince} = this
    // Known from a peer alone that lacked something itself: nothing to vouch for.
    if (cursor === undefined || completeAt === -Infinity) return {complete: -1, changed, ageMs: 0}
    const told = Number.isFinite(storeMs) ? storeMs : undefined
    const since = knowsRemovalsSince > 0 ? {since: knowsRemovalsSince} : {}
    return {complete: cursor, changed, ageMs: Math.round(now - completeAt), storeMs: told, ...since}
  }

  /// The clock stood still for a time that it has not counted: what is known is older than it seems.
  onMachineSuspended(forMs: number): void {
    this.completeAt -= forMs
  }

  /// How long ago the store was last known to have nothing newer. Milliseconds.
  getAgeMs(now: number): number {
    return now - this.completeAt
  }

  /// Whether a peer knows of changes that are missing here.
  isBehind(): boolean {
    return this.cursor === undefined || this.cursor < this.rumored
  }

  /// How long the store has not answered this daemon and, as far as it knows, no other. Milliseconds; 0 when
  /// it does.
  getOutageMs(now: number): number {
    if (this.failures > 0) return now - Math.max(this.failingSince, this.completeAt)
    // The first read does not wait for a change, so as long as it lasts the store's answer is outstanding.
    return this.cursor === undefined && this.inFlight ? now - this.sentAt : 0
  }

  /// Until when a back end whose removal the store tells keeps its work; undefined when it is gone.
  getReadHold(now: number): number | undefined {
    return now < this.readHoldUntil ? this.readHoldUntil : undefined
  }

  /// The same of a removal which a peer has read after an outage.
  getToldHold(now: number): number | undefined {
    this.noteSilence(now)
    return now < this.toldHoldUntil ? this.toldHoldUntil : undefined
  }

  /// When a read that waited for changes was answered, as far as that is certain.
  getAnswerTime(now: number): number {
    const prompt = now - this.sentAt <= this.lastWaitMs + ANSWER_DELAY_MS
    return prompt ? now : this.sentAt
  }

  /// Asks the store if it is time.
  tick(now: number): void {
    if (!this.inFlight && now >= this.nextAt && this.isDue(now)) this.read(now)
  }

  /// Notes that the read has ended, with an answer of records or without.
  receiveEnd(answered: boolean, now: number): void {
    this.inFlight = false
    if (answered && this.hasHadLongOutage(now)) this.readHoldUntil = this.getHoldAfterSilence(now)
  }

  /// Takes the store's word that the copy was complete at a time; the next read comes after a pause.
  receiveConfirmation(storeMs: number | undefined, completeAt: number, pauseMs: number, now: number): void {
    this.storeMs = storeMs ?? -Infinity
    if (this.isReportedLost)
      this.emit({kind: "storeRegained", collection: this.collection, outageMs: this.getOutageMs(now)})
    this.isReportedLost = false
    this.forgetFailures()
    this.noteSilence(now)
    this.completeAt = Math.max(this.completeAt, completeAt)
    // A read that does not wait is answered at once, also by a store that lags behind what peers have told.
    const pause = this.lastWaitMs > 0 ? pauseMs : Math.max(pauseMs, this.settings.batchDelayMs)
    this.nextAt = now + pause
    if (pause === 0 && this.isDue(now)) this.read(now)
  }

  /// Takes the store's word that its history does not reach back far enough: a snapshot is read next.
  receiveHistoryGone(now: number): void {
    this.knownRevision = undefined
    this.backOff(now)
  }

  /// Takes a refusal or silence.
  receiveFailure(reason: string, now: number): void {
    if (!this.isReportedLost) this.emit({kind: "storeLost", collection: this.collection, reason})
    this.isReportedLost = true
    this.backOff(now)
    this.unanswered = true
  }

  /// Takes the revision of the store's snapshot that was applied.
  receiveSnapshot(revision: number): void {
    this.knownRevision = revision
    if (this.collection === "backends") this.knowsRemovalsSince = revision
  }

  /// Takes how much a peer's copy held that was applied.
  receiveCopy({complete, since = 0}: RecordKnowledge): void {
    if (complete < 0) return
    if (this.cursor === undefined || this.cursor < Math.min(since, complete)) this.knowsRemovalsSince = since
    this.advance(complete)
  }

  /// Takes that changes up to a revision are known.
  advance(revision: number): void {
    this.knownRevision = Math.max(this.cursor ?? 0, revision)
  }

  /// Takes a peer's word that there is a change.
  receiveRumor(changed: number, now: number): void {
    if (changed <= this.rumored) return
    // Word puts off no read that is due without it: put off by each, none went out while words came each 140
    // ms, and one that was late already came 150 ms later.
    const wasDue = this.isDue(now)
    this.rumored = changed
    if (!wasDue && this.collection === "backends") this.nextAt = Math.max(this.nextAt, now + RUMOR_DELAY_MS)
  }

  /// Takes a peer's word on how much it knows.
  ///
  /// That a peer knows of no newer change counts only where its copy reaches back to this one: a copy that
  /// began later lacks removals of the time before. Without this a daemon that started while the first reader
  /// was turned away moved eight of nine daemons past a removal for good (virtual time).
  receiveKnowledge(knowledge: RecordKnowledge, now: number): void {
    const {complete, changed, ageMs, storeMs = -Infinity, since = 0} = knowledge
    if (complete < 0 || this.cursor === undefined) return
    if (this.cursor < changed) {
      this.receiveRumor(changed, now)
      return
    }
    if (this.cursor < since) return
    this.advance(complete)
    if (storeMs <= this.storeMs) return
    this.storeMs = storeMs
    this.noteSilence(now)
    this.completeAt = Math.max(this.completeAt, now - Math.max(0, ageMs))
  }

  /// Whether this daemon should ask the store itself.
  private isDue(now: number): boolean {
    if (this.rank === 0 || this.isBehind()) return true
    const {
      standbyDelayMs: patienceMs,
      standbyDelayStepMs: patienceStepMs,
      maximumStandbyDelayMs: maximumPatienceMs
    } = this.settings
    const patience = Math.min(maximumPatienceMs, patienceMs + (this.rank - 1) * patienceStepMs)
    return now - this.completeAt > patience
  }

  /// The first in rank waits at the store for changes. The others ask when they have not heard for long, and
  /// want to know at once whether they lack something: a read that waits shows late that it was lost, so late
  /// that a daemon that its peers cannot reach would know of a leaving after the bound.
  private read(now: number): void {
    // The store has answered somebody since the newest read here failed: what comes now is another matter.
    // Counted on, failures of long ago make a daemon wait for its first read and hold a removal.
    if (this.rank > 0 && this.completeAt > this.lastSentAt) this.forgetFailures()
    this.inFlight = true
    this.lastSentAt = now
    const {collection, cursor, settings} = this
    const follows = this.rank === 0
    this.lastWaitMs = follows ? settings.waitMs : 0
    const answerMs = follows || this.failures > 0 ? settings.answerTimeoutMs : settings.firstAnswerTimeoutMs
    this.emit({
      kind: "readRecords",
      read: {collection, after: cursor, waitMs: this.lastWaitMs, answerTimeoutMs: answerMs}
    })
  }

  private forgetFailures(): void {
    this.failures = 0
    this.unanswered = false
  }

  /// Word of the store ends a time without; what is removed then may have lapsed.
  private noteSilence(now: number): void {
    this.toldHoldUntil = Math.max(this.toldHoldUntil, this.getHoldAfterSilence(now))
  }

  /// Until when removals are held after a time without word of the store, as of now.
  ///
  /// That this daemon was not answered says nothing of the store, which may have turned away this machine
  /// only: what counts is that nobody was answered. Before `servedElsewhereMs` that is not certain, so the
  /// hold ends while removals of that time still count as known in time. Held for the whole grace because of
  /// its own outage, a back end was known to be gone up to 3,428 ms after it was, of 3,000 (virtual time, 16
  /// daemons, the first reader turned away for 5 s).
  private getHoldAfterSilence(now: number): number {
    const {
      expiryOutageMs: lapseOutageMs,
      expiryGraceMs: lapseGraceMs,
      peerConfirmationMs: servedElsewhereMs,
      staleMs
    } = this.settings
    const silentMs = this.getAgeMs(now)
    if (silentMs < lapseOutageMs || !Number.isFinite(silentMs)) return -Infinity
    const until = now + lapseGraceMs
    return silentMs >= servedElsewhereMs ? until : Math.min(until, this.completeAt + staleMs)
  }

  private hasHadLongOutage(now: number): boolean {
    return this.unanswered && now - this.failingSince >= this.settings.expiryOutageMs
  }

  private backOff(now: number): void {
    const {backoffMs, maximumBackoffMs, emptyBackoffMs: unknowingBackoffMs} = this.settings
    const pause = Math.min(
      this.hasRecords() ? maximumBackoffMs : unknowingBackoffMs,
      backoffMs * 2 ** Math.min(this.failures, MAXIMUM_BACKOFF_DOUBLINGS)
    )
    if (this.failures === 0) this.failingSince = this.sentAt
    this.failures += 1
    this.nextAt = now + pause * (0.5 + this.random.next())
  }
}
