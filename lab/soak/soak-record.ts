/// What callers and back ends saw in a soak, and which promises that breaks. It knows nothing of the daemons'
/// inside.

import {
  findWorstWindows,
  type ArrivalRecord,
  type RetryBounds,
  type RetryWindow,
  type ServiceRequest
} from "./retry-check.js"
import {ALLOWED_LATE_RETRIES, findCrashOutcomes, type CrashOutcome, type CrashRecord} from "./crash-check.js"
import {isCutByStop, isUndisturbed, type Disturbance} from "./disturbance.js"
import {SignalRecord} from "./signal-record.js"
import {findTenant, QUOTA_RULE, SOAK_QUOTAS, UNCACHED_TOKENS, type RouteForm} from "./soak-routes.js"

/// One request of a caller. Times are monotonic milliseconds.
export interface CallerRecord {
  readonly id: string
  readonly daemon: string
  readonly route: string
  readonly form: RouteForm
  readonly sentAt: number
  readonly timeoutMs: number
  /// The key that the caller showed.
  readonly key?: string | undefined
  /// Whether the route asks for one.
  readonly needsKey?: boolean
  endedAt?: number
  /// Undefined when the connection ended without a whole answer.
  status?: number
  signature?: string
  /// The answer names a limit of its back end.
  signalsLimit?: boolean
  /// The answer says that its back end leaves.
  signalsLeaving?: boolean
  body?: string
  /// A streamed answer ended as complete.
  complete?: boolean
  /// The body of a request that ends the back ends that run it; undefined for the others.
  readonly crashingBody?: string
}

/// One run, or arrival, at a back end.
export interface ExecutionRecord {
  readonly requestId: string
  readonly backend: string
  readonly service: string
  readonly at: number
  /// Read only, for another back end to generate.
  readonly promptOnly: boolean
  /// The tenant that the back end was told.
  readonly tenant?: string | undefined
  /// What the request says of its tokens.
  readonly tokens?: number | undefined
  /// The status that the back end gave; undefined while it runs or when it broke off.
  status?: number
}

/// One order that a back end took.
interface OrderRecord {
  readonly backend: string
  readonly holder: string
  readonly fence: number
  readonly at: number
}

/// The bounds of a site without series of restarts.
export const SOAK_BOUNDS: SoakBounds = {
  configMs: 2000,
  drainMs: 2000,
  contactMs: 3000,
  leaseMs: 3000,
  marginMs: 1000,
  retries: {ratio: 0.2, slack: 50, windowMs: 10_000}
}

/// A broken promise.
export interface Violation {
  readonly promise: string
  readonly text: string
}

/// Bounds of the promises. Milliseconds.
export interface SoakBounds {
  readonly configMs: number
  readonly drainMs: number
  readonly contactMs: number
  readonly leaseMs: number
  /// Added to every bound: one machine runs everything.
  readonly marginMs: number
  readonly retries: RetryBounds
}

const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])
const FIRST_FAILURE = 300
const STATUS_UNAUTHORIZED = 401

/// The record of one soak.
export class SoakRecord {
  readonly requests = new Map<string, CallerRecord>()
  readonly executions: ExecutionRecord[] = []
  readonly arrivals: ArrivalRecord[] = []
  readonly orders: OrderRecord[] = []
  readonly disturbances: Disturbance[] = []
  /// Which service a route leads to, from when on.
  readonly routes: {readonly route: string; readonly service: string; readonly at: number}[] = []
  /// Which keys were taken away or given back, and when.
  readonly keys: {readonly key: string; readonly valid: boolean; readonly at: number}[] = []
  /// When a back end was said to drain.
  readonly drainStarts = new Map<string, number>()
  /// Back ends that ended under requests.
  readonly crashes: CrashRecord[] = []
  /// Violations that the stand-ins saw themselves.
  readonly observedViolations: Violation[] = []

  /// What back ends said of themselves.
  readonly signals: SignalRecord

  constructor(private readonly bounds: SoakBounds) {
    this.signals = new SignalRecord(this.requests, this.arrivals, this.disturbances, bounds)
  }

  /// Whether a daemon was left alone, contact included, from `from` to `until`.
  isUndisturbed(daemon: string, from: number, until: number): boolean {
    return isUndisturbed(this.disturbances, this.bounds.contactMs, {daemon, from, until})
  }

  /// Every broken promise.
  check(): Violation[] {
    const runsOf = groupBy(this.executions, run => run.requestId)
    const violations = [...this.observedViolations]
    for (const request of this.requests.values()) {
      const runs = (runsOf.get(request.id) ?? []).filter(run => !run.promptOnly)
      violations.push(...this.checkRequest(request, runs))
    }
    for (const run of this.executions) violations.push(...this.checkRun(run))
    violations.push(...this.checkOrders())
    for (const tenant of Object.keys(SOAK_QUOTAS)) violations.push(...this.checkQuota(tenant))
    for (const {body, ends, lateRetries} of this.findCrashOutcomes())
      if (lateRetries > ALLOWED_LATE_RETRIES)
        violations.push({
          promise: "a request that ended three back ends is kept away from others",
          text: `${body}: ${lateRetries} times more, ${ends} ended`
        })
    violations.push(...this.signals.check())
    for (const {service, seen, allowed, from} of this.findWorstRetryWindows()) {
      const text = `${service}: ${seen} of ${allowed} from ${from} ms`
      if (seen > allowed) violations.push({promise: "repeats stay within the retry budget", text})
    }
    return violations
  }

  /// The worst window of each service, counted at the back ends.
  findWorstRetryWindows(): RetryWindow[] {
    return findWorstWindows(this.arrivals, this.getServiceRequests(), this.bounds.retries)
  }

  /// What became of each request that ends back ends.
  findCrashOutcomes(): CrashOutcome[] {
    const {contactMs, marginMs} = this.bounds
    const isInContact = (id: string, at: number) =>
      this.isUndisturbed(this.requests.get(id)?.daemon ?? "", at - marginMs, at)
    const findBody = (id: string) => this.requests.get(id)?.crashingBody
    return findCrashOutcomes(this.crashes, this.arrivals, findBody, isInContact, contactMs + marginMs)
  }

  /// The requests by the services that their routes led to. While a route moves its requests count for both.
  private getServiceRequests(): ServiceRequest[] {
    const {configMs} = this.bounds
    return [...this.requests.values()].flatMap(({route, sentAt: at}) =>
      [...this.getServices(route, at - configMs, at + configMs)].map(service => ({service, at}))
    )
  }

  /// What all back ends run of a tenant within any window is bounded, whatever fails.
  private checkQuota(tenant: string): Violation[] {
    const {windowS, overage, slackTokens} = QUOTA_RULE
    const {ratePerSecond, burst} = SOAK_QUOTAS[tenant]
    const allowed = (ratePerSecond * windowS + burst) * (1 + overage) + slackTokens
    const runs = this.executions.filter(run => run.tenant === tenant && !run.promptOnly)
    const inOrder = [...runs].sort((left, right) => left.at - right.at)
    let first = 0
    let sum = 0
    let worst = 0
    for (const run of inOrder) {
      sum += run.tokens ?? UNCACHED_TOKENS
      while (inOrder[first].at <= run.at - windowS * 1000) sum -= inOrder[first++].tokens ?? UNCACHED_TOKENS
      worst = Math.max(worst, sum)
    }
    const text = `${tenant}: ${worst} of ${Math.round(allowed)} tokens`
    return worst > allowed ? [{promise: "a tenant stays within its quota", text}] : []
  }

  private checkRequest(request: CallerRecord, runs: readonly ExecutionRecord[]): Violation[] {
    const found: Violation[] = []
    const {id, form, status, sentAt, endedAt, timeoutMs} = request
    const say = (promise: string, text: string) =>
      found.push({promise, text: `${id} (${request.route} by ${request.daemon}) ${text}`})
    if (status === undefined && isCutByStop(this.disturbances, this.bounds.contactMs, request))
      say("a planned stop cuts no request", "was cut")
    if (form === "non_idempotent" && runs.length > 1) say("runs at most once", `ran ${runs.length} times`)
    if (form === "non_idempotent" && status !== undefined && NOT_RUN.has(status) && runs.length > 0)
      say("a refusal as not run is true", `got ${status} and ran at ${runs[0].backend}`)
    if (
      status === STATUS_UNAUTHORIZED &&
      this.wasKeyValid(
        request,
        sentAt - this.bounds.configMs - this.bounds.marginMs,
        endedAt ?? Infinity,
        "always"
      )
    )
      say("a valid key is not denied", "got 401")
    if (status !== undefined && status < FIRST_FAILURE) this.checkSuccess(request, runs, say)
    const dueAt = sentAt + timeoutMs + this.bounds.marginMs
    if ((endedAt ?? Infinity) > dueAt && this.isUndisturbed(request.daemon, sentAt, dueAt))
      say("an answer at the time-out", `had none ${Math.round(dueAt - sentAt)} ms after it was sent`)
    return found
  }

  /// Whether the caller's key was valid, always or at some time, in a span.
  wasKeyValid({key}: CallerRecord, from: number, until: number, when: "always" | "ever"): boolean {
    if (findTenant(key) === undefined) return false
    const steps = this.keys.filter(step => step.key === key && step.at <= until)
    const before = steps.filter(step => step.at <= from).at(-1)?.valid ?? true
    const within = steps.filter(step => step.at > from).map(step => step.valid)
    const states = [before, ...within]
    return when === "always" ? states.every(Boolean) : states.some(Boolean)
  }

  private checkSuccess(
    request: CallerRecord,
    runs: readonly ExecutionRecord[],
    say: (promise: string, text: string) => void
  ): void {
    const {id, form, signature, body, complete: whole} = request
    const run = runs.find(candidate => candidate.backend === signature)
    if (!run)
      say(
        "a caller receives the whole answer to its own request",
        `signed ${signature}, which did not run it`
      )
    if (form === "streaming") {
      const problem = findStreamProblem(id, body ?? "", whole ?? false)
      if (problem) say("a stream has every piece once, in order", problem)
    } else if (body !== formatBody(id))
      say("a caller receives the whole answer to its own request", `body ${body}`)
  }

  private checkRun(run: ExecutionRecord): Violation[] {
    const request = this.requests.get(run.requestId)
    if (!request)
      return [{promise: "only what callers sent is run", text: `${run.requestId} at ${run.backend}`}]
    const found: Violation[] = []
    const calm = this.isUndisturbed(request.daemon, request.sentAt, run.at)
    const tenant = request.needsKey ? findTenant(request.key) : undefined
    if (request.needsKey !== undefined && run.tenant !== tenant)
      found.push({
        promise: "a request runs in its caller's name",
        text: `${request.id} ran for ${run.tenant}, not ${tenant}`
      })
    const oldest = calm ? request.sentAt - this.bounds.configMs - this.bounds.marginMs : -Infinity
    if (!this.getServices(request.route, oldest, run.at).has(run.service))
      found.push({
        promise: "a configuration is in force in time",
        text: `${request.id} ran at ${run.service}`
      })
    if (request.needsKey && !this.wasKeyValid(request, oldest, run.at, "ever"))
      found.push({promise: "no request runs without a valid key", text: `${request.id} at ${run.backend}`})
    const drainedAt = this.drainStarts.get(run.backend) ?? Infinity
    if (calm && run.at > drainedAt + this.bounds.drainMs + this.bounds.marginMs)
      found.push({
        promise: "a leaving back end gets no new work",
        text: `${request.id} at ${run.backend} by ${request.daemon}`
      })
    return found
  }

  /// Services that a route led to at some time between two moments.
  private getServices(route: string, from: number, until: number): Set<string> {
    const steps = this.routes.filter(step => step.route === route && step.at <= until)
    const services = new Set<string>()
    steps.forEach((step, i) => {
      const next = steps.at(i + 1)
      if (!next || next.at >= from) services.add(step.service)
    })
    return services
  }

  private checkOrders(): Violation[] {
    const found: Violation[] = []
    for (const [backend, orders] of groupBy(this.orders, order => order.backend)) {
      for (const [i, order] of orders.entries()) {
        const other = orders.find(earlier => earlier.fence === order.fence && earlier.holder !== order.holder)
        if (other)
          found.push({promise: "one holder a fence", text: `${backend}: fence ${order.fence} by two`})
        const turned = orders
          .slice(i + 1)
          .some((later, j) => later.holder !== order.holder && this.isTurn(order, orders.slice(i + 2 + j)))
        if (turned)
          found.push({promise: "holders do not take turns", text: `${backend} at ${Math.round(order.at)}`})
      }
    }
    return found
  }

  private isTurn(order: OrderRecord, later: readonly OrderRecord[]): boolean {
    return later.some(next => next.holder === order.holder && next.at - order.at < this.bounds.leaseMs)
  }
}

/// The body of the answer to a request that is not streamed.
export function formatBody(id: string): string {
  return `answer to ${id}.`
}

/// One event of a stream; the last says so.
export function formatEvent(id: string, number: number, count: number): string {
  return `id: ${number}\ndata: ${id} ${number} of ${count}\n\n`
}

/// What is wrong with a stream that was taken for a success.
function findStreamProblem(id: string, body: string, whole: boolean): string | undefined {
  const events = body.split("\n\n")
  const rest = events.pop()
  let count = 0
  for (const [i, event] of events.entries()) {
    const match = /^id: (\d+)\ndata: (\S+) (\d+) of (\d+)$/.exec(event)
    if (!match || match[2] !== id || Number(match[1]) !== i + 1 || match[1] !== match[3])
      return `event ${i + 1} is ${JSON.stringify(event)}`
    count = Number(match[4])
  }
  if (whole && (rest !== "" || events.length === 0 || events.length < count))
    return `ended as complete after ${events.length} of ${count} events`
  return undefined
}

function groupBy<Key, Item>(items: readonly Item[], getKey: (item: Item) => Key): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>()
  for (const item of items) {
    const key = getKey(item)
    const group = groups.get(key)
    if (group) group.push(item)
    else groups.set(key, [item])
  }
  return groups
}
