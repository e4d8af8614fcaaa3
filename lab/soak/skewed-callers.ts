/// Callers whose platform hands most new connections to one daemon.
import {request as sendRequest} from "node:http"
import {setTimeout as wait} from "node:timers/promises"
import type {CallerTarget} from "./caller-load.js"
import type {SkewedRequest} from "./skew-check.js"
import type {SoakRecord} from "./soak-record.js"
import type {CallerRoute} from "./soak-routes.js"

/// Share of the new connections that go to one daemon.
const SKEW_SHARE = 0.9

/// The callers of one route, each on a connection of its own.
export class SkewedCallers {
  private running = true
  private target: CallerTarget | undefined
  private skewedFrom: number | undefined
  private count = 0

  constructor(
    private readonly record: SoakRecord,
    private readonly targets: readonly CallerTarget[],
    private readonly route: CallerRoute,
    private readonly random: () => number
  ) {}

  /// Sends requests at this mean rate until `stop`, then waits for the open ones.
  async run(perSecond: number): Promise<void> {
    const open = new Set<Promise<void>>()
    while (this.running) {
      await wait((1000 / perSecond) * (0.5 + this.random()))
      const sent = this.send().finally(() => open.delete(sent))
      open.add(sent)
    }
    await Promise.all(open)
  }

  /// Hands most new connections to one daemon from now on.
  setTarget(target: CallerTarget): void {
    this.target = target
    this.skewedFrom ??= performance.now()
  }

  /// Sends no more requests.
  stop(): void {
    this.running = false
  }

  private send(): Promise<void> {
    this.count += 1
    const id = `k${this.count}`
    const isSkewed = this.target !== undefined && this.random() < SKEW_SHARE
    const target = isSkewed ? this.target : this.targets[Math.floor(this.random() * this.targets.length)]
    if (!target) return Promise.resolve()
    const call: SkewedRequest = {sentAt: performance.now(), skewedFrom: this.skewedFrom}
    this.record.skewedRequests.push(call)
    this.addRequest(id, target.daemon, call.sentAt)
    return new Promise(resolve => {
      const [host, port] = target.address.split(":")
      const {path, host: name, timeoutMs} = this.route
      const headers = {Host: name, "X-Attempt-Id": id, "X-Deadline-Ms": String(timeoutMs)}
      const request = sendRequest({host, port: Number(port), path, method: "POST", agent: false, headers})
      const timer = setTimeout(() => request.destroy(), timeoutMs)
      request.on("response", response => {
        response.on("error", () => undefined)
        response.on("close", () => {
          if (response.complete) call.status = response.statusCode
        })
        response.resume()
      })
      request.on("error", error => (call.refused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED"))
      request.on("close", () => {
        clearTimeout(timer)
        resolve()
      })
      request.end(`body of ${id}`)
    })
  }

  /// Adds the request to those of the soak, whose other checks skip it as given up.
  private addRequest(id: string, daemon: string, sentAt: number): void {
    const {name: route, form, timeoutMs} = this.route
    this.record.requests.set(id, {id, daemon, route, form, sentAt, endedAt: sentAt, timeoutMs})
  }
}
