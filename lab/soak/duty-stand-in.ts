/// A stand-in for the platform's side of the duties, after its published pages: usage reports and orders of servers, with fences and
/// what can go wrong with calls. Each daemon has a port of its own, which tells whose call it is whatever name it bears.
import {createServer, type IncomingMessage, type Server, type ServerResponse} from "node:http"
import type {AddressInfo} from "node:net"
import * as z from "zod"
import type {DutyAuthority, DutyCall} from "../../src/duties/duty-messages.js"
import {DutyModel} from "../duty-model.js"

/// How the platform treats the calls of all daemons.
export type DutyTreatment = "serves" | "refuses" | "silent" | "losesAnswers" | "appliesLate"

const STATUS_OK = 200
const STATUS_CONFLICT = 409
const STATUS_BUSY = 503
const LATE_MS = 1500

const usageSchema = z.object({window_id: z.number(), counts: z.record(z.string(), z.number())})
const scaleSchema = z.object({
  service: z.string(),
  zone: z.string(),
  desired: z.number(),
  spot: z.boolean().default(false)
})

/// The platform.
export class DutyStandIn {
  treatment: DutyTreatment = "serves"
  readonly model: DutyModel
  /// When a report was last accepted. Monotonic milliseconds.
  lastReportAt = -Infinity
  private readonly servers: Server[] = []

  constructor(leaseMs: number) {
    this.model = new DutyModel(true, leaseMs)
  }

  /// Opens a port for a daemon and returns the address.
  async open(daemon: string): Promise<string> {
    const server = createServer((request, response) => void this.onRequest(daemon, request, response))
    this.servers.push(server)
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  /// Closes every port.
  close(): void {
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  private async onRequest(daemon: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    let body = ""
    for await (const chunk of request) body += String(chunk)
    const {treatment} = this
    if (treatment === "silent") return
    if (treatment === "refuses") return answer(response, STATUS_BUSY)
    const call = parseCall(request.url ?? "", body)
    const holder = String(request.headers["x-lease-holder"])
    const fence = Number(request.headers["x-fencing-token"])
    if (treatment === "appliesLate") setTimeout(() => this.take(daemon, call, {holder, fence}), LATE_MS)
    else {
      const status = this.take(daemon, call, {holder, fence})
      if (treatment === "serves") answer(response, status)
    }
  }

  private take(daemon: string, call: DutyCall, authority: DutyAuthority): number {
    const now = performance.now()
    const result = this.model.take(daemon, call, authority, now)
    if (result.kind !== "accepted") return STATUS_CONFLICT
    if (call.kind === "reportUsage") this.lastReportAt = now
    return STATUS_OK
  }
}

function parseCall(url: string, body: string): DutyCall {
  if (url === "/usage") {
    const {window_id: window, counts} = usageSchema.parse(JSON.parse(body))
    return {kind: "reportUsage", window, counts}
  }
  return {kind: "orderServers", ...scaleSchema.parse(JSON.parse(body))}
}

function answer(response: ServerResponse, status: number): void {
  response.writeHead(status, {"Content-Type": "application/json"})
  response.end("{}")
}
