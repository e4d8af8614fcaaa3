/// Applies the quarantine to requests: refuses those that crash the back ends that execute them, and reports
/// the outcome of each attempt to the quarantine.
import type {DecisionFields} from "../finish/forward-answers.js"
import type {LiveAttempt, Session} from "../forward-session.js"
import type {BackendRecord} from "../routes/route.js"
import type {PartHold} from "../../quarantine/prompt-parts/part-quarantine.js"

/// The quarantine, which knows during which requests back ends have crashed.
export interface QuarantineContext {
  /// Remaining quarantine of a request; undefined when it may be sent. Milliseconds.
  getQuarantineMs(key: string, now: number): number | undefined
  /// The caller, if it is isolated: its requests may be executed at one back end only. Undefined for most
  /// requests.
  getIsolatedCaller(key: string, now: number): string | undefined
  /// The part for which a request with these parts is refused, or may be sent as a trial; undefined for most
  /// requests.
  findPartHold(parts: readonly string[], now: number): PartHold | undefined
  /// A request with a held part is sent as a trial.
  onPartTrial(part: string, now: number): void
  /// The connection of that trial was not established.
  onPartTrialFailed(part: string): void
  /// The connection of an attempt closed before the answer was complete.
  onAttemptBroken(attempt: BrokenAttempt, now: number): void
  /// A back end sent a complete answer, whether a success or an error.
  onAttemptAnswered(attempt: AnsweredAttempt, now: number): void
}

/// An attempt whose connection closed before the answer was complete. Monotonic milliseconds.
export interface BrokenAttempt {
  readonly key: string
  /// The shared parts of its prompt.
  readonly parts: readonly string[]
  readonly record: BackendRecord
  readonly startedAt: number
  /// When its answer began; undefined if it had not.
  readonly answeringSince: number | undefined
}

/// An attempt whose answer is complete. Monotonic milliseconds.
export interface AnsweredAttempt {
  readonly key: string
  /// The shared parts of its prompt; empty if the answer is an error.
  readonly parts: readonly string[]
  readonly record: BackendRecord
  /// When its answer began; undefined if that is not known.
  readonly answeringSince: number | undefined
}

/// Why a request is refused.
export interface QuarantineRefusal {
  /// When the request may be sent at the earliest. Milliseconds from now.
  readonly retryAfterMs: number
  /// What it is refused for, for the log.
  readonly reasons: DecisionFields
}

/// Minimum Retry-After of a request with a held part: whether the next trial succeeds is not known before.
/// Milliseconds.
const MINIMUM_PART_RETRY_MS = 500

/// Checks the requests of one daemon. Times are monotonic milliseconds.
export class QuarantineGate {
  constructor(private readonly context: QuarantineContext) {}

  /// Finds the reason to refuse a request; undefined when it may be sent. A request that may be sent as a trial is
  /// marked as one.
  findRefusal(session: Session, now: number): QuarantineRefusal | undefined {
    session.triedPart = undefined
    const quarantineMs =
      session.key === undefined ? undefined : this.context.getQuarantineMs(session.key, now)
    if (quarantineMs !== undefined) return {retryAfterMs: quarantineMs, reasons: {}}
    const hold = this.findHold(session, now)
    if (!hold) return undefined
    const {part, ends, mayTry, retryAfterMs} = hold
    if (mayTry && session.executions === 0) {
      session.triedPart = part
      return undefined
    }
    return {retryAfterMs: Math.max(MINIMUM_PART_RETRY_MS, retryAfterMs), reasons: {part, ends}}
  }

  /// An attempt of the request is being started: if it is a trial, the fleet learns of it.
  onAttemptStarted(session: Session, attempt: LiveAttempt, now: number): void {
    const {triedPart} = session
    if (triedPart === undefined) return
    attempt.triedPart = triedPart
    session.triedPart = undefined
    this.context.onPartTrial(triedPart, now)
  }

  /// An attempt found no connection: if it was a trial, the next one of the request may be one.
  onAttemptUnreachable(session: Session, {triedPart}: LiveAttempt): void {
    if (triedPart === undefined) return
    session.triedPart = triedPart
    this.context.onPartTrialFailed(triedPart)
  }

  /// The isolated caller to whose back end the request is restricted; undefined for most requests.
  getIsolatedCaller({key}: Session, now: number): string | undefined {
    return key === undefined ? undefined : this.context.getIsolatedCaller(key, now)
  }

  /// The connection of an attempt closed before the answer was complete. Prefill-only attempts are ignored:
  /// they do not execute the request.
  addBrokenAttempt({key, parts}: Session, attempt: LiveAttempt, now: number): void {
    const {choice, startedAt, firstEventAt: answeringSince} = attempt
    if (key === undefined || choice.prefillOnly) return
    this.context.onAttemptBroken({key, parts, record: choice.backend.record, startedAt, answeringSince}, now)
  }

  /// The answer of an attempt is complete.
  addAnswer({key, parts}: Session, attempt: LiveAttempt, isSuccess: boolean, now: number): void {
    if (key === undefined) return
    const {choice, firstEventAt: answeringSince} = attempt
    const {record} = choice.backend
    this.context.onAttemptAnswered({key, parts: isSuccess ? parts : [], record, answeringSince}, now)
  }

  private findHold({parts}: Session, now: number): PartHold | undefined {
    return parts.length === 0 ? undefined : this.context.findPartHold(parts, now)
  }
}
