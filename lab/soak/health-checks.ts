/// Asks running daemons for their readiness, as the platform does, and records answers that come too late.
import {request} from "node:http"
import {setTimeout as wait} from "node:timers/promises"
import {splitAddress} from "../../src/shared/address.js"
import type {SoakSite} from "./soak-site.js"

const INTERVAL_MS = 100
/// The platform takes a daemon out that does not answer within this time. Milliseconds.
const LIMIT_MS = 1000
/// A daemon that has started so recently is not judged. Milliseconds.
const START_MS = 2000
const READY_PATH = "/v1/readyz"

/// The health checks of one phase.
export class HealthChecks {
  private running = true
  private readonly startedAt = new Map<string, {starts: number; at: number}>()

  constructor(private readonly site: SoakSite) {}

  /// Checks until `stop`.
  async run(): Promise<void> {
    while (this.running) {
      for (const daemon of this.site.daemons) this.check(daemon.name)
      await wait(INTERVAL_MS)
    }
  }

  stop(): void {
    this.running = false
  }

  private check(name: string): void {
    const daemon = this.site.getDaemon(name)
    const starts = daemon.startCount
    const now = performance.now()
    if (this.startedAt.get(name)?.starts !== starts) this.startedAt.set(name, {starts, at: now})
    const upMs = now - (this.startedAt.get(name)?.at ?? now)
    if (!daemon.isRunning() || upMs < START_MS) return
    const {host, port} = splitAddress(daemon.ports.ready)
    const sent = request({host, port, path: READY_PATH, agent: false, timeout: LIMIT_MS}, answer =>
      answer.resume()
    )
    sent.on("error", () => undefined)
    sent.on("timeout", () => {
      sent.destroy()
      if (!daemon.isRunning() || daemon.startCount !== starts) return
      this.site.record.observedViolations.push({
        promise: "a health check is answered within a second",
        text: `${name} at ${Math.round(now)}`
      })
    })
    sent.end()
  }
}
