/// A back end after the platform's published pages: a plain application server or a model engine with two
/// stages. It tells the record of every arrival, run and order, and misbehaves as it is told.
import {createServer, type IncomingMessage, type Server, type ServerResponse} from "node:http"
import type {AddressInfo, Socket} from "node:net"
import {CRASHING_BODY} from "./crash-check.js"
import type {HandleRegistry} from "./handle-registry.js"
import type {ArrivalRecord} from "./retry-check.js"
import {orderSchema, StageOrders, type Stage} from "./stage-orders.js"
import {formatBody, formatEvent, type SoakRecord} from "./soak-record.js"
import type {StoreStandIn} from "./store-stand-in.js"
import {parseBody, readBody, STATUS_MALFORMED} from "./stray-calls.js"

/// How a back end behaves.
export type BackendBehavior =
  | "well"
  | "forgetsConnections"
  | "errors"
  | "sheds"
  /// Turns away most requests, not only some.
  | "shedsMost"
  | "hangs"
  | "losesAnswers"
  | "breaksOff"
  | "answersTwice"
  | "slow"
  | "lateOrders"

const STATUS_OK = 200
const STATUS_MISDIRECTED = 421
const STATUS_ERROR = 500
const STATUS_BUSY = 503
const WORK_MS = 15
const SLOW_WORK_MS = 250
const EVENT_MS = 12
const EVENTS = 6
const LATE_ORDER_MS = 2500
const FORGET_MS = 300
const HEARTBEAT_MS = 1200
const RECORD_LEFT_MS = 1800
/// A request that ends its back end does so after this time.
const CRASH_MS = 40
/// Part of the requests that a faulty back end spoils.
const FAULT_SHARE = 0.4
/// The same of one that turns most away.
const MOST_SHARE = 0.8

/// Identity of one incarnation.
interface BackendIdentity {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly stage: Stage | undefined
}

/// One incarnation of a back end.
export class BackendStandIn {
  behavior: BackendBehavior = "well"
  /// Names this limit in its answers, in requests a second; undefined for none.
  requestsPerSecond: number | undefined
  private readonly orders: StageOrders
  private state: "ready" | "draining" = "ready"
  private address = ""
  private handles = 0
  private ended = false
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private readonly lastUses = new WeakMap<Socket, number>()
  private heartbeat: NodeJS.Timeout | undefined
  private readonly bornMs = Date.now()
  /// Says in its answers that it leaves, whatever its record says.
  signalsLeaving = false
  /// Turns part of the requests away and asks daemons to back off for so many seconds.
  backOff: {readonly share: number; readonly seconds: number} | undefined
  /// Told when it ends.
  onStopped: () => void = () => undefined
  /// Told when a request has ended this back end.
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
      if (this.ended) return void socket.resetAndDestroy()
      this.sockets.add(socket)
      socket.on("close", () => this.sockets.delete(socket))
    })
  }

  /// Starts to listen and returns the real address.
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve))
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /// Says in the store that this back end is there, at an address that may be a proxy's.
  announce(address: string): void {
    this.address = address
    this.writeRecord()
    this.heartbeat = setInterval(() => undefined, HEARTBEAT_MS)
  }

  /// Says that it is leaving; it serves on.
  drain(): void {
    this.state = "draining"
    this.writeRecord()
    this.record.drainStarts.set(this.identity.id, performance.now())
  }

  /// Ends: at once, with every connection reset, or after it has left the store's list.
  close(): void {
    this.store.remove("servers", this.identity.id)
    this.end()
  }

  /// Ends without a word, as one that crashes: its record goes when its heartbeats are missed, unless a later
  /// start has written it anew.
  crash(): void {
    this.end()
    setTimeout(() => this.removeOwnRecord(), RECORD_LEFT_MS)
  }

  /// Resets every connection, those that come later too. The port stays taken: who listened on it next would
  /// get what is meant for this back end.
  private end(): void {
    clearInterval(this.heartbeat)
    this.ended = true
    this.onStopped()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /// Lets the port go when the run is over; the back end must have ended.
  releasePort(): void {
    this.server.close()
  }

  private removeOwnRecord(): void {
    const row = this.store.read("servers", this.identity.id) as {born?: number} | undefined
    if (row?.born === this.bornMs) this.store.remove("servers", this.identity.id)
  }

  /// Whether it has said that it leaves.
  isDraining(): boolean {
    return this.state === "draining"
  }

  /// Whether the connection rested so long that a back end that forgets them knows nothing of it.
  private isForgotten(socket: Socket): boolean {
    const now = performance.now()
    const restedMs = now - (this.lastUses.get(socket) ?? now)
    this.lastUses.set(socket, now)
    return this.behavior === "forgetsConnections" && restedMs > FORGET_MS
  }

  private writeRecord(): void {
    const {id, service, zone} = this.identity
    const row = {
      service,
      addr: this.address,
      zone,
      slots: 8,
      state: this.state,
      phase: this.orders.stage,
      seq: this.orders.appliedCount,
      born: this.bornMs
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
    if (request.url === "/v1/order") return this.onOrder(body, response)
    const path = request.url ?? "/"
    if (path === "/healthz") return this.reply(response, STATUS_OK, "", {"X-Instance-Id": this.identity.id})
    if (path === "/v1/report") return this.reply(response, STATUS_OK, JSON.stringify(this.getReport()))
    if (path.startsWith("/v1/kv-handle/")) {
      this.registry.remove(path.slice("/v1/kv-handle/".length))
      return this.reply(response, STATUS_OK, "{}")
    }
    if (header(request, "x-expect-instance") !== this.identity.id) {
      arrival.rejected = true
      return this.reply(response, STATUS_MISDIRECTED, "", {"X-Instance-Id": this.identity.id})
    }
    this.onWork(request, response, arrival, body)
  }

  /// Calls that are not a caller's request have no id and are not counted.
  private addArrival(request: IncomingMessage): ArrivalRecord {
    const requestId = header(request, "x-attempt-id") ?? ""
    const promptOnly = header(request, "x-inference-phase") === "prefill"
    const {id: backend, service} = this.identity
    const arrival = {requestId, service, backend, at: performance.now(), promptOnly, rejected: false}
    if (requestId !== "") this.record.arrivals.push(arrival)
    return arrival
  }

  private onWork(
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
      this.record.signals.addBackOff(this.identity.id, id, this.backOff.seconds)
      return reject(STATUS_BUSY, {"Retry-After": String(this.backOff.seconds)})
    }
    const behavior = this.isHarmed() ? this.behavior : "well"
    const {stage, isChanging} = this.orders
    const wrongStage = stage !== undefined && promptOnly !== (stage === "prefill")
    if (wrongStage || isChanging || behavior === "sheds" || behavior === "shedsMost")
      return reject(wrongStage ? STATUS_MISDIRECTED : STATUS_BUSY)
    if (behavior === "hangs") return
    const run = {
      requestId: id,
      backend: this.identity.id,
      service: this.identity.service,
      at: performance.now(),
      promptOnly,
      tenant: header(request, "x-tenant"),
      tokens: sumTokens(header(request, "x-token-usage"))
    }
    if (header(request, "x-api-key") !== undefined)
      this.record.observedViolations.push({
        promise: "no key goes past the daemon",
        text: `${id} at ${this.identity.id}`
      })
    if (promptOnly) return this.readPrompt(run, response)
    const source = header(request, "x-kv-source")
    if (source && !this.takeHandle(source, id)) return reject(STATUS_BUSY)
    this.record.executions.push(run)
    if (body.startsWith(CRASHING_BODY)) {
      setTimeout(() => this.crashUnder(body), CRASH_MS)
      if (!stage) return
    }
    if (behavior === "losesAnswers") return void setTimeout(() => response.socket?.resetAndDestroy(), WORK_MS)
    if (stage) this.stream(request, response, id, behavior)
    else this.answer(request, response, id, behavior)
  }

  /// The run of a request ends this back end, unless it has ended before.
  private crashUnder(body: string): void {
    if (this.ended) return
    this.record.crashes.push({body, at: performance.now()})
    this.onCrash()
  }

  /// Whether the next request is spoiled.
  private isHarmed(): boolean {
    const {behavior} = this
    if (behavior === "well" || behavior === "slow") return behavior === "slow"
    return this.random() < (behavior === "shedsMost" ? MOST_SHARE : FAULT_SHARE)
  }

  private readPrompt(run: SoakRecord["executions"][number], response: ServerResponse): void {
    this.record.executions.push(run)
    this.handles += 1
    const handle = `${this.identity.id}h${this.handles}`
    this.registry.add(handle, run.requestId)
    const body = JSON.stringify({kv_handle: handle, tokens: 1000, version: 1})
    setTimeout(() => this.reply(response, STATUS_OK, body, {"X-Attempt-Id": run.requestId}), WORK_MS)
  }

  private takeHandle(source: string, id: string): boolean {
    const owner = this.registry.remove(source.slice(source.indexOf("/") + 1))
    if (owner !== undefined && owner !== id)
      this.record.observedViolations.push({
        promise: "a request goes on from its own prompt",
        text: `${id} from ${owner}'s`
      })
    return owner === id
  }

  private answer(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    behavior: BackendBehavior
  ): void {
    const workMs = behavior === "slow" ? SLOW_WORK_MS : WORK_MS * (0.5 + this.random())
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
      this.reply(response, STATUS_OK, body, headers)
      if (behavior === "answersTwice")
        socket?.write(
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Signature: x\r\nContent-Length: 5\r\n\r\nother"
        )
    }, workMs)
    void request
  }

  private stream(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    behavior: BackendBehavior
  ): void {
    const first = Number(header(request, "last-event-id") ?? 0) + 1
    response.writeHead(STATUS_OK, {
      ...this.getSignals(),
      "Content-Type": "text/event-stream",
      "X-Attempt-Id": id,
      "X-Server-Signature": this.identity.id
    })
    let number = first
    const breakAt = behavior === "breaksOff" ? first + 2 : Infinity
    const step = () => {
      if (response.destroyed) return
      if (number > EVENTS) return void response.end()
      const event = formatEvent(id, number, EVENTS)
      if (number >= breakAt) {
        response.write(event.slice(0, 6))
        return void setTimeout(() => response.socket?.resetAndDestroy(), 2)
      }
      response.write(event)
      number += 1
      setTimeout(step, behavior === "slow" ? SLOW_WORK_MS : EVENT_MS)
    }
    setTimeout(step, EVENT_MS)
  }

  /// What it says of itself in every answer.
  private getSignals(): Record<string, string> {
    const {requestsPerSecond, signalsLeaving: saysLeaving} = this
    return {
      ...(requestsPerSecond !== undefined && {"Server-Limit": String(requestsPerSecond)}),
      ...(saysLeaving && {"Server-Leaving": "1"})
    }
  }

  private getReport(): object {
    const {stage, isChanging, appliedCount: taken} = this.orders
    return {phase: stage, models: [], utilization: isChanging, seq: taken, queued: 0, active: 0}
  }

  private onOrder(text: string, response: ServerResponse): void {
    const order = parseBody(orderSchema, text)
    if (!order) return this.reply(response, STATUS_MALFORMED, "{}")
    if (this.behavior === "lateOrders") return void setTimeout(() => this.orders.apply(order), LATE_ORDER_MS)
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

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === "string" ? value : undefined
}

/// Tokens of a prompt and the most that may be generated, together.
function sumTokens(usage: string | undefined): number | undefined {
  return usage?.split(",").reduce((sum, text) => sum + Number(text), 0)
}
