/// The records that a daemon knows, each at the newest revision. Revisions never go back: an old snapshot
/// cannot undo what is known, and a removed back end does not return with an older record.
import type {BackendRecord, RouteConfiguration} from "../forwarding/routes/route.js"
import type {EffectSink} from "../shared/effect-sink.js"
import {STORE_SOURCE, type FleetEffect, type RecordSource} from "./fleet-effects.js"
import {ExpiredBackends} from "./lapsed-backends.js"
import type {RecordCollection, StoredRecord} from "./record-store.js"

interface KnownBackend {
  readonly revision: number
  readonly value: BackendRecord | undefined
}

interface ApplyOptions {
  /// A removal counts also at the revision that is known.
  readonly sameRevisionCounts?: boolean
  /// Until when a removed back end keeps its work, if its record may only have lapsed.
  readonly holdUntil?: number | undefined
}

/// The copy of the records. Times are monotonic milliseconds.
export class RecordCopy {
  private configurationRevision = 0
  private current: RouteConfiguration | undefined
  private backendsRevision = 0
  private readonly backends = new Map<string, KnownBackend>()
  private readonly lapsed = new ExpiredBackends()

  constructor(private readonly emit: EffectSink<FleetEffect>) {}

  /// The configuration in force; undefined before the first.
  getConfiguration(): RouteConfiguration | undefined {
    return this.current
  }

  /// Whether anything of a collection is known.
  hasRecords(collection: RecordCollection): boolean {
    return collection === "configuration" ? this.current !== undefined : this.backends.size > 0
  }

  /// The newest revision among the records of a collection.
  getRevision(collection: RecordCollection): number {
    return collection === "configuration" ? this.configurationRevision : this.backendsRevision
  }

  /// Everything known, removals included.
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

  /// Removes the back ends whose records have not come back in time after an outage.
  tick(now: number): void {
    for (const id of this.lapsed.takeExpired(now))
      this.emit({kind: "backendRemoved", id, revision: this.backendsRevision, source: STORE_SOURCE})
  }

  /// Takes one record from the store or a peer.
  apply(record: StoredRecord, source: RecordSource, options: ApplyOptions = {}): void {
    if (record.collection === "configuration") this.applyConfiguration(record.revision, record.value, source)
    else this.applyBackend(record.id, record, source, options)
  }

  /// A back end that the snapshot lacks was removed, unless its record is newer than the snapshot.
  removeMissing(
    revision: number,
    records: readonly StoredRecord[],
    source: RecordSource,
    holdUntil?: number
  ): void {
    const present = new Set(records.map(record => (record.collection === "backends" ? record.id : "")))
    for (const [id, known] of this.backends) {
      if (present.has(id) || known.value === undefined || known.revision > revision) continue
      const record = {collection: "backends" as const, id, revision, value: undefined}
      this.apply(record, source, {sameRevisionCounts: true, holdUntil})
    }
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
    {sameRevisionCounts = false, holdUntil}: ApplyOptions
  ): void {
    const known = this.backends.get(id)
    const newer = !known || record.revision > known.revision
    if (!newer && !(sameRevisionCounts && record.revision === known.revision)) return
    const {revision, value} = record
    this.backends.set(id, {revision, value})
    this.backendsRevision = Math.max(this.backendsRevision, revision)
    if (value) {
      this.lapsed.remove(id)
      // A back end that was started again under its id knows nothing of before: everything that is known of
      // it goes first.
      if (known?.value && isOtherIncarnation(known.value, value))
        this.emit({kind: "backendRemoved", id, revision, source})
      this.emit({kind: "backendChanged", record: value, revision, source})
    } else if (known?.value?.state === "ready" && holdUntil !== undefined) {
      this.lapsed.add(id, holdUntil)
      this.emit({kind: "backendLapsed", id, revision, source, holdUntil})
    } else if (known?.value) this.emit({kind: "backendRemoved", id, revision, source})
  }
}

/// Records of older daemons do not tell when a back end was started.
function isOtherIncarnation({bornMs: known}: BackendRecord, {bornMs: told}: BackendRecord): boolean {
  return known !== undefined && told !== undefined && known !== told
}
