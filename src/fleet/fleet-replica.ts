/// A daemon's replica of the configuration and of the list of back ends. One daemon of the fleet follows the
/// store's changes and publishes them to its peers (`StoreFollower` decides when each daemon reads);
/// `RecordCopy` holds the records.
///
/// Every daemon's copy is complete up to a revision. A peer's report that the store had nothing newer at some
/// time also confirms this copy, provided that no change between the two copies is missing.
import type {RouteConfiguration} from "../forwarding/routes/route.js"
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import {STORE_SOURCE, type FleetEffect, type RecordOrigin} from "./fleet-effects.js"
import type {FleetKnowledge, RecordKnowledge, RecordsChanged} from "./fleet-messages.js"
import type {FleetReplicaSettings} from "./fleet-replica-settings.js"
import {RecordCopy} from "./record-copy.js"
import type {RecordAnswer, RecordCollection, RecordReadResult, StoredRecord} from "./record-store.js"
import {StoreClock} from "./store-clock.js"
import {StoreFollower, type CopyEvidence} from "./store-follower.js"

export type {FleetEffect} from "./fleet-effects.js"
export type {CopyEvidence} from "./store-follower.js"
export {DEFAULT_FLEET_REPLICA_SETTINGS, type FleetReplicaSettings} from "./fleet-replica-settings.js"

/// Larger changes are published without their records, and every daemon reads them from the store: a relay
/// that forwards them to 30 daemons over a link of 20 Mbit/s would be busy for half a second. Characters.
const MAXIMUM_PUBLISHED_LENGTH = 32_768

/// The complete copy of a peer.
export interface PeerCopy {
  readonly knowledge: FleetKnowledge
  readonly records: readonly StoredRecord[]
  /// When this daemon asked for it; undefined when that is unknown.
  readonly requestedAt?: number | undefined
}

/// The replica of one daemon. Times are monotonic milliseconds.
export class FleetReplica {
  private readonly followers: Readonly<Record<RecordCollection, StoreFollower>>
  private readonly copy: RecordCopy
  private readonly clock = new StoreClock()

  constructor(
    private readonly settings: FleetReplicaSettings,
    random: RandomSource,
    private readonly emit: EffectSink<FleetEffect>,
    now: number
  ) {
    this.copy = new RecordCopy(emit)
    const createFollower = (collection: RecordCollection): StoreFollower => {
      const hasRecords = (): boolean => this.copy.hasRecords(collection)
      return new StoreFollower(collection, settings, random, this.clock, hasRecords, emit, now)
    }
    this.followers = {configuration: createFollower("configuration"), backends: createFollower("backends")}
  }

  /// The configuration in force; undefined until one is known.
  getConfiguration(): RouteConfiguration | undefined {
    return this.copy.getConfiguration()
  }

  /// Whether any record of a back end is known, removals included.
  hasBackends(): boolean {
    return this.copy.hasRecords("backends")
  }

  /// Sets this daemon's rank among those that follow the store; 0 is the first.
  setRank(rank: number): void {
    for (const follower of Object.values(this.followers)) follower.setRank(rank)
  }

  /// The state of the copies, for the peers.
  getKnowledge(now: number): FleetKnowledge {
    const {configuration, backends} = this.followers
    return {
      configuration: this.getConfigurationKnowledge(configuration, now),
      backends: backends.getKnowledge(this.copy.getRevision("backends"), now)
    }
  }

  /// Time since the copy was last known to be up to date with the store. Milliseconds.
  getAgeMs(collection: RecordCollection, now: number): number {
    return this.followers[collection].getAgeMs(now)
  }

  /// On what the age of the copy is based, for the log.
  getEvidence(collection: RecordCollection, now: number): CopyEvidence {
    return this.followers[collection].getEvidence(now)
  }

  /// Whether a peer has changes that are missing here.
  isBehind(collection: RecordCollection): boolean {
    return this.followers[collection].isBehind()
  }

  /// Duration of the store's current outage for a collection, as this daemon sees it. Milliseconds; 0 when
  /// there is none.
  getOutageMs(collection: RecordCollection, now: number): number {
    return this.followers[collection].getOutageMs(now)
  }

  /// Whether changes up to a revision are missing here.
  lacks(collection: RecordCollection, revision: number): boolean {
    return revision > (this.followers[collection].cursor ?? -1)
  }

  /// Whether newer records of a collection may be known elsewhere.
  mayBeStale(collection: RecordCollection, now: number): boolean {
    if (!this.copy.hasRecords(collection) || this.isBehind(collection)) return true
    if (collection === "configuration" && this.copy.findUnreadable() !== undefined) return true
    return this.getAgeMs(collection, now) > this.settings.staleMs
  }

  /// The machine was suspended for a time that the monotonic clock did not count. Milliseconds.
  onMachineSuspended(forMs: number): void {
    this.clock.onMachineSuspended(forMs)
    for (const follower of Object.values(this.followers)) follower.onMachineSuspended(forMs)
  }

  /// All records, removals included, for a peer.
  getRecords(): StoredRecord[] {
    return this.copy.getRecords()
  }

  /// Advances timers: reads the store when a read is due.
  tick(now: number): void {
    for (const follower of Object.values(this.followers)) follower.tick(now)
    this.copy.tick(now)
  }

  /// Applies the answer to a `readRecords` effect.
  receiveReadResult(collection: RecordCollection, result: RecordReadResult, now: number): void {
    const follower = this.followers[collection]
    follower.receiveReadEnd(result.kind === "snapshot" || result.kind === "changes", now)
    switch (result.kind) {
      case "snapshot":
        this.receiveStoreClock(follower, result.storeMs, now)
        this.applySnapshot(follower, result, now)
        follower.receiveConfirmation(result.storeMs, 0, now)
        break
      case "changes": {
        this.receiveStoreClock(follower, result.storeMs, now)
        this.applyChanges(follower, result, now)
        const pauseMs = result.records.length > 0 ? this.settings.batchDelayMs : 0
        follower.receiveConfirmation(result.storeMs, pauseMs, now)
        break
      }
      case "historyGone":
        follower.receiveHistoryGone(now)
        break
      case "rejected":
        follower.receiveFailure(`status ${result.status}`, now)
        break
      case "noAnswer":
        follower.receiveFailure(result.reason, now)
        break
    }
  }

  /// Applies changes that a peer has read from the store.
  receiveChanges(peerId: string, message: RecordsChanged, now: number): void {
    const follower = this.followers[message.collection]
    const holdUntil = message.lapsed === true ? follower.getPeerHold(now) : undefined
    const readAgoMs = this.getLongestAgoMs(message.storeMs, now)
    const origin: RecordOrigin = {source: peerId, way: "published", readAgoMs}
    for (const record of message.records) this.copy.apply(record, origin, {holdUntil})
    const {cursor} = follower
    const isReadable = message.records.length > 0 && message.records.every(isComplete)
    const hasNoGap = isReadable && cursor !== undefined && cursor >= message.from
    if (hasNoGap) follower.setKnownRevision(message.to)
    else follower.receivePeerRevision(message.changed, now)
  }

  /// Applies the complete copy of a peer.
  receiveSnapshot(peerId: string, {knowledge, records, requestedAt}: PeerCopy, now: number): void {
    if (requestedAt !== undefined) this.receivePeerClock(knowledge, requestedAt)
    const origin: RecordOrigin = {source: peerId, way: "copied"}
    const {configuration, backends} = this.followers
    const holdUntil = backends.getPeerHold(now)
    for (const record of records) this.copy.apply(record, origin, {holdUntil})
    const {complete} = knowledge.backends
    if (complete >= 0) this.copy.removeMissing(complete, records, origin, holdUntil)
    configuration.receiveCopy(knowledge.configuration)
    if (records.every(isComplete)) backends.receiveCopy(knowledge.backends)
    this.receiveKnowledge(peerId, knowledge, now)
  }

  /// Applies the state of a peer's copies.
  receiveKnowledge(peerId: string, knowledge: FleetKnowledge, now: number): void {
    for (const follower of Object.values(this.followers))
      follower.receiveKnowledge(peerId, knowledge[follower.collection], now)
  }

  /// A configuration that this daemon cannot read is missing in what it tells its peers, which may be able to.
  private getConfigurationKnowledge(follower: StoreFollower, now: number): RecordKnowledge {
    const knowledge = follower.getKnowledge(this.copy.getRevision("configuration"), now)
    const unreadable = this.copy.findUnreadable()
    if (unreadable === undefined || knowledge.complete < 0) return knowledge
    return {...knowledge, complete: Math.min(knowledge.complete, unreadable - 1)}
  }

  private receiveStoreClock(follower: StoreFollower, storeMs: number | undefined, now: number): void {
    if (storeMs !== undefined) this.clock.receiveAnswer(storeMs, follower.sentAt, now)
  }

  /// The peer's copy was this old when it answered, so the store's clock shows what bounds it here.
  private receivePeerClock(knowledge: FleetKnowledge, requestedAt: number): void {
    for (const {complete, storeMs, ageMs} of Object.values(knowledge))
      if (complete >= 0 && storeMs !== undefined) this.clock.receivePeerAnswer(storeMs + ageMs, requestedAt)
  }

  /// How long ago, at most, the store's clock showed this. Milliseconds; undefined when that is unknown.
  private getLongestAgoMs(storeMs: number | undefined, now: number): number | undefined {
    const earliest = storeMs === undefined ? undefined : this.clock.findEarliestTime(storeMs, now)
    return earliest === undefined ? undefined : Math.ceil(now - earliest)
  }

  private getReadOrigin({storeMs}: RecordAnswer, now: number): RecordOrigin {
    return {source: STORE_SOURCE, way: "read", readAgoMs: this.getLongestAgoMs(storeMs, now)}
  }

  private applySnapshot(follower: StoreFollower, answer: RecordAnswer, now: number): void {
    const {revision, records} = answer
    const origin = this.getReadOrigin(answer, now)
    for (const record of records) this.copy.apply(record, origin)
    const holdUntil = follower.getReadHold(now)
    if (follower.collection === "backends") this.copy.removeMissing(revision, records, origin, holdUntil)
    follower.receiveSnapshot(revision)
  }

  private applyChanges(follower: StoreFollower, answer: RecordAnswer, now: number): void {
    const {revision, records, storeMs} = answer
    const origin = this.getReadOrigin(answer, now)
    const from = follower.cursor ?? 0
    const holdUntil = follower.getReadHold(now)
    let changed = 0
    for (const record of records) {
      if (record.revision > from) changed = Math.max(changed, record.revision)
      this.copy.apply(record, origin, {holdUntil})
    }
    follower.setKnownRevision(revision)
    if (changed === 0 || !follower.isPublisher()) return
    const {collection} = follower
    const published = isSmall(records) && records.every(isComplete) ? [...records] : []
    const lapsed = holdUntil !== undefined
    const range = {from, to: revision, changed}
    this.emit({
      kind: "tellPeers",
      message: {kind: "recordsChanged", collection, ...range, records: published, lapsed, storeMs}
    })
  }
}

/// Whether a record has all that the store has of it. A daemon that does not pass the versions of back ends on, or
/// cannot read the configuration, leaves the copies of its peers incomplete, so that they read it from the store.
function isComplete(record: StoredRecord): boolean {
  if (record.collection === "configuration") return record.isUnreadable !== true
  return record.value?.version !== null
}

function isSmall(records: readonly StoredRecord[]): boolean {
  return JSON.stringify(records).length <= MAXIMUM_PUBLISHED_LENGTH
}
