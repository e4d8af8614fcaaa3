/// A stand-in for the platform's side of the duties, written from its published documentation: usage reports and
/// orders of servers, with fencing tokens and injected faults. Each daemon calls a port of its own, which
/// identifies the caller whatever name is in the call.
import {createServer, type IncomingMessage, type Server, type ServerResponse} from "node:http"
import type {AddressInfo} from "node:net"
import * as z from "zod"
import type {DutyAuthority, DutyCall} from "../../src/duties/duty-messages.js"
import {DutyModel} from "../duty-model.js"
import {parseBody, readBody, STATUS_MALFORMED, STATUS_UNKNOWN, StrayCalls} from "./stray-calls.js"

/// What the platform does with the calls of all daemons: "serves" is correct, the others are faults.
export type DutyBehavior = "serves" | "refuses" | "silent" | "losesAnswers" | "appliesLate"

const STATUS_OK = 200
const STATUS_CONFLICT = 409
const STATUS_BUSY = 503
const APPLY_DELAY_MS = 1500

const usageSchema = z.object({window_id: z.number(), counts: z.record(z.string(), z.number())})
const scaleSchema = z.object({
  service: z.string(),
  zone: z.string(),
  desired: z.number(),
  spot: z.boolean().default(false)
})

const USAGE_PATH = "/usage"
const SCALE_PATH = "/scale"

/// The HTTP servers of the stand-in, with the model that checks the calls.
export class DutyStandIn {
  readonly strayCalls = new StrayCalls("duties")
  behavior: DutyBehavior = "serves"
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
    const body = await readBody(request)
    if (body === undefined) return
    const {behavior} = this
    const url = request.url ?? ""
    if (url !== USAGE_PATH && url !== SCALE_PATH)
      return this.strayCalls.reject(STATUS_UNKNOWN, daemon, request, response)
    if (behavior === "silent") return
    if (behavior === "refuses") return sendAnswer(response, STATUS_BUSY)
    const call = decodeCall(url, body)
    if (!call) return this.strayCalls.reject(STATUS_MALFORMED, daemon, request, response)
    const holder = String(request.headers["x-lease-holder"])
    const fence = Number(request.headers["x-fencing-token"])
    if (behavior === "appliesLate")
      setTimeout(() => this.apply(daemon, call, {holder, fence}), APPLY_DELAY_MS)
    else {
      const status = this.apply(daemon, call, {holder, fence})
      if (behavior === "serves") sendAnswer(response, status)
    }
  }

  private apply(daemon: string, call: DutyCall, authority: DutyAuthority): number {
    const now = performance.now()
    const result = this.model.apply(daemon, call, authority, now)
    if (result.kind !== "accepted") return STATUS_CONFLICT
    if (call.kind === "reportUsage") this.lastReportAt = now
    return STATUS_OK
  }
}

/// Decodes the call to this path; undefined when the body is invalid.
function decodeCall(url: string, body: string): DutyCall | undefined {
  if (url === USAGE_PATH) {
    const usage = parseBody(usageSchema, body)
    return usage && {kind: "reportUsage", window: usage.window_id, counts: usage.counts}
  }
  const scale = parseBody(scaleSchema, body)
  return scale && {kind: "orderServers", ...scale}
}

function sendAnswer(response: ServerResponse, status: number): void {
  response.writeHead(status, {"Content-Type": "application/json"})
  response.end("{}")
}
