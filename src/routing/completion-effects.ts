/** What the completion manager asks its runner to do, and its settings. */
import type { ServiceRow } from '../configuration/service-row.js';
import type { KvHandle } from '../contracts/engine-protocol.js';
import type { PulleyledgeError } from '../errors/index.js';
import type { CompletionRequest } from './completion-request.js';

/** Which part of a request an attempt asks for. */
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
  /** Tokens that the caller has already; the engine goes on from here. */
  readonly offset: number;
  /** Texts of those tokens, for the engine to compute their cache. */
  readonly produced: readonly string[];
  readonly kv: KvHandle | undefined;
  /** Time left until the deadline. Milliseconds. */
  readonly remainingMs: number;
}

/** What the manager asks its runner to do. */
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
  /** The request ends with this failure; `tokensSent` says how much the caller has. */
  | {
      readonly kind: 'replyFailed';
      readonly requestId: string;
      readonly error: PulleyledgeError;
      readonly tokensSent: number;
    }
  /** The request is over, however it ended: its slot is free. */
  | {
      readonly kind: 'completionOver';
      readonly requestId: string;
      readonly service: string;
      readonly outputTokens: number;
    };

/** Settings of the manager. */
export interface CompletionSettings {
  /**
   * An attempt without an event for this long is aborted and resumed elsewhere. Milliseconds. Default 15000.
   */
  readonly attemptStallMs: number;
  /** Attempts that may have run, for one request. Default 3. */
  readonly maximumAttempts: number;
  /** Retries allowed per request in the long run. Default 0.2. */
  readonly retryRatio: number;
  /**
   * Work is sent to an engine only when its expected time to the first token is below this; else it waits
   * here. Milliseconds. Default 400.
   */
  readonly dispatchHorizonMs: number;
  /**
   * A request is refused when its first token is expected after this share of the service's target; a later
   * one helps nobody. Default 0.8.
   */
  readonly firstTokenShare: number;
  /** Prompts up to this length do not wait here for a shorter backlog at the engines. Tokens. Default 512. */
  readonly smallPromptTokens: number;
  /** A request of a model that no engine serves now waits this long for one. Milliseconds. Default 1000. */
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
