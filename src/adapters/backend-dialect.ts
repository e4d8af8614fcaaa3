/**
 * How requests and answers are written on a given platform: names of headers and of calls. Contract: pure
 * translation; it keeps no state, takes no decision and never throws on what a peer sent.
 */
import type { EngineStatus, StageOrder, StageOrderResult } from '../allocation/engine-orders.js';
import type { BackendSignals } from '../forwarding/backends/backend-signals.js';
import type { AttemptStart, KvSource } from '../forwarding/forward-messages.js';
import type { KvChanges, KvChangesCall } from '../forwarding/kv-cache/kv-follower.js';
import type { PromptOutline } from '../forwarding/forward-request.js';

/** Header names and values in turn, as they came. */
export type RawHeaders = readonly string[];

/** What a caller's head says of its request. */
export interface CallerHead {
  readonly callerId: string;
  /** How long the caller waits. Milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly prompt: PromptOutline | undefined;
  /**
   * Tokens of the prompt and the most that may be generated, together; undefined when the caller does not
   * say.
   */
  readonly usageTokens?: number | undefined;
  /** Digest of the key that the caller shows; undefined when it shows none, or more than one. */
  readonly keyDigest: string | undefined;
  /** The caller continues a stream after this event. */
  readonly lastEventId: string | undefined;
}

/** What the head of an answer means. */
export type AnswerHead =
  /** The back end's own answer to this request. */
  | { readonly kind: 'genuine' }
  /** The back end says that it did not run the request. */
  | { readonly kind: 'notExecuted'; readonly wrongIncarnation: boolean }
  /** It is no answer to this request. */
  | { readonly kind: 'foreign'; readonly reason: string };

/** A call without a body. */
export interface PlainCall {
  readonly method: string;
  readonly path: string;
}

/** The dialect of one platform. */
export interface BackendDialect {
  /** Reads the head of a caller's request. */
  parseCallerHead(headers: RawHeaders): CallerHead;
  /** The headers of the request that goes to the back end, end-to-end ones of the caller included. */
  createRequestHeaders(callerHeaders: RawHeaders, start: AttemptStart): string[];
  /** Judges the head of an answer to the caller's request, or to the prefill made for it. */
  parseAnswerHead(
    status: number,
    headers: RawHeaders,
    callerHead: CallerHead,
    prefillOnly: boolean,
  ): AnswerHead;
  /** What the back end says of itself in the head of any answer. */
  parseSignals(status: number, headers: RawHeaders): BackendSignals;
  /** Whether the head of an answer names the incarnation that gave it, and it is this one. */
  isFrom(headers: RawHeaders, incarnation: string): boolean;
  /** The handle in the body of a prefill's answer; undefined when there is none. */
  parsePrefillHandle(body: Buffer): string | undefined;
  /** The call that frees an exported KV cache. */
  createFreeKvCall(source: KvSource): PlainCall;
  /** The call that asks a model engine for changes of its KV cache. */
  createKvChangesCall(call: KvChangesCall): PlainCall & { readonly headers: string[] };
  /** The changes; undefined when the answer cannot be read. */
  parseKvChanges(status: number, body: string): KvChanges | undefined;
  /** The call that asks a model engine for its state. */
  createEngineStatusCall(): PlainCall;
  /** An engine's state; undefined when the answer cannot be read. */
  parseEngineStatus(status: number, body: string): EngineStatus | undefined;
  /** The call that gives an order. */
  createOrderCall(order: StageOrder): PlainCall & { readonly headers: string[]; readonly body: string };
  /** What the engine answered to an order. */
  parseOrderResult(status: number): StageOrderResult;
  /** Whether the answer to a health check comes from the incarnation and is good. */
  isHealthy(status: number, headers: RawHeaders, incarnation: string): boolean;
}
