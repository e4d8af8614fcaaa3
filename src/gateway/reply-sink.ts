/**
 * Writes the answer of a completion to its caller, as server-sent events or as one JSON document. Each sink
 * owns the response to one request.
 */
import type { ServerResponse } from 'node:http';
import type { PulleyledgeError } from '../errors/index.js';
import { sendProblem, toProblem } from './problem.js';
import { STATUS_OK } from '../shared/http-status.js';

/** Receives the answer of one request in order; nothing is called after `end` or `fail`. */
export interface ReplySink {
  writeTokens(texts: readonly string[]): void;
  end(tokens: number, finishReason: string): void;
  fail(error: PulleyledgeError, tokensSent: number): void;
}

/** The API through which a request was received: completions or chat completions. */
export type CompletionForm = 'completion' | 'chat';

const OBJECT_NAMES: Readonly<Record<CompletionForm, { complete: string; chunk: string }>> = {
  completion: { complete: 'text_completion', chunk: 'text_completion' },
  chat: { complete: 'chat.completion', chunk: 'chat.completion.chunk' },
};

/** Streams tokens as they arrive. A stream that fails ends with an `error` event and without `[DONE]`. */
export class StreamingReply implements ReplySink {
  private started = false;
  private readonly head: string;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly form: CompletionForm,
    service: string,
  ) {
    const object = OBJECT_NAMES[form].chunk;
    const id = JSON.stringify(requestId);
    const model = JSON.stringify(service);
    this.head = `data: {"id":${id},"object":"${object}","model":${model},"choices":[{"index":0,`;
  }

  writeTokens(texts: readonly string[]): void {
    this.start();
    const text = JSON.stringify(texts.join(''));
    const content = this.form === 'chat' ? `"delta":{"content":${text}}` : `"text":${text}`;
    this.response.write(`${this.head}${content},"finish_reason":null}],"tokens":${texts.length}}\n\n`);
  }

  end(tokens: number, finishReason: string): void {
    this.start();
    const content = this.form === 'chat' ? '"delta":{}' : '"text":""';
    const reason = JSON.stringify(finishReason);
    const usage = `"usage":{"completion_tokens":${tokens}}`;
    this.response.end(`${this.head}${content},"finish_reason":${reason}}],${usage}}\n\ndata: [DONE]\n\n`);
  }

  fail(error: PulleyledgeError): void {
    if (!this.started) sendProblem(this.response, error, this.requestId);
    else this.response.end(`event: error\ndata: ${JSON.stringify(toProblem(error, this.requestId))}\n\n`);
  }

  private start(): void {
    if (this.started) return;
    this.started = true;
    this.response.writeHead(STATUS_OK, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
  }
}

/**
 * Buffers the answer until it is complete; a failed one becomes a problem document, so it never looks
 * complete.
 */
export class BufferedReply implements ReplySink {
  private readonly texts: string[] = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly form: CompletionForm,
    private readonly service: string,
  ) {}

  writeTokens(texts: readonly string[]): void {
    this.texts.push(...texts);
  }

  end(tokens: number, finishReason: string): void {
    const text = this.texts.join('');
    const content = this.form === 'chat' ? { message: { role: 'assistant', content: text } } : { text };
    const body = {
      id: this.requestId,
      object: OBJECT_NAMES[this.form].complete,
      model: this.service,
      choices: [{ index: 0, ...content, finish_reason: finishReason }],
      usage: { completion_tokens: tokens },
    };
    this.response.writeHead(STATUS_OK, { 'content-type': 'application/json' });
    this.response.end(JSON.stringify(body));
  }

  fail(error: PulleyledgeError): void {
    sendProblem(this.response, error, this.requestId);
  }
}
