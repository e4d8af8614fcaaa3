/// Callers of a soak: an open-loop load to every daemon through its proxy, and a record of each answer's bytes.
import {request as sendRequest, Agent, type ClientRequest, type IncomingMessage} from "node:http"
import {setTimeout as wait} from "node:timers/promises"
import type {CallerRecord} from "./caller-record.js"
import type {SoakRecord} from "./soak-record.js"
import {SOAK_TENANTS, UNKNOWN_KEY, type CallerRoute} from "./soak-routes.js"

/// A daemon and the address of its proxy, which callers use.
export interface CallerTarget {
  readonly daemon: string
  readonly address: string
}

/// Callers close the connection this long after the route's timeout. Milliseconds.
const CALLER_GRACE_MS = 4000
const ABANDON_SHARE = 0.03
/// One request of this many has its body sent in two parts, this long apart; its caller does not give up early, since
/// the checks take such a request to end when it was sent. Milliseconds.
const PARTED_EVERY = 9
const PART_INTERVAL_MS = 150
/// Share of the requests with an unknown key, and share without a key.
const UNKNOWN_KEY_SHARE = 0.03
const KEYLESS_SHARE = 0.03
const KEYS = SOAK_TENANTS.flatMap(({keys}) => keys)

/// Sends the requests and writes each one, with its answer, to the record.
export class CallerLoad {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 64})
  private running = true
  private sendsRepeatedly = true
  private count = 0
  private readonly inFlight = new Set<Promise<void>>()

  constructor(
    private readonly record: SoakRecord,
    private readonly targets: readonly CallerTarget[],
    private readonly routes: readonly CallerRoute[],
    private readonly random: () => number,
    /// Whether callers send requests to a daemon at present.
    private readonly isUsed: (target: CallerTarget) => boolean = () => true
  ) {}

  /// Sends requests at this mean rate until `stop`, then waits for the open ones.
  async run(perSecond: number): Promise<void> {
    while (this.running) {
      await wait((1000 / perSecond) * (0.5 + this.random()))
      const target = this.pickTarget()
      const route = this.routes[Math.floor(this.random() * this.routes.length)]
      const sent = this.send(target, route).finally(() => this.inFlight.delete(sent))
      this.inFlight.add(sent)
    }
    await Promise.all(this.inFlight)
    this.agent.destroy()
  }

  /// Sends a request that crashes its back end to random daemons until `stop` or `stopRepeating`, at about this interval. It draws
  /// from its own generator of random numbers.
  async sendRepeatedly(
    body: string,
    route: CallerRoute,
    intervalMs: number,
    random: () => number
  ): Promise<void> {
    while (this.running && this.sendsRepeatedly) {
      await wait(intervalMs * (0.5 + random()))
      if (!this.running || !this.sendsRepeatedly) return
      const target = this.targets[Math.floor(random() * this.targets.length)]
      const sent = this.send(target, route, body).finally(() => this.inFlight.delete(sent))
      this.inFlight.add(sent)
    }
  }

  /// Stops sending; requests in flight continue.
  stop(): void {
    this.running = false
  }

  /// Stops sending the requests that crash back ends.
  stopRepeating(): void {
    this.sendsRepeatedly = false
  }

  /// Picks a random daemon among those in use; when none is in use, among all of them, although none is running.
  private pickTarget(): CallerTarget {
    const used = this.targets.filter(this.isUsed)
    const targets = used.length > 0 ? used : this.targets
    return targets[Math.floor(this.random() * targets.length)]
  }

  /// Sends one request. With `crashingBody` the request crashes its back end; its caller always uses the first
  /// key and never gives up early.
  private send(target: CallerTarget, route: CallerRoute, crashingBody?: string): Promise<void> {
    this.count += 1
    const id = `q${this.count}`
    const [host, port] = target.address.split(":")
    const key = crashingBody === undefined ? this.pickKey() : KEYS[0]
    const call: CallerRecord = {
      id,
      daemon: target.daemon,
      route: route.name,
      form: route.form,
      sentAt: performance.now(),
      timeoutMs: route.timeoutMs,
      key,
      needsKey: route.isPublic !== true,
      ...(crashingBody !== undefined && {crashingBody})
    }
    this.record.requests.set(id, call)
    return new Promise(resolve => {
      const end = () => {
        call.endedAt ??= performance.now()
        clearTimeout(timer)
        resolve()
      }
      const request = sendRequest({
        host,
        port: Number(port),
        path: route.path,
        agent: this.agent,
        method: "POST",
        headers: this.getHeaders(id, key, route)
      })
      const isParted = this.count % PARTED_EVERY === 0
      const mayAbandon = crashingBody === undefined && !isParted
      const callerTimeoutMs = mayAbandon
        ? this.getCallerTimeout(call, route)
        : route.timeoutMs + CALLER_GRACE_MS
      const timer = setTimeout(() => request.destroy(), callerTimeoutMs)
      let hasFailed = false
      request.on("response", response => this.receive(call, response, () => hasFailed, end))
      request.on("error", () => {
        hasFailed = true
        end()
      })
      request.on("close", end)
      this.setNoDelay(request)
      const body = crashingBody ?? `body of ${id}`
      if (isParted) sendInParts(request, body)
      else request.end(body)
    })
  }

  private pickKey(): string | undefined {
    const drawn = this.random()
    if (drawn < KEYLESS_SHARE) return undefined
    if (drawn < KEYLESS_SHARE + UNKNOWN_KEY_SHARE) return UNKNOWN_KEY
    return KEYS[Math.floor(this.random() * KEYS.length)]
  }

  private getHeaders(id: string, key: string | undefined, route: CallerRoute): Record<string, string> {
    const headers: Record<string, string> = {
      Host: route.host,
      "X-Attempt-Id": id,
      "X-Deadline-Ms": String(route.timeoutMs)
    }
    if (key !== undefined) headers["X-Api-Key"] = key
    // Some callers forge the tenant header; the daemon must not trust it.
    if (this.random() < KEYLESS_SHARE) headers["X-Tenant"] = SOAK_TENANTS[0].name
    if (route.prompt) {
      const {shared, unique, subjects} = route.prompt
      const subject = Math.floor(this.random() * subjects)
      headers["X-Model"] = "m"
      headers["X-Token-Usage"] = `${shared + unique},60`
      headers["X-Prefix-Hash"] = `s${route.name}${subject}:${shared},${id}:${unique}`
    }
    return headers
  }

  /// How long the caller waits, in milliseconds. Most wait past the timeout; a few give up early, and their
  /// missing answers do not count as violations.
  private getCallerTimeout(call: CallerRecord, route: CallerRoute): number {
    if (this.random() >= ABANDON_SHARE) return route.timeoutMs + CALLER_GRACE_MS
    call.endedAt = call.sentAt
    return this.random() * route.timeoutMs * 0.2
  }

  /// Receives an answer. Node.js takes a reset for the regular end of an answer without a length, so `hasFailed` tells
  /// whether the connection has failed.
  private receive(
    call: CallerRecord,
    response: IncomingMessage,
    hasFailed: () => boolean,
    end: () => void
  ): void {
    const chunks: Buffer[] = []
    response.on("data", (chunk: Buffer) => chunks.push(chunk))
    response.on("error", () => undefined)
    response.on("close", () => {
      const signature = response.headers["x-server-signature"]
      call.signalsLimit = response.headers["server-limit"] !== undefined
      call.signalsLeaving = response.headers["server-leaving"] !== undefined
      call.complete = response.complete && !hasFailed()
      call.signature = typeof signature === "string" ? signature : undefined
      call.body = Buffer.concat(chunks).toString("utf8")
      if (call.complete || call.form === "streaming") call.status = response.statusCode
      end()
    })
  }

  private setNoDelay(request: ClientRequest): void {
    request.on("socket", socket => socket.setNoDelay(true))
  }
}

/// Sends the body in two parts, the second one after a while.
function sendInParts(request: ClientRequest, body: string): void {
  const middle = Math.floor(body.length / 2)
  request.write(body.slice(0, middle))
  setTimeout(() => request.end(body.slice(middle)), PART_INTERVAL_MS)
}
