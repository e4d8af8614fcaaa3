/**
 * Sends attempts to back ends over kept connections, one pool a back end's incarnation, and reports what
 * became of each. It knows for certain whether a request was never written: then no connection came about.
 */
import type { Dispatcher } from 'undici';
import type { AttemptStart, ForwardAttemptEvent, KvSource } from '../forwarding/forward-messages.js';
import type { EngineStatus, StageOrder, StageOrderResult } from '../allocation/engine-orders.js';
import type { KvChanges, KvChangesCall } from '../forwarding/kv-cache/kv-follower.js';
import type { BackendRecord } from '../forwarding/routes/route.js';
import type { BackendSignals } from '../forwarding/backends/backend-signals.js';
import type { HealthProbe } from '../forwarding/backends/health-prober.js';
import {
  AttemptHandler,
  type CallerRequest,
  type BufferedAnswer,
  type StreamSink,
} from './attempt-handler.js';
import type { BackendDialect, PlainCall } from './backend-dialect.js';
import { getFailureReason } from '../shared/failure-reason.js';
import { ResetDetector } from './reset-watch.js';
import { ServerPool } from './server-pool.js';

export type { CallerRequest, BufferedAnswer as BufferedAnswer, StreamSink } from './attempt-handler.js';

/** A call of the daemon's own. */
interface SmallCall extends PlainCall {
  readonly headers?: string[];
  readonly body?: string;
}

/** The daemon's own calls to back ends, by what they are for. */
type SmallCallKind = 'freeKv' | 'probe' | 'kvChanges' | 'engineStatus';

/** Hears what a back end says of itself in the answer to a call of the daemon's own that was sent at `sentAt`. */
type SignalListener = (
  backend: BackendRecord,
  signals: BackendSignals,
  sentAt: number,
  isHealthCheck: boolean,
) => void;

/** Hears of a call of the daemon's own that was not answered, and why. */
type UnansweredListener = (call: SmallCallKind, reason: string) => void;

interface SmallAnswer {
  readonly status: number;
  readonly headers: string[];
  readonly body: string;
}

/** Settings of the connections. */
export interface BackendClientSettings {
  /** A connection that does not come up within this time counts as refused. Milliseconds. */
  readonly connectTimeoutMs: number;
  /** Connections to one back end. */
  readonly connectionsPerBackend: number;
  /** A probe or a call that frees something times out after this. Milliseconds. */
  readonly callTimeoutMs: number;
  /**
   * A request that has heard nothing for so long makes the connections of its age suspect, if none of them
   * was heard either. Milliseconds. A quarter of the 4 s within which contact has to be found again.
   */
  readonly silentConnectionMs: number;
}

/** A connection rests for so long at most, whatever the server allows. Milliseconds. */
const MAXIMUM_KEEP_ALIVE_MS = 30_000;
/**
 * A back end may forget a connection that rests; what cannot be sent again takes none that rested longer.
 * Milliseconds.
 */
const MAXIMUM_REST_MS = 200;
/**
 * Interval between looks at which connections were heard. Milliseconds; a quarter of the default of
 * `silentConnectionMs`.
 */
const CHECK_INTERVAL_MS = 250;
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
  private readonly resets: ResetDetector;
  private readonly timer: NodeJS.Timeout;
  private readonly silentChecks: number;

  constructor(
    private readonly dialect: BackendDialect,
    private readonly settings: BackendClientSettings,
    private readonly onUnanswered: UnansweredListener = () => undefined,
    private readonly onSignals: SignalListener = () => undefined,
  ) {
    this.silentChecks = Math.ceil(settings.silentConnectionMs / CHECK_INTERVAL_MS);
    this.resets = new ResetDetector(settings.connectTimeoutMs);
    this.timer = setInterval(() => this.tick(), CHECK_INTERVAL_MS).unref();
  }

  /** Sends an attempt. `onEvent` is called until the attempt is over or aborted. */
  start(
    start: AttemptStart,
    request: CallerRequest,
    sink: StreamSink,
    onEvent: (event: ForwardAttemptEvent) => void,
  ): void {
    const resumed: AttemptStart = { ...start, resumeAfter: sink.getLastEventId() ?? start.resumeAfter };
    const { id, address } = start.backend;
    const key = start.once ? `${ONCE} ${id}` : id;
    const pool = this.pool(key, address, start.once ? MAXIMUM_REST_MS : MAXIMUM_KEEP_ALIVE_MS);
    const handler = new AttemptHandler({
      pool,
      dialect: this.dialect,
      resets: this.resets,
      start: resumed,
      request,
      sink,
      onEvent: (event) => {
        if (!KEEPS_ATTEMPT.has(event.kind)) this.live.delete(start.attemptId);
        onEvent(event);
      },
    });
    this.live.set(start.attemptId, handler);
    const options: Dispatcher.DispatchOptions = {
      path: request.path,
      method: request.method as Dispatcher.HttpMethod,
      headers: this.dialect.createRequestHeaders(request.headers, resumed),
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

  /** Aborts an attempt: its connection is closed, which tells the back end. */
  abort(attemptId: string): void {
    const handler = this.live.get(attemptId);
    this.live.delete(attemptId);
    if (!handler) return;
    if (handler.isSuspect(this.silentChecks)) this.replace(handler.pool);
    handler.abort();
  }

  /** Nobody waits for the attempt: it is not sent any more; one that has been sent goes on. */
  abandon(attemptId: string): void {
    this.live.get(attemptId)?.abandon();
  }

  /** Hands out the whole answer of an attempt, once. */
  takeAnswer(attemptId: string): BufferedAnswer | undefined {
    const handler = this.live.get(attemptId);
    this.live.delete(attemptId);
    return handler?.answer;
  }

  /** Frees an exported KV cache; whether it worked changes nothing here. */
  freeKv(source: KvSource): void {
    void this.ask('freeKv', source.address, source.address, this.dialect.createFreeKvCall(source));
  }

  /** Asks a back end for its health. */
  async probe(probe: HealthProbe, healthPath: string): Promise<boolean> {
    const { id, address } = probe.backend;
    const sentAt = performance.now();
    const answer = await this.ask('probe', `${PROBE} ${id}`, address, { method: 'GET', path: healthPath });
    if (!answer) return false;
    const isHealthy = this.dialect.isHealthy(answer.status, answer.headers, id);
    this.tellSignals(probe.backend, answer, sentAt, isHealthy);
    return isHealthy;
  }

  /** Asks a model engine for changes of its KV cache; undefined when it does not tell. */
  async readKvChanges(call: KvChangesCall): Promise<KvChanges | undefined> {
    const { id, address } = call.backend;
    const small = this.dialect.createKvChangesCall(call);
    const sentAt = performance.now();
    const answer = await this.ask('kvChanges', `${KV_CHANGES} ${id}`, address, small, call.waitMs);
    if (answer) this.tellSignals(call.backend, answer, sentAt);
    return answer && this.dialect.parseKvChanges(answer.status, answer.body);
  }

  /** Asks a model engine for its state; undefined when it does not tell. */
  async readEngineStatus(backend: BackendRecord): Promise<EngineStatus | undefined> {
    const call = this.dialect.createEngineStatusCall();
    const sentAt = performance.now();
    const answer = await this.ask('engineStatus', backend.id, backend.address, call);
    if (answer) this.tellSignals(backend, answer, sentAt);
    return answer && this.dialect.parseEngineStatus(answer.status, answer.body);
  }

  /** Gives an order once. */
  async order(order: StageOrder): Promise<StageOrderResult> {
    const { id, address } = order.backend;
    const sentAt = performance.now();
    try {
      const answer = await this.call(id, address, this.dialect.createOrderCall(order));
      this.tellSignals(order.backend, answer, sentAt);
      return this.dialect.parseOrderResult(answer.status);
    } catch (error) {
      return { kind: 'noAnswer', reason: (error as Error).name };
    }
  }

  /** An answer counts for the incarnation that it names itself: another one may have the address by now. */
  private tellSignals(
    backend: BackendRecord,
    { status, headers }: SmallAnswer,
    sentAt: number,
    isHealthCheck = false,
  ): void {
    if (!this.dialect.isFrom(headers, backend.id)) return;
    this.onSignals(backend, this.dialect.parseSignals(status, headers), sentAt, isHealthCheck);
  }

  /** Connections to a back end that is gone are closed when their requests are over. */
  removeBackend(backendId: string): void {
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
    const waitedOn = new Set<ServerPool>();
    for (const handler of this.live.values()) {
      waitedOn.add(handler.pool);
      const successor = this.replaced.get(handler.pool);
      if (successor === undefined) {
        if (handler.isSuspect(this.silentChecks)) this.replace(handler.pool);
      } else if (handler.isUnheard(this.silentChecks) && successor.hasReceived()) handler.reportSilent();
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

  /** A call whose answer may be missing: then the listener hears why. */
  private async ask(
    kind: SmallCallKind,
    ...call: Parameters<BackendClient['call']>
  ): Promise<SmallAnswer | undefined> {
    try {
      return await this.call(...call);
    } catch (error) {
      this.onUnanswered(kind, getFailureReason(error));
      return undefined;
    }
  }

  private async call(
    key: string,
    address: string,
    { method, path, headers, body }: SmallCall,
    heldMs = 0,
  ): Promise<SmallAnswer> {
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
      pool = new ServerPool(address, { connections, maximumIdleMs: maximumRestMs }, this.resets);
      this.pools.set(key, pool);
    }
    return pool;
  }
}
