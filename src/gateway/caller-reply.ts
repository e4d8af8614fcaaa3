/**
 * The reply to one request of a caller: a failure of the daemon, a buffered answer, or a stream. Relies on its server for
 * the state of the connection.
 */
import type { ServerResponse } from 'node:http';
import type { BufferedAnswer, StreamSink } from '../adapters/backend-client.js';
import { SECOND_MS } from '../shared/units.js';

/** A failure that the daemon itself answers with, as opposed to a back end's response. */
interface FailureAnswer {
  readonly status: number;
  readonly failure: string;
  readonly retryAfterMs: number | undefined;
}

/** No more of a stream is read while this much of it has not been taken by the caller. Bytes. */
const MAXIMUM_UNSENT_BYTES = 1024 * 1024;

/** The reply to one request. It is finished once; what is written after that is ignored. */
export class CallerReply implements StreamSink {
  private lastId: string | undefined;
  private finished = false;
  /** Whether only the closing of the connection marks the end of the reply. */
  private delimitedByClosing = false;
  private headSent = false;
  /** The attempt that writes the answer; undefined while any may. */
  private owner: string | undefined;
  /** Called when the caller disconnects before the reply is complete. */
  onCallerGone: () => void = () => undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly closing: () => boolean,
    resumedAfter: string | undefined,
  ) {
    this.lastId = resumedAfter;
    response.sendDate = false;
    response.on('close', () => this.onConnectionClosed());
  }

  /** Whether nothing more will be written: the reply is complete, or was aborted. */
  isFinished(): boolean {
    return this.finished;
  }

  /** Whether the request has been read completely. */
  isRequestWhole(): boolean {
    return this.response.req.complete;
  }

  /** Called when the caller has closed its connection, or its side of it. */
  onConnectionClosed(): void {
    if (this.finished) return;
    this.finished = true;
    this.onCallerGone();
  }

  /** The id of the last event passed on to the caller; undefined before the head was sent. */
  getLastEventId(): string | undefined {
    return this.headSent ? this.lastId : undefined;
  }

  addAttempt(): void {
    this.owner = undefined;
  }

  claimHead(attemptId: string): boolean {
    return this.headSent || this.claim(attemptId);
  }

  claim(attemptId: string): boolean {
    this.owner ??= attemptId;
    return this.owner === attemptId;
  }

  /**
   * Starts a streamed reply. Later heads, of back ends that resume the stream, are not passed on. The stream goes in
   * chunks whatever the back end's framing: the kernel closes the connections of a killed process as if they had ended.
   */
  writeHead(status: number, headers: string[]): void {
    if (this.finished || this.headSent) return;
    this.headSent = true;
    // Callers of HTTP/1.0 know no chunks.
    this.delimitedByClosing = !this.response.useChunkedEncodingByDefault;
    this.disableKeepAliveWhenClosing();
    this.response.writeHead(status, createHeaderPairs(headers, new Set(['content-length'])));
    this.response.flushHeaders();
  }

  /** Passes on complete events. */
  writeEvents(bytes: Buffer, lastEventId: string | undefined): void {
    if (this.finished) return;
    if (lastEventId !== undefined) this.lastId = lastEventId;
    this.response.write(bytes);
  }

  waitForDrain(onDrain: () => void): boolean {
    if (this.finished || this.response.writableLength < MAXIMUM_UNSENT_BYTES) return false;
    this.response.once('drain', onDrain);
    return true;
  }

  /** Finishes the reply: ends a stream that has begun, or sends a buffered answer. */
  sendAnswer(answer: BufferedAnswer): void {
    if (this.finished) return;
    this.finished = true;
    if (this.headSent) {
      this.response.end();
      return;
    }
    this.disableKeepAliveWhenClosing();
    const headers = createHeaderPairs(answer.headers, new Set(['content-length']));
    const bodiless = this.response.req.method === 'HEAD';
    if (!answer.framed) this.delimitByClosing();
    else if (!bodiless) headers.push(['Content-Length', String(answer.body.length)]);
    this.response.writeHead(answer.status, headers);
    this.response.end(answer.body);
  }

  /** Replies with a failure of the daemon itself; a reply that has begun is aborted instead. */
  sendFailure(answer: FailureAnswer): void {
    if (this.headSent) this.abort();
    if (this.finished) return;
    this.finished = true;
    this.disableKeepAliveWhenClosing();
    const body = JSON.stringify({ type: `urn:pulleyledge:${answer.failure}`, status: answer.status });
    const headers: [string, string][] = [
      ['Content-Type', 'application/problem+json'],
      ['Content-Length', String(Buffer.byteLength(body))],
    ];
    if (answer.retryAfterMs !== undefined)
      headers.push(['Retry-After', (answer.retryAfterMs / SECOND_MS).toFixed(3)]);
    this.response.writeHead(answer.status, headers);
    this.response.end(body);
  }

  /** Closes the connection of a reply that cannot be finished, so that it does not look complete. */
  abort(): void {
    if (!this.finished) this.destroy();
  }

  /** Closes the connection, whatever has been written. */
  destroy(): void {
    this.finished = true;
    if (this.delimitedByClosing) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  /**
   * A buffered answer that the back end delimited by closing its connection is delimited in the same way here: a length
   * would state that it is complete, which nobody knows if the back end has crashed.
   */
  private delimitByClosing(): void {
    this.delimitedByClosing = true;
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
  }

  private disableKeepAliveWhenClosing(): void {
    if (this.closing()) this.response.shouldKeepAlive = false;
  }
}

function createHeaderPairs(headers: readonly string[], dropped: ReadonlySet<string>): [string, string][] {
  const list: [string, string][] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (!dropped.has(headers[index].toLowerCase())) list.push([headers[index], headers[index + 1]]);
  }
  return list;
}
