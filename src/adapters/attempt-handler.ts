/**
 * Handles one attempt at a back end: tracks whether the request was written, reads the response, and reports what
 * it means for the request.
 */
import type { Dispatcher } from 'undici';
import { TunnelError } from '../errors/index.js';
import type { BackendSignals } from '../forwarding/backends/backend-signals.js';
import type { AttemptStart, ForwardAttemptEvent } from '../forwarding/forward-messages.js';
import type { BackendDialect, CallerHead, RawHeaders } from './backend-dialect.js';
import { ByteParts } from './byte-parts.js';
import { EventSplitter } from './event-splitter.js';
import type { PacedReader, ReadPace } from './read-pace.js';
import { pickEndToEndHeaders, getHeaderValue } from './http-headers.js';
import type { ResetDetector } from './reset-detector.js';
import type { ServerPool } from './server-pool.js';
import { getTunnelId } from './tunnel-connector.js';
import { hasEndedRegularly } from './tunnel-end.js';
import {
  FIRST_FINAL_STATUS,
  FIRST_UNSUCCESSFUL_STATUS,
  LAST_STATUS,
  STATUS_NOT_MODIFIED,
  STATUS_NO_CONTENT,
  STATUS_OK,
} from '../shared/http-status.js';

/** A caller's request as it was received. */
export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly head: CallerHead;
  readonly body: Buffer;
}

/**
 * Receives the parts of a streamed answer. Two attempts of a request may be in progress; the first that claims the
 * answer writes it.
 */
export interface StreamSink {
  /** An attempt is about to be sent: the answer may come from it, or from one that is in progress. */
  addAttempt(): void;
  /** Claims the head of the answer; true also if one has been written, since later ones are not passed on. */
  claimHead(attemptId: string): boolean;
  /** Claims the rest of the answer; false if another attempt has claimed it. */
  claim(attemptId: string): boolean;
  /** Writes the head. */
  writeHead(status: number, headers: string[]): void;
  /** Writes complete events. */
  writeEvents(bytes: Buffer, lastEventId: string | undefined): void;
  /** The id of the last event that was written. */
  getLastEventId(): string | undefined;
  /** Whether the receiver is behind; `onDrain` is called once it has caught up. */
  waitForDrain(onDrain: () => void): boolean;
}

/** An answer that was buffered until it was complete. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
  /** False where only the closing of the connection marked the end of the answer. */
  readonly framed: boolean;
}

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([STATUS_NO_CONTENT, STATUS_NOT_MODIFIED]);
/** A buffered answer that gets longer is aborted. Bytes; it only protects the process's memory. */
const MAXIMUM_BUFFERED_BYTES = 16 * 1024 * 1024;
/** The same for the answer to a prefill, which is a short document. */
const MAXIMUM_PREFILL_BYTES = 64 * 1024;
/** Informational answers before the final one; more are invalid. */
const MAXIMUM_INFORMATIONAL_ANSWERS = 16;
/** Interval at which an attempt whose receiver is behind reports that it is not stalled. Milliseconds. */
const DRAIN_REPORT_MS = 25;
const NO_BYTES = Buffer.alloc(0);
const NO_HEADERS: ReadonlySet<string> = new Set();

/** Options of an attempt. */
interface AttemptOptions {
  /** The pool whose connections the attempt is sent over. */
  readonly pool: ServerPool;
  readonly dialect: BackendDialect;
  readonly resetDetector: ResetDetector;
  readonly pace: ReadPace;
  readonly start: AttemptStart;
  readonly request: CallerRequest;
  /** Receives the parts of a streamed answer. */
  readonly sink: StreamSink;
  /** Called in order; no event follows one that ends the attempt. */
  readonly onEvent: (event: ForwardAttemptEvent) => void;
}

/** Handler of one attempt. undici calls its methods in order. */
export class AttemptHandler implements Dispatcher.DispatchHandler, PacedReader {
  receivedCost = 0;
  answer: BufferedAnswer | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private written = false;
  private sentAt = 0;
  private sentAtCheck = 0;
  private responseStarted = false;
  private silenceReported = false;
  /** Number of the check after which a part of a buffered answer was last reported. */
  private progressAtCheck = 0;
  private finished = false;
  private status = 0;
  private signals: BackendSignals | undefined;
  private headers: string[] = [];
  private framed = true;
  private readonly chunks = new ByteParts();
  private bufferedBytes = 0;
  private informationalAnswers = 0;
  private isPacePaused = false;
  private drainTimer: NodeJS.Timeout | undefined;
  private splitter: EventSplitter | undefined;

  readonly pool: ServerPool;
  private readonly dialect: BackendDialect;
  private readonly resetDetector: ResetDetector;
  private readonly pace: ReadPace;
  private readonly start: AttemptStart;
  private readonly request: CallerRequest;
  private readonly sink: StreamSink;
  private readonly onEvent: (event: ForwardAttemptEvent) => void;

  constructor({ pool, dialect, resetDetector, pace, start, request, sink, onEvent }: AttemptOptions) {
    this.pool = pool;
    this.dialect = dialect;
    this.resetDetector = resetDetector;
    this.pace = pace;
    this.start = start;
    this.request = request;
    this.sink = sink;
    this.onEvent = onEvent;
  }

  /** Closes the connection; no further event is reported. */
  abort(): void {
    this.finish();
    this.controller?.abort(new Error('aborted'));
  }

  /** Ends the attempt as not sent, unless it has already been written. */
  abandon(): void {
    if (this.written || this.finished) return;
    this.finish();
    this.onEvent({ kind: 'unreachable', reason: 'abandoned' });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.finished) controller.abort(new Error('aborted'));
    else {
      this.written = true;
      this.sentAt = performance.now();
      this.sentAtCheck = this.pool.getCheckCount();
      if (this.start.reportSent) this.onEvent({ kind: 'sent' });
    }
  }

  /**
   * Whether nothing was received for more than `checks` checks, neither on this connection nor on any other that
   * was open when the attempt was sent.
   */
  isSuspect(checks: number): boolean {
    return this.isUnanswered(checks) && this.pool.isSuspect(this.sentAt, this.sentAtCheck);
  }

  /** Whether no response has started for more than `checks` checks. */
  isUnanswered(checks: number): boolean {
    if (!this.written || this.finished || this.responseStarted) return false;
    return this.pool.getCheckCount() - this.sentAtCheck > checks;
  }

  /** Reports, once, that the attempt waits on a connection that has probably gone silent. */
  reportSilent(): void {
    if (this.silenceReported) return;
    this.silenceReported = true;
    this.onEvent({ kind: 'connectionSilent' });
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    this.responseStarted = true;
    this.progressAtCheck = this.pool.getCheckCount();
    if (this.finished) return;
    if (status < FIRST_FINAL_STATUS) {
      this.informationalAnswers += 1;
      if (this.informationalAnswers > MAXIMUM_INFORMATIONAL_ANSWERS)
        this.failInvalid('too many informational answers');
      return;
    }
    if (status > LAST_STATUS) {
      this.failInvalid('the status is invalid');
      return;
    }
    const raw = getRawHeaders(controller);
    this.status = status;
    const head = this.dialect.parseAnswerHead(status, raw, this.request.head, this.start.prefillOnly);
    if (head.kind === 'foreign') {
      this.failInvalid(head.reason);
      return;
    }
    this.signals = this.dialect.parseSignals(status, raw);
    if (head.kind === 'notExecuted') {
      const { signals } = this;
      this.finish();
      this.onEvent({ kind: 'notExecuted', status, wrongIncarnation: head.wrongIncarnation, signals });
    } else {
      this.headers = pickEndToEndHeaders(raw, NO_HEADERS);
      this.framed = isFramed(status, raw, this.request.method);
      if (this.start.stream && status < FIRST_UNSUCCESSFUL_STATUS && !this.start.prefillOnly)
        this.startStream();
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.finished) return;
    this.pool.addDelivered(chunk.length);
    if (this.splitter) this.writeStreamData(this.splitter, chunk);
    else if (this.tryBuffer(chunk.length)) this.addChunk(chunk);
    else this.failInvalid('the answer is too long');
    if (!this.finished) this.pace.addReceived(this, chunk.length);
  }

  /** Reserves memory for a part of an answer that is buffered. */
  private tryBuffer(bytes: number): boolean {
    const maximum = this.start.prefillOnly ? MAXIMUM_PREFILL_BYTES : MAXIMUM_BUFFERED_BYTES;
    if (this.bufferedBytes + bytes > maximum || !this.pace.tryBuffer(bytes)) return false;
    this.bufferedBytes += bytes;
    return true;
  }

  pause(): void {
    this.isPacePaused = true;
    this.controller?.pause();
  }

  resume(): void {
    this.isPacePaused = false;
    this.resumeReading();
  }

  private resumeReading(): void {
    if (!this.isPacePaused && !this.drainTimer && !this.finished) this.controller?.resume();
  }

  /** Reads no further while the receiver of the stream is behind. */
  private waitForReceiver(): void {
    if (this.drainTimer || !this.sink.waitForDrain(() => this.onDrain())) return;
    this.drainTimer = setInterval(() => this.onEvent({ kind: 'answerProgress' }), DRAIN_REPORT_MS);
    this.controller?.pause();
  }

  private onDrain(): void {
    clearInterval(this.drainTimer);
    this.drainTimer = undefined;
    this.resumeReading();
  }

  /** Nothing is reported from now on. */
  private finish(): void {
    if (this.finished) return;
    this.finished = true;
    clearInterval(this.drainTimer);
    this.pace.remove(this);
    this.pace.release(this.bufferedBytes);
  }

  /** Adds a part of an answer that is buffered, and reports its arrival once between two checks. */
  private addChunk(chunk: Buffer): void {
    this.chunks.add(chunk);
    const check = this.pool.getCheckCount();
    if (check === this.progressAtCheck) return;
    this.progressAtCheck = check;
    this.onEvent({ kind: 'answerProgress' });
  }

  onResponseEnd(): void {
    if (this.finished) return;
    if (this.resetDetector.isHandlingReset()) {
      this.fail({ kind: 'broken', reason: 'reset before the end of the answer' });
      return;
    }
    if (this.start.via !== undefined && !this.framed) void this.checkTunnelEnd(this.start.via);
    else this.complete();
  }

  /** Completes an answer without a length if the back end, and not the peer, has ended the tunnel. */
  private async checkTunnelEnd(via: string): Promise<void> {
    const socket = this.resetDetector.getEndingSocket();
    const tunnelId = socket && getTunnelId(socket);
    const endedRegularly = tunnelId !== undefined && (await hasEndedRegularly(via, tunnelId));
    if (this.finished) return;
    if (endedRegularly) this.complete();
    else this.fail({ kind: 'broken', reason: 'the tunnel ended within an answer without a length' });
  }

  private complete(): void {
    const remainder = this.splitter?.getRemainder() ?? NO_BYTES;
    if (!this.framed && remainder.length > 0) {
      // Nothing but the last event tells whether such a stream is complete.
      this.fail({ kind: 'broken', reason: 'ended inside an event' });
      return;
    }
    this.finish();
    const body = this.chunks.join();
    if (this.start.prefillOnly) {
      this.onPrefillEnd(body);
      return;
    }
    if (this.splitter && !this.claim()) return;
    if (remainder.length > 0) this.sink.writeEvents(remainder, undefined);
    this.answer = { status: this.status, headers: this.headers, body, framed: this.framed };
    this.onEvent({ kind: 'whole', status: this.status, signals: this.signals });
  }

  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    if (this.finished) return;
    this.finish();
    const reason = (error as NodeJS.ErrnoException).code ?? error.message;
    if (this.written) this.onEvent({ kind: 'broken', reason });
    else if (error instanceof TunnelError)
      this.onEvent({ kind: 'unreachable', reason: error.reason, tunnelFailure: error.failure });
    else if (this.start.via !== undefined)
      this.onEvent({ kind: 'unreachable', reason, tunnelFailure: 'peer' });
    else this.onEvent({ kind: 'unreachable', reason });
  }

  private writeStreamData(splitter: EventSplitter, chunk: Buffer): void {
    const batch = splitter.push(chunk);
    if (!batch) return;
    if (batch.kind === 'invalid') {
      this.failInvalid(batch.reason);
      return;
    }
    if (!this.claim()) return;
    this.sink.writeEvents(batch.bytes, batch.lastEventId);
    this.onEvent({ kind: 'streamProgress', lastEventId: batch.lastEventId });
    this.waitForReceiver();
  }

  /** Claims the answer; ends the attempt if another one writes it. */
  private claim(): boolean {
    const isOwn = this.sink.claim(this.start.attemptId);
    if (!isOwn) this.abort();
    return isOwn;
  }

  private startStream(): void {
    if (!this.sink.claimHead(this.start.attemptId)) {
      this.abort();
      return;
    }
    this.splitter = new EventSplitter();
    this.sink.writeHead(this.status, this.headers);
    this.onEvent({ kind: 'streamStarted', signals: this.signals });
  }

  private onPrefillEnd(body: Buffer): void {
    const handle = this.status === STATUS_OK ? this.dialect.parsePrefillHandle(body) : undefined;
    if (handle === undefined) this.onEvent({ kind: 'broken', reason: `prefill answered ${this.status}` });
    else this.onEvent({ kind: 'prefilled', handle, signals: this.signals });
  }

  private failInvalid(reason: string): void {
    this.fail({ kind: 'broken', reason, isInvalidAnswer: true });
  }

  private fail(event: ForwardAttemptEvent): void {
    this.finish();
    this.onEvent(event);
    this.controller?.abort(new Error('invalid answer'));
  }
}

function isFramed(status: number, headers: RawHeaders, method: string): boolean {
  const bodiless = method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status);
  const declared = getHeaderValue(headers, 'content-length') ?? getHeaderValue(headers, 'transfer-encoding');
  return bodiless || declared !== undefined;
}

function getRawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = controller.rawHeaders;
  if (!Array.isArray(raw)) return [];
  return raw.map((value) => (typeof value === 'string' ? value : value.toString('latin1')));
}
