/**
 * Calls to application servers: what a caller asks for, what the manager learns of a call that it sent, and
 * what it asks its runner to do. Owns these types.
 */
import type { PulleyledgeError } from '../errors/index.js';

/** A call asked for by a caller. The runner keeps method, path, headers and body under the request id. */
export interface ApplicationCall {
  readonly requestId: string;
  readonly service: string;
  /** The caller's key, or one made here for a call without. */
  readonly idempotencyKey: string;
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
  readonly timeoutMs: number | undefined;
  /** The same for each try of one caller for one thing; undefined where that is not known. */
  readonly key?: string | undefined;
}

/** What the manager learns of a call it sent. */
export type ApplicationEvent =
  /** No byte of the call reached the server. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** The server itself rejected the call before it began. */
  | { readonly kind: 'refused'; readonly leaving: boolean; readonly retryAfterMs?: number | undefined }
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
      readonly leaving: boolean;
      /** It turned the call away and wants none for so long. Milliseconds. */
      readonly retryAfterMs?: number | undefined;
    }
  | { readonly kind: 'broken'; readonly reason: string };

/** What the manager asks its runner to do. */
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
