/**
 * Interface to the HTTP dialect of a platform: names of headers and forms of calls. Implementations are pure
 * translations: they keep no state, take no decisions and never throw on input from a back end or caller.
 */
import type { EngineStatus, StageOrder, StageOrderResult } from '../allocation/engine-orders.js';
import type { BackendSignals } from '../forwarding/backends/backend-signals.js';
import type { AttemptStart, KvSource } from '../forwarding/forward-messages.js';
import type { KvChanges, KvChangesCall } from '../forwarding/kv-cache/kv-follower.js';
import type { PromptOutline, StreamResumption } from '../forwarding/forward-request.js';

/** Alternating header names and values, as they were received. */
export type RawHeaders = readonly string[];

/** What the headers of a caller's request say. */
export interface CallerHead {
  readonly callerId: string;
  /** The caller's deadline, counted from the arrival of the request. Milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly prompt: PromptOutline | undefined;
  /** Sum of the prompt's tokens and the maximum of generated tokens; undefined when the caller sends none. */
  readonly usageTokens?: number | undefined;
  /** Digest of the caller's key; undefined when it sends none, or more than one. */
  readonly keyDigest: string | undefined;
  /** Undefined unless the caller takes up a stream that an earlier attempt began. */
  readonly resumption: StreamResumption | undefined;
}

/** Classification of an answer by its head. */
export type AnswerHead =
  /** The back end's answer to this request. */
  | { readonly kind: 'genuine' }
  /** The back end states that it did not execute the request. */
  | { readonly kind: 'notExecuted'; readonly wrongIncarnation: boolean }
  /** An invalid answer: not the answer to this request. */
  | { readonly kind: 'foreign'; readonly reason: string };

/** A call without a body. */
export interface PlainCall {
  readonly method: string;
  readonly path: string;
}

/** The dialect of one platform. */
export interface BackendDialect {
  /** Parses the headers of a caller's request. */
  parseCallerHead(headers: RawHeaders): CallerHead;
  /** Creates the headers of the request to the back end, including the caller's end-to-end headers. */
  createRequestHeaders(callerHeaders: RawHeaders, start: AttemptStart): string[];
  /** Classifies the head of an answer to the caller's request, or to the prefill made for it. */
  parseAnswerHead(
    status: number,
    headers: RawHeaders,
    callerHead: CallerHead,
    prefillOnly: boolean,
  ): AnswerHead;
  /** Parses what a back end reports about itself in the head of any answer. */
  parseSignals(status: number, headers: RawHeaders): BackendSignals;
  /** Whether the head of an answer names this incarnation as its sender. */
  isFrom(headers: RawHeaders, incarnation: string): boolean;
  /** Parses the handle in the body of a prefill's answer; undefined when there is none. */
  parsePrefillHandle(body: Buffer): string | undefined;
  /** Creates the call that frees an exported KV cache. */
  createFreeKvCall(source: KvSource): PlainCall;
  /** Creates the call that reads the changes of a model engine's KV cache. */
  createKvChangesCall(call: KvChangesCall): PlainCall & { readonly headers: string[] };
  /** Parses the changes; undefined when the answer is malformed. */
  parseKvChanges(status: number, body: string): KvChanges | undefined;
  /** Creates the call that reads the state of a model engine. */
  createEngineStatusCall(): PlainCall;
  /** Parses an engine's state; undefined when the answer is malformed. */
  parseEngineStatus(status: number, body: string): EngineStatus | undefined;
  /** Creates the call that sends an order. */
  createOrderCall(order: StageOrder): PlainCall & { readonly headers: string[]; readonly body: string };
  /** Interprets the status of the answer to an order. */
  parseOrderResult(status: number): StageOrderResult;
  /** Whether the answer to a health check comes from this incarnation and reports it as healthy. */
  isHealthy(status: number, headers: RawHeaders, incarnation: string): boolean;
}
