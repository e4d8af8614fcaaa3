/**
 * Sends attempts to back ends over kept connections, one pool a back end's incarnation, and tells what became
 * of each. It knows for certain whether a request was never written: then no connection came about.
 */
import type { Dispatcher } from 'undici';
import type { AttemptStart, ForwardAttemptEvent, KvSource } from '../forwarding/forward-messages.js';
import type { EngineStatus, StageOrder, StageOrderResult } from '../allocation/engine-orders.js';
import type { KvChanges, KvChangesCall } from '../forwarding/kv-follower.js';
import type { BackendRecord } from '../forwarding/route.js';
import type { HealthProbe } from '../forwarding/health-prober.js';
import type { BackendDialect, CallerHead, PlainCall, RawHeaders } from './backend-dialect.js';
import { endToEndHeaders, headerValue } from './http-headers.js';
import { EventSplitter } from './event-splitter.js';
import { ResetWatch } from './reset-watch.js';
import { ServerPool } from './server-pool.js';

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
  /**
   * A request that has heard nothing for so long makes the connections of its age suspect, if none of them was heard either.
   * Milliseconds. A quarter of the 4 s within which the platform's pages want contact found again.
   */
  readonly silentConnectionMs: number;
}

const FIRST_ERROR_STATUS = 300;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const FIRST_SUCCESS_STATUS = 200;
const MAXIMUM_KEPT_BYTES = 16 * 1024 * 1024;
const MAXIMUM_KEEP_ALIVE_MS = 30_000;
/** A back end may forget a connection that rests; what cannot be sent again takes none that rested longer. Milliseconds. */
const MAXIMUM_REST_MS = 200;
/** Interval between looks at which connections were heard. Milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** The checks after which a request that is given up unheard makes the connections of its age suspect. */
const GIVEN_UP_CHECKS = 2;
/** After these events the attempt is still known: it goes on, or its answer is yet to be taken. */
const KEEPS_ATTEMPT: ReadonlySet<ForwardAttemptEvent['kind']> = new Set([
  'streamStarted',
  'streamProgress',
  'whole',
  'connectionSilent',
]);
/** Keys of pools beside the usual one of a back end. */
const PROBE = 'probe';
const ONCE = 'once';
const KV_CHANGES = 'kv';

/** The client of one daemon. */
export class BackendClient {
  private readonly pools = new Map<string, ServerPool>();
  /** Pools that get nothing new, by those that took their place. */
  private readonly replaced = new Map<ServerPool, ServerPool>();
  private readonly live = new Map<string, AttemptHandler>();
  private readonly resets: ResetWatch;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly dialect: BackendDialect,
    private readonly settings: BackendClientSettings,
  ) {
    this.resets = new ResetWatch(settings.connectTimeoutMs);
    this.timer = setInterval(() => this.tick(), CHECK_INTERVAL_MS).unref();
  }

  /** Sends an attempt. `onEvent` is called until the attempt is over or aborted. */
  start(
    start: AttemptStart,
    request: CallerRequest,
    sink: StreamSink,
    onEvent: (event: ForwardAttemptEvent) => void,
  ): void {
    const resumed: AttemptStart = { ...start, resumeAfter: sink.lastEventId() ?? start.resumeAfter };
    const { id, address } = start.backend;
    const key = start.once ? `${ONCE} ${id}` : id;
    const pool = this.pool(key, address, start.once ? MAXIMUM_REST_MS : MAXIMUM_KEEP_ALIVE_MS);
    const handler = new AttemptHandler(this.dialect, this.resets, pool, resumed, request, sink, (event) => {
      if (!KEEPS_ATTEMPT.has(event.kind)) this.live.delete(start.attemptId);
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
      pool.pool.dispatch(options, handler);
    } catch (error) {
      handler.onResponseError(null, error as Error);
    }
  }

  /** Gives an attempt up: its connection is closed, which tells the back end. */
  abort(attemptId: string): void {
    const handler = this.live.get(attemptId);
    this.live.delete(attemptId);
    if (!handler) return;
    if (handler.isSuspect(GIVEN_UP_CHECKS)) this.replace(handler.pool);
    handler.abort();
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
      this.pools.get(key)?.close();
      this.pools.delete(key);
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    const pools = [...this.pools.values(), ...this.replaced.keys()];
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  /** Finds connections that have fallen silent. */
  private tick(): void {
    for (const pool of [...this.pools.values(), ...this.replaced.keys()]) pool.tick();
    const checks = Math.ceil(this.settings.silentConnectionMs / CHECK_INTERVAL_MS);
    const waitedOn = new Set<ServerPool>();
    for (const handler of this.live.values()) {
      waitedOn.add(handler.pool);
      if (!handler.isSuspect(checks)) continue;
      const successor = this.replaced.get(handler.pool);
      if (successor === undefined) this.replace(handler.pool);
      else if (successor.wasHeard()) handler.tellSilent();
    }
    for (const pool of this.replaced.keys()) if (!waitedOn.has(pool)) this.replaced.delete(pool);
  }

  /** New requests take new connections; those under way keep theirs. */
  private replace(pool: ServerPool): void {
    for (const [key, current] of this.pools) {
      if (current !== pool) continue;
      const successor = pool.createSuccessor();
      this.pools.set(key, successor);
      this.replaced.set(pool, successor);
      pool.close();
    }
  }

  private async call(
    key: string,
    address: string,
    { method, path, headers, body }: SmallCall,
    heldMs = 0,
  ): Promise<{ status: number; headers: string[]; body: string }> {
    const { pool } = this.pool(key, address);
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

  private pool(key: string, address: string, maximumRestMs = MAXIMUM_KEEP_ALIVE_MS): ServerPool {
    let pool = this.pools.get(key);
    if (!pool) {
      const { connectionsPerBackend: connections } = this.settings;
      pool = new ServerPool(address, { connections, maximumRestMs }, this.resets);
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
  private sentAt = 0;
  private sentAtCheck = 0;
  private heard = false;
  private toldSilent = false;
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
    readonly pool: ServerPool,
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
    else {
      this.written = true;
      this.sentAt = performance.now();
      this.sentAtCheck = this.pool.getCheck();
    }
  }

  /** Whether nothing was heard for so many checks, on this connection and on those of its age. */
  isSuspect(checks: number): boolean {
    if (!this.written || this.finished || this.heard) return false;
    if (this.pool.getCheck() - this.sentAtCheck <= checks) return false;
    return this.pool.isSuspect(this.sentAt, this.sentAtCheck);
  }

  /** Tells once that the attempt waits on a connection that is probably silent. */
  tellSilent(): void {
    if (this.toldSilent) return;
    this.toldSilent = true;
    this.tell({ kind: 'connectionSilent' });
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    this.heard = true;
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
