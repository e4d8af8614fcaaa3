/// Callers that break streams off, and take up every stream that broke at any daemon, as the platform's clients do:
/// under a new attempt id, with the id of the attempt that brought the first event and the last event that they have.
import {request as sendRequest, type IncomingMessage} from "node:http"
import {setTimeout as wait} from "node:timers/promises"
import type {CallerTarget} from "./caller-load.js"
import type {SoakRecord} from "./soak-record.js"
import {SOAK_TENANTS, type CallerRoute} from "./soak-routes.js"
import {findEvents} from "./stream-events.js"
import type {StreamRecord, StreamTry} from "./version-check.js"

/// Share of the tries that the caller breaks off, after one to this many events.
const BREAK_SHARE = 1 / 3
const MOST_EVENTS = 4
/// How often a caller takes one stream up.
const MOST_RESUMPTIONS = 3
/// Time from the break to the resumption: most callers are quick, some wait. Milliseconds.
const QUICK_MS = 40
const SLOW_MS = 1500
const SLOW_SHARE = 0.2
/// Keys of tenants without a quota.
const KEY = SOAK_TENANTS[1].keys[0]

/// What a caller knows when a try is over.
interface TryEnd {
  readonly isComplete: boolean
}

/// The callers of one resumable route.
export class StreamCallers {
  private running = true

  constructor(
    private readonly record: SoakRecord,
    private readonly targets: readonly CallerTarget[],
    private readonly route: CallerRoute,
    private readonly random: () => number,
    private readonly isUsed: (target: CallerTarget) => boolean
  ) {}

  /// Begins streams at this mean rate until `stop`, then waits for the open ones.
  async run(perSecond: number): Promise<void> {
    const open = new Set<Promise<void>>()
    while (this.running) {
      await wait((1000 / perSecond) * (0.5 + this.random()))
      const stream = this.runStream().finally(() => open.delete(stream))
      open.add(stream)
    }
    await Promise.all(open)
  }

  /// Begins no more streams.
  stop(): void {
    this.running = false
  }

  private async runStream(): Promise<void> {
    const {streams} = this.record
    // Two phases of a soak have such callers.
    const stream: StreamRecord = {id: `s${streams.length + 1}`, versions: [], tries: []}
    streams.push(stream)
    for (let resumptions = 0; resumptions <= MOST_RESUMPTIONS; resumptions += 1) {
      const {isComplete} = await this.runTry(stream)
      if (isComplete || stream.versions.length === 0) return
      await wait(this.random() < SLOW_SHARE ? SLOW_MS * this.random() : QUICK_MS * this.random())
    }
  }

  private runTry(stream: StreamRecord): Promise<TryEnd> {
    const target = this.pickTarget()
    const tried: StreamTry = {daemon: target.daemon, sentAt: performance.now(), events: 0, brokenOff: false}
    const id = stream.tries.length === 0 ? stream.id : `${stream.id}r${stream.tries.length}`
    const breakAfter = this.random() < BREAK_SHARE ? 1 + Math.floor(this.random() * MOST_EVENTS) : Infinity
    stream.tries.push(tried)
    this.addRequest(id, tried)
    return new Promise(resolve => {
      let isComplete = false
      const end = () => {
        tried.endedAt ??= performance.now()
        clearTimeout(timer)
        resolve({isComplete})
      }
      const [host, port] = target.address.split(":")
      const request = sendRequest({
        host,
        port: Number(port),
        path: this.route.path,
        method: "POST",
        agent: false,
        headers: this.getHeaders(id, stream)
      })
      const timer = setTimeout(() => request.destroy(), this.route.timeoutMs)
      const onEvents = (response: IncomingMessage, versions: readonly string[]) => {
        tried.events += versions.length
        stream.versions.push(...versions)
        if (tried.events < breakAfter || response.complete) return
        tried.brokenOff = true
        request.destroy()
      }
      request.on("response", response => {
        tried.status = response.statusCode
        receiveEvents(response, versions => onEvents(response, versions))
        response.on("close", () => {
          isComplete = response.complete && response.statusCode === 200
          end()
        })
      })
      request.on("error", end)
      request.on("close", end)
      request.end(`body of ${stream.id}`)
    })
  }

  /// Adds the try to the requests of the soak, whose other checks skip it as given up.
  private addRequest(id: string, {daemon, sentAt}: StreamTry): void {
    const {name: route, form, timeoutMs} = this.route
    const call = {id, daemon, route, form, sentAt, endedAt: sentAt, timeoutMs, key: KEY, needsKey: true}
    this.record.requests.set(id, call)
  }

  private getHeaders(id: string, {id: firstId, versions, tries}: StreamRecord): Record<string, string> {
    const headers: Record<string, string> = {
      Host: this.route.host,
      "X-Attempt-Id": id,
      "X-Deadline-Ms": String(this.route.timeoutMs),
      "X-Api-Key": KEY,
      "X-Model": "m",
      "X-Token-Usage": "240,60",
      "X-Prefix-Hash": `streams:90,${firstId}:150`
    }
    if (tries.length === 1) return headers
    return {...headers, Resumes: firstId, "Last-Event-Id": String(versions.length)}
  }

  private pickTarget(): CallerTarget {
    const used = this.targets.filter(this.isUsed)
    const targets = used.length > 0 ? used : this.targets
    return targets[Math.floor(this.random() * targets.length)]
  }
}

/// Calls `onEvents` with the versions of the events that have arrived completely.
function receiveEvents(response: IncomingMessage, onEvents: (versions: readonly string[]) => void): void {
  let text = ""
  response.setEncoding("utf8")
  response.on("error", () => undefined)
  response.on("data", (chunk: string) => {
    text += chunk
    const end = text.lastIndexOf("\n\n") + 2
    if (end < 2) return
    const versions = findEvents(text.slice(0, end)).map(({version = ""}) => version)
    text = text.slice(end)
    onEvents(versions)
  })
}
