/// Keeps requests that end the back ends that run them away from back ends, and tells what became of their
/// runs.
import type {LiveAttempt, Session} from "../forward-session.js"
import type {BackendRecord} from "../routes/route.js"

/// Who knows under which requests back ends have ended.
export interface QuarantineContext {
  /// How long a request is still to be kept from back ends; undefined when it may run. Milliseconds.
  getQuarantineMs(key: string, now: number): number | undefined
  /// The caller whose requests may all run at one and the same back end only; undefined for most.
  getIsolatedCaller(key: string, now: number): string | undefined
  /// The connection of a run ended before the answer was whole.
  onAttemptBroken(key: string, backend: BackendRecord, startedAt: number, now: number): void
  /// A back end gave a whole answer, good or not.
  onAttemptAnswered(key: string, now: number): void
}

/// The gate of one daemon. Times are monotonic milliseconds.
export class QuarantineGate {
  constructor(private readonly context: QuarantineContext) {}

  /// How long the request is still refused; undefined when it may be sent. Milliseconds.
  getRefusedMs({key}: Session, now: number): number | undefined {
    return key === undefined ? undefined : this.context.getQuarantineMs(key, now)
  }

  /// The caller to whose one back end the request is confined; undefined for most requests.
  getIsolatedCaller({key}: Session, now: number): string | undefined {
    return key === undefined ? undefined : this.context.getIsolatedCaller(key, now)
  }

  /// The connection of an attempt ended before the answer was whole. A call that only has the prompt computed
  /// runs nothing.
  addBrokenAttempt({key}: Session, {choice, startedAt}: LiveAttempt, now: number): void {
    if (key === undefined || choice.prefillOnly) return
    this.context.onAttemptBroken(key, choice.backend.record, startedAt, now)
  }

  /// The answer of an attempt is whole.
  addAnswer({key}: Session, now: number): void {
    if (key !== undefined) this.context.onAttemptAnswered(key, now)
  }
}
