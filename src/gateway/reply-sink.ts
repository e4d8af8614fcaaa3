/** Writes the answer of a completion to its caller: as server-sent events or as one document. */
import type { ServerResponse } from 'node:http';
import type { PulleyledgeError } from '../errors/index.js';
import { sendProblem, toProblem } from './problem.js';
import { STATUS_OK } from '../shared/http-status.js';

/** Where the answer of one request goes. Called in order; nothing follows `end` or `failed`. */
export interface ReplySink {
  writeTokens(texts: readonly string[]): void;
  end(tokens: number, finishReason: string): void;
  fail(error: PulleyledgeError, tokensSent: number): void;
}

/** Which of the two call forms is answered. */
export type CompletionForm = 'completion' | 'chat';

const OBJECT_NAMES: Readonly<Record<CompletionForm, { whole: string; part: string }>> = {
  completion: { whole: 'text_completion', part: 'text_completion' },
  chat: { whole: 'chat.completion', part: 'chat.completion.chunk' },
};

/** Streams tokens as they come. A stream that breaks ends with an `error` event and without `[DONE]`. */
export class StreamingReply implements ReplySink {
  private started = false;
  private readonly head: string;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly form: CompletionForm,
    service: string,
  ) {
    const object = OBJECT_NAMES[form].part;
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

/** Collects the whole answer; a broken one becomes a problem document and never looks complete. */
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
      object: OBJECT_NAMES[this.form].whole,
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
