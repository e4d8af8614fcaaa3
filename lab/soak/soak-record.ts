/// The observations of callers and back ends in a soak, and the check of the promises against them. Relies on
/// nothing inside the daemons.

import {
  findWorstWindows,
  type ArrivalRecord,
  type RetryBounds,
  type RetryWindow,
  type ServiceRequest
} from "./retry-check.js"
import {ALLOWED_LATE_RETRIES, findCrashOutcomes, type CrashOutcome, type CrashRecord} from "./crash-check.js"
import {isCutByStop, isUndisturbed, type Disturbance} from "./disturbance.js"
import type {EarlyReload} from "./early-reload.js"
import {findCutOutcomes, findCutViolations, type CutOutcome, type CutSpan} from "./cut-check.js"
import {groupBy} from "./group-by.js"
import {findOrderViolations, type OrderRecord} from "./order-check.js"
import {
  findPartsOutcome,
  findPartViolations,
  type PartCrashRecord,
  type PartRequest,
  type PartsOutcome
} from "./part-check.js"
import {SignalRecord} from "./signal-record.js"
import {findSkewOutcome, findSkewViolations, type SkewedRequest, type SkewOutcome} from "./skew-check.js"
import {findCallersCutBySilence, type SilentSpan} from "./silence-check.js"
import type {CallerRecord, Violation} from "./caller-record.js"
import {findStreamProblem} from "./stream-events.js"
import {
  findVersionOutcome,
  findVersionViolations,
  type StreamRecord,
  type VersionOutcome,
  type VersionSpan
} from "./version-check.js"
import {findTenant, QUOTA_RULE, SOAK_QUOTAS, UNCACHED_TOKENS} from "./soak-routes.js"

/// One execution of a request at a back end. Monotonic milliseconds.
export interface ExecutionRecord {
  readonly requestId: string
  readonly backend: string
  readonly service: string
  readonly at: number
  /// Whether only the prompt was computed (prefill), for another back end to generate.
  readonly promptOnly: boolean
  /// The tenant in the headers of the request to the back end.
  readonly tenant?: string | undefined
  /// Tokens of the prompt and the maximum to generate, by the headers of the request.
  readonly tokens?: number | undefined
  /// The status of the back end's answer; undefined while it executes or when its answer broke off.
  status?: number
}

/// The default bounds, for soaks without series of restarts.
export const SOAK_BOUNDS: SoakBounds = {
  configMs: 2000,
  drainMs: 2000,
  contactMs: 3000,
  leaseMs: 3000,
  marginMs: 1000,
  retries: {ratio: 0.2, slack: 50, windowMs: 10_000}
}

/// Bounds of the promises. Milliseconds.
export interface SoakBounds {
  readonly configMs: number
  readonly drainMs: number
  readonly contactMs: number
  readonly leaseMs: number
  /// Added to every bound, because all processes share one machine.
  readonly marginMs: number
  readonly retries: RetryBounds
}

const NOT_EXECUTED: ReadonlySet<number> = new Set([408, 421, 429, 503])
const FIRST_FAILURE_STATUS = 300
const STATUS_UNAUTHORIZED = 401

/// The record of one soak. Times are monotonic milliseconds.
export class SoakRecord {
  readonly requests = new Map<string, CallerRecord>()
  readonly executions: ExecutionRecord[] = []
  readonly arrivals: ArrivalRecord[] = []
  readonly orders: OrderRecord[] = []
  readonly disturbances: Disturbance[] = []
  /// Changes of the service that a route leads to.
  readonly routes: {readonly route: string; readonly service: string; readonly at: number}[] = []
  /// Keys that were revoked or restored, and when.
  readonly keys: {readonly key: string; readonly valid: boolean; readonly at: number}[] = []
  /// When each back end's record was set to draining.
  readonly drainStarts = new Map<string, number>()
  /// Crashes of back ends by requests.
  readonly crashes: CrashRecord[] = []
  /// Processes that a reload ended before they could handle it.
  readonly earlyReloads: EarlyReload[] = []
  /// Periods in which sound back ends were silent.
  readonly silences: SilentSpan[] = []
  /// Periods in which daemons were cut off from all back ends.
  readonly cuts: CutSpan[] = []
  /// Streams whose callers take them up, and the periods in which engines of each version served.
  readonly streams: StreamRecord[] = []
  readonly versionSpans: VersionSpan[] = []
  /// Requests whose prompts share parts, and crashes of engines by such parts.
  readonly partRequests: PartRequest[] = []
  readonly partCrashes: PartCrashRecord[] = []
  /// Requests beside which most new connections go to one daemon, and those before.
  readonly skewedRequests: SkewedRequest[] = []
  /// Violations that the stand-ins and the site observed directly.
  readonly observedViolations: Violation[] = []

  /// Signals of back ends in their answers.
  readonly signals: SignalRecord

  constructor(private readonly bounds: SoakBounds) {
    this.signals = new SignalRecord(this.requests, this.arrivals, this.disturbances, bounds)
  }

  /// Whether no disturbance of a daemon overlapped the period, the contact time after each included.
  isUndisturbed(daemon: string, from: number, until: number): boolean {
    return isUndisturbed(this.disturbances, this.bounds.contactMs, {daemon, from, until})
  }

  /// Counts the callers of a daemon between an early reload and its next service, and those of them who got no
  /// answer.
  countCallers({daemon, at, servesAfterMs}: EarlyReload): {callers?: number; unanswered?: number} {
    if (servesAfterMs === undefined) return {}
    const callers = [...this.requests.values()].filter(
      request =>
        request.daemon === daemon &&
        request.sentAt >= at &&
        request.sentAt < at + servesAfterMs &&
        request.endedAt !== request.sentAt
    )
    return {callers: callers.length, unanswered: callers.filter(({status}) => status === undefined).length}
  }

  /// Returns every violation of a promise.
  check(): Violation[] {
    const executionsByRequest = groupBy(this.executions, execution => execution.requestId)
    const violations = [...this.observedViolations]
    for (const request of this.requests.values()) {
      const executions = (executionsByRequest.get(request.id) ?? []).filter(
        execution => !execution.promptOnly
      )
      violations.push(...this.checkRequest(request, executions))
    }
    for (const execution of this.executions) violations.push(...this.checkExecution(execution))
    violations.push(...findOrderViolations(this.orders, this.bounds.leaseMs))
    for (const tenant of Object.keys(SOAK_QUOTAS)) violations.push(...this.checkQuota(tenant))
    for (const {body, ends, lateRetries} of this.findCrashOutcomes())
      if (lateRetries > ALLOWED_LATE_RETRIES)
        violations.push({
          promise: "a request that ended three back ends is kept away from others",
          text: `${body}: ${lateRetries} times more, ${ends} ended`
        })
    violations.push(...this.signals.check(), ...this.findCallersCutBySilence().violations)
    violations.push(...findCutViolations(this.findCutOutcomes()))
    violations.push(...findVersionViolations(this.findVersionOutcome()))
    violations.push(...findPartViolations(this.findPartsOutcome()))
    violations.push(...findSkewViolations(this.findSkewOutcome()))
    for (const {service, seen, allowed, from} of this.findWorstRetryWindows()) {
      const text = `${service}: ${seen} of ${allowed} from ${from} ms`
      if (seen > allowed) violations.push({promise: "repeats stay within the retry budget", text})
    }
    return violations
  }

  /// Counts the requests beside silent back ends with nothing else wrong, and finds those that were ended too soon.
  findCallersCutBySilence(): ReturnType<typeof findCallersCutBySilence> {
    return findCallersCutBySilence(
      this.silences,
      this.requests.values(),
      this.disturbances,
      this.bounds.contactMs
    )
  }

  /// Counts the first tries of callers during each cut.
  findCutOutcomes(): CutOutcome[] {
    const {contactMs, configMs, marginMs} = this.bounds
    const isAllowed = (request: CallerRecord) => {
      const {needsKey, sentAt, endedAt = Infinity} = request
      return needsKey !== true || this.wasKeyValid(request, sentAt - configMs - marginMs, endedAt, "always")
    }
    const {disturbances} = this
    return findCutOutcomes(this.cuts, [...this.requests.values()], {disturbances, contactMs, isAllowed})
  }

  /// Counts the streams whose callers take them up.
  findVersionOutcome(): VersionOutcome {
    const {versionSpans: spans, disturbances} = this
    return findVersionOutcome(this.streams, {spans, disturbances, contactMs: this.bounds.contactMs})
  }

  /// Counts the requests whose prompts share parts.
  findPartsOutcome(): PartsOutcome {
    const {contactMs, marginMs} = this.bounds
    return findPartsOutcome(this.partRequests, {
      crashes: this.partCrashes,
      arrivals: this.arrivals,
      isInTouch: (daemon, from, until) => this.isUndisturbed(daemon, from - marginMs, until),
      contactMs: contactMs + marginMs
    })
  }

  /// Counts the requests while most new connections go to one daemon.
  findSkewOutcome(): SkewOutcome {
    return findSkewOutcome(this.skewedRequests, this.bounds.contactMs)
  }

  /// The worst window of retries of each service, counted at the back ends.
  findWorstRetryWindows(): RetryWindow[] {
    return findWorstWindows(this.arrivals, this.getServiceRequests(), this.bounds.retries)
  }

  /// The crashes and late retries of each request that crashes back ends.
  findCrashOutcomes(): CrashOutcome[] {
    const {contactMs, marginMs} = this.bounds
    const isInContact = (id: string, at: number) =>
      this.isUndisturbed(this.requests.get(id)?.daemon ?? "", at - marginMs, at)
    const findBody = (id: string) => this.requests.get(id)?.crashingBody
    return findCrashOutcomes(this.crashes, this.arrivals, findBody, isInContact, contactMs + marginMs)
  }

  /// The requests by the services of their routes. While a route moves, its requests count for both services.
  private getServiceRequests(): ServiceRequest[] {
    const {configMs} = this.bounds
    return [...this.requests.values()].flatMap(({route, sentAt: at}) =>
      [...this.getServices(route, at - configMs, at + configMs)].map(service => ({service, at}))
    )
  }

  /// Checks the tokens of a tenant that all back ends execute within any window. The bound holds under all faults.
  private checkQuota(tenant: string): Violation[] {
    const {windowS, overage, slackTokens} = QUOTA_RULE
    const {ratePerSecond, burst} = SOAK_QUOTAS[tenant]
    const allowed = (ratePerSecond * windowS + burst) * (1 + overage) + slackTokens
    const executions = this.executions.filter(
      execution => execution.tenant === tenant && !execution.promptOnly
    )
    const inOrder = [...executions].sort((left, right) => left.at - right.at)
    let first = 0
    let sum = 0
    let worst = 0
    for (const execution of inOrder) {
      sum += execution.tokens ?? UNCACHED_TOKENS
      while (inOrder[first].at <= execution.at - windowS * 1000)
        sum -= inOrder[first++].tokens ?? UNCACHED_TOKENS
      worst = Math.max(worst, sum)
    }
    const text = `${tenant}: ${worst} of ${Math.round(allowed)} tokens`
    return worst > allowed ? [{promise: "a tenant stays within its quota", text}] : []
  }

  private checkRequest(request: CallerRecord, executions: readonly ExecutionRecord[]): Violation[] {
    const found: Violation[] = []
    const {id, form, status, sentAt, endedAt, timeoutMs} = request
    const addViolation = (promise: string, text: string) =>
      found.push({promise, text: `${id} (${request.route} by ${request.daemon}) ${text}`})
    if (status === undefined && isCutByStop(this.disturbances, this.bounds.contactMs, request))
      addViolation("a planned stop cuts no request", "was cut")
    if (form === "non_idempotent" && executions.length > 1)
      addViolation("runs at most once", `ran ${executions.length} times`)
    if (
      form === "non_idempotent" &&
      status !== undefined &&
      NOT_EXECUTED.has(status) &&
      executions.length > 0
    )
      addViolation("a refusal as not run is true", `got ${status} and ran at ${executions[0].backend}`)
    if (
      status === STATUS_UNAUTHORIZED &&
      this.wasKeyValid(
        request,
        sentAt - this.bounds.configMs - this.bounds.marginMs,
        endedAt ?? Infinity,
        "always"
      )
    )
      addViolation("a valid key is not denied", "got 401")
    if (status !== undefined && status < FIRST_FAILURE_STATUS)
      this.checkSuccess(request, executions, addViolation)
    const dueAt = sentAt + timeoutMs + this.bounds.marginMs
    if ((endedAt ?? Infinity) > dueAt && this.isUndisturbed(request.daemon, sentAt, dueAt))
      addViolation("an answer at the time-out", `had none ${Math.round(dueAt - sentAt)} ms after it was sent`)
    return found
  }

  /// Whether the caller's key was valid during the whole period, or at some time in it.
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
    executions: readonly ExecutionRecord[],
    addViolation: (promise: string, text: string) => void
  ): void {
    const {id, form, signature, body, complete} = request
    const execution = executions.find(candidate => candidate.backend === signature)
    if (!execution)
      addViolation(
        "a caller receives the whole answer to its own request",
        `signed ${signature}, which did not run it`
      )
    if (form === "streaming") {
      const problem = findStreamProblem(id, body ?? "", complete ?? false)
      if (problem) addViolation("a stream has every piece once, in order", problem)
    } else if (body !== formatBody(id))
      addViolation("a caller receives the whole answer to its own request", `body ${body}`)
  }

  private checkExecution(execution: ExecutionRecord): Violation[] {
    const request = this.requests.get(execution.requestId)
    if (!request)
      return [
        {promise: "only what callers sent is run", text: `${execution.requestId} at ${execution.backend}`}
      ]
    const found: Violation[] = []
    const undisturbed = this.isUndisturbed(request.daemon, request.sentAt, execution.at)
    const tenant = request.needsKey ? findTenant(request.key) : undefined
    if (request.needsKey !== undefined && execution.tenant !== tenant)
      found.push({
        promise: "a request runs in its caller's name",
        text: `${request.id} ran for ${execution.tenant}, not ${tenant}`
      })
    const oldest = undisturbed ? request.sentAt - this.bounds.configMs - this.bounds.marginMs : -Infinity
    if (!this.getServices(request.route, oldest, execution.at).has(execution.service))
      found.push({
        promise: "a configuration is in force in time",
        text: `${request.id} ran at ${execution.service}`
      })
    if (request.needsKey && !this.wasKeyValid(request, oldest, execution.at, "ever"))
      found.push({
        promise: "no request runs without a valid key",
        text: `${request.id} at ${execution.backend}`
      })
    const drainedAt = this.drainStarts.get(execution.backend) ?? Infinity
    if (undisturbed && execution.at > drainedAt + this.bounds.drainMs + this.bounds.marginMs)
      found.push({
        promise: "a leaving back end gets no new work",
        text: `${request.id} at ${execution.backend} by ${request.daemon}`
      })
    return found
  }

  /// The services that a route led to at any time in the period.
  private getServices(route: string, from: number, until: number): Set<string> {
    const steps = this.routes.filter(step => step.route === route && step.at <= until)
    const services = new Set<string>()
    steps.forEach((step, i) => {
      const next = steps.at(i + 1)
      if (!next || next.at >= from) services.add(step.service)
    })
    return services
  }
}

/// The body of the answer to a request when it isn't streamed.
export function formatBody(id: string): string {
  return `answer to ${id}.`
}
