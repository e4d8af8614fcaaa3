/// A daemon's copy of the configuration and of the list of back ends. It follows the store's changes, and takes
/// newer records from peers when the store does not answer here. Revisions never go back: an old snapshot cannot
/// undo what is known, and a removed back end does not return with an older record.
import type {BackendRecord, RouteConfiguration} from "../forwarding/route.js"
import type {EffectSink} from "../shared/effect-sink.js"
import type {RandomSource} from "../shared/random.js"
import type {RecordCollection, RecordRead, RecordReadResult, StoredRecord} from "./record-store.js"

/// Settings of the replica.
export interface FleetReplicaSettings {
  /// How long a read waits for a change. Milliseconds. Default 3000.
  readonly waitMs: number
  /// Pause after an answer with changes, so that changes in a row come in one answer. Milliseconds. Default 150.
  readonly gatherMs: number
  /// First pause after a read that failed; doubled at each further one. Milliseconds. Default 100.
  readonly backoffMs: number
  /// The longest such pause. Milliseconds. Default 800.
  readonly maximumBackoffMs: number
  /// A configuration that was confirmed longer ago proves nothing about routes that it lacks. Milliseconds. Default 4500.
  readonly staleMs: number
}

/// Default settings.
export const DEFAULT_FLEET_REPLICA_SETTINGS: FleetReplicaSettings = {
  waitMs: 3000,
  gatherMs: 150,
  backoffMs: 100,
  maximumBackoffMs: 800,
  staleMs: 4500
}

/// What the replica asks for and tells.
export type FleetEffect =
  | {readonly kind: "readRecords"; readonly read: RecordRead}
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
  confirmedAt: number
}

interface KnownBackend {
  readonly revision: number
  readonly value: BackendRecord | undefined
}

const MAXIMUM_BACKOFF_DOUBLINGS = 6

/// The replica of one daemon. Times are monotonic milliseconds.
export class FleetReplica {
  private readonly followers: Readonly<Record<RecordCollection, Follower>>
  private configurationRevision = 0
  private current: RouteConfiguration | undefined
  private backendsRevision = 0
  private readonly backends = new Map<string, KnownBackend>()

  constructor(
    private readonly settings: FleetReplicaSettings,
    private readonly random: RandomSource,
    private readonly emit: EffectSink<FleetEffect>,
    now: number
  ) {
    this.followers = {configuration: follower("configuration", now), backends: follower("backends", now)}
  }

  /// The configuration in force; undefined before the first.
  configuration(): RouteConfiguration | undefined {
    return this.current
  }

  /// Whether the list of back ends is known at all.
  knowsBackends(): boolean {
    return this.backends.size > 0
  }

  /// The newest revisions known: of the configuration, and of any back end's record.
  revisions(): {configuration: number; backends: number} {
    return {configuration: this.configurationRevision, backends: this.backendsRevision}
  }

  /// How long ago the store last confirmed a collection, counted from when it was asked. Milliseconds.
  ageMs(collection: RecordCollection, now: number): number {
    return now - this.followers[collection].confirmedAt
  }

  /// Whether a newer configuration may be in force elsewhere.
  configurationMayBeStale(now: number): boolean {
    return this.current === undefined || this.ageMs("configuration", now) > this.settings.staleMs
  }

  /// Advances timers: asks the store.
  tick(now: number): void {
    for (const follower of Object.values(this.followers)) {
      if (!follower.inFlight && now >= follower.nextAt) this.read(follower, now)
    }
  }

  /// Takes the answer to a `readRecords` effect.
  receive(collection: RecordCollection, result: RecordReadResult, now: number): void {
    const follower = this.followers[collection]
    follower.inFlight = false
    switch (result.kind) {
      case "snapshot":
        this.applySnapshot(follower, result.revision, result.records)
        this.confirmed(follower, now, 0)
        break
      case "changes":
        for (const record of result.records) this.apply(record, STORE_SOURCE)
        follower.cursor = Math.max(follower.cursor ?? 0, result.revision)
        this.confirmed(follower, now, result.records.length > 0 ? this.settings.gatherMs : 0)
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

  /// Takes records from a peer. Its confirmations are not this daemon's.
  receiveFromPeer(peerId: string, records: readonly StoredRecord[]): void {
    for (const record of records) this.apply(record, peerId)
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

  private read(follower: Follower, now: number): void {
    follower.inFlight = true
    follower.sentAt = now
    const {collection, cursor} = follower
    this.emit({kind: "readRecords", read: {collection, after: cursor, waitMs: this.settings.waitMs}})
  }

  private applySnapshot(follower: Follower, revision: number, records: readonly StoredRecord[]): void {
    for (const record of records) this.apply(record, STORE_SOURCE)
    if (follower.collection === "backends") this.removeMissing(revision, records)
    follower.cursor = revision
  }

  /// A back end that the snapshot lacks was removed, unless its record is newer than the snapshot.
  private removeMissing(revision: number, records: readonly StoredRecord[]): void {
    const present = new Set(records.map(record => (record.collection === "backends" ? record.id : "")))
    for (const [id, known] of this.backends) {
      if (present.has(id) || known.value === undefined || known.revision > revision) continue
      this.apply({collection: "backends", id, revision, value: undefined}, STORE_SOURCE, true)
    }
  }

  private apply(record: StoredRecord, source: RecordSource, sameRevisionCounts = false): void {
    if (record.collection === "configuration") this.applyConfiguration(record.revision, record.value, source)
    else this.applyBackend(record.id, record, source, sameRevisionCounts)
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
    record: KnownBackend,
    source: RecordSource,
    sameRevisionCounts: boolean
  ): void {
    const known = this.backends.get(id)
    const newer = !known || record.revision > known.revision
    if (!newer && !(sameRevisionCounts && record.revision === known.revision)) return
    const {revision, value} = record
    this.backends.set(id, {revision, value})
    this.backendsRevision = Math.max(this.backendsRevision, revision)
    if (value) this.emit({kind: "backendChanged", record: value, revision, source})
    else if (known?.value) this.emit({kind: "backendRemoved", id, revision, source})
  }

  private confirmed(follower: Follower, now: number, pauseMs: number): void {
    const {collection} = follower
    if (follower.failures > 0) this.emit({kind: "storeRegained", collection})
    follower.failures = 0
    follower.confirmedAt = Math.max(follower.confirmedAt, follower.sentAt)
    follower.nextAt = now + pauseMs
    if (pauseMs === 0) this.read(follower, now)
  }

  private failed(follower: Follower, reason: string, now: number): void {
    if (follower.failures === 0) this.emit({kind: "storeLost", collection: follower.collection, reason})
    this.backOff(follower, now)
  }

  private backOff(follower: Follower, now: number): void {
    const {backoffMs, maximumBackoffMs} = this.settings
    const pause = Math.min(
      maximumBackoffMs,
      backoffMs * 2 ** Math.min(follower.failures, MAXIMUM_BACKOFF_DOUBLINGS)
    )
    follower.failures += 1
    follower.nextAt = now + pause * (0.5 + this.random.next())
  }
}

function follower(collection: RecordCollection, now: number): Follower {
  return {
    collection,
    cursor: undefined,
    inFlight: false,
    sentAt: now,
    nextAt: now,
    failures: 0,
    confirmedAt: -Infinity
  }
}
