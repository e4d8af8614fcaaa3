/**
 * Follows one attempt at a back end: what was written, what came back, and what that means for the request.
 */
import type { Dispatcher } from 'undici';
import type { BackendSignals } from '../forwarding/backends/backend-signals.js';
import type { AttemptStart, ForwardAttemptEvent } from '../forwarding/forward-messages.js';
import type { BackendDialect, CallerHead, RawHeaders } from './backend-dialect.js';
import { EventSplitter } from './event-splitter.js';
import { pickEndToEndHeaders, getHeaderValue } from './http-headers.js';
import type { ResetDetector } from './reset-watch.js';
import type { ServerPool } from './server-pool.js';
import {
  FIRST_FINAL_STATUS,
  FIRST_UNSUCCESSFUL_STATUS,
  STATUS_NOT_MODIFIED,
  STATUS_NO_CONTENT,
  STATUS_OK,
} from '../shared/http-status.js';

/** A caller's request as it came. */
export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly head: CallerHead;
  readonly body: Buffer;
}

/** Takes the parts of a streamed answer. */
export interface StreamSink {
  /** The head. `framed` says whether the answer tells where it ends, other than by closing the connection. */
  writeHead(status: number, headers: string[], framed: boolean): void;
  /** Whole events. */
  writeEvents(bytes: Buffer, lastEventId: string | undefined): void;
  /** The id of the last event that was passed on. */
  getLastEventId(): string | undefined;
}

/** An answer that was kept until it was whole. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
  /** Whether the back end told where the answer ends, other than by closing the connection. */
  readonly framed: boolean;
}

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([STATUS_NO_CONTENT, STATUS_NOT_MODIFIED]);
/** A longer answer that has to be kept whole is broken off. Bytes; it only protects the process's memory. */
const MAXIMUM_KEPT_BYTES = 16 * 1024 * 1024;
const NO_HEADERS: ReadonlySet<string> = new Set();

/** What an attempt is made with. */
interface AttemptParts {
  /** The connections that it is sent over. */
  readonly pool: ServerPool;
  readonly dialect: BackendDialect;
  readonly resets: ResetDetector;
  readonly start: AttemptStart;
  readonly request: CallerRequest;
  /** Takes the parts of a streamed answer. */
  readonly sink: StreamSink;
  /** Called in the order in which things happen; nothing follows an event that ends the attempt. */
  readonly onEvent: (event: ForwardAttemptEvent) => void;
}

/** Follows one attempt. undici calls its methods in order. */
export class AttemptHandler implements Dispatcher.DispatchHandler {
  answer: BufferedAnswer | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private written = false;
  private sentAt = 0;
  private sentAtCheck = 0;
  private heard = false;
  private reportedSilent = false;
  private finished = false;
  private status = 0;
  private signals: BackendSignals | undefined;
  private headers: string[] = [];
  private framed = true;
  private readonly chunks: Buffer[] = [];
  private keptBytes = 0;
  private splitter: EventSplitter | undefined;

  readonly pool: ServerPool;
  private readonly dialect: BackendDialect;
  private readonly resets: ResetDetector;
  private readonly start: AttemptStart;
  private readonly request: CallerRequest;
  private readonly sink: StreamSink;
  private readonly onEvent: (event: ForwardAttemptEvent) => void;

  constructor({ pool, dialect, resets, start, request, sink, onEvent }: AttemptParts) {
    this.pool = pool;
    this.dialect = dialect;
    this.resets = resets;
    this.start = start;
    this.request = request;
    this.sink = sink;
    this.onEvent = onEvent;
  }

  /** Stops listening and closes the connection. */
  abort(): void {
    this.finished = true;
    this.controller?.abort(new Error('aborted'));
  }

  /** Reports that it was not sent, unless it has been. */
  abandon(): void {
    if (this.written || this.finished) return;
    this.finished = true;
    this.onEvent({ kind: 'unreachable', reason: 'abandoned' });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.finished) controller.abort(new Error('aborted'));
    else {
      this.written = true;
      this.sentAt = performance.now();
      this.sentAtCheck = this.pool.getCheck();
    }
  }

  /** Whether nothing was heard for so many checks, on this connection and on those of its age. */
  isSuspect(checks: number): boolean {
    return this.isUnheard(checks) && this.pool.isSuspect(this.sentAt, this.sentAtCheck);
  }

  /** Whether nothing was heard for so many checks on this connection. */
  isUnheard(checks: number): boolean {
    if (!this.written || this.finished || this.heard) return false;
    return this.pool.getCheck() - this.sentAtCheck > checks;
  }

  /** Reports once that the attempt waits on a connection that is probably silent. */
  reportSilent(): void {
    if (this.reportedSilent) return;
    this.reportedSilent = true;
    this.onEvent({ kind: 'connectionSilent' });
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    this.heard = true;
    if (status < FIRST_FINAL_STATUS || this.finished) return;
    const raw = rawHeaders(controller);
    this.status = status;
    const head = this.dialect.parseAnswerHead(status, raw, this.request.head, this.start.prefillOnly);
    if (head.kind === 'foreign') {
      this.fail({ kind: 'broken', reason: head.reason, isInvalidAnswer: true });
      return;
    }
    this.signals = this.dialect.parseSignals(status, raw);
    if (head.kind === 'notExecuted') {
      const { signals } = this;
      this.finished = true;
      this.onEvent({ kind: 'notExecuted', status, wrongIncarnation: head.wrongIncarnation, signals });
    } else {
      this.headers = pickEndToEndHeaders(raw, NO_HEADERS);
      this.framed = isFramed(status, raw, this.request.method);
      if (this.start.stream && status < FIRST_UNSUCCESSFUL_STATUS && !this.start.prefillOnly)
        this.beginStream();
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.finished) return;
    if (this.splitter) this.streamData(this.splitter, chunk);
    else {
      this.keptBytes += chunk.length;
      if (this.keptBytes > MAXIMUM_KEPT_BYTES)
        this.fail({ kind: 'broken', reason: 'the answer is too long', isInvalidAnswer: true });
      else this.chunks.push(Buffer.from(chunk));
    }
  }

  onResponseEnd(): void {
    if (this.finished) return;
    if (this.resets.isHandlingReset()) {
      this.fail({ kind: 'broken', reason: 'reset before the end of the answer' });
      return;
    }
    this.finished = true;
    const body = Buffer.concat(this.chunks);
    if (this.start.prefillOnly) {
      this.prefillEnded(body);
      return;
    }
    if (this.splitter) {
      const remainder = this.splitter.getRemainder();
      if (remainder.length > 0) this.sink.writeEvents(remainder, undefined);
    }
    this.answer = { status: this.status, headers: this.headers, body, framed: this.framed };
    this.onEvent({ kind: 'whole', status: this.status, signals: this.signals });
  }

  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    if (this.finished) return;
    this.finished = true;
    const reason = (error as NodeJS.ErrnoException).code ?? error.message;
    this.onEvent(this.written ? { kind: 'broken', reason } : { kind: 'unreachable', reason });
  }

  private streamData(splitter: EventSplitter, chunk: Buffer): void {
    const batch = splitter.push(chunk);
    if (!batch) return;
    this.sink.writeEvents(batch.bytes, batch.lastEventId);
    this.onEvent({ kind: 'streamProgress', lastEventId: batch.lastEventId });
  }

  private beginStream(): void {
    this.splitter = new EventSplitter();
    this.sink.writeHead(this.status, this.headers, this.framed);
    this.onEvent({ kind: 'streamStarted', signals: this.signals });
  }

  private prefillEnded(body: Buffer): void {
    const handle = this.status === STATUS_OK ? this.dialect.parsePrefillHandle(body) : undefined;
    if (handle === undefined) this.onEvent({ kind: 'broken', reason: `prefill answered ${this.status}` });
    else this.onEvent({ kind: 'prefilled', handle, signals: this.signals });
  }

  private fail(event: ForwardAttemptEvent): void {
    this.finished = true;
    this.onEvent(event);
    this.controller?.abort(new Error('not the answer'));
  }
}

function isFramed(status: number, headers: RawHeaders, method: string): boolean {
  const bodiless = method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status);
  const declared = getHeaderValue(headers, 'content-length') ?? getHeaderValue(headers, 'transfer-encoding');
  return bodiless || declared !== undefined;
}

function rawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = controller.rawHeaders;
  if (!Array.isArray(raw)) return [];
  return raw.map((value) => (typeof value === 'string' ? value : value.toString('latin1')));
}
