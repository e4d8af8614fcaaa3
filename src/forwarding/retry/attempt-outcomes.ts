/// Handles the events of each attempt: updates the session and the back end's health, then has the request
/// retried (as retry-policy.ts decides), answered or failed. stalled-attempts.ts handles those that only decide
/// which of two attempts goes on.
import type {EffectSink} from "../../shared/effect-sink.js"
import {FIRST_SERVER_ERROR_STATUS, FIRST_UNSUCCESSFUL_STATUS} from "../../shared/http-status.js"
import {addFirstEventSample, addCompletedSample} from "../pace/attempt-pace.js"
import type {AttemptSender} from "./attempt-sender.js"
import type {BackendPicker} from "../choose/backend-picker.js"
import type {SignalReport} from "../backends/backend-signals.js"
import type {BackendView} from "../backends/backend-view.js"
import {type ForwardAnswers, STATUS_BROKEN} from "../finish/forward-answers.js"
import type {ForwardLimits} from "../admit/forward-limits.js"
import type {ForwardAttemptEvent, ForwardEffect, ForwardFailure} from "../forward-messages.js"
import {
  addFailedAttempt,
  addProgress,
  removeAttempt,
  setOrigin,
  type LiveAttempt,
  type Session
} from "../forward-session.js"
import type {BackendPaths} from "../paths/backend-paths.js"
import type {KvIndex} from "../kv-cache/kv-index.js"
import type {QuarantineGate} from "../admit/quarantine-gate.js"
import type {ResumptionGate} from "../admit/resumption-gate.js"
import type {RequestFinisher} from "../finish/request-finisher.js"
import type {RetryPolicy} from "./retry-policy.js"
import type {StalledAttempts} from "./stalled-attempts.js"

type EventOf<Kind extends ForwardAttemptEvent["kind"]> = Extract<ForwardAttemptEvent, {kind: Kind}>

/// What the outcomes rely on.
interface AttemptOutcomesDependencies {
  readonly sender: AttemptSender
  readonly stalledAttempts: StalledAttempts
  readonly retryPolicy: RetryPolicy
  readonly finisher: RequestFinisher
  readonly picker: BackendPicker
  readonly kvIndex: KvIndex
  readonly limits: ForwardLimits
  readonly answers: ForwardAnswers
  readonly quarantineGate: QuarantineGate
  readonly resumptionGate: ResumptionGate
  readonly paths: BackendPaths
  /// Called once for each request of a tenant when a back end has begun to execute it, with the time at
  /// which it began. Monotonic milliseconds.
  readonly onExecutionStarted: (tenant: string, at: number) => void
  /// Called with the signals that a back end sent in an answer.
  readonly onSignals: (view: BackendView, report: SignalReport, now: number) => void
  readonly emit: EffectSink<ForwardEffect>
}

/// Handles the attempts of one daemon. Times are monotonic milliseconds.
export class AttemptOutcomes {
  constructor(private readonly dependencies: AttemptOutcomesDependencies) {}

  /// Handles an event of the live attempt of a request.
  receive(session: Session, attempt: LiveAttempt, event: ForwardAttemptEvent, now: number): void {
    this.applySignals(attempt, event, now)
    if (isAnswer(event))
      this.dependencies.paths.onAnswered(
        attempt.choice.backend.record.id,
        attempt.via,
        attempt.startedAt,
        now
      )
    if (this.dependencies.stalledAttempts.receive(session, attempt, event, now)) return
    switch (event.kind) {
      case "sent":
        attempt.sentAt = now
        break
      case "unreachable":
        this.onUnreachable(session, attempt, event, now)
        break
      case "notExecuted":
        this.onNotExecuted(session, attempt, event.status, event.wrongIncarnation, now)
        break
      case "prefilled":
        this.onPrefilled(session, attempt, event.handle, now)
        break
      case "streamStarted":
        this.onStreamStarted(session, attempt, now)
        break
      case "streamProgress":
        attempt.choice.backend.onAnswering(attempt.attemptId, now)
        addProgress(attempt, now)
        if (!session.origin) this.onStreamBegan(session, attempt, now)
        if (event.lastEventId !== undefined) session.lastEventId = event.lastEventId
        break
      case "answerProgress":
        attempt.choice.backend.onAnswering(attempt.attemptId, now)
        break
      case "connectionSilent":
        attempt.connectionSilent = true
        break
      case "whole":
        this.onComplete(session, attempt, event.status, now)
        break
      case "broken":
        if (!event.isInvalidAnswer && attempt.via === undefined && !this.dependencies.paths.isCutOff())
          this.dependencies.quarantineGate.addBrokenAttempt(session, attempt, now)
        this.onBroken(session, attempt, event, now)
        break
    }
  }

  /// Reports the signals in an answer, unless the back end has restarted since the attempt began: they apply
  /// to the incarnation that sent them.
  private applySignals(
    {choice, startedAt, bornMs}: LiveAttempt,
    event: ForwardAttemptEvent,
    now: number
  ): void {
    if (!("signals" in event) || !event.signals || choice.backend.record.bornMs !== bornMs) return
    const report = {signals: event.signals, sentAt: startedAt, isConclusive: isRegularAnswer(event)}
    this.dependencies.onSignals(choice.backend, report, now)
  }

  private onUnreachable(
    session: Session,
    attempt: LiveAttempt,
    {reason, tunnelFailure}: EventOf<"unreachable">,
    now: number
  ): void {
    const {answers, finisher, paths, picker, retryPolicy, sender} = this.dependencies
    const {choice, via, startedAt, tunnelFailures} = attempt
    this.dependencies.quarantineGate.onAttemptUnreachable(session, attempt)
    if (session.abandoned) {
      removeAttempt(session, attempt)
      finisher.finishNotServed(session, "unreachable", now)
      return
    }
    const backendId = choice.backend.record.id
    const failed = {backendId, via, reason, startedAt, tunnelFailures}
    const {retryVia, isBackendLost} = paths.onConnectionFailed(failed, tunnelFailure, now)
    if (isBackendLost) choice.backend.health.onUnreachable(now)
    removeAttempt(session, attempt)
    answers.logDecision("request.attempt-failed", session, {backend: backendId, via, reason})
    const mayRetry = retryPolicy.mayRetryUnreachable(session, now)
    if (mayRetry && retryVia !== undefined && picker.isStillAllowed(choice, session.origin)) {
      const failures = via === undefined ? 0 : tunnelFailures + 1
      sender.resend(session, choice, {via: retryVia, tunnelFailures: failures}, now)
      return
    }
    session.excluded.add(backendId)
    if (!finisher.resumeStalled(session)) this.retryOrFinish(session, mayRetry, "unreachable", now)
  }

  private onNotExecuted(
    session: Session,
    attempt: LiveAttempt,
    status: number,
    wrongIncarnation: boolean,
    now: number
  ): void {
    const {backend} = attempt.choice
    if (!wrongIncarnation) backend.health.addRejection(now)
    else if (backend.record.address === attempt.address) backend.removed = true
    removeAttempt(session, attempt)
    session.arrivals += 1
    session.excluded.add(backend.record.id)
    this.dependencies.finisher.removeKv(session)
    this.dependencies.answers.logDecision("request.turned-away", session, {
      backend: backend.record.id,
      status,
      wrongIncarnation
    })
    if (this.dependencies.finisher.resumeStalled(session)) return
    const mayRetry = this.dependencies.retryPolicy.tryRetryNotExecuted(session, now)
    this.retryOrFinish(session, mayRetry, "turned-away", now)
  }

  private onPrefilled(session: Session, attempt: LiveAttempt, handle: string, now: number): void {
    const {backend} = attempt.choice
    backend.onAnswering(attempt.attemptId, now)
    backend.health.addSuccess(now)
    removeAttempt(session, attempt)
    session.prefills += 1
    this.dependencies.picker.addPromptSample(attempt.choice, now - attempt.startedAt)
    this.addComputedPrompt(session, backend)
    session.kvSource = {address: attempt.address, handle}
    this.dependencies.answers.logDecision("request.prefilled", session, {
      backend: backend.record.id,
      afterMs: Math.round(now - attempt.startedAt)
    })
    this.dependencies.sender.send(session, now)
  }

  private onStreamStarted(session: Session, attempt: LiveAttempt, now: number): void {
    attempt.streaming = true
    attempt.choice.backend.onAnswering(attempt.attemptId, now)
    session.relaying = true
    session.mayHaveExecuted = true
    this.onExecutionStarted(session, now)
    this.dependencies.answers.logDecision("request.streaming", session, {
      backend: attempt.choice.backend.record.id,
      afterMs: Math.round(now - session.request.arrivedAt)
    })
    addFirstEventSample(attempt, session.kvSource !== undefined, now)
    if (session.kvSource) session.kvSource = undefined
    else this.addComputedPrompt(session, attempt.choice.backend)
  }

  /// The first event of the stream has been passed on.
  private onStreamBegan(session: Session, attempt: LiveAttempt, now: number): void {
    setOrigin(session, attempt)
    this.dependencies.resumptionGate.onStreamBegan(session, now)
  }

  private onComplete(session: Session, attempt: LiveAttempt, status: number, now: number): void {
    const {backend} = attempt.choice
    const failed = status >= FIRST_SERVER_ERROR_STATUS
    this.dependencies.quarantineGate.addAnswer(session, attempt, status < FIRST_UNSUCCESSFUL_STATUS, now)
    this.addExecution(session, attempt)
    if (failed) backend.health.addFailure(now)
    else backend.health.addSuccess(now)
    if (!failed) addCompletedSample(attempt, now)
    if (!failed) this.dependencies.picker.addAnswerSample(attempt.choice, now - attempt.startedAt)
    if (failed && this.dependencies.retryPolicy.tryRetryExecuted(session, now)) {
      this.dependencies.answers.logDecision("request.attempt-failed", session, {
        backend: backend.record.id,
        status
      })
      session.excluded.add(backend.record.id)
      this.dropAnswer(attempt)
      this.dependencies.sender.send(session, now)
      return
    }
    // The caller has part of a stream, and the resumed attempt answered with a failure: the answer must not
    // look like a stream that ended normally.
    if (session.relaying && !attempt.streaming) {
      this.dropAnswer(attempt)
      this.dependencies.finisher.finishFailed(session, STATUS_BROKEN, "broken", undefined, now)
    } else this.dependencies.finisher.finishAnswered(session, attempt, status, now)
  }

  /// Discards an answer, which is otherwise buffered until it is passed on.
  private dropAnswer({attemptId}: LiveAttempt): void {
    this.dependencies.emit({kind: "abortAttempt", attemptId})
  }

  /// The attempt failed after its back end may have begun to execute the request, or to compute its prompt.
  private onBroken(
    session: Session,
    attempt: LiveAttempt,
    {reason, isInvalidAnswer}: EventOf<"broken">,
    now: number
  ): void {
    const {retryPolicy, sender, finisher, paths} = this.dependencies
    const isPathSuspect = attempt.via !== undefined && !isInvalidAnswer
    if (isPathSuspect) paths.onTunnelFailed(attempt.via, now)
    else if (!attempt.connectionSilent) attempt.choice.backend.health.addFailure(now)
    this.addFailed(session, attempt, reason)
    if (finisher.resumeStalled(session)) return
    // A request that is not sent again takes no retry of the budget.
    if (!session.abandoned && sender.refuseIfQuarantined(session, now)) return
    if (attempt.choice.prefillOnly)
      this.retryOrFinish(session, retryPolicy.tryRetryNotExecuted(session, now), "turned-away", now)
    else if (retryPolicy.tryRetryExecuted(session, now)) sender.send(session, now)
    else finisher.finishFailed(session, STATUS_BROKEN, "broken", undefined, now)
  }

  /// The attempt is over without a result.
  private addFailed(session: Session, attempt: LiveAttempt, reason: string): void {
    this.dependencies.answers.logDecision("request.attempt-failed", session, {
      backend: attempt.choice.backend.record.id,
      reason
    })
    removeAttempt(session, attempt)
    addFailedAttempt(session, attempt)
    session.silent.delete(attempt.choice.backend.record.id)
    if (!attempt.choice.prefillOnly) this.onExecutionStarted(session, attempt.startedAt)
  }

  /// Retries the request, or answers that no back end served it.
  private retryOrFinish(session: Session, mayRetry: boolean, failure: ForwardFailure, now: number): void {
    if (mayRetry) this.dependencies.sender.send(session, now)
    else this.dependencies.finisher.finishNotServed(session, failure, now)
  }

  /// The attempt is over, and its back end may have executed the request.
  private addExecution(session: Session, attempt: LiveAttempt): void {
    removeAttempt(session, attempt)
    session.arrivals += 1
    session.executions += 1
    session.mayHaveExecuted = true
    this.onExecutionStarted(session, attempt.startedAt)
  }

  /// A back end has begun to execute the request, at `at` as far as that is known. Reports this once for each
  /// request of a tenant.
  private onExecutionStarted(session: Session, at: number): void {
    if (session.countedForTenant || !session.tenant) return
    session.countedForTenant = true
    this.dependencies.onExecutionStarted(session.tenant.name, at)
  }

  /// Records that the back end now keeps the shared parts of the prompt.
  private addComputedPrompt(session: Session, backend: BackendView): void {
    const {prompt} = session.request
    if (!prompt) return
    const engine = this.dependencies.limits.getEngine(session.service)
    if (engine)
      this.dependencies.kvIndex.addComputedPrompt(backend.record.id, prompt, engine.kvCapacityTokens)
  }
}

/// Whether the back end sent this.
function isAnswer({kind}: ForwardAttemptEvent): boolean {
  return kind !== "unreachable" && kind !== "sent" && kind !== "connectionSilent" && kind !== "broken"
}

/// Whether a back end sent this answer in normal operation, neither rejecting the request nor failing.
function isRegularAnswer(event: ForwardAttemptEvent): boolean {
  if (event.kind === "whole") return event.status < FIRST_SERVER_ERROR_STATUS
  return event.kind === "streamStarted" || event.kind === "prefilled"
}
