/// Callers of a soak: an open loop of requests to every daemon through its proxy, and what came back, byte
/// for byte.
import {request as sendRequest, Agent, type ClientRequest, type IncomingMessage} from "node:http"
import {setTimeout as wait} from "node:timers/promises"
import type {CallerRecord, SoakRecord} from "./soak-record.js"
import {SOAK_TENANTS, UNKNOWN_KEY, type CallerRoute} from "./soak-routes.js"

/// A daemon as callers reach it.
export interface CallerTarget {
  readonly daemon: string
  readonly address: string
}

/// Callers hang up so long after the time-out. Milliseconds.
const GIVE_UP_AFTER_MS = 4000
const GIVE_UP_SHARE = 0.03
/// Part of the requests with a key that nobody knows, and part without any.
const UNKNOWN_KEY_SHARE = 0.03
const KEYLESS_SHARE = 0.03
const KEYS = SOAK_TENANTS.flatMap(({keys}) => keys)

/// The callers.
export class CallerLoad {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 64})
  private running = true
  private count = 0
  private readonly open = new Set<Promise<void>>()

  constructor(
    private readonly record: SoakRecord,
    private readonly targets: readonly CallerTarget[],
    private readonly routes: readonly CallerRoute[],
    private readonly random: () => number,
    /// Whether callers use a daemon now.
    private readonly isUsed: (target: CallerTarget) => boolean = () => true
  ) {}

  /// Sends so many requests a second until `stop`.
  async run(perSecond: number): Promise<void> {
    while (this.running) {
      await wait((1000 / perSecond) * (0.5 + this.random()))
      const target = this.pickTarget()
      const route = this.routes[Math.floor(this.random() * this.routes.length)]
      const sent = this.send(target, route).finally(() => this.open.delete(sent))
      this.open.add(sent)
    }
    await Promise.all(this.open)
    this.agent.destroy()
  }

  /// Sends one request that ends its back end again and again, with about this pause, to any daemon until
  /// `stop`. It has a generator of its own.
  async sendRepeatedly(
    body: string,
    route: CallerRoute,
    pauseMs: number,
    random: () => number
  ): Promise<void> {
    while (this.running) {
      await wait(pauseMs * (0.5 + random()))
      if (!this.running) return
      const target = this.targets[Math.floor(random() * this.targets.length)]
      const sent = this.send(target, route, body).finally(() => this.open.delete(sent))
      this.open.add(sent)
    }
  }

  /// Sends nothing more.
  stop(): void {
    this.running = false
  }

  /// Any daemon that is used; when none is, one that is not there.
  private pickTarget(): CallerTarget {
    const used = this.targets.filter(this.isUsed)
    const targets = used.length > 0 ? used : this.targets
    return targets[Math.floor(this.random() * targets.length)]
  }

  /// A request with a body of its own ends its back end; its caller shows its first key and waits.
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
      const patienceMs =
        crashingBody === undefined ? this.getPatience(call, route) : route.timeoutMs + GIVE_UP_AFTER_MS
      const timer = setTimeout(() => request.destroy(), patienceMs)
      request.on("response", response => this.receive(call, response, end))
      request.on("error", end)
      request.on("close", end)
      request.end(crashingBody ?? `body of ${id}`)
      this.watch(request)
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
    // Some claim to be somebody else.
    if (this.random() < KEYLESS_SHARE) headers["X-Tenant"] = SOAK_TENANTS[0].name
    if (route.prompt) {
      const {shared, unique: own, subjects} = route.prompt
      const subject = Math.floor(this.random() * subjects)
      headers["X-Model"] = "m"
      headers["X-Token-Usage"] = `${shared + own},60`
      headers["X-Prefix-Hash"] = `s${route.name}${subject}:${shared},${id}:${own}`
    }
    return headers
  }

  /// Most wait for the answer; a few leave early, which is no broken promise of anybody's.
  private getPatience(call: CallerRecord, route: CallerRoute): number {
    if (this.random() >= GIVE_UP_SHARE) return route.timeoutMs + GIVE_UP_AFTER_MS
    call.endedAt = call.sentAt
    return this.random() * route.timeoutMs * 0.2
  }

  private receive(call: CallerRecord, response: IncomingMessage, end: () => void): void {
    const chunks: Buffer[] = []
    response.on("data", (chunk: Buffer) => chunks.push(chunk))
    response.on("error", () => undefined)
    response.on("close", () => {
      const signature = response.headers["x-server-signature"]
      call.signalsLimit = response.headers["server-limit"] !== undefined
      call.signalsLeaving = response.headers["server-leaving"] !== undefined
      call.complete = response.complete
      call.signature = typeof signature === "string" ? signature : undefined
      call.body = Buffer.concat(chunks).toString("utf8")
      if (response.complete || call.form === "streaming") call.status = response.statusCode
      end()
    })
  }

  private watch(request: ClientRequest): void {
    request.on("socket", socket => socket.setNoDelay(true))
  }
}
