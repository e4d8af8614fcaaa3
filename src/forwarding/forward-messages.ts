/// Attempt events that the forwarding machine receives, and effects that it asks its daemon to perform.
import type {BackendSignals} from "./backends/backend-signals.js"
import type {BackendRecord} from "./routes/route.js"

/// Engine and handle under which the KV cache of a prompt is kept.
export interface KvSource {
  readonly address: string
  readonly handle: string
}

/// One attempt to have a request executed by a back end.
export interface AttemptStart {
  readonly requestId: string
  readonly attemptId: string
  readonly backend: BackendRecord
  /// Name of the caller's tenant, which is passed to the back end; undefined where callers need no key.
  readonly tenant: string | undefined
  /// Compute the prompt and keep its KV cache; generate nothing.
  readonly prefillOnly: boolean
  readonly kvSource: KvSource | undefined
  /// Address of an engine that keeps more of the prompt: its KV cache is copied before the rest is computed.
  readonly copyFrom: string | undefined
  /// Time left for the back end to answer. Milliseconds.
  readonly remainingMs: number
  /// Rank in the queue of an engine; 0 goes first.
  readonly urgency: number
  /// The answer is passed on as it arrives; otherwise it is buffered until it is complete.
  readonly stream: boolean
  /// The request may not be sent again if its connection fails: it needs one that was idle only briefly.
  readonly once: boolean
  /// Another attempt of the request is in progress: report when this one is sent.
  readonly reportSent?: boolean
  /// Resume a stream after this event.
  readonly resumeAfter: string | undefined
  /// Peer address of the daemon through which the connection is tunnelled; undefined for a direct one.
  readonly via?: string | undefined
}

/// Progress or outcome of an attempt.
export type ForwardAttemptEvent =
  /// No connection: the back end has received no byte of the request.
  | {
      readonly kind: "unreachable"
      readonly reason: string
      /// Where a tunnelled connection failed: at the peer, or behind it at the back end. Undefined for a direct one.
      readonly tunnelFailure?: "peer" | "backend"
    }
  /// The attempt is being written to a connection; reported only if `reportSent` is set.
  | {readonly kind: "sent"}
  /// The back end rejected the request and has not executed it.
  | {
      readonly kind: "notExecuted"
      readonly status: number
      readonly wrongIncarnation: boolean
      readonly signals?: BackendSignals
    }
  /// The prompt is computed; its KV cache is kept under the handle.
  | {readonly kind: "prefilled"; readonly handle: string; readonly signals?: BackendSignals}
  /// A successful stream has begun.
  | {readonly kind: "streamStarted"; readonly signals?: BackendSignals}
  /// Complete events of the stream were passed on; `lastEventId` is the id of the last one.
  | {readonly kind: "streamProgress"; readonly lastEventId: string | undefined}
  /// A part of an answer has arrived that is passed on when it is complete.
  | {readonly kind: "answerProgress"}
  /// No data arrives on its connection, nor on others of the same age, while newer ones to the back end work.
  | {readonly kind: "connectionSilent"}
  /// The answer is complete: buffered, or in the case of a stream passed on.
  | {readonly kind: "whole"; readonly status: number; readonly signals?: BackendSignals}
  /// The answer broke off or was invalid: the request may have been executed. `isInvalidAnswer`: the
  /// connection stayed open, but what arrived was not an answer to this attempt.
  | {readonly kind: "broken"; readonly reason: string; readonly isInvalidAnswer?: boolean}

/// Why the daemon itself answers a request with a failure.
export type ForwardFailure =
  | "no-configuration"
  | "stale-configuration"
  | "no-route"
  | "unknown-key"
  | "over-quota"
  | "no-backend"
  | "unknown-stream"
  | "overloaded"
  | "turned-away"
  | "unreachable"
  | "deadline"
  | "broken"
  | "stopping"
  | "quarantined"
  | "backend-limit"
  | "backing-off"

/// Effects of the machine.
export type ForwardEffect =
  | {readonly kind: "startAttempt"; readonly start: AttemptStart}
  | {readonly kind: "abortAttempt"; readonly attemptId: string}
  /// Do not start this attempt if it has not been sent yet; otherwise let the back end finish it.
  | {readonly kind: "abandonAttempt"; readonly attemptId: string}
  /// Pass on the buffered answer of this attempt, or end the answer of a stream.
  | {readonly kind: "replyWhole"; readonly requestId: string; readonly attemptId: string}
  /// Answer with a failure that the daemon generates.
  | {
      readonly kind: "replyFailure"
      readonly requestId: string
      readonly status: number
      readonly failure: ForwardFailure
      readonly retryAfterMs: number | undefined
    }
  /// Break off an answer that has begun and cannot be completed, so that it does not look complete.
  | {readonly kind: "replyBroken"; readonly requestId: string}
  /// Free a KV cache that will not be used.
  | {readonly kind: "freeKv"; readonly source: KvSource}
  /// A decision, for the log.
  | {
      readonly kind: "decision"
      readonly event: ForwardDecision
      /// The caller's id of the request.
      readonly callerId: string
      readonly fields: Readonly<Record<string, unknown>>
    }

/// Names of decisions about a request; log readers rely on them.
export type ForwardDecision =
  | "request.accepted"
  | "request.attempt"
  | "request.turned-away"
  | "request.attempt-failed"
  /// An attempt was aborted because another one of the request goes on.
  | "request.attempt-superseded"
  | "request.prefilled"
  | "request.streaming"
  | "request.resumed"
  | "request.answered"
  | "request.refused"
  | "request.failed"
  | "request.cancelled"
  /// Its handling has failed by an exception.
  | "request.faulted"
