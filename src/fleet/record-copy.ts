/// A daemon's copy of the store's records, each at its newest known revision. Revisions never decrease: an old
/// snapshot does not revert newer records, and a removed back end does not return with an older record.
import type {BackendRecord, RouteConfiguration} from "../forwarding/routes/route.js"
import type {EffectSink} from "../shared/effect-sink.js"
import {STORE_SOURCE, type FleetEffect, type RecordOrigin} from "./fleet-effects.js"
import {ExpiredBackends} from "./expired-backends.js"
import type {RecordCollection, StoredRecord} from "./record-store.js"

interface KnownBackend {
  readonly revision: number
  /// Undefined after the removal.
  readonly value?: BackendRecord | undefined
  /// The last value of a back end that keeps its work after the removal.
  readonly lapsed?: BackendRecord | undefined
}

type ConfigurationRecord = Extract<StoredRecord, {collection: "configuration"}>

interface ApplyOptions {
  /// A removal is also applied when its revision equals the known one.
  readonly allowSameRevision?: boolean
  /// Until when a removed back end keeps its work, if its record may only have expired.
  readonly holdUntil?: number | undefined
}

/// The copy of the records. Times are monotonic milliseconds.
export class RecordCopy {
  private configurationRevision = 0
  /// The newest revision of the configuration that this daemon cannot read.
  private unreadableRevision = 0
  private current: RouteConfiguration | undefined
  private backendsRevision = 0
  private readonly backends = new Map<string, KnownBackend>()
  private readonly expired = new ExpiredBackends()

  constructor(private readonly emit: EffectSink<FleetEffect>) {}

  /// The configuration in force; undefined until one is known.
  getConfiguration(): RouteConfiguration | undefined {
    return this.current
  }

  /// Whether any record of a collection is known.
  hasRecords(collection: RecordCollection): boolean {
    return collection === "configuration" ? this.current !== undefined : this.backends.size > 0
  }

  /// The newest revision among the records of a collection, also of those that cannot be read; 0 when there are none.
  getRevision(collection: RecordCollection): number {
    if (collection === "backends") return this.backendsRevision
    return Math.max(this.configurationRevision, this.unreadableRevision)
  }

  /// The revision of a configuration that is newer than the one in force and cannot be read; undefined when there is
  /// none.
  findUnreadable(): number | undefined {
    return this.unreadableRevision > this.configurationRevision ? this.unreadableRevision : undefined
  }

  /// All records, removals included.
  getRecords(): StoredRecord[] {
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

  /// Removes the back ends whose records were not written again within the grace period after an outage.
  tick(now: number): void {
    for (const id of this.expired.takeExpired(now)) {
      const known = this.backends.get(id)
      if (known) this.backends.set(id, {...known, lapsed: undefined})
      this.emit({kind: "backendRemoved", id, revision: this.backendsRevision, source: STORE_SOURCE})
    }
  }

  /// Applies one record from the store or a peer.
  apply(record: StoredRecord, origin: RecordOrigin, options: ApplyOptions = {}): void {
    if (record.collection === "configuration") this.applyConfiguration(record, origin)
    else this.applyBackend(record.id, record, origin, options)
  }

  /// Removes the back ends that are missing in a snapshot, except those whose record is newer.
  removeMissing(
    revision: number,
    records: readonly StoredRecord[],
    origin: RecordOrigin,
    holdUntil?: number
  ): void {
    const present = new Set(records.map(record => (record.collection === "backends" ? record.id : "")))
    for (const [id, known] of this.backends) {
      if (present.has(id) || known.value === undefined || known.revision > revision) continue
      const record = {collection: "backends" as const, id, revision, value: undefined}
      this.apply(record, origin, {allowSameRevision: true, holdUntil})
    }
  }

  private applyConfiguration(
    {revision, value, isUnreadable = false}: ConfigurationRecord,
    origin: RecordOrigin
  ): void {
    if (isUnreadable) this.unreadableRevision = Math.max(this.unreadableRevision, revision)
    if (!value || revision <= this.configurationRevision) return
    if (this.current && value.version < this.current.version) return
    this.configurationRevision = revision
    this.current = value
    this.emit({kind: "configurationChanged", configuration: value, revision, origin})
  }

  private applyBackend(
    id: string,
    record: {readonly revision: number; readonly value?: BackendRecord | undefined},
    {source}: RecordOrigin,
    {allowSameRevision = false, holdUntil}: ApplyOptions
  ): void {
    const known = this.backends.get(id)
    const newer = !known || record.revision > known.revision || addsVersion(known, record)
    if (!newer && !(allowSameRevision && record.revision === known.revision)) return
    const {revision, value} = record
    const previous = known?.value ?? known?.lapsed
    const isLapsing = !value && known?.value?.state === "ready" && holdUntil !== undefined
    const lapsed = isLapsing ? previous : known?.lapsed
    this.backends.set(id, {revision, value, lapsed: value ? undefined : lapsed})
    this.backendsRevision = Math.max(this.backendsRevision, revision)
    if (value) {
      this.expired.remove(id)
      // A back end that was restarted under the same id has lost its state, so what is known of the previous
      // incarnation is removed first.
      if (previous && isOtherIncarnation(previous, value))
        this.emit({kind: "backendRemoved", id, revision, source})
      this.emit({kind: "backendChanged", record: value, revision, source})
    } else if (isLapsing) {
      this.expired.add(id, holdUntil)
      this.emit({kind: "backendLapsed", id, revision, source, holdUntil})
    } else if (known?.value) this.emit({kind: "backendRemoved", id, revision, source})
  }
}

/// Whether a record names the version that the known one of the same revision lacks.
function addsVersion(known: KnownBackend, {revision, value}: KnownBackend): boolean {
  return revision === known.revision && known.value?.version === null && typeof value?.version === "string"
}

/// Whether both records have a start time and it differs; records of older daemons have none.
function isOtherIncarnation({bornMs: known}: BackendRecord, {bornMs: received}: BackendRecord): boolean {
  return known !== undefined && received !== undefined && known !== received
}
