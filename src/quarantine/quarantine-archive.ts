/// Keeps the notable crashes in the table store, so that they survive a restart of all daemons at once.
/// Each crash is one row; rows are only added and removed, never changed, so daemons that write the same
/// crash do not conflict. Owns the queue of writes and the form of the rows; relies on its caller to
/// execute the calls.
import type {EffectSink} from "../shared/effect-sink.js"
import {hashText} from "../shared/rendezvous-hash.js"
import type {TableRequest, TableResult, TableRow} from "../contracts/table-service.js"
import type {BackendCrash} from "./crash-history.js"
import type {PartCrash} from "./prompt-parts/part-history.js"

/// Asks for a call to the table store.
export interface QuarantineTable {
  readonly kind: "quarantineTable"
  readonly request: TableRequest
}

const TABLE = "quarantine"
/// Revision that the store assigns to a row that does not exist.
const ABSENT_REVISION = 0
/// Delay after a call that failed. Milliseconds; it leaves half of the time in which a new daemon must know
/// all crashes for reading them.
const RETRY_DELAY_MS = 300
/// Maximum number of queued writes and removals; the oldest are dropped, since daemons hold those crashes
/// in memory too.
const MAXIMUM_QUEUED = 512
/// Maximum number of written rows in memory; the oldest are dropped and stay in the store until they are
/// old. As many as the crashes that the history holds by default: 4096 requests and contents, 8 crashes each.
const MAXIMUM_WRITTEN = 32_768
/// Interval at which one daemon of the fleet removes old rows. Milliseconds.
const CLEAN_INTERVAL_MS = 600_000

/// A crash of a request, or of a part of prompts.
export type CountedCrash = BackendCrash | PartCrash

interface RowChange {
  readonly key: string
  /// Undefined to remove the row.
  readonly value: ArchivedCrash | undefined
}

/// A crash as stored. Its time is wall-clock time, which is precise enough: ages of minutes matter, not of
/// seconds.
type ArchivedCrash = ({readonly key: string} | {readonly part: string}) & {
  readonly incarnation: string
  readonly wallMs: number
}

/// Prefix of the row keys of parts, which distinguishes them from those of requests.
const PART_PREFIX = "part "

/// The archive of one daemon. Times are monotonic milliseconds, but those in rows are wall-clock
/// milliseconds.
export class QuarantineArchive {
  private readonly queue = new Map<string, RowChange>()
  /// Rows that this daemon has written: only it removes them when an answer discards their crashes.
  private readonly written = new Set<string>()
  private reading = true
  private readAfter: string | undefined
  private cleaning = false
  private cleanedAt: number
  private inFlight: RowChange | "read" | undefined
  private nextCallAt: number
  private writes = 0

  constructor(
    private readonly selfId: string,
    private readonly memoryMs: number,
    private readonly emit: EffectSink<QuarantineTable>,
    now: number
  ) {
    this.nextCallAt = now
    this.cleanedAt = now
  }

  /// Writes a crash, unless this daemon has written it already.
  add(crash: CountedCrash, wallMs: number, now: number): void {
    const row = getRowKey(crash)
    if (this.written.has(row)) return
    this.written.add(row)
    const [oldest] = this.written
    if (this.written.size > MAXIMUM_WRITTEN) this.written.delete(oldest)
    this.enqueue({key: row, value: makeArchivedCrash(crash, wallMs - (now - crash.at))})
  }

  /// Removes a crash, if this daemon has written it.
  remove(crash: CountedCrash): void {
    const row = getRowKey(crash)
    if (this.written.delete(row)) this.enqueue({key: row, value: undefined})
  }

  /// Reads the rows again, as other daemons may have written some that they cannot send to this one.
  readAgain(): void {
    this.reading = true
  }

  /// Starts the next call. `isCleaner` says whether this daemon removes old rows.
  tick(isCleaner: boolean, now: number): void {
    if (isCleaner && !this.reading && now - this.cleanedAt > CLEAN_INTERVAL_MS) this.startCleaning(now)
    if (this.inFlight !== undefined || now < this.nextCallAt) return
    if (this.reading) this.read()
    else {
      const next = this.queue.values().next().value
      if (next) this.write(next)
    }
  }

  /// Receives the result of a call. Returns the crashes that were read.
  receive(result: TableResult, wallMs: number, now: number): CountedCrash[] {
    const call = this.inFlight
    this.inFlight = undefined
    switch (result.kind) {
      case "rows":
        return this.applyRows(result.rows, result.more, wallMs, now)
      case "committed":
      case "conflict":
        // A conflict means that the row exists already.
        if (call && call !== "read" && this.queue.get(call.key) === call) this.queue.delete(call.key)
        break
      case "rateLimited":
        this.nextCallAt = now + Math.max(RETRY_DELAY_MS, result.retryAfterMs)
        break
      default:
        this.nextCallAt = now + RETRY_DELAY_MS
    }
    return []
  }

  private applyRows(rows: readonly TableRow[], more: boolean, wallMs: number, now: number): CountedCrash[] {
    this.readAfter = more ? rows.at(-1)?.key : undefined
    this.reading = this.readAfter !== undefined
    const crashes: CountedCrash[] = []
    for (const row of rows) {
      const value = parseCrash(row)
      const ageMs = Math.max(0, wallMs - (value?.wallMs ?? -Infinity))
      if (value && ageMs < this.memoryMs) crashes.push({...value, at: now - ageMs})
      else if (this.cleaning) this.enqueue({key: row.key, value: undefined})
    }
    if (!this.reading) this.cleaning = false
    return crashes
  }

  private startCleaning(now: number): void {
    this.cleanedAt = now
    this.cleaning = true
    this.reading = true
  }

  private enqueue(change: RowChange): void {
    this.queue.delete(change.key)
    this.queue.set(change.key, change)
    const [oldest] = this.queue.keys()
    if (this.queue.size > MAXIMUM_QUEUED) this.queue.delete(oldest)
  }

  private read(): void {
    this.inFlight = "read"
    this.emit({kind: "quarantineTable", request: {kind: "list", table: TABLE, after: this.readAfter}})
  }

  private write(change: RowChange): void {
    this.inFlight = change
    this.writes += 1
    const {key, value} = change
    const writeId = `quarantine/${this.selfId}/${this.writes}`
    const writes = value ? [{table: TABLE, key, expectedRevision: ABSENT_REVISION, value} as const] : []
    const removes = value ? [] : [{table: TABLE, key} as const]
    this.emit({kind: "quarantineTable", request: {kind: "commit", writeId, writes, removes}})
  }
}

function getRowKey(crash: CountedCrash): string {
  const subject = "part" in crash ? PART_PREFIX + crash.part : crash.key
  return `${subject}/${hashText(crash.incarnation).toString(36)}`
}

function makeArchivedCrash(crash: CountedCrash, crashedWallMs: number): ArchivedCrash {
  const subject = "part" in crash ? {part: crash.part} : {key: crash.key}
  return {...subject, incarnation: crash.incarnation, wallMs: Math.round(crashedWallMs)}
}

/// Undefined for a row that does not describe a crash, such as one of another writer.
function parseCrash({value}: TableRow): ArchivedCrash | undefined {
  const {key, part, incarnation, wallMs} = (value ?? {}) as Record<string, unknown>
  if (typeof incarnation !== "string" || typeof wallMs !== "number" || !Number.isFinite(wallMs))
    return undefined
  if (typeof part === "string") return {part, incarnation, wallMs}
  return typeof key === "string" ? {key, incarnation, wallMs} : undefined
}
