/** Client for model engines over HTTP. docs/PROTOCOLS.md describes the protocol. */
import { Agent, request } from 'undici';
import * as z from 'zod';
import type {
  AttemptEvent,
  EngineControlRequest,
  EngineControlResult,
  EngineRefusal,
} from '../contracts/engine-protocol.js';
import type { AttemptStart } from '../routing/completion-effects.js';
import { parseJson } from '../shared/json.js';
import { readBoundedJson, readBoundedText } from './bounded-body.js';
import { isConnectFailure } from './connect-failure.js';
import { readRetryAfterMs, type UnreadableRetryAfterListener } from './retry-after-header.js';
import { engineReportSchema } from './peer-codec.js';
import { STATUS_OK } from '../shared/http-status.js';

/** Client for model engines. Calls never reject: a failure is an event or a result. */
export interface EngineClient {
  control(address: string, controlRequest: EngineControlRequest): Promise<EngineControlResult>;
  /** Starts an attempt; `onEvent` is called in the order of the stream. Returns a function that cancels it. */
  start(attempt: AttemptStart, onEvent: (event: AttemptEvent) => void): () => void;
  close(): Promise<void>;
}

/** Timeout of a control request, after which it counts as not answered. Milliseconds. */
const CONTROL_TIMEOUT_MS = 1500;
/** A connection attempt that takes longer counts as refused. Milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;
/** A longer answer to a control request, or refusal, is invalid. Bytes. */
const MAXIMUM_ANSWER_BYTES = 1024 * 1024;
/** A longer line of a stream fails the attempt. Characters; far above the length of any token. */
const MAXIMUM_LINE_CHARACTERS = 1024 * 1024;

const controlResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('report'), report: engineReportSchema }),
  z.object({ kind: z.literal('fenced'), epoch: z.number(), sequence: z.number() }),
  z.object({ kind: z.literal('notApplicable'), report: engineReportSchema }),
]);

const REFUSALS: readonly EngineRefusal[] = [
  'draining',
  'changing',
  'leaving',
  'full',
  'wrong-assignment',
  'unknown-kv',
];

const streamLineSchema = z.union([
  z.object({ offset: z.number().int().nonnegative(), texts: z.array(z.string()) }),
  z.object({ end: z.literal(true), tokens: z.number().int().nonnegative(), finishReason: z.string() }),
  z.object({ prefilled: z.string() }),
]);

/** Parses one line of an engine's stream. */
export function parseStreamLine(line: string, address: string): AttemptEvent {
  const { value, reason } = parseJson(line);
  if (reason !== undefined)
    return { kind: 'broken', reason: `a line of the stream cannot be read: ${reason}` };
  const parsed = streamLineSchema.safeParse(value);
  if (!parsed.success) return { kind: 'broken', reason: 'a line of the stream has an unknown form' };
  const { data } = parsed;
  if ('texts' in data) return { kind: 'tokens', offset: data.offset, texts: data.texts };
  if ('prefilled' in data)
    return { kind: 'prefilled', kv: { engineAddress: address, handle: data.prefilled } };
  return { kind: 'end', tokens: data.tokens, finishReason: data.finishReason };
}

/** Engine client over HTTP. */
export class HttpEngineClient implements EngineClient {
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    connections: null,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(private readonly onUnreadable: UnreadableRetryAfterListener = () => undefined) {}

  async control(address: string, controlRequest: EngineControlRequest): Promise<EngineControlResult> {
    try {
      const { body } = await request(`http://${address}/v1/control`, {
        method: 'POST',
        dispatcher: this.agent,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(controlRequest),
      });
      const parsed = controlResultSchema.safeParse(await readBoundedJson(body, MAXIMUM_ANSWER_BYTES));
      return parsed.success ? parsed.data : { kind: 'noAnswer', reason: 'the answer has an unknown form' };
    } catch (error) {
      return { kind: 'noAnswer', reason: (error as Error).message };
    }
  }

  start(attempt: AttemptStart, onEvent: (event: AttemptEvent) => void): () => void {
    const abort = new AbortController();
    void this.run(attempt, abort.signal, onEvent);
    return () => abort.abort();
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async run(
    attempt: AttemptStart,
    signal: AbortSignal,
    onEvent: (event: AttemptEvent) => void,
  ): Promise<void> {
    const { address } = attempt;
    try {
      const { statusCode, headers, body } = await request(`http://${address}/v1/${attempt.stage}`, {
        method: 'POST',
        dispatcher: this.agent,
        signal,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(createAttemptBody(attempt)),
      });
      if (statusCode !== STATUS_OK) {
        const retryAfterMs = readRetryAfterMs(statusCode, headers, this.onUnreadable);
        onEvent({
          ...parseRefusal(statusCode, await readBoundedText(body, MAXIMUM_ANSWER_BYTES)),
          retryAfterMs,
        });
        return;
      }
      const finished = await this.readStream(body, address, onEvent);
      if (!finished) onEvent({ kind: 'broken', reason: 'the stream ended without an end marker' });
    } catch (error) {
      if (signal.aborted) return;
      const reason = (error as Error).message;
      onEvent(isConnectFailure(error) ? { kind: 'unreachable', reason } : { kind: 'broken', reason });
    }
  }

  /**
   * Reads lines until the end marker; false when the stream ended without one. Contiguous tokens of one network
   * read are merged into one event.
   */
  private async readStream(
    body: AsyncIterable<Buffer>,
    address: string,
    onEvent: (event: AttemptEvent) => void,
  ): Promise<boolean> {
    const decoder = new TextDecoder();
    let partialLine = '';
    for await (const chunk of body) {
      const lines = (partialLine + decoder.decode(chunk, { stream: true })).split('\n');
      partialLine = lines.pop() ?? '';
      for (const event of mergeTokens(
        lines.filter((line) => line !== '').map((line) => parseStreamLine(line, address)),
      )) {
        onEvent(event);
        if (event.kind !== 'tokens') return true;
      }
      if (partialLine.length > MAXIMUM_LINE_CHARACTERS) {
        onEvent({ kind: 'broken', reason: 'a line of the stream is too long' });
        return true;
      }
    }
    return false;
  }
}

function mergeTokens(events: readonly AttemptEvent[]): AttemptEvent[] {
  const merged: AttemptEvent[] = [];
  for (const event of events) {
    const last = merged[merged.length - 1];
    const contiguous =
      event.kind === 'tokens' && last?.kind === 'tokens' && last.offset + last.texts.length === event.offset;
    if (contiguous)
      merged[merged.length - 1] = {
        kind: 'tokens',
        offset: last.offset,
        texts: [...last.texts, ...event.texts],
      };
    else merged.push(event);
  }
  return merged;
}

function parseRefusal(
  statusCode: number,
  text: string,
): Extract<AttemptEvent, { kind: 'refused' | 'broken' }> {
  const answer = parseJson(text).value as { refused?: EngineRefusal } | null | undefined;
  const refused = answer?.refused;
  if (refused !== undefined && REFUSALS.includes(refused)) return { kind: 'refused', reason: refused };
  // Not a refusal of the engine's protocol: the request may have been executed.
  return { kind: 'broken', reason: `status ${statusCode}` };
}

function createAttemptBody(attempt: AttemptStart): Record<string, unknown> {
  const { request: completion, row } = attempt;
  return {
    attemptId: attempt.attemptId,
    model: row.model,
    version: row.version,
    adapter: row.adapter,
    prompt: completion.prompt.text,
    maximumTokens: completion.maximumTokens,
    priority: row.priority,
    offset: attempt.offset,
    produced: attempt.produced,
    kv: attempt.kv,
    remainingMs: Math.round(attempt.remainingMs),
  };
}
