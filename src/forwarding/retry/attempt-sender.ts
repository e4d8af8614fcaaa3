/// Sends requests to the back ends that the picker chooses, or refuses them. A request has at most one live
/// attempt, beside a stalled one. Whether it may be retried is decided in retry-policy.ts.
import type {EffectSink} from "../../shared/effect-sink.js"
import type {BackendPicker} from "../choose/backend-picker.js"
import type {BackendView} from "../backends/backend-view.js"
import type {BackendChoice, BackendQuery} from "../choose/backend-choice.js"
import type {ForwardAnswers} from "../finish/forward-answers.js"
import type {ForwardLimits} from "../admit/forward-limits.js"
import type {ForwardEffect} from "../forward-messages.js"
import {
  createAttempt,
  getPriority,
  getUrgency,
  type AttemptPath,
  type LiveAttempt,
  type Session
} from "../forward-session.js"
import type {ForwardSettings} from "../forward-settings.js"
import type {BackendPaths} from "../paths/backend-paths.js"
import type {QuarantineGate} from "../admit/quarantine-gate.js"
import {getLongestWaitMs, type QuotaGate} from "../admit/quota-gate.js"
import type {PermitManager} from "../permits/permit-manager.js"
import type {RetryAfter} from "../admit/retry-after.js"
import type {RequestFinisher} from "../finish/request-finisher.js"
import {isRepeatable, type RetryPolicy} from "./retry-policy.js"

/// Back ends that have already rejected the request count as well when looking for those that this daemon
/// backs off from.
const NONE_EXCLUDED: ReadonlySet<string> = new Set()

/// What the sender relies on.
interface AttemptSenderDependencies {
  readonly settings: ForwardSettings
  readonly picker: BackendPicker
  readonly retryPolicy: RetryPolicy
  readonly limits: ForwardLimits
  readonly retryAfter: RetryAfter
  readonly answers: ForwardAnswers
  readonly finisher: RequestFinisher
  readonly quotaGate: QuotaGate
  readonly quarantineGate: QuarantineGate
  readonly permits: PermitManager
  readonly paths: BackendPaths
  readonly emit: EffectSink<ForwardEffect>
}

/// Sends the requests of one daemon. Times are monotonic milliseconds.
export class AttemptSender {
  constructor(private readonly dependencies: AttemptSenderDependencies) {}

  /// Sends the request to the back end that the picker chooses, or refuses it.
  send(session: Session, now: number): void {
    const {finisher, limits, paths, retryAfter} = this.dependencies
    if (this.refuseIfQuarantined(session, now)) return
    const withoutPathMs = paths.getRefusalMs(now)
    if (withoutPathMs !== undefined) {
      finisher.finishNotServed(session, "unreachable", now, withoutPathMs)
      return
    }
    const limited = this.addPermitRequests(session, now)
    const choice = this.pickBackend(session, now)
    if (!choice) {
      if (limited.length > 0) this.waitForPermit(session, limited, now)
      else this.refuseWithoutBackend(session, now)
      return
    }
    session.awaitsPermit = false
    session.permitDueAt = undefined
    if (limits.isOverloaded(session, choice)) {
      finisher.finishNotServed(session, "overloaded", now, retryAfter.getOverloadedMs(session, choice, now))
      return
    }
    this.startChosen(session, choice, now)
  }

  /// Refuses a request that crashes back ends. Returns whether it did.
  refuseIfQuarantined(session: Session, now: number): boolean {
    const {finisher, quarantineGate} = this.dependencies
    const refusal = quarantineGate.findRefusal(session, now)
    if (refusal) finisher.finishNotServed(session, "quarantined", now, refusal.retryAfterMs, refusal.reasons)
    return refusal !== undefined
  }

  /// Sends the request again to the same back end by another path: no byte of it has reached the back end.
  resend(session: Session, choice: BackendChoice, path: AttemptPath, now: number): void {
    this.startAttempt(session, choice, path, now)
  }

  /// Finds the back end that takes the request now as its next attempt, for which one retry of the budget is
  /// kept; undefined if it would have to wait or be refused, or only doubtful back ends are left. `given` is the
  /// attempt that would be given up.
  findSuccessor(session: Session, given: LiveAttempt, now: number): BackendChoice | undefined {
    const {paths, quarantineGate} = this.dependencies
    if (quarantineGate.findRefusal(session, now)) return undefined
    if (paths.getRefusalMs(now) !== undefined) return undefined
    return (
      this.pickSuccessor(session, session.excluded, given, now) ?? this.pickRecovered(session, given, now)
    )
  }

  private pickSuccessor(
    session: Session,
    excluded: ReadonlySet<string>,
    given: LiveAttempt,
    now: number
  ): BackendChoice | undefined {
    const {limits, picker} = this.dependencies
    const choice = picker.pick(this.makeQuery(session, excluded, now, 1), now)
    if (!choice) return undefined
    if (choice.backend !== given.choice.backend && picker.isDoubtful(choice.backend, now)) return undefined
    return limits.isOverloaded(session, choice) ? undefined : choice
  }

  /// Picks a back end that was silent before and answers again, other than that of `given`, each at most once.
  private pickRecovered(session: Session, given: LiveAttempt, now: number): BackendChoice | undefined {
    const {excluded, silent} = session
    const others = new Set(
      [...excluded].filter(id => !silent.has(id) || id === given.choice.backend.record.id)
    )
    if (others.size === excluded.size) return undefined
    const choice = this.pickSuccessor(session, others, given, now)
    if (!choice || choice.backend.health.isSilent(now)) return undefined
    silent.delete(choice.backend.record.id)
    return choice
  }

  /// Sends the request to the back end that `findSuccessor` found in the same step.
  sendToSuccessor(session: Session, choice: BackendChoice, now: number): void {
    this.addPermitRequests(session, now)
    session.permitDueAt = undefined
    this.startChosen(session, choice, now)
  }

  /// Picks the back end for the next attempt: one that was silent before rather than a doubtful or full one.
  private pickBackend(session: Session, now: number): BackendChoice | undefined {
    const {limits, picker} = this.dependencies
    const choice = picker.pick(this.makeQuery(session, session.excluded, now), now)
    if (choice && !limits.isOverloaded(session, choice) && !picker.isDoubtful(choice.backend, now))
      return choice
    return this.pickSilent(session, now) ?? choice
  }

  /// Picks a back end that was given up before because it was silent, each at most once.
  private pickSilent(session: Session, now: number): BackendChoice | undefined {
    const {excluded, silent} = session
    if (silent.size === 0) return undefined
    const others = new Set([...excluded].filter(id => !silent.has(id)))
    const choice = this.dependencies.picker.pick(this.makeQuery(session, others, now), now)
    if (choice) silent.delete(choice.backend.record.id)
    return choice
  }

  /// Requests permits for the back ends that advertise a limit. Returns these back ends.
  private addPermitRequests(session: Session, now: number): readonly BackendView[] {
    const {permits, picker} = this.dependencies
    const demand = permits.getDemand(session.service)
    if (!demand) return []
    const groups = picker.findLimited(this.makeQuery(session, session.excluded, now), now)
    const priority = getPriority(session)
    const isNew = session.permitDueAt === undefined
    if (isNew && groups.some(({hasOthers}) => !hasOthers)) demand.addRequest(priority, now)
    for (const {limited, hasOthers} of groups)
      if (hasOthers) permits.ask(limited, priority, now)
      else permits.askAny(limited, priority, now)
    return groups.flatMap(({limited}) => limited)
  }

  /// Refuses the request because no back end can take it: none is available, or this daemon backs off from
  /// all of them.
  private refuseWithoutBackend(session: Session, now: number): void {
    const {finisher, picker} = this.dependencies
    const backedOff = picker.findBackingOff(this.makeQuery(session, NONE_EXCLUDED, now), now)
    if (backedOff.length === 0) {
      finisher.finishNotServed(session, "no-backend", now)
      return
    }
    const backOffEnd = Math.min(...backedOff.map(({signals}) => signals.getBackOffEnd()))
    finisher.finishNotServed(session, "backing-off", now, backOffEnd - now, {backends: getIds(backedOff)})
  }

  /// Only back ends that advertise a limit could take the request: it waits for a permit if one has been
  /// requested and not answered yet, and is refused immediately otherwise.
  private waitForPermit(session: Session, limited: readonly BackendView[], now: number): void {
    const {finisher, permits} = this.dependencies
    if (finisher.resumeStalled(session)) return
    session.permitDueAt ??= now + getLongestWaitMs(session.route)
    session.awaitsPermit = permits.isAsking(limited) && now < session.permitDueAt
    if (session.awaitsPermit) return
    const retryAfterMs = permits.getRetryAfterMs(limited, getPriority(session), now)
    finisher.finishNotServed(session, "backend-limit", now, retryAfterMs, {backends: getIds(limited)})
  }

  private makeQuery(
    session: Session,
    excluded: ReadonlySet<string>,
    now: number,
    reservedRetries = 0
  ): BackendQuery {
    const {limits, quarantineGate, retryPolicy} = this.dependencies
    const {request, route, service} = session
    return {
      service,
      prompt: request.prompt,
      isolatedCaller: quarantineGate.getIsolatedCaller(session, now),
      origin: session.origin,
      prefilled: session.kvSource !== undefined,
      prefilledAt: session.kvSource?.address,
      bodyBytes: request.bodyBytes,
      singleBackendOnly:
        session.triedPart !== undefined || !retryPolicy.mayComputeSeparately(session, now, reservedRetries),
      engine: limits.getEngine(service),
      targetLeftMs: request.arrivedAt + route.targetLatencyMs - now,
      excluded,
      maximumLocalInFlight: limits.getMaximumInFlight(service)
    }
  }

  private startChosen(session: Session, choice: BackendChoice, now: number): void {
    const {paths, retryPolicy} = this.dependencies
    if (choice.prefillOnly) retryPolicy.addPrefill(session, now)
    const via = paths.pickPeer(choice.backend.record.id, now)
    this.startAttempt(session, choice, {via, tunnelFailures: 0}, now)
  }

  private startAttempt(session: Session, choice: BackendChoice, path: AttemptPath, now: number): void {
    const {answers, paths, picker, quarantineGate, quotaGate} = this.dependencies
    picker.addAttempt(choice)
    paths.addAttempt(path.via)
    session.sends += 1
    if (!choice.prefillOnly) quotaGate.addSend(session, now)
    if (session.arrivals > 0) answers.logDecision("request.resumed", session, {sends: session.sends})
    const attemptId = `${session.request.id}/${session.sends}`
    const {backend} = choice
    const attempt = createAttempt(attemptId, choice, path, now)
    quarantineGate.onAttemptStarted(session, attempt, now)
    session.attempt = attempt
    backend.addAttempt(attemptId, session.kvSource ? 0 : choice.promptTokens, now, choice.overdue)
    this.logAttempt(session, attempt, now)
    this.emitStart(session, attempt, now)
  }

  private logAttempt(session: Session, {choice, pendingTokens, via}: LiveAttempt, now: number): void {
    const {backend} = choice
    this.dependencies.answers.logDecision("request.attempt", session, {
      backend: backend.record.id,
      version: backend.record.version,
      via,
      stage: choice.prefillOnly ? "prefill" : session.kvSource ? "generate" : "whole",
      reason: choice.reason,
      ...this.dependencies.picker.getDistanceFields(choice),
      promptTokens: choice.promptTokens,
      copyFrom: choice.copyFrom?.id,
      inFlight: backend.inFlight(),
      pendingTokens: Math.round(pendingTokens),
      expectedMs: choice.expectedMs && Math.round(choice.expectedMs),
      late: choice.overdue,
      remainingMs: Math.round(session.deadlineAt - now)
    })
  }

  private emitStart(session: Session, {attemptId, choice, via}: LiveAttempt, now: number): void {
    const {request, route} = session
    this.dependencies.emit({
      kind: "startAttempt",
      start: {
        requestId: request.id,
        attemptId,
        backend: choice.backend.record,
        tenant: session.tenant?.name,
        prefillOnly: choice.prefillOnly,
        kvSource: session.kvSource,
        copyFrom: choice.copyFrom?.address,
        remainingMs: Math.max(1, Math.floor(session.deadlineAt - now)),
        urgency: getUrgency(session, choice, this.dependencies.settings),
        stream: route.kind === "stream",
        once: !choice.prefillOnly && !isRepeatable(route),
        resumeAfter: session.lastEventId,
        ...(session.stalled && {reportSent: true}),
        ...(via === undefined ? {} : {via})
      }
    })
  }
}

function getIds(views: readonly BackendView[]): string[] {
  return views.map(({record}) => record.id)
}
