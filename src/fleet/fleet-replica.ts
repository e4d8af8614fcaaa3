/// A daemon's copy of the configuration and of the list of back ends. One daemon of the fleet follows the store's
/// changes and tells the others; a daemon that has not heard for a while that its copy is complete asks the store
/// itself, the next in rank first. Revisions never go back: an old snapshot cannot undo what is known, and a removed
/// back end does not return with an older record.
///
/// Every daemon's copy is complete up to a revision. A peer's word that the store had nothing newer some time ago
/// counts here too if no change between the two is missing. Such word is known by the store's clock at the answer and counts
/// once: passed on in a circle it would come back each time a little late, and the copy would seem to age more slowly.
import type {BackendRecord, RouteConfiguration} from "../forwarding/route.js"
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import type {FleetKnowledge, RecordKnowledge, RecordsChanged} from "./fleet-messages.js"
import {LapsedBackends} from "./lapsed-backends.js"
import type {RecordCollection, RecordRead, RecordReadResult, StoredRecord} from "./record-store.js"

/// Settings of the replica.
export interface FleetReplicaSettings {
  /// How long a read waits for a change: peers hear so late that there was none. Milliseconds. Default 450.
  readonly waitMs: number
  /// The second daemon in rank asks the store when it has not heard for so long that its copy is complete. Milliseconds. Default 1200.
  readonly patienceMs: number
  /// Each further rank waits so much longer, up to the longest patience. Milliseconds. Default 100.
  readonly patienceStepMs: number
  /// Every daemon asks the store after this. Milliseconds. Default 1400.
  readonly maximumPatienceMs: number
  /// Pause after an answer with changes, so that changes in a row come in one answer. Milliseconds. Default 150.
  readonly gatherMs: number
  /// First pause after a read that failed; doubled at each further one. Milliseconds. Default 100.
  readonly backoffMs: number
  /// The longest such pause. Milliseconds. Default 800.
  readonly maximumBackoffMs: number
  /// The longest pause of a daemon that knows nothing yet, and so serves nobody. Milliseconds. Default 200.
  readonly unknowingBackoffMs: number
  /// A configuration that was confirmed longer ago proves nothing about routes that it lacks: a newer one may have been
  /// bound to be in force by now. Milliseconds. Default 1800, which is less than a change may take.
  readonly staleMs: number
  /// An outage of the store that lasted so long may have cost back ends their records although they live. Milliseconds.
  /// Default 2000.
  readonly lapseOutageMs: number
  /// How long a back end whose record was gone after an outage keeps its work, if it was ready. Milliseconds. Default 1800.
  readonly lapseGraceMs: number
}

/// Default settings.
export const DEFAULT_FLEET_REPLICA_SETTINGS: FleetReplicaSettings = {
  waitMs: 450,
  patienceMs: 1200,
  patienceStepMs: 100,
  maximumPatienceMs: 1400,
  gatherMs: 150,
  backoffMs: 100,
  maximumBackoffMs: 800,
  unknowingBackoffMs: 200,
  staleMs: 1800,
  lapseOutageMs: 2000,
  lapseGraceMs: 1800
}

/// What the replica asks for and tells.
export type FleetEffect =
  | {readonly kind: "readRecords"; readonly read: RecordRead}
  /// The store had changes, which the peers should hear of.
  | {readonly kind: "tellPeers"; readonly message: RecordsChanged}
  | {
      readonly kind: "configurationChanged"
      readonly configuration: RouteConfiguration
      readonly source: RecordSource
    }
  | {
      readonly kind: "backendChanged"
      readonly record: BackendRecord
      readonly revision: number
      readonly source: RecordSource
    }
  | {
      readonly kind: "backendRemoved"
      readonly id: string
      readonly revision: number
      readonly source: RecordSource
    }
  | {readonly kind: "storeLost"; readonly collection: RecordCollection; readonly reason: string}
  | {readonly kind: "storeRegained"; readonly collection: RecordCollection}

/// Where a record came from: the store, or a peer's id.
export type RecordSource = string

/// The source of records that came from the store itself.
export const STORE_SOURCE = "store"

interface Follower {
  readonly collection: RecordCollection
  /// Changes up to this revision are known; undefined until a snapshot was read.
  cursor: number | undefined
  inFlight: boolean
  sentAt: number
  nextAt: number
  failures: number
  /// One of them was a refusal or silence; a history that is gone is an answer.
  unanswered: boolean
  /// When the first of the failures in a row was asked.
  failingSince: number
  /// When the store came back after an outage that may have cost back ends their records.
  lapseSeenAt: number
  /// When the copy was last known to be complete, from the store or by a peer's word.
  completeAt: number
  /// The store's clock at the newest answer of which this daemon knows, its own or a peer's.
  storeMs: number
  /// The newest revision that a peer knows and this daemon may lack.
  rumored: number
}

interface KnownBackend {
  readonly revision: number
  readonly value: BackendRecord | undefined
}

interface ApplyOptions {
  /// A removal counts also at the revision that is known.
  readonly sameRevisionCounts?: boolean
  /// When the store came back, if a record that is missing since may only have lapsed.
  readonly lapsedAt?: number | undefined
}

const MAXIMUM_BACKOFF_DOUBLINGS = 6
/// Only the first in rank tell their peers, so that an outage of the first does not make everybody tell everybody.
const TELLING_RANKS = 3
/// Larger changes are told by their revision alone, and every daemon reads them for itself: a relay that passes them on to 30 daemons
/// over a link of 20 Mbit/s would be busy for half a second. Characters.
const MAXIMUM_TOLD_LENGTH = 32_768
/// A read that took so much longer than it was to wait says nothing about the time at which it was answered. Milliseconds.
const ANSWER_DELAY_MS = 300
/// A change of back ends that a peer knows of is on its way here already, most times. Milliseconds.
const RUMOR_DELAY_MS = 150

/// The replica of one daemon. Times are monotonic milliseconds.
export class FleetReplica {
  private readonly followers: Readonly<Record<RecordCollection, Follower>>
  private configurationRevision = 0
  private current: RouteConfiguration | undefined
  private backendsRevision = 0
  private readonly backends = new Map<string, KnownBackend>()
  private readonly lapsed: LapsedBackends
  private rank = 0

  constructor(
    private readonly settings: FleetReplicaSettings,
    private readonly random: RandomSource,
    private readonly emit: EffectSink<FleetEffect>,
    now: number
  ) {
    this.followers = {configuration: follower("configuration", now), backends: follower("backends", now)}
    this.lapsed = new LapsedBackends(settings.lapseGraceMs)
  }

  /// The configuration in force; undefined before the first.
  configuration(): RouteConfiguration | undefined {
    return this.current
  }

  /// Whether the list of back ends is known at all.
  knowsBackends(): boolean {
    return this.backends.size > 0
  }

  /// Sets this daemon's place among those that follow the store; 0 is the first.
  setRank(rank: number): void {
    this.rank = rank
  }

  /// How much is known, for the peers.
  getKnowledge(now: number): FleetKnowledge {
    return {
      configuration: this.getKnowledgeOf("configuration", now),
      backends: this.getKnowledgeOf("backends", now)
    }
  }

  /// How long ago the store was last known to have nothing newer. Milliseconds.
  ageMs(collection: RecordCollection, now: number): number {
    return now - this.followers[collection].completeAt
  }

  /// Whether a peer knows of changes that are missing here.
  isBehind(collection: RecordCollection): boolean {
    const {cursor, rumored} = this.followers[collection]
    return cursor === undefined || cursor < rumored
  }

  /// How long the store has not answered this daemon about a collection. Milliseconds; 0 when it does.
  getOutageMs(collection: RecordCollection, now: number): number {
    const {failures, failingSince, cursor, inFlight, sentAt} = this.followers[collection]
    if (failures > 0) return now - failingSince
    // The first read does not wait for a change, so as long as it lasts the store owes an answer.
    return cursor === undefined && inFlight ? now - sentAt : 0
  }

  /// Whether a newer configuration may be in force elsewhere.
  configurationMayBeStale(now: number): boolean {
    if (this.current === undefined || this.isBehind("configuration")) return true
    return this.ageMs("configuration", now) > this.settings.staleMs
  }

  /// Advances timers: asks the store.
  tick(now: number): void {
    for (const follower of Object.values(this.followers)) {
      if (!follower.inFlight && now >= follower.nextAt && this.isDue(follower, now)) this.read(follower, now)
    }
    for (const id of this.lapsed.takeExpired(now))
      this.emit({kind: "backendRemoved", id, revision: this.backendsRevision, source: STORE_SOURCE})
  }

  /// Takes the answer to a `readRecords` effect.
  receive(collection: RecordCollection, result: RecordReadResult, now: number): void {
    const follower = this.followers[collection]
    follower.inFlight = false
    const answered = result.kind === "snapshot" || result.kind === "changes"
    if (answered && this.hasHadLongOutage(follower, now)) follower.lapseSeenAt = now
    switch (result.kind) {
      case "snapshot":
        this.applySnapshot(follower, result.revision, result.records, now)
        follower.storeMs = result.storeMs ?? -Infinity
        this.confirmed(follower, follower.sentAt, 0, now)
        break
      case "changes":
        this.applyChanges(follower, result.revision, result.records, now)
        follower.storeMs = result.storeMs ?? -Infinity
        this.confirmed(
          follower,
          this.getAnswerTime(follower, now),
          result.records.length > 0 ? this.settings.gatherMs : 0,
          now
        )
        break
      case "historyGone":
        follower.cursor = undefined
        this.backOff(follower, now)
        break
      case "rejected":
        this.failed(follower, `status ${result.status}`, now)
        break
      case "noAnswer":
        this.failed(follower, result.reason, now)
        break
    }
  }

  /// Takes changes that a peer has read from the store.
  receiveChanges(peerId: string, message: RecordsChanged, now: number): void {
    const follower = this.followers[message.collection]
    const lapsedAt = message.lapsed === true ? now : undefined
    for (const record of message.records) this.apply(record, peerId, {lapsedAt})
    const {cursor} = follower
    const whole = message.records.length > 0 && cursor !== undefined && cursor >= message.from
    if (whole) this.advance(follower, message.to)
    else this.hearRumor(follower, message.changed, now)
  }

  /// Takes everything that a peer knows.
  receiveSnapshot(
    peerId: string,
    knowledge: FleetKnowledge,
    records: readonly StoredRecord[],
    now: number
  ): void {
    for (const record of records) this.apply(record, peerId)
    const {complete} = knowledge.backends
    if (complete >= 0) this.removeMissing(complete, records, peerId)
    for (const follower of Object.values(this.followers)) {
      const known = knowledge[follower.collection]
      if (known.complete >= 0) this.advance(follower, known.complete)
    }
    this.receiveKnowledge(knowledge, now)
  }

  /// Takes a peer's word on how much it knows.
  receiveKnowledge(knowledge: FleetKnowledge, now: number): void {
    for (const follower of Object.values(this.followers)) {
      const {complete, changed, ageMs, storeMs = -Infinity} = knowledge[follower.collection]
      if (complete < 0 || follower.cursor === undefined) continue
      if (follower.cursor < changed) {
        this.hearRumor(follower, changed, now)
        continue
      }
      this.advance(follower, complete)
      if (storeMs <= follower.storeMs) continue
      follower.storeMs = storeMs
      follower.completeAt = Math.max(follower.completeAt, now - Math.max(0, ageMs))
    }
  }

  /// Everything known, removals included, for a peer.
  records(): StoredRecord[] {
    const records: StoredRecord[] = []
    if (this.current)
      records.push({
        collection: "configuration",
        revision: this.configurationRevision,
        value: this.current
      })
    for (const [id, {revision, value}] of this.backends)
      records.push({collection: "backends", id, revision, value})
    return records
  }

  private knows(collection: RecordCollection): boolean {
    return collection === "configuration" ? this.current !== undefined : this.knowsBackends()
  }

  private getKnowledgeOf(collection: RecordCollection, now: number): RecordKnowledge {
    const {cursor, completeAt, storeMs} = this.followers[collection]
    const changed = collection === "configuration" ? this.configurationRevision : this.backendsRevision
    // Known from a peer alone that lacked something itself: nothing to vouch for.
    if (cursor === undefined || completeAt === -Infinity) return {complete: -1, changed, ageMs: 0}
    const told = Number.isFinite(storeMs) ? storeMs : undefined
    return {complete: cursor, changed, ageMs: Math.round(now - completeAt), storeMs: told}
  }

  /// Whether this daemon should ask the store itself.
  private isDue(follower: Follower, now: number): boolean {
    if (this.rank === 0 || this.isBehind(follower.collection)) return true
    const {patienceMs, patienceStepMs, maximumPatienceMs} = this.settings
    const patience = Math.min(maximumPatienceMs, patienceMs + (this.rank - 1) * patienceStepMs)
    return now - follower.completeAt > patience
  }

  private advance(follower: Follower, revision: number): void {
    follower.cursor = Math.max(follower.cursor ?? 0, revision)
  }

  private hearRumor(follower: Follower, changed: number, now: number): void {
    if (changed <= follower.rumored) return
    follower.rumored = changed
    if (follower.collection === "backends") follower.nextAt = Math.max(follower.nextAt, now + RUMOR_DELAY_MS)
  }

  private read(follower: Follower, now: number): void {
    follower.inFlight = true
    follower.sentAt = now
    const {collection, cursor} = follower
    this.emit({kind: "readRecords", read: {collection, after: cursor, waitMs: this.settings.waitMs}})
  }

  private applySnapshot(
    follower: Follower,
    revision: number,
    records: readonly StoredRecord[],
    now: number
  ): void {
    for (const record of records) this.apply(record, STORE_SOURCE)
    const lapsedAt = this.getLapseTime(follower, now)
    if (follower.collection === "backends") this.removeMissing(revision, records, STORE_SOURCE, lapsedAt)
    follower.cursor = revision
  }

  private applyChanges(
    follower: Follower,
    revision: number,
    records: readonly StoredRecord[],
    now: number
  ): void {
    const from = follower.cursor ?? 0
    const lapsedAt = this.getLapseTime(follower, now)
    let changed = 0
    for (const record of records) {
      if (record.revision > from) changed = Math.max(changed, record.revision)
      this.apply(record, STORE_SOURCE, {lapsedAt})
    }
    this.advance(follower, revision)
    if (changed === 0 || this.rank >= TELLING_RANKS) return
    const {collection} = follower
    const told = isSmall(records) ? [...records] : []
    const lapsed = lapsedAt !== undefined
    this.emit({
      kind: "tellPeers",
      message: {kind: "recordsChanged", collection, from, to: revision, changed, records: told, lapsed}
    })
  }

  private hasHadLongOutage({unanswered, failingSince}: Follower, now: number): boolean {
    return unanswered && now - failingSince >= this.settings.lapseOutageMs
  }

  /// The time of an answer by which back ends that are missing may have lapsed only; undefined when they are gone.
  private getLapseTime({lapseSeenAt}: Follower, now: number): number | undefined {
    return now - lapseSeenAt < this.settings.lapseGraceMs ? lapseSeenAt : undefined
  }

  /// A back end that the snapshot lacks was removed, unless its record is newer than the snapshot.
  private removeMissing(
    revision: number,
    records: readonly StoredRecord[],
    source: RecordSource,
    lapsedAt?: number
  ): void {
    const present = new Set(records.map(record => (record.collection === "backends" ? record.id : "")))
    for (const [id, known] of this.backends) {
      if (present.has(id) || known.value === undefined || known.revision > revision) continue
      const record = {collection: "backends" as const, id, revision, value: undefined}
      this.apply(record, source, {sameRevisionCounts: true, lapsedAt})
    }
  }

  private apply(record: StoredRecord, source: RecordSource, options: ApplyOptions = {}): void {
    if (record.collection === "configuration") this.applyConfiguration(record.revision, record.value, source)
    else this.applyBackend(record.id, record, source, options)
  }

  private applyConfiguration(
    revision: number,
    value: RouteConfiguration | undefined,
    source: RecordSource
  ): void {
    if (!value || revision <= this.configurationRevision) return
    if (this.current && value.version < this.current.version) return
    this.configurationRevision = revision
    this.current = value
    this.emit({kind: "configurationChanged", configuration: value, source})
  }

  private applyBackend(
    id: string,
    record: {revision: number; value?: BackendRecord | undefined},
    source: RecordSource,
    {sameRevisionCounts = false, lapsedAt}: ApplyOptions
  ): void {
    const known = this.backends.get(id)
    const newer = !known || record.revision > known.revision
    if (!newer && !(sameRevisionCounts && record.revision === known.revision)) return
    const {revision, value} = record
    this.backends.set(id, {revision, value})
    this.backendsRevision = Math.max(this.backendsRevision, revision)
    if (value) {
      this.lapsed.remove(id)
      this.emit({kind: "backendChanged", record: value, revision, source})
    } else if (known?.value?.state === "ready" && lapsedAt !== undefined) this.lapsed.add(id, lapsedAt)
    else if (known?.value) this.emit({kind: "backendRemoved", id, revision, source})
  }

  /// When a read that waited for changes was answered, as far as that is certain.
  private getAnswerTime(follower: Follower, now: number): number {
    const prompt = now - follower.sentAt <= this.settings.waitMs + ANSWER_DELAY_MS
    return prompt ? now : follower.sentAt
  }

  private confirmed(follower: Follower, completeAt: number, pauseMs: number, now: number): void {
    const {collection} = follower
    if (follower.failures > 0) this.emit({kind: "storeRegained", collection})
    follower.failures = 0
    follower.unanswered = false
    follower.completeAt = Math.max(follower.completeAt, completeAt)
    follower.nextAt = now + pauseMs
    if (pauseMs === 0 && this.isDue(follower, now)) this.read(follower, now)
  }

  private failed(follower: Follower, reason: string, now: number): void {
    if (follower.failures === 0) this.emit({kind: "storeLost", collection: follower.collection, reason})
    this.backOff(follower, now)
    follower.unanswered = true
  }

  private backOff(follower: Follower, now: number): void {
    const {backoffMs, maximumBackoffMs, unknowingBackoffMs} = this.settings
    const pause = Math.min(
      this.knows(follower.collection) ? maximumBackoffMs : unknowingBackoffMs,
      backoffMs * 2 ** Math.min(follower.failures, MAXIMUM_BACKOFF_DOUBLINGS)
    )
    if (follower.failures === 0) follower.failingSince = follower.sentAt
    follower.failures += 1
    follower.nextAt = now + pause * (0.5 + this.random.next())
  }
}

function isSmall(records: readonly StoredRecord[]): boolean {
  return JSON.stringify(records).length <= MAXIMUM_TOLD_LENGTH
}

function follower(collection: RecordCollection, now: number): Follower {
  return {
    collection,
    cursor: undefined,
    inFlight: false,
    sentAt: now,
    nextAt: now,
    failures: 0,
    unanswered: false,
    failingSince: now,
    lapseSeenAt: -Infinity,
    completeAt: -Infinity,
    storeMs: -Infinity,
    rumored: 0
  }
}
