/// Applies the quarantine to requests: refuses those that crash the back ends that execute them, and reports
/// the outcome of each attempt to the quarantine.
import type {LiveAttempt, Session} from "../forward-session.js"
import type {BackendRecord} from "../routes/route.js"

/// The quarantine, which knows during which requests back ends have crashed.
export interface QuarantineContext {
  /// Remaining quarantine of a request; undefined when it may be sent. Milliseconds.
  getQuarantineMs(key: string, now: number): number | undefined
  /// The caller, if it is isolated: its requests may be executed at one back end only. Undefined for most
  /// requests.
  getIsolatedCaller(key: string, now: number): string | undefined
  /// The connection of an attempt closed before the answer was complete.
  onAttemptBroken(key: string, backend: BackendRecord, startedAt: number, now: number): void
  /// A back end sent a complete answer, whether a success or an error.
  onAttemptAnswered(key: string, now: number): void
}

/// Checks the requests of one daemon. Times are monotonic milliseconds.
export class QuarantineGate {
  constructor(private readonly context: QuarantineContext) {}

  /// Remaining time for which the request is refused; undefined when it may be sent. Milliseconds.
  getRefusedMs({key}: Session, now: number): number | undefined {
    return key === undefined ? undefined : this.context.getQuarantineMs(key, now)
  }

  /// The isolated caller to whose back end the request is restricted; undefined for most requests.
  getIsolatedCaller({key}: Session, now: number): string | undefined {
    return key === undefined ? undefined : this.context.getIsolatedCaller(key, now)
  }

  /// The connection of an attempt closed before the answer was complete. Prefill-only attempts are ignored:
  /// they do not execute the request.
  addBrokenAttempt({key}: Session, {choice, startedAt}: LiveAttempt, now: number): void {
    if (key === undefined || choice.prefillOnly) return
    this.context.onAttemptBroken(key, choice.backend.record, startedAt, now)
  }

  /// The answer of an attempt is complete.
  addAnswer({key}: Session, now: number): void {
    if (key !== undefined) this.context.onAttemptAnswered(key, now)
  }
}
