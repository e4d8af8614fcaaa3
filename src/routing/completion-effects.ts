/** The effects that the completion manager emits, and its settings. */
import type { ServiceRow } from '../configuration/service-row.js';
import type { KvHandle } from '../contracts/engine-protocol.js';
import type { PulleyledgeError } from '../errors/index.js';
import type { CompletionRequest } from './completion-request.js';

/** The part of a request that an attempt executes. */
export type AttemptStage = 'prefill' | 'generate';

/** An attempt to be started at an engine. */
export interface AttemptStart {
  readonly attemptId: string;
  readonly requestId: string;
  readonly engineId: string;
  readonly address: string;
  readonly stage: AttemptStage;
  readonly request: CompletionRequest;
  readonly row: ServiceRow;
  /** Number of tokens that the caller has already; the engine continues from here. */
  readonly offset: number;
  /** Texts of those tokens, from which the engine computes their KV cache. */
  readonly produced: readonly string[];
  readonly kv: KvHandle | undefined;
  /** Time left until the deadline. Milliseconds. */
  readonly remainingMs: number;
}

/** Effects that the manager emits. */
export type CompletionEffect =
  | { readonly kind: 'startAttempt'; readonly start: AttemptStart }
  | { readonly kind: 'cancelAttempt'; readonly attemptId: string; readonly address: string }
  | {
      readonly kind: 'replyTokens';
      readonly requestId: string;
      readonly offset: number;
      readonly texts: readonly string[];
    }
  | {
      readonly kind: 'replyEnd';
      readonly requestId: string;
      readonly tokens: number;
      readonly finishReason: string;
    }
  /** The request failed; `tokensSent` is the number of tokens that the caller has received. */
  | {
      readonly kind: 'replyFailed';
      readonly requestId: string;
      readonly error: PulleyledgeError;
      readonly tokensSent: number;
    }
  /** The request has ended, successfully or not: its slot is free. */
  | {
      readonly kind: 'completionOver';
      readonly requestId: string;
      readonly service: string;
      readonly outputTokens: number;
    };

/** Settings of the manager. */
export interface CompletionSettings {
  /**
   * An attempt without an event for this duration is aborted as broken, and resumed on another engine where a
   * retry is allowed. Milliseconds. Default 15000.
   */
  readonly attemptStallMs: number;
  /** Maximum number of attempts of one request that may have been executed. Default 3. */
  readonly maximumAttempts: number;
  /** Retries allowed per request, averaged over time. Default 0.2. */
  readonly retryRatio: number;
  /**
   * A request waits here while an engine's other work would delay its first token by more than this.
   * Milliseconds. Default 400.
   */
  readonly dispatchHorizonMs: number;
  /**
   * A request is refused when its first token is expected after this share of the service's target: work
   * whose first token misses the target is wasted. Default 0.8.
   */
  readonly firstTokenShare: number;
  /**
   * Prompts up to this length are not held back for a shorter backlog at the engines. Tokens. Default 512.
   */
  readonly smallPromptTokens: number;
  /**
   * A request for a model that no engine currently serves waits for an engine for this duration.
   * Milliseconds. Default 1000.
   */
  readonly noBackendWaitMs: number;
}

/** Default settings. */
export const DEFAULT_COMPLETION_SETTINGS: CompletionSettings = {
  attemptStallMs: 15_000,
  maximumAttempts: 3,
  retryRatio: 0.2,
  dispatchHorizonMs: 400,
  firstTokenShare: 0.8,
  smallPromptTokens: 512,
  noBackendWaitMs: 1000,
};
