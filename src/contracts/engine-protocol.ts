/**
 * The protocol between pulleyledge and a model engine: requests, reports and events. docs/PROTOCOLS.md gives
 * the HTTP form.
 */

/** The stages of a request that an engine computes. */
export type EngineRole = 'prefill' | 'decode' | 'mixed';

/** The role, model and adapters that an engine is configured to serve. */
export interface EngineAssignment {
  readonly role: EngineRole;
  readonly model: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Phase of an engine's lifecycle. Only an active engine accepts new work. */
export type EnginePhase = 'active' | 'draining' | 'changing' | 'leaving';

/** Throughput of an engine by role. The rates apply when the engine is saturated. */
export interface EngineCapability {
  /** Prompt tokens per second in the prefill role. */
  readonly prefillRate: number;
  /** Output tokens per second in the decode role. */
  readonly decodeRate: number;
  /** Prompt tokens per second of a mixed engine that always has prompts to compute, with all streams in use. */
  readonly mixedPrefillRate: number;
  /** Prompt tokens per second of a mixed engine that has only prompts to compute. */
  readonly mixedPromptOnlyRate: number;
  /** Output tokens per second of a mixed engine that always has prompts to compute. */
  readonly mixedDecodeRate: number;
  /** Output tokens per second of a mixed engine that has no prompts to compute. */
  readonly mixedOutputOnlyRate: number;
  /** Duration of a role change of a drained engine, which serves nothing meanwhile. Milliseconds. */
  readonly roleChangeMs: number;
}

/** An engine's load report. It describes the state of the engine some time before it is received. */
export interface EngineReport {
  readonly assignment: EngineAssignment;
  readonly phase: EnginePhase;
  /** Number of streams that are executed or waiting on the engine. */
  readonly streams: number;
  /** Maximum number of concurrent streams on the engine. */
  readonly maximumStreams: number;
  /** Prompt tokens still to be computed, over all streams. */
  readonly waitingPrefillTokens: number;
  /** Recent share of prompt tokens served from the prefix cache, 0 to 1. */
  readonly cachedShare: number;
  readonly capability: EngineCapability;
  /** The engine's own monotonic clock when it made the report. Milliseconds. */
  readonly clockMs: number;
  /** Highest epoch that the engine has accepted. */
  readonly epoch: number;
  /** Sequence number of the last order accepted in that epoch. */
  readonly sequence: number;
}

/** The action of an order. `drain` and `resume` change the phase; `change` needs a drained engine. */
export type OrderAction =
  | { readonly kind: 'drain' }
  | { readonly kind: 'resume' }
  | { readonly kind: 'change'; readonly assignment: EngineAssignment };

/**
 * A control request. Orders carry the fencing token: the epoch of the lease, a sequence number, and the time
 * on the engine's clock at which the lease expires. The engine rejects a lower epoch, a sequence number that
 * is not the next one, and an order that arrives after its expiry.
 */
export type EngineControlRequest =
  | { readonly kind: 'report' }
  | { readonly kind: 'seal'; readonly epoch: number }
  | {
      readonly kind: 'order';
      readonly epoch: number;
      readonly sequence: number;
      readonly expiresAtClockMs: number;
      readonly action: OrderAction;
    };

/** The result of a control request. */
export type EngineControlResult =
  | { readonly kind: 'report'; readonly report: EngineReport }
  /** Rejected by fencing: the engine has already accepted a higher epoch or this sequence number. */
  | { readonly kind: 'fenced'; readonly epoch: number; readonly sequence: number }
  /** The engine cannot carry out the order in its present phase. */
  | { readonly kind: 'notApplicable'; readonly report: EngineReport }
  /** No answer: the request may or may not have taken effect. */
  | { readonly kind: 'noAnswer'; readonly reason: string };

/** Why an engine rejected work before starting it. */
export type EngineRefusal = 'draining' | 'changing' | 'leaving' | 'full' | 'wrong-assignment' | 'unknown-kv';

/** Reference to a KV cache that a prefill engine exports. */
export interface KvHandle {
  readonly engineAddress: string;
  readonly handle: string;
}

/** Events of an attempt. Events of one attempt arrive in the order in which they were sent. */
export type AttemptEvent =
  /** The connection was never established: the engine has received no byte. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /**
   * The engine rejected the work before starting it. `retryAfterMs`: the back-off that it asks of this daemon,
   * in milliseconds; undefined when it gives none.
   */
  | { readonly kind: 'refused'; readonly reason: EngineRefusal; readonly retryAfterMs?: number | undefined }
  /** The prefill stage is complete and the KV cache can be fetched. */
  | { readonly kind: 'prefilled'; readonly kv: KvHandle }
  /** Tokens from `offset` on; `texts` has one entry per token. */
  | { readonly kind: 'tokens'; readonly offset: number; readonly texts: readonly string[] }
  /** The answer is complete: it has exactly `tokens` tokens. */
  | { readonly kind: 'end'; readonly tokens: number; readonly finishReason: string }
  /** The stream broke off or the answer is invalid: the request may have been executed. */
  | { readonly kind: 'broken'; readonly reason: string; readonly retryAfterMs?: number | undefined };
