/// What goes into the forwarding machine about its attempts, and what it asks its runner to do.
import type {BackendSignals} from "./backends/backend-signals.js"
import type {BackendRecord} from "./routes/route.js"

/// Where the KV cache of a prompt lies.
export interface KvSource {
  readonly address: string
  readonly handle: string
}

/// One sending of a request to a back end.
export interface AttemptStart {
  readonly requestId: string
  readonly attemptId: string
  readonly backend: BackendRecord
  /// The tenant for whom the caller acts, as the back end is told; undefined where callers need no key.
  readonly tenant: string | undefined
  /// Compute the prompt and keep its KV cache; generate nothing.
  readonly prefillOnly: boolean
  readonly kvSource: KvSource | undefined
  /// Address of an engine that keeps more of the prompt: it is copied from there before the rest is computed.
  readonly copyFrom: string | undefined
  /// How long the back end may work. Milliseconds.
  readonly remainingMs: number
  /// Rank among the work of an engine; 0 goes first.
  readonly urgency: number
  /// The answer is passed on as it comes; otherwise it is kept until it is whole.
  readonly stream: boolean
  /// The request may not be sent again when its connection fails: it needs one that has hardly rested.
  readonly once: boolean
  /// Continue a stream after this event.
  readonly resumeAfter: string | undefined
}

/// What became of an attempt.
export type ForwardAttemptEvent =
  /// No connection: the back end has seen no byte of the request.
  | {readonly kind: "unreachable"; readonly reason: string}
  /// The back end said that it did not run the request.
  | {
      readonly kind: "notExecuted"
      readonly status: number
      readonly wrongIncarnation: boolean
      readonly signals?: BackendSignals
    }
  /// The prompt is computed; its KV cache waits.
  | {readonly kind: "prefilled"; readonly handle: string; readonly signals?: BackendSignals}
  /// A successful stream has begun.
  | {readonly kind: "streamStarted"; readonly signals?: BackendSignals}
  /// Whole events of the stream were passed on; `lastEventId` is the id of the last one.
  | {readonly kind: "streamProgress"; readonly lastEventId: string | undefined}
  /// Its connection passes nothing, like all others of its age, while newer ones to the back end work.
  | {readonly kind: "connectionSilent"}
  /// The answer is whole: kept for an answer, passed on for a stream.
  | {readonly kind: "whole"; readonly status: number; readonly signals?: BackendSignals}
  /// The answer broke off or was not the back end's: it may have run. `isForeign`: what came was no answer to
  /// it, on a connection that stood.
  | {readonly kind: "broken"; readonly reason: string; readonly isInvalidAnswer?: boolean}

/// Why a request gets an answer of the daemon's own.
export type ForwardFailure =
  | "no-configuration"
  | "stale-configuration"
  | "no-route"
  | "unknown-key"
  | "over-quota"
  | "no-backend"
  | "overloaded"
  | "turned-away"
  | "unreachable"
  | "deadline"
  | "broken"
  | "stopping"
  | "quarantined"
  | "backend-limit"
  | "backing-off"

/// What the machine asks for.
export type ForwardEffect =
  | {readonly kind: "startAttempt"; readonly start: AttemptStart}
  | {readonly kind: "abortAttempt"; readonly attemptId: string}
  /// Do not begin this attempt any more; one that has been sent is left to its back end.
  | {readonly kind: "abandonAttempt"; readonly attemptId: string}
  /// Pass on the kept answer of this attempt, or, for a stream, end the answer.
  | {readonly kind: "replyWhole"; readonly requestId: string; readonly attemptId: string}
  /// Answer with a failure of the daemon's own.
  | {
      readonly kind: "replyFailure"
      readonly requestId: string
      readonly status: number
      readonly failure: ForwardFailure
      readonly retryAfterMs: number | undefined
    }
  /// The answer has begun and cannot be finished: it must not look complete.
  | {readonly kind: "replyBroken"; readonly requestId: string}
  /// Free a KV cache that nobody will take.
  | {readonly kind: "freeKv"; readonly source: KvSource}
  /// A decision, for the log.
  | {
      readonly kind: "decision"
      readonly event: ForwardDecision
      /// The caller's own id of the request.
      readonly callerId: string
      readonly fields: Readonly<Record<string, unknown>>
    }

/// Stable names of decisions on a request.
export type ForwardDecision =
  | "request.accepted"
  | "request.attempt"
  | "request.turned-away"
  | "request.attempt-failed"
  | "request.prefilled"
  | "request.streaming"
  | "request.resumed"
  | "request.answered"
  | "request.refused"
  | "request.failed"
  | "request.cancelled"
