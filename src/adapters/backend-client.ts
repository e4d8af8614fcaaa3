/**
 * Sends attempts to back ends over kept connections, one pool a back end's incarnation, and tells what became
 * of each. It knows for certain whether a request was never written: then no connection came about.
 */
import { Pool, type Dispatcher } from 'undici';
import type { AttemptStart, ForwardAttemptEvent, KvSource } from '../forwarding/forward-messages.js';
import type { EngineStatus, StageOrder, StageOrderResult } from '../allocation/engine-orders.js';
import type { KvChanges, KvChangesCall } from '../forwarding/kv-follower.js';
import type { BackendRecord } from '../forwarding/route.js';
import type { HealthProbe } from '../forwarding/health-prober.js';
import type { BackendDialect, CallerHead, PlainCall, RawHeaders } from './backend-dialect.js';
import { endToEndHeaders, headerValue } from './http-headers.js';
import { EventSplitter } from './event-splitter.js';
import { ResetWatch } from './reset-watch.js';

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
  head(status: number, headers: string[], framed: boolean): void;
  /** Whole events. */
  events(bytes: Buffer, lastEventId: string | undefined): void;
  /** The id of the last event that was passed on. */
  lastEventId(): string | undefined;
}

/** An answer that was kept until it was whole. */
export interface KeptAnswer {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
  /** Whether the back end told where the answer ends, other than by closing the connection. */
  readonly framed: boolean;
}

/** A call of the daemon's own. */
interface SmallCall extends PlainCall {
  readonly headers?: string[];
  readonly body?: string;
}

/** Settings of the connections. */
export interface BackendClientSettings {
  /** A connection that does not come up within this time counts as refused. Milliseconds. */
  readonly connectTimeoutMs: number;
  /** Connections to one back end. */
  readonly connectionsPerBackend: number;
  /** A probe or a call that frees something is given up after this. Milliseconds. */
  readonly callTimeoutMs: number;
}

const FIRST_ERROR_STATUS = 300;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const FIRST_SUCCESS_STATUS = 200;
const MAXIMUM_KEPT_BYTES = 16 * 1024 * 1024;
/** An idle connection is dropped this long before the back end would close it. Milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1000;
const DEFAULT_KEEP_ALIVE_MS = 4000;
const MAXIMUM_KEEP_ALIVE_MS = 30_000;
/** A back end may forget a connection that rests; what cannot be sent again takes none that rested longer. Milliseconds. */
const MAXIMUM_REST_MS = 200;
/** Keys of pools beside the usual one of a back end. */
const PROBE = 'probe';
const ONCE = 'once';
const KV_CHANGES = 'kv';

/** The client of one daemon. */
export class BackendClient {
  private readonly pools = new Map<string, Pool>();
  private readonly live = new Map<string, AttemptHandler>();
  private readonly resets: ResetWatch;

  constructor(
    private readonly dialect: BackendDialect,
    private readonly settings: BackendClientSettings,
  ) {
    this.resets = new ResetWatch(settings.connectTimeoutMs);
  }

  /** Sends an attempt. `onEvent` is called until the attempt is over or aborted. */
  start(
    start: AttemptStart,
    request: CallerRequest,
    sink: StreamSink,
    onEvent: (event: ForwardAttemptEvent) => void,
  ): void {
    const resumed: AttemptStart = { ...start, resumeAfter: sink.lastEventId() ?? start.resumeAfter };
    const handler = new AttemptHandler(this.dialect, this.resets, resumed, request, sink, (event) => {
      if (event.kind !== 'streamStarted' && event.kind !== 'streamProgress' && event.kind !== 'whole')
        this.live.delete(start.attemptId);
      onEvent(event);
    });
    this.live.set(start.attemptId, handler);
    const options: Dispatcher.DispatchOptions = {
      path: request.path,
      method: request.method as Dispatcher.HttpMethod,
      headers: this.dialect.requestHeaders(request.headers, resumed),
      body: request.body.length > 0 ? request.body : null,
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    try {
      const { id, address } = start.backend;
      const pool = start.once ? this.pool(`${ONCE} ${id}`, address, MAXIMUM_REST_MS) : this.pool(id, address);
      pool.dispatch(options, handler);
    } catch (error) {
      handler.onResponseError(null, error as Error);
    }
  }

  /** Gives an attempt up: its connection is closed, which tells the back end. */
  abort(attemptId: string): void {
    const handler = this.live.get(attemptId);
    this.live.delete(attemptId);
    handler?.abort();
  }

  /** Nobody waits for the attempt: it is not sent any more; one that has been sent goes on. */
  abandon(attemptId: string): void {
    this.live.get(attemptId)?.abandon();
  }

  /** Hands out the whole answer of an attempt, once. */
  take(attemptId: string): KeptAnswer | undefined {
    const handler = this.live.get(attemptId);
    this.live.delete(attemptId);
    return handler?.answer;
  }

  /** Frees an exported KV cache; whether it worked does not matter. */
  freeKv(source: KvSource): void {
    const call = this.dialect.freeKvCall(source);
    this.call(source.address, source.address, call).catch(() => undefined);
  }

  /** Asks a back end for its health. */
  async probe(probe: HealthProbe, healthPath: string): Promise<boolean> {
    const { id, address } = probe.backend;
    try {
      const answer = await this.call(`${PROBE} ${id}`, address, { method: 'GET', path: healthPath });
      return this.dialect.healthy(answer.status, answer.headers, id);
    } catch {
      return false;
    }
  }

  /** Asks a model engine for changes of its KV cache; undefined when it does not tell. */
  async kvChanges(call: KvChangesCall): Promise<KvChanges | undefined> {
    const { id, address } = call.backend;
    const small = this.dialect.kvChangesCall(call);
    try {
      const answer = await this.call(`${KV_CHANGES} ${id}`, address, small, call.waitMs);
      return this.dialect.kvChanges(answer.status, answer.body);
    } catch {
      return undefined;
    }
  }

  /** Asks a model engine for its state; undefined when it does not tell. */
  async engineStatus(backend: BackendRecord): Promise<EngineStatus | undefined> {
    const call = this.dialect.engineStatusCall();
    try {
      const answer = await this.call(backend.id, backend.address, call);
      return this.dialect.engineStatus(answer.status, answer.body);
    } catch {
      return undefined;
    }
  }

  /** Gives an order once. */
  async order(order: StageOrder): Promise<StageOrderResult> {
    const { id, address } = order.backend;
    try {
      const answer = await this.call(id, address, this.dialect.orderCall(order));
      return this.dialect.orderResult(answer.status);
    } catch (error) {
      return { kind: 'noAnswer', reason: (error as Error).name };
    }
  }

  /** Connections to a back end that is gone are closed when their requests are over. */
  forget(backendId: string): void {
    const kinds = [PROBE, ONCE, KV_CHANGES].map((kind) => `${kind} ${backendId}`);
    for (const key of [backendId, ...kinds]) {
      const pool = this.pools.get(key);
      this.pools.delete(key);
      pool?.close().catch(() => undefined);
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private async call(
    key: string,
    address: string,
    { method, path, headers, body }: SmallCall,
    heldMs = 0,
  ): Promise<{ status: number; headers: string[]; body: string }> {
    const pool = this.pool(key, address);
    const answer = await pool.request({
      method: method as Dispatcher.HttpMethod,
      path,
      headers,
      body,
      signal: AbortSignal.timeout(this.settings.callTimeoutMs + heldMs),
      responseHeaders: 'raw',
    });
    const text = await answer.body.text();
    return { status: answer.statusCode, headers: answer.headers as unknown as string[], body: text };
  }

  private pool(key: string, address: string, maximumRestMs = MAXIMUM_KEEP_ALIVE_MS): Pool {
    let pool = this.pools.get(key);
    if (!pool) {
      pool = new Pool(`http://${address}`, {
        connections: this.settings.connectionsPerBackend,
        pipelining: 1,
        connect: this.resets.connector,
        keepAliveTimeout: Math.min(DEFAULT_KEEP_ALIVE_MS, maximumRestMs),
        keepAliveMaxTimeout: maximumRestMs,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      });
      this.pools.set(key, pool);
    }
    return pool;
  }
}

/** Follows one attempt. undici calls its methods in order. */
class AttemptHandler implements Dispatcher.DispatchHandler {
  answer: KeptAnswer | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private written = false;
  private finished = false;
  private status = 0;
  private headers: string[] = [];
  private framed = true;
  private readonly chunks: Buffer[] = [];
  private keptBytes = 0;
  private splitter: EventSplitter | undefined;

  constructor(
    private readonly dialect: BackendDialect,
    private readonly resets: ResetWatch,
    private readonly start: AttemptStart,
    private readonly request: CallerRequest,
    private readonly sink: StreamSink,
    private readonly tell: (event: ForwardAttemptEvent) => void,
  ) {}

  /** Stops listening and closes the connection. */
  abort(): void {
    this.finished = true;
    this.controller?.abort(new Error('aborted'));
  }

  /** Tells that it was not sent, unless it has been. */
  abandon(): void {
    if (this.written || this.finished) return;
    this.finished = true;
    this.tell({ kind: 'unreachable', reason: 'abandoned' });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.finished) controller.abort(new Error('aborted'));
    else this.written = true;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < FIRST_SUCCESS_STATUS || this.finished) return;
    const raw = rawHeaders(controller);
    this.status = status;
    const head = this.dialect.answerHead(status, raw, this.request.head, this.start.prefillOnly);
    if (head.kind === 'foreign') this.fail({ kind: 'broken', reason: head.reason });
    else if (head.kind === 'notExecuted') {
      this.finished = true;
      this.tell({ kind: 'notExecuted', status, wrongIncarnation: head.wrongIncarnation });
    } else {
      this.headers = endToEndHeaders(raw, NO_HEADERS);
      this.framed = isFramed(status, raw, this.request.method);
      if (this.start.stream && status < FIRST_ERROR_STATUS && !this.start.prefillOnly) this.beginStream();
    }
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.finished) return;
    if (this.splitter) this.streamData(this.splitter, chunk);
    else {
      this.keptBytes += chunk.length;
      if (this.keptBytes > MAXIMUM_KEPT_BYTES)
        this.fail({ kind: 'broken', reason: 'the answer is too long' });
      else this.chunks.push(Buffer.from(chunk));
    }
  }

  onResponseEnd(): void {
    if (this.finished) return;
    if (this.resets.failing()) {
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
      const remainder = this.splitter.remainder();
      if (remainder.length > 0) this.sink.events(remainder, undefined);
    }
    this.answer = { status: this.status, headers: this.headers, body, framed: this.framed };
    this.tell({ kind: 'whole', status: this.status });
  }

  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    if (this.finished) return;
    this.finished = true;
    const reason = (error as NodeJS.ErrnoException).code ?? error.message;
    this.tell(this.written ? { kind: 'broken', reason } : { kind: 'unreachable', reason });
  }

  private streamData(splitter: EventSplitter, chunk: Buffer): void {
    const batch = splitter.push(chunk);
    if (!batch) return;
    this.sink.events(batch.bytes, batch.lastEventId);
    this.tell({ kind: 'streamProgress', lastEventId: batch.lastEventId });
  }

  private beginStream(): void {
    this.splitter = new EventSplitter();
    this.sink.head(this.status, this.headers, this.framed);
    this.tell({ kind: 'streamStarted' });
  }

  private prefillEnded(body: Buffer): void {
    const handle = this.status === FIRST_SUCCESS_STATUS ? this.dialect.prefillHandle(body) : undefined;
    if (handle === undefined) this.tell({ kind: 'broken', reason: `prefill answered ${this.status}` });
    else this.tell({ kind: 'prefilled', handle });
  }

  private fail(event: ForwardAttemptEvent): void {
    this.finished = true;
    this.tell(event);
    this.controller?.abort(new Error('not the answer'));
  }
}

const NO_HEADERS: ReadonlySet<string> = new Set();

function isFramed(status: number, headers: RawHeaders, method: string): boolean {
  const bodiless = method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status);
  const declared = headerValue(headers, 'content-length') ?? headerValue(headers, 'transfer-encoding');
  return bodiless || declared !== undefined;
}

function rawHeaders(controller: Dispatcher.DispatchController): string[] {
  const raw = controller.rawHeaders;
  if (!Array.isArray(raw)) return [];
  return raw.map((value) => (typeof value === 'string' ? value : value.toString('latin1')));
}
