/// Forwards requests byte for byte: finds the route, chooses back ends, repeats what may be repeated within the
/// shared retry budget, and sees that every request has exactly one answer. One session per request, at most one
/// live attempt per session. A request that may not be repeated runs at most once, and is refused as "not run"
/// only when no back end can have seen it.
import type {EffectSink} from "../shared/effect-sink.js"
import type {BackendPicker} from "./backend-picker.js"
import type {BackendView} from "./backend-view.js"
import {ForwardAnswers, STATUS_BROKEN, STATUS_DEADLINE, STATUS_UNAVAILABLE} from "./forward-answers.js"
import {ForwardLimits} from "./forward-limits.js"
import type {ForwardSettings} from "./forward-settings.js"
import type {ForwardRequest} from "./forward-request.js"
import type {ForwardAttemptEvent, ForwardEffect, ForwardFailure} from "./forward-messages.js"
import {
  hasComeBack,
  isComputedAgain,
  isRepeatable,
  isStalled,
  mayPrefill,
  mayRunAgain,
  urgencyOf,
  type LiveAttempt,
  type Session
} from "./forward-session.js"
import type {KvIndex} from "./kv-index.js"
import {RequestAdmission, type AdmissionSurroundings} from "./request-admission.js"
import type {RetryAllowance} from "./retry-allowance.js"

/// What the machine asks of its surroundings, and tells them.
export interface ForwardSurroundings extends AdmissionSurroundings {
  /// Told once for each request of a tenant that a back end has begun to run, and when. Monotonic milliseconds.
  requestBegan(tenant: string, at: number): void
}

const FIRST_SERVER_ERROR = 500

/// The forwarding machine of one daemon. Times are monotonic milliseconds.
export class ForwardManager {
  private readonly sessions = new Map<string, Session>()
  private readonly admission: RequestAdmission
  private readonly answers: ForwardAnswers
  private readonly limits: ForwardLimits
  private resumedAt = -Infinity

  constructor(
    private readonly settings: ForwardSettings,
    private readonly surroundings: ForwardSurroundings,
    private readonly picker: BackendPicker,
    private readonly kvIndex: KvIndex,
    private readonly allowance: RetryAllowance,
    private readonly emit: EffectSink<ForwardEffect>
  ) {
    this.answers = new ForwardAnswers(emit)
    this.limits = new ForwardLimits(settings, surroundings)
    this.admission = new RequestAdmission(surroundings, this.limits, settings.stoppingRetryAfterMs)
  }

  /// Requests in hand.
  active(): number {
    return this.sessions.size
  }

  /// From now on new requests are refused: the process has no time left to finish them.
  closeForNew(): void {
    this.admission.close()
  }

  /// Takes a whole request from a caller.
  begin(request: ForwardRequest, now: number): void {
    const admission = this.admission.admit(request, now)
    if (admission.kind === "refused") {
      this.answers.sendRefusal(request, admission.failure, admission.retryAfterMs, now)
      return
    }
    if (admission.kind === "denied") {
      this.answers.sendFailure(request, admission.status, admission.failure, undefined, now)
      return
    }
    const {route, service, tenant} = admission
    const allowedMs = Math.min(route.timeoutMs, request.callerDeadlineMs ?? Infinity)
    const session: Session = {
      request,
      route,
      service,
      tenant,
      deadlineAt: request.arrivedAt + allowedMs,
      excluded: new Set(),
      attempt: undefined,
      sends: 0,
      arrivals: 0,
      runs: 0,
      prefills: 0,
      mayHaveRun: false,
      relaying: false,
      counted: false,
      lastEventId: undefined,
      kvSource: undefined
    }
    this.sessions.set(request.id, session)
    this.allowance.requestSeen(service, now)
    this.answers.logDecision("request.accepted", session, {
      route: route.name,
      tenant: tenant?.name,
      configuration: admission.configurationVersion
    })
    this.send(session, now)
  }

  /// The caller went away: the work is cancelled.
  cancel(requestId: string, now: number): void {
    const session = this.sessions.get(requestId)
    if (!session) return
    this.answers.logDecision("request.cancelled", session, {
      afterMs: Math.round(now - session.request.arrivedAt)
    })
    this.stopAttempt(session)
    this.over(session)
  }

  /// Takes what became of an attempt. Events of attempts that are no longer live are dropped.
  attemptEvent(requestId: string, attemptId: string, event: ForwardAttemptEvent, now: number): void {
    const session = this.sessions.get(requestId)
    const attempt = session?.attempt
    if (!session || attempt?.attemptId !== attemptId) return
    attempt.lastEventAt = now
    switch (event.kind) {
      case "unreachable":
        this.unreachable(session, attempt, event.reason, now)
        break
      case "notExecuted":
        this.notExecuted(session, attempt, event.status, event.wrongIncarnation, now)
        break
      case "prefilled":
        this.prefilled(session, attempt, event.handle, now)
        break
      case "streamStarted":
        this.streamStarted(session, attempt, now)
        break
      case "streamProgress":
        attempt.plan.backend.answering(attempt.attemptId, now)
        if (event.lastEventId !== undefined) session.lastEventId = event.lastEventId
        break
      case "whole":
        this.whole(session, attempt, event.status, now)
        break
      case "broken":
        this.broken(session, attempt, event.reason, now)
        break
    }
  }

  /// This process stood still until now. Its timers run before what waits in its sockets is read, so silence until now
  /// is nobody's.
  ownPauseEnded(now: number): void {
    this.resumedAt = now
    this.picker.ownPauseEnded(now)
  }

  /// Advances timers.
  tick(now: number): void {
    for (const session of [...this.sessions.values()]) {
      if (now >= session.deadlineAt) this.deadline(session, now)
      else if (session.attempt && isStalled(session, session.attempt, this.settings, now, this.resumedAt))
        this.moveAway(session, session.attempt, now)
    }
  }

  private send(session: Session, now: number): void {
    const {request, route} = session
    const wanted = {
      service: session.service,
      prompt: request.prompt,
      prefilled: session.kvSource !== undefined,
      prefilledAt: session.kvSource?.address,
      bodyBytes: request.bodyBytes,
      direct: !this.mayComputeApart(session, now),
      engine: this.limits.getEngine(session.service),
      targetLeftMs: request.arrivedAt + route.targetLatencyMs - now,
      excluded: session.excluded,
      maximumOwnInFlight: this.limits.getMaximumInFlight(session.service)
    }
    const plan = this.picker.pick(wanted, now)
    if (!plan) {
      this.failNotServed(session, "no-backend", now)
      return
    }
    if (this.limits.isFull(plan) || (plan.full && !hasComeBack(session))) {
      this.failNotServed(session, "overloaded", now, this.limits.getBacklogMs(session, plan, now))
      return
    }
    if (plan.prefillOnly && isComputedAgain(session))
      this.allowance.tryRepeat(session.service, this.surroundings.daemons(), now)
    session.sends += 1
    if (session.arrivals > 0) this.answers.logDecision("request.resumed", session, {sends: session.sends})
    const attemptId = `${request.id}/${session.sends}`
    const {backend} = plan
    const pendingBefore = backend.pendingTokens()
    session.attempt = {attemptId, plan, startedAt: now, lastEventAt: now, answering: false}
    const promptTokens = session.kvSource ? 0 : plan.promptTokens
    backend.begin(attemptId, promptTokens, now, plan.late)
    this.answers.logDecision("request.attempt", session, {
      backend: backend.record.id,
      stage: plan.prefillOnly ? "prefill" : session.kvSource ? "generate" : "whole",
      reason: plan.reason,
      ...this.picker.getDistanceFields(plan),
      promptTokens: plan.promptTokens,
      copyFrom: plan.copyFrom?.id,
      inFlight: backend.inFlight(),
      pendingTokens: Math.round(pendingBefore),
      expectedMs: plan.expectedMs && Math.round(plan.expectedMs),
      late: plan.late,
      remainingMs: Math.round(session.deadlineAt - now)
    })
    this.emit({
      kind: "startAttempt",
      start: {
        requestId: request.id,
        attemptId,
        backend: backend.record,
        tenant: session.tenant?.name,
        prefillOnly: plan.prefillOnly,
        kvSource: session.kvSource,
        copyFrom: plan.copyFrom?.address,
        remainingMs: Math.max(1, Math.floor(session.deadlineAt - now)),
        urgency: urgencyOf(session, plan, this.settings),
        stream: route.kind === "stream",
        once: !plan.prefillOnly && !isRepeatable(route),
        resumeAfter: session.lastEventId
      }
    })
  }

  /// A prompt that is computed apart once more is one arrival beside that of the run after it: both come out of the retry budget.
  private mayComputeApart(session: Session, now: number): boolean {
    if (!mayPrefill(session)) return false
    if (!isComputedAgain(session)) return true
    return this.allowance.left(session.service, this.surroundings.daemons(), now) >= 1
  }

  private unreachable(session: Session, attempt: LiveAttempt, reason: string, now: number): void {
    attempt.plan.backend.lost(now)
    this.endAttempt(session, attempt)
    session.excluded.add(attempt.plan.backend.record.id)
    this.answers.logDecision("request.attempt-failed", session, {
      backend: attempt.plan.backend.record.id,
      reason
    })
    this.sendAgain(session, "unreachable", now)
  }

  private notExecuted(
    session: Session,
    attempt: LiveAttempt,
    status: number,
    wrongIncarnation: boolean,
    now: number
  ): void {
    const {backend} = attempt.plan
    if (wrongIncarnation) backend.gone = true
    else backend.turnedAway(now)
    this.endAttempt(session, attempt)
    session.arrivals += 1
    session.excluded.add(backend.record.id)
    if (session.kvSource) this.dropKv(session)
    this.answers.logDecision("request.turned-away", session, {
      backend: backend.record.id,
      status,
      wrongIncarnation
    })
    if (!this.mayRepeat(session, now)) this.failNotServed(session, "turned-away", now)
    else this.sendAgain(session, "turned-away", now)
  }

  private prefilled(session: Session, attempt: LiveAttempt, handle: string, now: number): void {
    const {backend} = attempt.plan
    backend.answering(attempt.attemptId, now)
    backend.succeeded(now)
    this.endAttempt(session, attempt)
    session.prefills += 1
    this.picker.promptComputed(attempt.plan, now - attempt.startedAt)
    this.promptComputed(session, backend)
    session.kvSource = {address: backend.record.address, handle}
    this.answers.logDecision("request.prefilled", session, {
      backend: backend.record.id,
      afterMs: Math.round(now - attempt.startedAt)
    })
    this.send(session, now)
  }

  private streamStarted(session: Session, attempt: LiveAttempt, now: number): void {
    attempt.answering = true
    attempt.plan.backend.answering(attempt.attemptId, now)
    session.relaying = true
    session.mayHaveRun = true
    this.countBegun(session, now)
    this.answers.logDecision("request.streaming", session, {
      backend: attempt.plan.backend.record.id,
      afterMs: Math.round(now - session.request.arrivedAt)
    })
    if (session.kvSource) session.kvSource = undefined
    else this.promptComputed(session, attempt.plan.backend)
  }

  private whole(session: Session, attempt: LiveAttempt, status: number, now: number): void {
    const {backend} = attempt.plan
    session.arrivals += 1
    session.runs += 1
    session.mayHaveRun = true
    this.countBegun(session, attempt.startedAt)
    this.endAttempt(session, attempt)
    const failed = status >= FIRST_SERVER_ERROR
    if (failed) backend.failed(now)
    else backend.succeeded(now)
    if (!failed) this.picker.requestAnswered(attempt.plan, now - attempt.startedAt)
    if (failed && mayRunAgain(session) && this.mayRepeat(session, now)) {
      this.answers.logDecision("request.attempt-failed", session, {backend: backend.record.id, status})
      session.excluded.add(backend.record.id)
      this.send(session, now)
      return
    }
    // A failure in place of the rest of a stream that the caller has part of: its end must not look like the stream's.
    if (session.relaying && !attempt.answering) {
      this.fail(session, STATUS_BROKEN, "broken", undefined, now)
      return
    }
    this.emit({kind: "replyWhole", requestId: session.request.id, attemptId: attempt.attemptId})
    this.answers.logDecision("request.answered", session, {
      backend: backend.record.id,
      status,
      streamed: session.relaying,
      afterMs: Math.round(now - session.request.arrivedAt),
      sends: session.sends
    })
    this.over(session)
  }

  /// The back end may have worked: repeat only what may be repeated.
  private broken(session: Session, attempt: LiveAttempt, reason: string, now: number): void {
    const {backend} = attempt.plan
    backend.failed(now)
    this.endAttempt(session, attempt)
    session.arrivals += 1
    session.excluded.add(backend.record.id)
    this.answers.logDecision("request.attempt-failed", session, {backend: backend.record.id, reason})
    if (attempt.plan.prefillOnly) {
      session.prefills += 1
      if (this.mayRepeat(session, now)) this.sendAgain(session, "turned-away", now)
      else this.failNotServed(session, "turned-away", now)
      return
    }
    session.runs += 1
    session.mayHaveRun = true
    this.countBegun(session, attempt.startedAt)
    session.kvSource = undefined
    if (mayRunAgain(session) && this.mayRepeat(session, now)) {
      this.sendAgain(session, "broken", now)
      return
    }
    this.fail(session, STATUS_BROKEN, "broken", undefined, now)
  }

  private deadline(session: Session, now: number): void {
    const notRun = !session.attempt && !session.mayHaveRun
    if (session.attempt && !session.attempt.answering) this.unansweredAtDeadline(session.attempt, now)
    this.stopAttempt(session)
    if (notRun) this.fail(session, STATUS_UNAVAILABLE, "deadline", this.settings.retryAfterMs, now)
    else this.fail(session, STATUS_DEADLINE, "deadline", undefined, now)
  }

  /// An engine that answers others was only busy; a plain back end should have answered.
  private unansweredAtDeadline(attempt: LiveAttempt, now: number): void {
    const {backend} = attempt.plan
    if (backend.silent(now)) backend.lost(now)
    else if (backend.record.stage === undefined) backend.failed(now)
  }

  private moveAway(session: Session, attempt: LiveAttempt, now: number): void {
    if (this.allowance.left(session.service, this.surroundings.daemons(), now) < 1) return
    this.emit({kind: "abortAttempt", attemptId: attempt.attemptId})
    this.broken(session, attempt, "stalled", now)
  }

  /// Takes one repeat of the budget, when another send makes sense at all.
  private mayRepeat(session: Session, now: number): boolean {
    if (session.sends >= this.settings.maximumSends || now >= session.deadlineAt) return false
    return this.allowance.tryRepeat(session.service, this.surroundings.daemons(), now)
  }

  private sendAgain(session: Session, failure: ForwardFailure, now: number): void {
    if (session.sends >= this.settings.maximumSends || now >= session.deadlineAt)
      this.failNotServed(session, failure, now)
    else this.send(session, now)
  }

  /// No back end took it: refused as not run when that is certain.
  private failNotServed(
    session: Session,
    failure: ForwardFailure,
    now: number,
    retryAfterMs = this.settings.retryAfterMs
  ): void {
    if (session.mayHaveRun) this.fail(session, STATUS_BROKEN, failure, undefined, now)
    else this.fail(session, STATUS_UNAVAILABLE, failure, retryAfterMs, now)
  }

  private fail(
    session: Session,
    status: number,
    failure: ForwardFailure,
    retryAfterMs: number | undefined,
    now: number
  ): void {
    if (session.relaying) this.answers.sendBroken(session, failure, now)
    else this.answers.sendFailure(session.request, status, failure, retryAfterMs, now, session)
    this.over(session)
  }

  /// A back end has begun to run the request, at `at` as far as that is known.
  private countBegun(session: Session, at: number): void {
    if (session.counted || !session.tenant) return
    session.counted = true
    this.surroundings.requestBegan(session.tenant.name, at)
  }

  private promptComputed(session: Session, backend: BackendView): void {
    const {prompt} = session.request
    if (!prompt) return
    const engine = this.limits.getEngine(session.service)
    if (engine) this.kvIndex.addComputed(backend.record.id, prompt, engine.kvCapacityTokens)
  }

  private dropKv(session: Session): void {
    if (session.kvSource) this.emit({kind: "freeKv", source: session.kvSource})
    session.kvSource = undefined
  }

  private stopAttempt(session: Session): void {
    const {attempt} = session
    if (!attempt) return
    this.emit({kind: "abortAttempt", attemptId: attempt.attemptId})
    this.endAttempt(session, attempt)
  }

  private endAttempt(session: Session, attempt: LiveAttempt): void {
    attempt.plan.backend.end(attempt.attemptId)
    session.attempt = undefined
  }

  private over(session: Session): void {
    this.dropKv(session)
    this.sessions.delete(session.request.id)
  }
}
