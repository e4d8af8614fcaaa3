/// Keeps an attempt that makes no progress beside the one that follows it, until one of them goes on: the silent
/// back end may answer again, and the successor may be rejected or fail. Two attempts of a request are in
/// progress at most, and only of requests that may be executed again.
import type {EffectSink} from "../../shared/effect-sink.js"
import {FIRST_SERVER_ERROR_STATUS} from "../../shared/http-status.js"
import type {QuarantineGate} from "../admit/quarantine-gate.js"
import type {ForwardAnswers} from "../finish/forward-answers.js"
import type {RequestFinisher} from "../finish/request-finisher.js"
import type {ForwardAttemptEvent, ForwardEffect} from "../forward-messages.js"
import {
  addFailedAttempt,
  makeSessionWithoutAttempt,
  removeAttempt,
  setStalled,
  type LiveAttempt,
  type Session
} from "../forward-session.js"
import {addUnansweredSample} from "../pace/attempt-pace.js"
import type {BackendPaths} from "../paths/backend-paths.js"
import type {AttemptSender} from "./attempt-sender.js"
import type {RetryPolicy} from "./retry-policy.js"

/// Interval between searches for another back end for a stalled request. Milliseconds. A search examines
/// every back end, and many requests stall at once when all back ends are saturated.
const SEARCH_INTERVAL_MS = 200
/// A stalled attempt at an engine is aborted this long after its successor was sent, whatever that does: an engine
/// that goes on would compute the same answer a second time. Milliseconds; the engines' contract allows 400.
const ENGINE_OVERLAP_MS = 250

/// What the stalled attempts rely on.
interface StalledAttemptsDependencies {
  readonly sender: AttemptSender
  readonly retryPolicy: RetryPolicy
  readonly finisher: RequestFinisher
  readonly answers: ForwardAnswers
  readonly quarantineGate: QuarantineGate
  readonly paths: BackendPaths
  readonly emit: EffectSink<ForwardEffect>
}

/// The stalled attempts of one daemon. Times are monotonic milliseconds.
export class StalledAttempts {
  constructor(private readonly dependencies: StalledAttemptsDependencies) {}

  /// The live attempt makes no progress: sends the request to another back end as well if one takes it now. The
  /// retry is decided on the state that the request has if the attempt fails. Of three attempts the oldest is
  /// aborted.
  onStalled(session: Session, attempt: LiveAttempt, now: number): void {
    const {retryPolicy, sender} = this.dependencies
    if (now - (attempt.lastSearchAt ?? -Infinity) < SEARCH_INTERVAL_MS) return
    attempt.lastSearchAt = now
    const next = makeSessionWithoutAttempt(session, attempt)
    if (!retryPolicy.mayRetryStalled(next, attempt, now)) return
    const choice = sender.findSuccessor(next, attempt, now)
    if (!choice) return
    if (session.stalled) this.supersede(session, session.stalled)
    this.addStalled(session, attempt, now)
    retryPolicy.addRetry(session, now)
    sender.sendToSuccessor(session, choice, now)
    // Nothing arrives on a lost link any more.
    if (attempt.isLinkLost && session.stalled === attempt) this.supersede(session, attempt)
  }

  /// Handles an event of one of two attempts. Returns false if it concerns the request as it would without the
  /// other one.
  receive(session: Session, attempt: LiveAttempt, event: ForwardAttemptEvent, now: number): boolean {
    const {stalled} = session
    if (!stalled) return false
    const other = attempt === stalled ? session.attempt : stalled
    if (!other) {
      this.dependencies.finisher.resumeStalled(session)
      return false
    }
    if (goesOn(session, attempt, other, event)) {
      this.keepOnly(session, attempt, other)
      return false
    }
    if (attempt !== stalled) return this.isFailedAnswer(session, attempt, event, now)
    this.receiveStalled(session, attempt, event, now)
    return true
  }

  /// Aborts the stalled attempt at an engine when its time beside the successor is over.
  endOverlap(session: Session, now: number): void {
    const {attempt, stalled} = session
    if (!stalled || stalled.choice.backend.record.stage === undefined) return
    if (attempt?.sentAt !== undefined && now - attempt.sentAt >= ENGINE_OVERLAP_MS)
      this.supersede(session, stalled)
  }

  /// Counts the attempt as failed, for now: its back end is known to be silent.
  private addStalled(session: Session, attempt: LiveAttempt, now: number): void {
    const {choice, connectionSilent, isCounted, via} = attempt
    const backendId = choice.backend.record.id
    const isFirst = !session.excluded.has(backendId)
    setStalled(session, attempt)
    if (isCounted) return
    addUnansweredSample(attempt, now)
    if (!connectionSilent) choice.backend.health.addUnanswered(now)
    if (!connectionSilent && isFirst) session.silent.add(backendId)
    if (via !== undefined) this.dependencies.paths.onTunnelFailed(via, now)
  }

  /// One of the two attempts goes on: aborts the other.
  private keepOnly(session: Session, attempt: LiveAttempt, other: LiveAttempt): void {
    if (attempt === session.stalled) this.dependencies.finisher.removeKv(session)
    addFailedAttempt(session, other)
    this.supersede(session, other)
    session.attempt = attempt
    session.stalled = undefined
  }

  private supersede(session: Session, attempt: LiveAttempt): void {
    const {answers, emit} = this.dependencies
    emit({kind: "abortAttempt", attemptId: attempt.attemptId})
    answers.logDecision("request.attempt-superseded", session, {
      backend: attempt.choice.backend.record.id,
      stalled: attempt.isCounted ?? false
    })
    removeAttempt(session, attempt)
  }

  /// The successor answered with a failure, which the stalled attempt may still avert.
  private isFailedAnswer(
    session: Session,
    attempt: LiveAttempt,
    event: ForwardAttemptEvent,
    now: number
  ): boolean {
    if (event.kind !== "whole") return false
    attempt.choice.backend.health.addFailure(now)
    this.endFailed(session, attempt, `status ${event.status}`)
    this.dependencies.finisher.resumeStalled(session)
    return true
  }

  /// The stalled attempt is over: its successor goes on alone.
  private receiveStalled(
    session: Session,
    attempt: LiveAttempt,
    event: ForwardAttemptEvent,
    now: number
  ): void {
    const {paths, quarantineGate} = this.dependencies
    const {health} = attempt.choice.backend
    switch (event.kind) {
      case "connectionSilent":
        attempt.connectionSilent = true
        break
      case "whole":
        health.addFailure(now)
        this.endFailed(session, attempt, `status ${event.status}`)
        break
      case "broken":
        if (!event.isInvalidAnswer && attempt.via === undefined && !paths.isCutOff())
          quarantineGate.addBrokenAttempt(session, attempt, now)
        if (!attempt.connectionSilent && attempt.via === undefined) health.addFailure(now)
        this.endFailed(session, attempt, event.reason)
        break
      case "unreachable":
        this.endFailed(session, attempt, event.reason)
        break
      case "notExecuted":
        health.addRejection(now)
        this.endFailed(session, attempt, `status ${event.status}`)
        break
      default:
        attempt.choice.backend.onAnswering(attempt.attemptId, now)
    }
  }

  /// Ends an attempt beside which another one goes on. Its back end is not sent the request again.
  private endFailed(session: Session, attempt: LiveAttempt, reason: string): void {
    const {answers, emit} = this.dependencies
    const backendId = attempt.choice.backend.record.id
    emit({kind: "abortAttempt", attemptId: attempt.attemptId})
    answers.logDecision("request.attempt-failed", session, {backend: backendId, reason})
    addFailedAttempt(session, attempt)
    session.excluded.add(backendId)
    session.silent.delete(backendId)
    removeAttempt(session, attempt)
  }
}

/// Whether the answer of the request comes from this attempt from now on. The first to pass something on to the
/// caller does; the head of a stream counts if none has been passed on before.
function goesOn(
  session: Session,
  attempt: LiveAttempt,
  other: LiveAttempt,
  event: ForwardAttemptEvent
): boolean {
  switch (event.kind) {
    case "streamStarted":
      return !session.relaying
    case "streamProgress":
      return true
    case "prefilled":
      return attempt === session.stalled || other.choice.prefillOnly
    case "whole":
      return event.status < FIRST_SERVER_ERROR_STATUS && (!session.relaying || attempt.streaming)
    default:
      return false
  }
}
