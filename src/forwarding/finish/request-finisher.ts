/// Ends requests: every request gets exactly one answer, or none if its caller has disconnected; its attempt
/// is stopped, and a KV cache that will not be used is freed. A request is refused as not executed only if no
/// back end can have executed it.
import type {EffectSink} from "../../shared/effect-sink.js"
import {addUnansweredSample} from "../pace/attempt-pace.js"
import {STATUS_UNAVAILABLE} from "../../shared/http-status.js"
import {
  type DecisionFields,
  type ForwardAnswers,
  STATUS_BROKEN,
  STATUS_DEADLINE,
  STATUS_OVER_QUOTA
} from "./forward-answers.js"
import type {ForwardEffect, ForwardFailure} from "../forward-messages.js"
import {
  getAttempts,
  isFinishedWithoutCaller,
  removeAttempt,
  resumeStalled,
  type LiveAttempt,
  type Session
} from "../forward-session.js"
import type {RetryAfter} from "../admit/retry-after.js"
import type {QuotaGate} from "../admit/quota-gate.js"
import type {QuotaRefusal} from "../admit/tenant-quota.js"

/// Ends the requests of one daemon. Times are monotonic milliseconds.
export class RequestFinisher {
  constructor(
    private readonly retryAfter: RetryAfter,
    private readonly sessions: Map<string, Session>,
    private readonly answers: ForwardAnswers,
    private readonly quotaGate: QuotaGate,
    private readonly emit: EffectSink<ForwardEffect>
  ) {}

  /// The caller has disconnected: cancels the attempt, or lets it finish and discards its answer.
  finishCancelled(session: Session, now: number): void {
    const {attempt} = session
    const finished = attempt !== undefined && isFinishedWithoutCaller(session)
    this.answers.logDecision("request.cancelled", session, {
      afterMs: Math.round(now - session.request.arrivedAt),
      finished: finished || undefined
    })
    if (finished) {
      if (session.stalled) this.stopAttempt(session, session.stalled, now)
      session.abandoned = true
      this.emit({kind: "abandonAttempt", attemptId: attempt.attemptId})
      return
    }
    this.stopAttempts(session, now)
    this.finish(session, now)
  }

  /// The quota of the tenant does not allow the request.
  finishOverQuota(session: Session, {retryAfterMs, fields}: QuotaRefusal, now: number): void {
    session.quotaState = "refused"
    const {request, tenant} = session
    this.answers.sendFailure(request, STATUS_OVER_QUOTA, "over-quota", retryAfterMs, now, session, {
      tenant: tenant?.name,
      ...fields
    })
    this.finish(session, now)
  }

  /// The answer is not awaited any longer: the deadline of the request has passed, the process exits, or the
  /// request cannot be handled further.
  finishUnanswered(session: Session, failure: "deadline" | "stopping" | "broken", now: number): void {
    const notExecuted = !session.attempt && !session.mayHaveExecuted
    if (failure === "deadline" && session.attempt && !session.attempt.streaming)
      addUnansweredFailure(session.attempt, now)
    this.stopAttempts(session, now)
    if (notExecuted)
      this.finishFailed(session, STATUS_UNAVAILABLE, failure, this.retryAfter.getNotServedMs(), now)
    else {
      const status = failure === "broken" ? STATUS_BROKEN : STATUS_DEADLINE
      this.finishFailed(session, status, failure, undefined, now)
    }
  }

  /// The answer of the attempt is complete: passes it on to the caller.
  finishAnswered(session: Session, attempt: LiveAttempt, status: number, now: number): void {
    const {attemptId} = attempt
    if (session.abandoned) this.emit({kind: "abortAttempt", attemptId})
    else this.emit({kind: "replyWhole", requestId: session.request.id, attemptId})
    this.answers.logDecision("request.answered", session, {
      backend: attempt.choice.backend.record.id,
      status,
      streamed: session.relaying,
      afterMs: Math.round(now - session.request.arrivedAt),
      sends: session.sends
    })
    this.finish(session, now)
  }

  /// The successor of a stalled attempt is over: continues with the stalled one alone. Returns whether it did.
  resumeStalled(session: Session): boolean {
    const isResumed = resumeStalled(session)
    if (isResumed) this.removeKv(session)
    return isResumed
  }

  /// No back end served the request: refuses it as not executed if that is certain. A request whose stalled
  /// attempt is still in progress goes on with that.
  finishNotServed(
    session: Session,
    failure: ForwardFailure,
    now: number,
    retryAfterMs = this.retryAfter.getNotServedMs(),
    reasons: DecisionFields = {}
  ): void {
    if (this.resumeStalled(session)) return
    if (session.mayHaveExecuted) this.finishFailed(session, STATUS_BROKEN, failure, undefined, now, reasons)
    else this.finishFailed(session, STATUS_UNAVAILABLE, failure, retryAfterMs, now, reasons)
  }

  /// Answers with a failure that the daemon generates.
  finishFailed(
    session: Session,
    status: number,
    failure: ForwardFailure,
    retryAfterMs: number | undefined,
    now: number,
    reasons: DecisionFields = {}
  ): void {
    if (session.abandoned) this.answers.logDecision("request.failed", session, {failure, abandoned: true})
    else if (session.relaying) this.answers.sendBroken(session, failure, now)
    else this.answers.sendFailure(session.request, status, failure, retryAfterMs, now, session, reasons)
    this.finish(session, now)
  }

  /// Frees the KV cache that an engine keeps for the request.
  removeKv(session: Session): void {
    if (session.kvSource) this.emit({kind: "freeKv", source: session.kvSource})
    session.kvSource = undefined
  }

  private stopAttempts(session: Session, now: number): void {
    for (const attempt of getAttempts(session)) this.stopAttempt(session, attempt, now)
  }

  private stopAttempt(session: Session, attempt: LiveAttempt, now: number): void {
    addUnansweredSample(attempt, now)
    this.emit({kind: "abortAttempt", attemptId: attempt.attemptId})
    if (!attempt.choice.prefillOnly) session.wasStopped = true
    removeAttempt(session, attempt)
  }

  private finish(session: Session, now: number): void {
    this.removeKv(session)
    this.quotaGate.onRequestFinished(session, now)
    this.sessions.delete(session.request.id)
  }
}

/// Records in the back end's health that an attempt had no answer by its deadline. An engine that still
/// answers other requests was only busy; a plain back end should have answered.
function addUnansweredFailure(attempt: LiveAttempt, now: number): void {
  const {backend} = attempt.choice
  if (backend.health.isSilent(now)) backend.health.onUnreachable(now)
  else if (backend.record.stage === undefined) backend.health.addFailure(now)
}
