/// Keeps the ends of suspects in the store, so that they outlast a restart of every daemon at once. One row
/// an end: rows are only added and removed, never changed, so daemons that write the same one do not
/// conflict.
import type {EffectSink} from "../shared/effect-sink.js"
import {hashText} from "../shared/rendezvous-hash.js"
import type {TableRequest, TableResult, TableRow} from "../contracts/table-service.js"
import type {BackendCrash} from "./end-record.js"

/// A call to the store.
export interface QuarantineTable {
  readonly kind: "quarantineTable"
  readonly request: TableRequest
}

const TABLE = "quarantine"
/// Revision of a row that does not exist, as the store counts.
const ABSENT_REVISION = 0
/// Pause after a call that failed. Milliseconds; half of what a new daemon may take to know everything is
/// left for the read.
const BACKOFF_MS = 300
/// Writes and removals that wait at most; the oldest are dropped, since the daemons know those ends too.
const MAXIMUM_WAITING = 512
/// Interval in which one daemon of the fleet removes old rows. Milliseconds.
const CLEAN_INTERVAL_MS = 600_000

interface Waiting {
  readonly key: string
  /// Undefined to remove the row.
  readonly value: ArchivedEnd | undefined
}

/// An end as the store holds it, by the time of day: ages of minutes matter, not seconds.
interface ArchivedEnd {
  readonly key: string
  readonly incarnation: string
  readonly wallMs: number
}

/// The archive of one daemon. Times are monotonic milliseconds, those in rows milliseconds of the time of
/// day.
export class QuarantineArchive {
  private readonly waiting = new Map<string, Waiting>()
  /// Rows that this daemon has written: it is the one that removes them.
  private readonly written = new Set<string>()
  private reading = true
  private readAfter: string | undefined
  private cleaning = false
  private cleanedAt: number
  private inFlight: Waiting | "read" | undefined
  private nextAt: number
  private writes = 0

  constructor(
    private readonly selfId: string,
    private readonly memoryMs: number,
    private readonly emit: EffectSink<QuarantineTable>,
    now: number
  ) {
    this.nextAt = now
    this.cleanedAt = now
  }

  /// Writes an end, unless it stands there.
  add({key, incarnation, at}: BackendCrash, wallMs: number, now: number): void {
    const row = getRowKey(key, incarnation)
    if (this.written.has(row)) return
    this.written.add(row)
    const [oldest] = this.written
    if (this.written.size > MAXIMUM_WAITING) this.written.delete(oldest)
    this.enqueue({key: row, value: {key, incarnation, wallMs: Math.round(wallMs - (now - at))}})
  }

  /// Removes an end, if this daemon has written it.
  remove({key, incarnation}: BackendCrash): void {
    const row = getRowKey(key, incarnation)
    if (this.written.delete(row)) this.enqueue({key: row, value: undefined})
  }

  /// Makes the next call. `isCleaner` says whether this daemon removes what is old.
  tick(isCleaner: boolean, now: number): void {
    if (isCleaner && !this.reading && now - this.cleanedAt > CLEAN_INTERVAL_MS) this.startCleaning(now)
    if (this.inFlight !== undefined || now < this.nextAt) return
    if (this.reading) this.read()
    else {
      const next = this.waiting.values().next().value
      if (next) this.write(next)
    }
  }

  /// Takes the answer to a call. Returns ends that were read.
  receive(result: TableResult, wallMs: number, now: number): BackendCrash[] {
    const call = this.inFlight
    this.inFlight = undefined
    switch (result.kind) {
      case "rows":
        return this.applyRows(result.rows, result.more, wallMs, now)
      case "committed":
      case "conflict":
        // A conflict says that the row stands there already.
        if (call && call !== "read" && this.waiting.get(call.key) === call) this.waiting.delete(call.key)
        break
      case "rateLimited":
        this.nextAt = now + Math.max(BACKOFF_MS, result.retryAfterMs)
        break
      default:
        this.nextAt = now + BACKOFF_MS
    }
    return []
  }

  private applyRows(rows: readonly TableRow[], more: boolean, wallMs: number, now: number): BackendCrash[] {
    this.readAfter = more ? rows.at(-1)?.key : undefined
    this.reading = this.readAfter !== undefined
    const ends: BackendCrash[] = []
    for (const row of rows) {
      const value = readEnd(row)
      const ageMs = Math.max(0, wallMs - (value?.wallMs ?? -Infinity))
      if (value && ageMs < this.memoryMs) ends.push({...value, at: now - ageMs})
      else if (this.cleaning) this.enqueue({key: row.key, value: undefined})
    }
    if (!this.reading) this.cleaning = false
    return ends
  }

  private startCleaning(now: number): void {
    this.cleanedAt = now
    this.cleaning = true
    this.reading = true
  }

  private enqueue(change: Waiting): void {
    this.waiting.delete(change.key)
    this.waiting.set(change.key, change)
    const [oldest] = this.waiting.keys()
    if (this.waiting.size > MAXIMUM_WAITING) this.waiting.delete(oldest)
  }

  private read(): void {
    this.inFlight = "read"
    this.emit({kind: "quarantineTable", request: {kind: "list", table: TABLE, after: this.readAfter}})
  }

  private write(change: Waiting): void {
    this.inFlight = change
    this.writes += 1
    const {key, value} = change
    const writeId = `quarantine/${this.selfId}/${this.writes}`
    const writes = value ? [{table: TABLE, key, expectedRevision: ABSENT_REVISION, value} as const] : []
    const removes = value ? [] : [{table: TABLE, key} as const]
    this.emit({kind: "quarantineTable", request: {kind: "commit", writeId, writes, removes}})
  }
}

function getRowKey(key: string, incarnation: string): string {
  return `${key}/${hashText(incarnation).toString(36)}`
}

/// Undefined for a row of another writer.
function readEnd({value}: TableRow): ArchivedEnd | undefined {
  const {key, incarnation, wallMs} = (value ?? {}) as Partial<Record<keyof ArchivedEnd, unknown>>
  const isEnd = typeof key === "string" && typeof incarnation === "string" && Number.isFinite(wallMs)
  return isEnd ? {key, incarnation, wallMs: wallMs as number} : undefined
}
