/// Callers whose prompts share parts: some with a part that crashes each engine that begins to answer, no two alike,
/// beside sound ones of the same caller with the same first part and the same other parts.
import {request as sendRequest} from "node:http"
import {setTimeout as wait} from "node:timers/promises"
import type {CallerTarget} from "./caller-load.js"
import {CRASHING_PART, type PartRequest} from "./part-check.js"
import type {SoakRecord} from "./soak-record.js"
import {SOAK_TENANTS, type CallerRoute} from "./soak-routes.js"

/// Rates of the requests. Per second.
const SOUND_PER_SECOND = 13
const BAD_PER_SECOND = 7
/// Parts that sound and bad requests share besides the first one.
const MIDDLE_PARTS = 8
const FIRST_PART = "f1"
/// A tenant without a quota.
const KEY = SOAK_TENANTS[1].keys[0]

/// How the bad requests are made up.
export interface PartMix {
  /// Number of parts that crash engines.
  readonly badParts: number
  /// Whether they stand first.
  readonly badFirst: boolean
}

/// The callers of one route.
export class PartCallers {
  private running = true
  private count = 0
  private sendsBad = false

  constructor(
    private readonly record: SoakRecord,
    private readonly targets: readonly CallerTarget[],
    private readonly route: CallerRoute,
    private readonly random: () => number,
    private readonly isUsed: (target: CallerTarget) => boolean,
    private readonly mix: PartMix
  ) {}

  /// Sends sound requests until `stop`, and bad ones from `startBad` on; then waits for the open ones.
  async run(): Promise<void> {
    const open = new Set<Promise<void>>()
    const flow = async (perSecond: number, isBad: boolean) => {
      while (this.running) {
        await wait((1000 / perSecond) * (0.5 + this.random()))
        if (isBad && !this.sendsBad) continue
        const sent = this.send(this.makeParts(isBad)).finally(() => open.delete(sent))
        open.add(sent)
      }
    }
    await Promise.all([flow(SOUND_PER_SECOND, false), flow(BAD_PER_SECOND, true)])
    await Promise.all(open)
  }

  /// Begins to send requests with bad parts.
  startBad(): void {
    this.sendsBad = true
  }

  /// Sends no more requests.
  stop(): void {
    this.running = false
  }

  private makeParts(isBad: boolean): string[] {
    const middle = `m${Math.floor(this.random() * MIDDLE_PARTS)}`
    if (!isBad) return [FIRST_PART, middle]
    const bad = CRASHING_PART + Math.floor(this.random() * this.mix.badParts)
    return this.mix.badFirst ? [bad, middle] : [FIRST_PART, bad, middle]
  }

  private send(parts: readonly string[]): Promise<void> {
    this.count += 1
    const id = `p${this.count}`
    const target = this.pickTarget()
    const call: PartRequest = {id, daemon: target.daemon, parts, sentAt: performance.now(), events: 0}
    this.record.partRequests.push(call)
    this.addRequest(call)
    return new Promise(resolve => {
      const end = () => {
        call.endedAt ??= performance.now()
        clearTimeout(timer)
        resolve()
      }
      const [host, port] = target.address.split(":")
      const request = sendRequest({
        host,
        port: Number(port),
        path: `${this.route.path}${this.count}`,
        method: "POST",
        agent: false,
        headers: this.getHeaders(call)
      })
      const timer = setTimeout(() => request.destroy(), this.route.timeoutMs)
      request.on("response", response => {
        call.status = response.statusCode
        response.on("data", () => (call.events += 1))
        response.on("error", () => undefined)
        response.on("close", end)
      })
      request.on("error", end)
      request.on("close", end)
      request.end(`body of ${id}`)
    })
  }

  /// Adds the request to those of the soak, whose other checks skip it as given up.
  private addRequest({id, daemon, sentAt}: PartRequest): void {
    const {name: route, form, timeoutMs} = this.route
    const call = {id, daemon, route, form, sentAt, endedAt: sentAt, timeoutMs, key: KEY, needsKey: true}
    this.record.requests.set(id, call)
  }

  private getHeaders({id, parts}: PartRequest): Record<string, string> {
    const shared = parts.map(part => `${part}:90`).join(",")
    return {
      Host: this.route.host,
      "X-Attempt-Id": id,
      "X-Deadline-Ms": String(this.route.timeoutMs),
      "X-Api-Key": KEY,
      "X-Model": "m",
      "X-Token-Usage": `${90 * parts.length + 150},60`,
      "X-Prefix-Hash": `${shared},${id}:150`
    }
  }

  private pickTarget(): CallerTarget {
    const used = this.targets.filter(this.isUsed)
    const targets = used.length > 0 ? used : this.targets
    return targets[Math.floor(this.random() * targets.length)]
  }
}
