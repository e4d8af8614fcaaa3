/// A stand-in for the platform's table store, written from its published documentation: conditional transactions,
/// feeds of changes, and injected faults for some of its callers. Each caller has a port of its own, so that
/// faults can be set for one caller.
import {createServer, type IncomingMessage, type Server, type ServerResponse} from "node:http"
import type {AddressInfo} from "node:net"
import * as z from "zod"
import {sendGarbledAnswer} from "../garbled-bytes.js"
import {parseBody, readBody, STATUS_MALFORMED, STATUS_UNKNOWN, StrayCalls} from "./stray-calls.js"

/// What the store does with the calls of one caller: "serves" is correct, the others are faults.
export type StoreBehavior =
  "serves" | "refuses" | "throttles" | "silent" | "slow" | "losesAnswers" | "appliesLate" | "garbles"

const STATUS_OK = 200
const STATUS_CONFLICT = 412
const STATUS_GONE = 410
const STATUS_THROTTLED = 429
const STATUS_BUSY = 503
const ANSWER_MS = 4
const SLOW_MS = 250
const APPLY_DELAY_MS = 1500

const keySchema = z.object({table: z.string(), part: z.string(), key: z.string()})
const transactionSchema = z.object({
  expected_count: z.array(keySchema.extend({ver: z.number()})),
  put: z.array(keySchema.extend({value: z.string()})),
  remove: z.array(keySchema)
})
type Transaction = z.infer<typeof transactionSchema>

interface Row {
  readonly table: string
  readonly part: string
  readonly key: string
  readonly ver: number
  readonly value?: string
  readonly gone?: true
}

const FEED_PATH = "/v1/rows-feed"
const GET_PATH = "/v1/rows-get"
const TRANSACTION_PATH = "/v1/rows-tx"
const PATHS = [FEED_PATH, GET_PATH, TRANSACTION_PATH]

/// The rows, their history of changes, and the HTTP servers.
export class StoreStandIn {
  readonly strayCalls = new StrayCalls("store")
  private readonly rows = new Map<string, Row>()
  private history: Row[] = []
  private historyFrom = 0
  private version = 0
  /// Number of answers that were garbled; each has another kind.
  private garbled = 0
  private readonly behaviors = new Map<string, StoreBehavior>()
  private readonly servers: Server[] = []
  private readonly pendingPolls = new Set<() => void>()

  /// Opens a port for a caller and returns the address.
  async open(caller: string): Promise<string> {
    const server = createServer((request, response) => void this.onRequest(caller, request, response))
    this.servers.push(server)
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  /// Sets the behavior for a caller's calls from now on.
  setBehavior(caller: string, behavior: StoreBehavior): void {
    this.behaviors.set(caller, behavior)
  }

  /// Writes a row as the operator or a back end does: JSON, without a condition.
  write(table: string, key: string, value: object): void {
    this.apply([{table, part: "", key, value: Buffer.from(JSON.stringify(value)).toString("base64")}], [])
  }

  /// The decoded JSON of a row; undefined when there is no such row.
  read(table: string, key: string): unknown {
    const value = this.rows.get(`${table}/${key}`)?.value
    return value === undefined ? undefined : JSON.parse(Buffer.from(value, "base64").toString("utf8"))
  }

  /// Removes a row.
  remove(table: string, key: string): void {
    this.apply([], [{table, part: "", key}])
  }

  /// Drops the history of changes: feeds from an earlier version get the status 410.
  forgetHistory(): void {
    this.history = []
    this.historyFrom = this.version
  }

  /// Closes every port.
  close(): void {
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  private async onRequest(caller: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    if (body === undefined) return
    const behavior = this.behaviors.get(caller) ?? "serves"
    // The platform decodes a plus sign as itself and not as a space.
    const url = new URL((request.url ?? "/").replaceAll("+", "%2B"), "http://store")
    const answer = (status: number, value: object) => this.answer(response, behavior, status, value)
    if (!PATHS.includes(url.pathname))
      return this.strayCalls.reject(STATUS_UNKNOWN, caller, request, response)
    if (behavior === "silent") return
    if (behavior === "garbles") {
      this.garbled += 1
      return sendGarbledAnswer(request.socket, {"Content-Type": "application/json"}, this.garbled)
    }
    if (behavior === "refuses") return answer(STATUS_BUSY, {})
    if (behavior === "throttles") return answer(STATUS_THROTTLED, {})
    if (url.pathname === FEED_PATH) return this.onFeed(url, answer)
    if (url.pathname === GET_PATH) return answer(STATUS_OK, this.getRows(url))
    const transaction = parseBody(transactionSchema, body)
    if (!transaction) return this.strayCalls.reject(STATUS_MALFORMED, caller, request, response)
    if (behavior === "appliesLate") setTimeout(() => this.applyTransaction(transaction), APPLY_DELAY_MS)
    else {
      const result = this.applyTransaction(transaction)
      if (behavior !== "losesAnswers") answer(result.status, result.body)
    }
  }

  private answer(response: ServerResponse, behavior: StoreBehavior, status: number, value: object): void {
    const delayMs = behavior === "slow" ? SLOW_MS : ANSWER_MS
    setTimeout(() => {
      response.writeHead(status, {"Content-Type": "application/json"})
      response.end(JSON.stringify(value))
    }, delayMs)
  }

  private onFeed(url: URL, answer: (status: number, value: object) => void): void {
    const table = url.searchParams.get("table")
    const after = Number(url.searchParams.get("after"))
    if (after < this.historyFrom) return answer(STATUS_GONE, {})
    const until = performance.now() + Number(url.searchParams.get("wait_ms"))
    const poll = () => {
      const rows = this.history.filter(row => row.table === table && row.ver > after)
      if (rows.length === 0 && performance.now() < until) return
      clearTimeout(timer)
      this.pendingPolls.delete(poll)
      answer(STATUS_OK, {rows, ver: this.version, now_ms: Math.round(performance.now())})
    }
    const timer = setTimeout(poll, Number(url.searchParams.get("wait_ms")) + 1)
    this.pendingPolls.add(poll)
    poll()
  }

  private getRows(url: URL): object {
    const [table, from, until] = ["table", "from", "target_version"].map(name => url.searchParams.get(name))
    const rows = [...this.rows.values()]
      .filter(row => row.table === table && row.key >= (from ?? "") && (until === null || row.key < until))
      .sort((left, right) => (left.key < right.key ? -1 : 1))
    return {rows, more: false, ver: this.version, now_ms: Math.round(performance.now())}
  }

  private applyTransaction(transaction: Transaction): {status: number; body: object} {
    const currentRows = transaction.expected_count.map(
      ({table, part, key}) => this.rows.get(`${table}/${key}`) ?? {table, part, key, ver: 0}
    )
    const matches = transaction.expected_count.every(({ver}, i) => currentRows[i].ver === ver)
    if (!matches) return {status: STATUS_CONFLICT, body: {rows: currentRows, ver: this.version}}
    this.apply(transaction.put, transaction.remove)
    return {status: STATUS_OK, body: {ver: this.version}}
  }

  private apply(put: Transaction["put"], remove: Transaction["remove"]): void {
    this.version += 1
    const ver = this.version
    for (const row of put) this.applyRow({...row, ver})
    for (const row of remove) this.applyRow({...row, ver, gone: true})
    for (const poll of [...this.pendingPolls]) poll()
  }

  private applyRow(row: Row): void {
    const key = `${row.table}/${row.key}`
    if (row.gone) this.rows.delete(key)
    else this.rows.set(key, row)
    this.history.push(row)
  }
}
