/**
 * Types of calls to application servers: the caller's request, the events of a call that was sent, and the
 * effects that the manager emits.
 */
import type { PulleyledgeError } from '../errors/index.js';

/** A caller's request. The effect runner keeps method, path, headers and body under the request id. */
export interface ApplicationCall {
  readonly requestId: string;
  readonly service: string;
  /** The caller's key, or a generated one for a call without a key. */
  readonly idempotencyKey: string;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
  readonly timeoutMs: number | undefined;
  /** Identical for all retries that a caller makes of the same request; undefined when unknown. */
  readonly key?: string | undefined;
}

/** An event of a call that the manager sent. */
export type ApplicationEvent =
  /** No byte of the call reached the server. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** The server rejected the call before it started processing it. */
  | { readonly kind: 'refused'; readonly leaving: boolean; readonly retryAfterMs?: number | undefined }
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
      readonly leaving: boolean;
      /** The server rejected the call and asks for no calls for this duration. Milliseconds. */
      readonly retryAfterMs?: number | undefined;
    }
  | { readonly kind: 'broken'; readonly reason: string };

/** Effects that the manager emits. */
export type ApplicationEffect =
  | {
      readonly kind: 'startApplicationCall';
      readonly attemptId: string;
      readonly requestId: string;
      readonly service: string;
      readonly address: string;
      readonly remainingMs: number;
    }
  | { readonly kind: 'cancelApplicationCall'; readonly attemptId: string }
  | {
      readonly kind: 'replyApplication';
      readonly requestId: string;
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  | {
      readonly kind: 'replyFailed';
      readonly requestId: string;
      readonly error: PulleyledgeError;
      readonly tokensSent: number;
    }
  | { readonly kind: 'applicationOver'; readonly requestId: string; readonly service: string };
