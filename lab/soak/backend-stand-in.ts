/// A stand-in for a back end, written from the platform's published documentation: a plain application
/// server or a model engine with two stages. It records every arrival, execution and order, and injects the faults that it
/// is set to.
import {createServer, type IncomingMessage, type Server, type ServerResponse} from "node:http"
import type {AddressInfo, Socket} from "node:net"
import {CRASHING_BODY} from "./crash-check.js"
import {getHeader, sumTokens} from "./request-headers.js"
import type {HandleRegistry} from "./handle-registry.js"
import {
  delimitByClosing,
  HALF_EVENT_SHARE,
  isFaulty,
  sendGarbled,
  type BackendBehavior
} from "./backend-behavior.js"
import type {BackendIdentity} from "./backend-identity.js"
import {findCrashingPart} from "./part-check.js"
import type {ArrivalRecord} from "./retry-check.js"
import {orderSchema, StageOrders} from "./stage-orders.js"
import {formatBody, type ExecutionRecord, type SoakRecord} from "./soak-record.js"
import {formatEvent} from "./stream-events.js"
import type {StoreStandIn} from "./store-stand-in.js"
import {parseBody, readBody, STATUS_MALFORMED} from "./stray-calls.js"

const STATUS_OK = 200
const STATUS_MISDIRECTED = 421
const STATUS_ERROR = 500
const STATUS_BUSY = 503
const PROCESSING_MS = 15
const SLOW_PROCESSING_MS = 250
/// The usual time between two events of a stream. Milliseconds.
export const EVENT_INTERVAL_MS = 12
const EVENT_COUNT = 6
const ORDER_DELAY_MS = 2500
const FORGOTTEN_AFTER_IDLE_MS = 300
const HEARTBEAT_MS = 1200
const RECORD_EXPIRY_MS = 1800
/// Time from the execution of a crashing request to the crash.
const CRASH_DELAY_MS = 40
/// Time from the beginning of an answer to a request with a crashing part to the crash.
const SHORTEST_PART_CRASH_MS = 30
const LONGEST_PART_CRASH_MS = 80
/// One incarnation of a back end.
export class BackendStandIn {
  behavior: BackendBehavior = "well"
  /// Limit announced in its answers, in requests a second; undefined for none.
  requestsPerSecond: number | undefined
  /// Time between two events of a stream. Milliseconds.
  eventIntervalMs = EVENT_INTERVAL_MS
  private readonly orders: StageOrders
  private state: "ready" | "draining" = "ready"
  private address = ""
  private handleCount = 0
  private stopped = false
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private readonly unframedStreams = new Set<ServerResponse>()
  private readonly lastUses = new WeakMap<Socket, number>()
  private heartbeat: NodeJS.Timeout | undefined
  private readonly startedAtMs = Date.now()
  /// Whether its answers announce that it is leaving, whatever its record says.
  signalsLeaving = false
  /// If set, it rejects this share of the requests and asks daemons to back off for this number of seconds.
  backOff: {readonly share: number; readonly seconds: number} | undefined
  /// Called when it stops, by a crash or not.
  onStopped: () => void = () => undefined
  /// Called when a request crashes this back end.
  onCrash: () => void = () => undefined

  constructor(
    readonly identity: BackendIdentity,
    private readonly store: StoreStandIn,
    private readonly record: SoakRecord,
    private readonly registry: HandleRegistry,
    private readonly random: () => number
  ) {
    this.orders = new StageOrders(identity.id, identity.stage, record, () => this.writeRecord())
    this.server = createServer((request, response) => void this.onRequest(request, response))
    this.server.on("connection", socket => {
      if (this.stopped) return void socket.resetAndDestroy()
      this.sockets.add(socket)
      socket.on("close", () => this.sockets.delete(socket))
    })
  }

  /// Starts to listen and returns the address of the server itself, without a proxy.
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /// Writes its record to the store, with an address that may be a proxy's.
  announce(address: string): void {
    this.address = address
    this.writeRecord()
    this.heartbeat = setInterval(() => undefined, HEARTBEAT_MS)
  }

  /// Sets its record to draining; it continues to serve requests.
  drain(): void {
    this.state = "draining"
    this.writeRecord()
    this.record.drainStarts.set(this.identity.id, performance.now())
  }

  /// Removes its record from the store, then resets every connection.
  close(): void {
    this.store.remove("servers", this.identity.id)
    this.stop()
  }

  /// Stops without removing its record, as in a crash: the record expires when heartbeats are missed, unless a
  /// later incarnation has overwritten it.
  crash(): void {
    this.stop()
    setTimeout(() => this.removeOwnRecord(), RECORD_EXPIRY_MS)
  }

  /// Resets every connection, and each one accepted later. The server keeps its port, because another process
  /// that listened on it next would receive the requests for this back end.
  private stop(): void {
    clearInterval(this.heartbeat)
    this.stopped = true
    this.onStopped()
    // Node.js closes a connection regularly before it resets it, which between two events looks like the end.
    for (const response of this.unframedStreams) if (!response.writableEnded) response.write("id:")
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /// Releases the port at the end of the soak; the back end must have stopped before.
  releasePort(): void {
    this.server.close()
  }

  private removeOwnRecord(): void {
    const row = this.store.read("servers", this.identity.id) as {born?: number} | undefined
    if (row?.born === this.startedAtMs) this.store.remove("servers", this.identity.id)
  }

  /// Its id and the time of its start.
  private get incarnation(): string {
    return `${this.identity.id}@${this.startedAtMs}`
  }

  /// Whether its record says that it is draining.
  isDraining(): boolean {
    return this.state === "draining"
  }

  /// Whether the connection was idle for so long that a back end under "forgetsConnections" has dropped its
  /// state. Also updates the connection's time of last use.
  private isForgotten(socket: Socket): boolean {
    const now = performance.now()
    const idleMs = now - (this.lastUses.get(socket) ?? now)
    this.lastUses.set(socket, now)
    return this.behavior === "forgetsConnections" && idleMs > FORGOTTEN_AFTER_IDLE_MS
  }

  private writeRecord(): void {
    const {id, service, zone, version} = this.identity
    const row = {
      service,
      addr: this.address,
      zone,
      slots: 8,
      state: this.state,
      phase: this.orders.stage,
      version,
      seq: this.orders.appliedCount,
      born: this.startedAtMs
    }
    this.store.write("servers", id, row)
  }

  private async onRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrival = this.addArrival(request)
    if (this.isForgotten(request.socket)) return void request.socket.resetAndDestroy()
    response.on("error", () => undefined)
    request.on("error", () => undefined)
    const body = await readBody(request)
    if (body === undefined) return
    if (this.behavior === "garbles" && isFaulty("garbles", this.random)) {
      // Some of these have a valid head.
      if (arrival.requestId !== "") this.record.executions.push(this.makeExecution(request, arrival))
      return sendGarbled(request.socket, this.identity.id, arrival.requestId, this.random)
    }
    if (request.url === "/v1/order") return this.onOrder(body, response)
    const path = request.url ?? "/"
    if (path === "/healthz") return this.reply(response, STATUS_OK, "", {"X-Instance-Id": this.identity.id})
    if (path === "/v1/report") return this.reply(response, STATUS_OK, JSON.stringify(this.getReport()))
    if (path.startsWith("/v1/kv-handle/")) {
      this.registry.remove(path.slice("/v1/kv-handle/".length))
      return this.reply(response, STATUS_OK, "{}")
    }
    if (getHeader(request, "x-expect-instance") !== this.identity.id) {
      arrival.rejected = true
      return this.reply(response, STATUS_MISDIRECTED, "", {"X-Instance-Id": this.identity.id})
    }
    this.onWorkRequest(request, response, arrival, body)
  }

  /// Records an arrival. Calls other than callers' requests (health checks, orders) have no id and are not
  /// recorded.
  private addArrival(request: IncomingMessage): ArrivalRecord {
    const requestId = getHeader(request, "x-attempt-id") ?? ""
    const promptOnly = getHeader(request, "x-inference-phase") === "prefill"
    const {id: backend, service} = this.identity
    const {incarnation} = this
    const at = performance.now()
    const arrival = {requestId, service, backend, incarnation, at, promptOnly, rejected: false}
    if (requestId !== "") this.record.arrivals.push(arrival)
    return arrival
  }

  private makeExecution(request: IncomingMessage, {requestId, promptOnly}: ArrivalRecord): ExecutionRecord {
    const {id: backend, service} = this.identity
    const at = performance.now()
    const tokens = sumTokens(getHeader(request, "x-token-usage"))
    return {requestId, backend, service, at, promptOnly, tenant: getHeader(request, "x-tenant"), tokens}
  }

  private onWorkRequest(
    request: IncomingMessage,
    response: ServerResponse,
    arrival: ArrivalRecord,
    body: string
  ): void {
    const {requestId: id, promptOnly} = arrival
    const reject = (status: number, headers: Record<string, string> = {}) => {
      arrival.rejected = true
      this.reply(response, status, "", {...headers, "X-Not-Executed": "1", "X-Attempt-Id": id})
    }
    if (this.backOff && this.random() < this.backOff.share) {
      this.record.signals.addBackOff(this.incarnation, id, this.backOff.seconds)
      return reject(STATUS_BUSY, {"Retry-After": String(this.backOff.seconds)})
    }
    const behavior = isFaulty(this.behavior, this.random) ? this.behavior : "well"
    const {stage, isChanging} = this.orders
    const wrongStage = stage !== undefined && promptOnly !== (stage === "prefill")
    if (wrongStage || isChanging || behavior === "sheds" || behavior === "shedsMost")
      return reject(wrongStage ? STATUS_MISDIRECTED : STATUS_BUSY)
    if (behavior === "hangs") return
    const execution = this.makeExecution(request, arrival)
    if (getHeader(request, "x-api-key") !== undefined)
      this.record.observedViolations.push({
        promise: "no key goes past the daemon",
        text: `${id} at ${this.identity.id}`
      })
    if (promptOnly) return this.runPrefill(execution, response)
    const source = getHeader(request, "x-kv-source")
    if (source && !this.checkHandle(source, id)) return reject(STATUS_BUSY)
    this.record.executions.push(execution)
    if (body.startsWith(CRASHING_BODY)) {
      setTimeout(() => this.crashOn(body), CRASH_DELAY_MS)
      if (!stage) return
    }
    const part = findCrashingPart(getHeader(request, "x-prefix-hash"))
    if (part !== undefined) {
      const delayMs =
        SHORTEST_PART_CRASH_MS + this.random() * (LONGEST_PART_CRASH_MS - SHORTEST_PART_CRASH_MS)
      setTimeout(() => this.crashOnPart(part), delayMs)
    }
    if (behavior === "losesAnswers")
      return void setTimeout(() => response.socket?.resetAndDestroy(), PROCESSING_MS)
    // An answer to a request with a crashing part has begun, and is not complete, when the engine crashes.
    if (stage) this.sendStream(request, response, id, part === undefined ? behavior : "slow")
    else this.sendAnswer(response, id, behavior)
  }

  /// Records a crash by the request with this body and calls `onCrash`, unless this back end has stopped before.
  private crashOn(body: string): void {
    if (this.stopped) return
    this.record.crashes.push({body, at: performance.now()})
    this.onCrash()
  }

  private crashOnPart(part: string): void {
    if (this.stopped) return
    this.record.partCrashes.push({part, at: performance.now()})
    this.onCrash()
  }

  private runPrefill(execution: ExecutionRecord, response: ServerResponse): void {
    this.record.executions.push(execution)
    this.handleCount += 1
    const handle = `${this.identity.id}h${this.handleCount}`
    this.registry.add(handle, execution.requestId)
    const body = JSON.stringify({kv_handle: handle, tokens: 1000, version: 1})
    const headers = {"X-Attempt-Id": execution.requestId}
    setTimeout(() => this.reply(response, STATUS_OK, body, headers), PROCESSING_MS)
  }

  private checkHandle(source: string, id: string): boolean {
    const owner = this.registry.remove(source.slice(source.indexOf("/") + 1))
    if (owner !== undefined && owner !== id)
      this.record.observedViolations.push({
        promise: "a request goes on from its own prompt",
        text: `${id} from ${owner}'s`
      })
    return owner === id
  }

  private sendAnswer(response: ServerResponse, id: string, behavior: BackendBehavior): void {
    const workMs = behavior === "slow" ? SLOW_PROCESSING_MS : PROCESSING_MS * (0.5 + this.random())
    setTimeout(() => {
      const headers = {"X-Attempt-Id": id, "X-Server-Signature": this.identity.id}
      const body = formatBody(id)
      if (behavior === "errors") return this.reply(response, STATUS_ERROR, "failed", headers)
      if (behavior === "breaksOff") {
        response.writeHead(STATUS_OK, {...this.getSignals(), ...headers, "Content-Length": body.length})
        response.write(body.slice(0, 5))
        return void setTimeout(() => response.socket?.resetAndDestroy(), 2)
      }
      const {socket} = response
      if (behavior === "unframed") {
        delimitByClosing(response)
        response.writeHead(STATUS_OK, {...this.getSignals(), ...headers})
        return void response.end(body)
      }
      this.reply(response, STATUS_OK, body, headers)
      if (behavior === "answersTwice")
        socket?.write(
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Signature: x\r\nContent-Length: 5\r\n\r\nother"
        )
    }, workMs)
  }

  private sendStream(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    behavior: BackendBehavior
  ): void {
    const first = Number(getHeader(request, "last-event-id") ?? 0) + 1
    if (behavior === "unframed") {
      delimitByClosing(response)
      this.unframedStreams.add(response)
    }
    const endsInsideEvent = behavior === "unframed" && this.random() < HALF_EVENT_SHARE
    response.writeHead(STATUS_OK, {
      ...this.getSignals(),
      "Content-Type": "text/event-stream",
      "X-Attempt-Id": id,
      "X-Server-Signature": this.identity.id
    })
    let eventNumber = first
    const breakAt = behavior === "breaksOff" || endsInsideEvent ? first + 2 : Infinity
    const step = () => {
      if (response.destroyed) return
      if (eventNumber > EVENT_COUNT) return void response.end()
      const event = formatEvent(id, eventNumber, EVENT_COUNT, this.identity.version)
      if (eventNumber >= breakAt) {
        response.write(event.slice(0, 6))
        if (endsInsideEvent) return void response.end()
        return void setTimeout(() => response.socket?.resetAndDestroy(), 2)
      }
      response.write(event)
      eventNumber += 1
      setTimeout(step, behavior === "slow" ? SLOW_PROCESSING_MS : this.eventIntervalMs)
    }
    setTimeout(step, EVENT_INTERVAL_MS)
  }

  /// Headers in which it announces its limit and that it is leaving, sent with every answer.
  private getSignals(): Record<string, string> {
    const {requestsPerSecond, signalsLeaving} = this
    return {
      ...(requestsPerSecond !== undefined && {"Server-Limit": String(requestsPerSecond)}),
      ...(signalsLeaving && {"Server-Leaving": "1"})
    }
  }

  private getReport(): object {
    const {stage, isChanging, appliedCount} = this.orders
    return {phase: stage, models: [], utilization: isChanging, seq: appliedCount, queued: 0, active: 0}
  }

  private onOrder(text: string, response: ServerResponse): void {
    const order = parseBody(orderSchema, text)
    if (!order) return this.reply(response, STATUS_MALFORMED, "{}")
    if (this.behavior === "lateOrders") return void setTimeout(() => this.orders.apply(order), ORDER_DELAY_MS)
    this.reply(response, this.orders.apply(order), "{}")
  }

  private reply(
    response: ServerResponse,
    status: number,
    body: string,
    headers: Record<string, string> = {}
  ): void {
    if (response.destroyed) return
    response.writeHead(status, {
      ...this.getSignals(),
      ...headers,
      "Content-Length": Buffer.byteLength(body)
    })
    response.end(body)
  }
}
