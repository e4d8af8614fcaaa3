/**
 * Sends attempts to back ends over pooled keep-alive connections, with a pool for each incarnation of a back end,
 * and reports the outcome of each. `unreachable` is certain: the request was never written to a connection.
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
import type { BackendCheck } from '../quarantine/crash-detector.js';
import { checkListener, checkListenerThrough } from './listener-check.js';
import { readBoundedText } from './bounded-body.js';
import { ReadPace } from './read-pace.js';
import { ResetDetector } from './reset-detector.js';
import { ServerPool } from './server-pool.js';

export type { CallerRequest, BufferedAnswer, StreamSink } from './attempt-handler.js';

/** A call that the daemon makes for itself, not for a caller. */
interface InternalCall extends PlainCall {
  readonly headers?: string[];
  readonly body?: string;
}

/** The server of a pool; its address is `ip:port`. */
type Server = Pick<BackendRecord, 'id' | 'address'>;

/** What tells the pools of one server apart. */
interface PoolOptions {
  readonly purpose?: string;
  /** Address of the peer through which its connections go, `ip:port`; undefined for direct ones. */
  readonly via?: string | undefined;
  /** Milliseconds. */
  readonly maximumIdleMs?: number;
}

/** Purposes of internal calls. */
type InternalCallKind = 'freeKv' | 'probe' | 'kvChanges' | 'engineStatus';

/** Receives the signals in the answer to an internal call that was sent at `sentAt` (monotonic milliseconds). */
type SignalListener = (
  backend: BackendRecord,
  signals: BackendSignals,
  sentAt: number,
  isHealthCheck: boolean,
) => void;

/** Receives each internal call that was not answered, with the reason. */
type UnansweredListener = (call: InternalCallKind, reason: string) => void;

interface InternalAnswer {
  readonly status: number;
  readonly headers: string[];
  readonly body: string;
}

/** Settings of the client. */
export interface BackendClientSettings {
  /** A connection attempt that takes longer counts as refused. Milliseconds. */
  readonly connectTimeoutMs: number;
  /** Maximum number of connections to one back end. */
  readonly connectionsPerBackend: number;
  /** Timeout of internal calls. Milliseconds; a long poll adds its waiting time. */
  readonly callTimeoutMs: number;
  /**
   * When a request has had no response for this time, and none of the connections that were open when it was sent
   * has received anything since, all of them are suspect. Milliseconds; a quarter of the 4 s within which contact
   * must be re-established.
   */
  readonly silentConnectionMs: number;
  /** Id of this daemon, by which it asks peers for tunnels. */
  readonly daemonId?: string;
}

/** Maximum idle time of a connection, whatever the server allows. Milliseconds. */
const MAXIMUM_IDLE_MS = 30_000;
/**
 * Maximum idle time of a connection for requests that can't be retried: a back end may silently drop a connection
 * that is idle. Milliseconds.
 */
const MAXIMUM_IDLE_ONCE_MS = 200;
/**
 * Maximum idle time of a tunnel: it counts against the bound of its peer, and a new one takes a round trip.
 * Milliseconds.
 */
const MAXIMUM_IDLE_TUNNEL_MS = 1000;
/**
 * Interval of the checks for data received on connections. Milliseconds; a quarter of the default of
 * `silentConnectionMs`.
 */
const CHECK_INTERVAL_MS = 250;
/** After these events the attempt is kept: it is still in progress, or its answer has not been taken yet. */
const NON_FINAL_EVENTS: ReadonlySet<ForwardAttemptEvent['kind']> = new Set([
  'streamStarted',
  'streamProgress',
  'answerProgress',
  'whole',
  'connectionSilent',
  'sent',
]);
/** Longest answer to an internal call; the changes of a KV cache are the longest. Bytes. */
const MAXIMUM_CALL_BYTES = 1024 * 1024;
/** Purposes of a back end's pools beside its default one. */
const PROBE_POOL = 'probe';
const ONCE_POOL = 'once';
const KV_CHANGES_POOL = 'kv';

/** The client of one daemon. */
export class BackendClient {
  private readonly pools = new Map<string, ServerPool>();
  /** The pool that has replaced each pool that gets no new requests: always the newest one. */
  private readonly successors = new Map<ServerPool, ServerPool>();
  private readonly attempts = new Map<string, AttemptHandler>();
  private readonly resetDetector: ResetDetector;
  private readonly pace = new ReadPace();
  private readonly timer: NodeJS.Timeout;
  private readonly silentChecks: number;

  constructor(
    private readonly dialect: BackendDialect,
    private readonly settings: BackendClientSettings,
    private readonly onUnanswered: UnansweredListener = () => undefined,
    private readonly onSignals: SignalListener = () => undefined,
  ) {
    this.silentChecks = Math.ceil(settings.silentConnectionMs / CHECK_INTERVAL_MS);
    this.resetDetector = new ResetDetector(settings.connectTimeoutMs);
    this.timer = setInterval(() => this.tick(), CHECK_INTERVAL_MS).unref();
  }

  /** Sends an attempt. `onEvent` is called until the attempt is over or aborted. */
  start(
    start: AttemptStart,
    request: CallerRequest,
    sink: StreamSink,
    onEvent: (event: ForwardAttemptEvent) => void,
  ): void {
    sink.addAttempt();
    const resumed: AttemptStart = { ...start, resumeAfter: sink.getLastEventId() ?? start.resumeAfter };
    const pool = this.getAttemptPool(start);
    const handler = new AttemptHandler({
      pool,
      dialect: this.dialect,
      resetDetector: this.resetDetector,
      pace: this.pace,
      start: resumed,
      request,
      sink,
      onEvent: (event) => {
        if (!NON_FINAL_EVENTS.has(event.kind)) this.attempts.delete(start.attemptId);
        onEvent(event);
      },
    });
    this.attempts.set(start.attemptId, handler);
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

  /** Aborts an attempt by closing its connection, which the back end notices. */
  abort(attemptId: string): void {
    const handler = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    if (!handler) return;
    if (handler.isSuspect(this.silentChecks)) this.replacePool(handler.pool);
    handler.abort();
  }

  /** Cancels an attempt that has not been sent yet; one that has been sent continues. */
  abandon(attemptId: string): void {
    this.attempts.get(attemptId)?.abandon();
  }

  /** Removes and returns the buffered answer of an attempt; undefined when there is none. */
  takeAnswer(attemptId: string): BufferedAnswer | undefined {
    const handler = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    return handler?.answer;
  }

  /** Frees an exported KV cache, through the peer `via` if given; the result is ignored. */
  freeKv(source: KvSource, via?: string): void {
    const call = this.dialect.createFreeKvCall(source);
    const pool = this.getPool({ id: source.address, address: source.address }, { via });
    void this.callOrReport('freeKv', pool, call);
  }

  /** Sends a health check; false when it failed or was not answered. */
  async probe(probe: HealthProbe, healthPath: string): Promise<boolean> {
    const { id } = probe.backend;
    const sentAt = performance.now();
    const pool = this.getPool(probe.backend, { purpose: PROBE_POOL });
    const answer = await this.callOrReport('probe', pool, { method: 'GET', path: healthPath });
    if (!answer) return false;
    const isHealthy = this.dialect.isHealthy(answer.status, answer.headers, id);
    this.reportSignals(probe.backend, answer, sentAt, isHealthy);
    return isHealthy;
  }

  /** Reads the changes of a model engine's KV cache; undefined when there was no valid answer. */
  async readKvChanges(call: KvChangesCall): Promise<KvChanges | undefined> {
    const pool = this.getPool(call.backend, { purpose: KV_CHANGES_POOL });
    const internalCall = this.dialect.createKvChangesCall(call);
    const sentAt = performance.now();
    const answer = await this.callOrReport('kvChanges', pool, internalCall, call.waitMs);
    if (answer) this.reportSignals(call.backend, answer, sentAt);
    return answer && this.dialect.parseKvChanges(answer.status, answer.body);
  }

  /** Reads the state of a model engine; undefined when there was no valid answer. */
  async readEngineStatus(backend: BackendRecord): Promise<EngineStatus | undefined> {
    const call = this.dialect.createEngineStatusCall();
    const sentAt = performance.now();
    const answer = await this.callOrReport('engineStatus', this.getPool(backend), call);
    if (answer) this.reportSignals(backend, answer, sentAt);
    return answer && this.dialect.parseEngineStatus(answer.status, answer.body);
  }

  /** Sends an order, without retries. */
  async order(order: StageOrder): Promise<StageOrderResult> {
    const sentAt = performance.now();
    try {
      const answer = await this.sendCall(this.getPool(order.backend), this.dialect.createOrderCall(order));
      this.reportSignals(order.backend, answer, sentAt);
      return this.dialect.parseOrderResult(answer.status);
    } catch (error) {
      return { kind: 'noAnswer', reason: (error as Error).name };
    }
  }

  /** Ignores an answer that names another incarnation: the address may have been reused. */
  private reportSignals(
    backend: BackendRecord,
    { status, headers }: InternalAnswer,
    sentAt: number,
    isHealthCheck = false,
  ): void {
    if (!this.dialect.isFrom(headers, backend.id)) return;
    this.onSignals(backend, this.dialect.parseSignals(status, headers), sentAt, isHealthCheck);
  }

  /** Checks whether a process listens at a back end's address (`ip:port`), through a peer if `via` is given. */
  checkListener(address: string, via?: string): Promise<BackendCheck> {
    if (via === undefined) return checkListener(address);
    return checkListenerThrough({ via, originId: this.settings.daemonId ?? '' }, address);
  }

  /** Removes the pools of a back end that no longer exists; each connection is closed when its request has ended. */
  removeBackend(backendId: string): void {
    this.removePools(({ settings }) => settings.serverId === backendId);
  }

  /** Removes the pools of tunnels through the peer `via`; each tunnel is closed when its request has ended. */
  closeTunnels(via: string): void {
    this.removePools(({ settings }) => settings.tunnel?.via === via);
  }

  private removePools(isRemoved: (pool: ServerPool) => boolean): void {
    for (const [key, pool] of this.pools) {
      if (!isRemoved(pool)) continue;
      pool.close();
      this.pools.delete(key);
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    const pools = [...this.pools.values(), ...this.successors.keys()];
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  /** Replaces the pools whose connections have gone silent, and reports the attempts that wait on them. */
  private tick(): void {
    for (const pool of [...this.pools.values(), ...this.successors.keys()]) pool.tick();
    const inUse = new Set<ServerPool>();
    for (const handler of this.attempts.values()) {
      inUse.add(handler.pool);
      const successor = this.successors.get(handler.pool);
      if (successor === undefined) {
        if (handler.isSuspect(this.silentChecks)) this.replacePool(handler.pool);
      } else if (handler.isUnanswered(this.silentChecks) && successor.hasReceived()) handler.reportSilent();
    }
    for (const pool of this.successors.keys()) if (!inUse.has(pool)) this.successors.delete(pool);
  }

  /** Replaces a pool for new requests; requests in flight keep their connections. */
  private replacePool(pool: ServerPool): void {
    for (const [key, current] of this.pools) {
      if (current !== pool) continue;
      const successor = pool.createSuccessor();
      this.pools.set(key, successor);
      for (const [older, newest] of this.successors)
        if (newest === pool) this.successors.set(older, successor);
      this.successors.set(pool, successor);
      pool.close();
    }
  }

  /** Makes a call; when there is no answer, reports the reason to the listener. */
  private async callOrReport(
    kind: InternalCallKind,
    ...call: Parameters<BackendClient['sendCall']>
  ): Promise<InternalAnswer | undefined> {
    try {
      return await this.sendCall(...call);
    } catch (error) {
      this.onUnanswered(kind, getFailureReason(error));
      return undefined;
    }
  }

  private async sendCall(
    { pool }: ServerPool,
    { method, path, headers, body }: InternalCall,
    longPollMs = 0,
  ): Promise<InternalAnswer> {
    const answer = await pool.request({
      method: method as Dispatcher.HttpMethod,
      path,
      headers,
      body,
      signal: AbortSignal.timeout(this.settings.callTimeoutMs + longPollMs),
      responseHeaders: 'raw',
    });
    const text = await readBoundedText(answer.body, MAXIMUM_CALL_BYTES);
    return { status: answer.statusCode, headers: answer.headers as unknown as string[], body: text };
  }

  private getAttemptPool({ backend, via, once }: AttemptStart): ServerPool {
    const maximumIdleMs = via === undefined ? MAXIMUM_IDLE_MS : MAXIMUM_IDLE_TUNNEL_MS;
    if (!once) return this.getPool(backend, { via, maximumIdleMs });
    return this.getPool(backend, { purpose: ONCE_POOL, via, maximumIdleMs: MAXIMUM_IDLE_ONCE_MS });
  }

  private getPool({ id: serverId, address }: Server, options: PoolOptions = {}): ServerPool {
    const { purpose = '', via, maximumIdleMs = MAXIMUM_IDLE_MS } = options;
    const key = `${purpose} ${serverId} ${via ?? ''}`;
    let pool = this.pools.get(key);
    if (pool?.settings.address !== address) {
      // The record of the server names another address now; requests in flight keep their connections.
      pool?.close();
      const { connectionsPerBackend: connections, daemonId = '' } = this.settings;
      const tunnel = via === undefined ? undefined : { via, originId: daemonId };
      pool = new ServerPool({ address, serverId, tunnel, connections, maximumIdleMs }, this.resetDetector);
      this.pools.set(key, pool);
    }
    return pool;
  }
}
