/** What pulleyledge asks of a model engine and what it answers. docs/PROTOCOLS.md gives the HTTP form. */

/** Which part of a request an engine works on. */
export type EngineRole = 'prefill' | 'decode' | 'mixed';

/** What an engine is set up to serve. */
export interface EngineAssignment {
  readonly role: EngineRole;
  readonly model: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Where an engine stands between assignments. Only an active engine takes new work. */
export type EnginePhase = 'active' | 'draining' | 'changing' | 'leaving';

/** What an engine can do, by role. The rates hold when the engine has enough work. */
export interface EngineCapability {
  /** Prompt tokens per second in the prefill role. */
  readonly prefillRate: number;
  /** Output tokens per second in the decode role. */
  readonly decodeRate: number;
  /**
   * Prompt tokens per second of a mixed engine that always has prompts to compute, with all its streams in
   * use.
   */
  readonly mixedPrefillRate: number;
  /** Prompt tokens per second of a mixed engine that has nothing else to do. */
  readonly mixedPromptOnlyRate: number;
  /** Output tokens per second of a mixed engine that always has prompts to compute. */
  readonly mixedDecodeRate: number;
  /** Output tokens per second of a mixed engine that has no prompts to compute. */
  readonly mixedOutputOnlyRate: number;
  /** How long a change of role takes the engine away once it is drained. Milliseconds. */
  readonly roleChangeMs: number;
}

/** An engine's load report. It lags: it describes the engine some time before it was received. */
export interface EngineReport {
  readonly assignment: EngineAssignment;
  readonly phase: EnginePhase;
  /** Streams that run or wait on the engine. */
  readonly streams: number;
  /** Streams that the engine runs at once at most. */
  readonly maximumStreams: number;
  /** Prompt tokens still to be computed, over all streams. */
  readonly waitingPrefillTokens: number;
  /** Share of prompt tokens that the prefix cache saved lately, 0 to 1. */
  readonly cachedShare: number;
  readonly capability: EngineCapability;
  /** The engine's own monotonic clock when it made the report. Milliseconds. */
  readonly clockMs: number;
  /** Highest epoch that the engine has accepted. */
  readonly epoch: number;
  /** Sequence number of the last order accepted in that epoch. */
  readonly sequence: number;
}

/** What an order asks for. `drain` and `resume` change the phase; `change` needs a drained engine. */
export type OrderAction =
  | { readonly kind: 'drain' }
  | { readonly kind: 'resume' }
  | { readonly kind: 'change'; readonly assignment: EngineAssignment };

/**
 * A control request. Orders carry the fencing token: the epoch of the lease, a sequence number, and the
 * engine's clock at which the lease ends. The engine refuses a lower epoch, a sequence number that is not
 * the next one, and an order that comes after its expiry.
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

/** The answer to a control request. */
export type EngineControlResult =
  | { readonly kind: 'report'; readonly report: EngineReport }
  /** The fence refused: the engine has accepted a higher epoch or this sequence number before. */
  | { readonly kind: 'fenced'; readonly epoch: number; readonly sequence: number }
  /** The engine cannot carry out the order in its present phase. */
  | { readonly kind: 'notApplicable'; readonly report: EngineReport }
  /** No answer: the request may or may not have taken effect. */
  | { readonly kind: 'noAnswer'; readonly reason: string };

/** Why an engine turned work away before it began. */
export type EngineRefusal = 'draining' | 'changing' | 'leaving' | 'full' | 'wrong-assignment' | 'unknown-kv';

/** A KV cache that a prefill engine exports. */
export interface KvHandle {
  readonly engineAddress: string;
  readonly handle: string;
}

/** What the gateway learns of an attempt. Events of one attempt arrive in the order they were sent. */
export type AttemptEvent =
  /** The connection was never made: the engine has seen no byte. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** The engine itself turned the work away before it began. */
  /** `retryAfterMs`: it wants no work from this daemon for so long. Milliseconds; undefined when it does not say. */
  | { readonly kind: 'refused'; readonly reason: EngineRefusal; readonly retryAfterMs?: number | undefined }
  /** The prefill stage is done and the cache can be fetched. */
  | { readonly kind: 'prefilled'; readonly kv: KvHandle }
  /** Tokens from `offset` on; `texts` has one entry a token. */
  | { readonly kind: 'tokens'; readonly offset: number; readonly texts: readonly string[] }
  /** The answer is whole: it has exactly `tokens` tokens. */
  | { readonly kind: 'end'; readonly tokens: number; readonly finishReason: string }
  /** The stream broke or the answer makes no sense: the engine may have worked. */
  | { readonly kind: 'broken'; readonly reason: string; readonly retryAfterMs?: number | undefined };
