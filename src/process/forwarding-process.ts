/**
 * The process of a forwarding daemon: the servers, adapters and the actor around its state machine, and the
 * graceful stop. Owns the sockets, the timers and the log stream. Relies on the state machine for all
 * decisions.
 */
import type { Server } from 'node:http';
import nact from 'nact';
import { pino } from 'pino';
import { BackendClient, type BackendClientSettings } from '../adapters/backend-client.js';
import type { BackendDialect } from '../adapters/backend-dialect.js';
import { startListening } from '../adapters/listen.js';
import { PeerTransport } from '../adapters/peer-transport.js';
import type { TunnelServer } from '../adapters/tunnel-server.js';
import { ForwardingDaemon } from '../daemon/forwarding-daemon.js';
import type { ForwardingEffect, ForwardingEvent } from '../daemon/forwarding-messages.js';
import { ListenError, type PulleyledgeError } from '../errors/index.js';
import { ForwardServer } from '../gateway/forward-server.js';
import { delay } from '../shared/delay.js';
import { IDLE_TICK_MS, TICK_MS } from '../shared/tick-interval.js';
import { SuspensionDetector } from '../shared/suspension-detector.js';
import { createDaemonStart, type DaemonStart } from './daemon-identity.js';
import { ForwardingMetrics } from './forwarding-metrics.js';
import { createMetricsServer, createReadyServer } from './status-servers.js';
import { OpenRequests } from './open-requests.js';
import { ExternalCalls, type ExternalSystems } from './external-calls.js';
import { DecisionLog } from './decision-log.js';
import { EffectPerformer } from './effect-performer.js';
import type { ForwardingProcessSettings } from './forwarding-process-settings.js';
import { findRequestId, RequestFaults } from './request-faults.js';
import { spawnActor, type Actor } from './spawn-actor.js';
import { createTunnelServer } from './tunnel-wiring.js';
import { UnansweredCalls } from './unanswered-calls.js';

/** The external systems, and the protocol of the back ends. */
interface ForwardingAdapters extends ExternalSystems {
  readonly dialect: BackendDialect;
}

/** Settings of the connections to back ends. docs/design/silent-connections.md gives the reasons. */
const BACKEND_CONNECTIONS: BackendClientSettings = {
  /** Many times the round trip between the most distant regions. */
  connectTimeoutMs: 500,
  /** More than the slots of any back end, so that the slots are the limit and not the connections. */
  connectionsPerBackend: 64,
  /** A back end that takes longer for a small call could not serve a request in time either. */
  callTimeoutMs: 1000,
  /** A quarter of the 4 s within which contact must be re-established. */
  silentConnectionMs: 1000,
};

/**
 * Interval at which a stopping process checks for open requests and connections. Milliseconds; short compared
 * with the grace period.
 */
const DRAIN_POLL_MS = 50;
/**
 * A stopping process serves new requests for this duration, because callers are routed here until the
 * platform has noticed that it is not ready; later requests are refused. Milliseconds.
 */
const DRAIN_NOTICE_MS = 2800;
/** Reserved at the end of the grace period, so that the process exits before it is killed. Milliseconds. */
const STOP_MARGIN_MS = 700;
/**
 * A stopping process begins to close its listener this long before it exits, so that callers in its accept queue are
 * accepted and answered. Milliseconds; ample for a full queue.
 */
const LISTENER_CLOSE_MS = 2000;
/**
 * Requests are refused for this duration before the listener closes: a refusal tells callers when to come back, a
 * closed listener does not. Milliseconds.
 */
const MINIMUM_REFUSAL_MS = 500;
/**
 * How long after the deadline of a stop the listener may still accept pending connections, and how long the replies
 * to the last requests may take then. Milliseconds; the sum is within STOP_MARGIN_MS.
 */
const FINAL_ACCEPT_MS = 400;
const FINAL_ANSWER_MS = 200;
/** Interval between checks for these replies. Milliseconds. */
const FINAL_POLL_MS = 5;
/** Log lines are buffered and written in chunks of at least this size. Bytes; a memory page. */
const LOG_BUFFER_BYTES = 4096;
/**
 * Interval between flushes of the log: a process that is killed loses the lines since the last one.
 * Milliseconds.
 */
const LOG_FLUSH_MS = 500;
/** Log lines that cannot be written are buffered up to this size; further lines are dropped. Bytes. */
const MAXIMUM_LOG_BYTES = 1024 * 1024;

/** One forwarding daemon process. */
export class ForwardingProcess {
  private readonly daemon: ForwardingDaemon;
  private readonly daemonActor: Actor<ForwardingEvent>;
  private readonly system = nact.start();
  private readonly peers: PeerTransport;
  private readonly tunnels: TunnelServer;
  private readonly backends: BackendClient;
  private readonly externalCalls: ExternalCalls;
  private readonly server: ForwardServer;
  private readonly readyServer: Server;
  private readonly metricsServer: Server;
  private readonly metrics: ForwardingMetrics;
  private readonly log: DecisionLog;
  private readonly logStream = pino.destination({
    fd: 1,
    sync: false,
    minLength: LOG_BUFFER_BYTES,
    maxLength: MAXIMUM_LOG_BYTES,
  });
  private readonly suspension = new SuspensionDetector();
  private readonly requests: OpenRequests;
  private readonly faults: RequestFaults;
  private readonly effects: EffectPerformer;
  private tickTimer: NodeJS.Timeout | undefined;
  private flushTimer: NodeJS.Timeout | undefined;
  private stopped: Promise<void> | undefined;

  constructor(
    private readonly settings: ForwardingProcessSettings,
    private readonly adapters: ForwardingAdapters,
  ) {
    const { identity, seeds, random } = createDaemonStart(settings);
    this.log = new DecisionLog({ daemon: settings.name }, this.logStream, settings.log, now);
    this.daemon = new ForwardingDaemon(identity, seeds, settings.daemon, random, now());
    this.daemonActor = spawnActor(this.system, 'daemon', (event) => this.onEvent(event));
    this.tunnels = createTunnelServer({
      checkTunnel: (address, openTunnels) => this.daemon.checkTunnel(address, openTunnels),
      log: this.log,
      getMetrics: () => this.metrics,
    });
    this.peers = this.createPeers(identity);
    this.backends = this.createBackends(identity.id);
    this.requests = new OpenRequests(adapters.dialect, this.backends, (event) => this.send(event));
    this.server = new ForwardServer(
      {
        onRequest: (request, reply) =>
          this.faults.runOrEnd(
            () => this.requests.add(request, reply),
            () => reply.destroy(),
          ),
        onIdleClosed: (reason) => this.metrics.addIdleClosed(reason),
      },
      now,
      settings.maximumCallerConnections,
    );
    this.metrics = this.createMetrics();
    this.externalCalls = new ExternalCalls(this.backends, adapters, this.metrics, (event) =>
      this.send(event),
    );
    this.faults = new RequestFaults(this.log, this.metrics, (requestId) => this.endFaultyRequest(requestId));
    this.effects = this.createEffectPerformer();
    this.metricsServer = createMetricsServer(this.metrics);
    this.readyServer = createReadyServer(settings.readyPath, () => this.isReady());
  }

  private createPeers({ id, address }: DaemonStart['identity']): PeerTransport {
    const hello = { kind: 'hello', id, address } as const;
    return new PeerTransport(hello, {
      onMessage: (fromId, fromAddress, message) =>
        this.send({ kind: 'peerMessage', fromId, fromAddress, message }),
      onProtocolError: (error, remote) =>
        this.log.writeImportantEvent('peer.protocol-error', { code: error.code, ...error.context, remote }),
      onTraffic: () => undefined,
      onTunnel: (socket, request) => this.tunnels.receive(socket, request),
    });
  }

  private createBackends(daemonId: string): BackendClient {
    const unanswered = new UnansweredCalls((call, reason, count) =>
      this.log.writeImportantEvent('backend.call-unanswered', { call, reason, count }),
    );
    return new BackendClient(
      this.adapters.dialect,
      { ...BACKEND_CONNECTIONS, daemonId },
      (call, reason) => unanswered.add(call, reason),
      (backend, signals, sentAt, isHealthCheck) =>
        this.send({ kind: 'backendSignalled', backend, signals, sentAt, isHealthCheck }),
    );
  }

  private createEffectPerformer(): EffectPerformer {
    const { requests, backends, peers, server, externalCalls, log, metrics, faults } = this;
    return new EffectPerformer({ requests, backends, peers, server, externalCalls, log, metrics, faults });
  }

  private createMetrics(): ForwardingMetrics {
    return new ForwardingMetrics({
      isReady: () => this.isReady(),
      getOpenRequestCount: () => this.daemon.countOpenRequests(),
      getUnansweredCount: () => this.server.getOpenRequestCount(),
      getConfigurationVersion: () => this.daemon.configurationVersion(),
      getConfigurationAgeMs: () => this.daemon.configurationAgeMs(now()),
      getMemberCount: () => this.daemon.getMemberCount(),
      getDroppedLineCount: () => this.log.getDroppedLineCount(),
      getOpenTunnelCount: () => this.tunnels.getOpenCount(),
      getPartFigures: () => this.daemon.getPartFigures(now()),
    });
  }

  /**
   * Opens the servers and starts the timers.
   * @throws ListenError when an address other than that of the metrics cannot be bound.
   */
  async start(): Promise<void> {
    this.log.writeImportantEvent('process.started', { zone: this.settings.zone, node: process.version });
    this.tick();
    this.flushTimer = setInterval(() => this.logStream.flush(), LOG_FLUSH_MS);
    await Promise.all([
      startListening(this.readyServer, this.settings.readyAddress),
      this.startMetricsServer(),
      this.peers.listen(),
      this.server.listen(this.settings.callerAddress),
    ]);
  }

  /** Logs that the settings file was read again; `fields` give the result. */
  onReload(fields: Readonly<Record<string, unknown>>): void {
    this.log.writeImportantEvent('process.reloaded', fields);
  }

  /**
   * Logs that a record or a header from the store is invalid. The last valid configuration stays in force; an
   * invalid record of a back end counts as removed.
   */
  onInvalidRecord(key: string, error: PulleyledgeError): void {
    this.log.writeImportantEvent('record.rejected', { key, code: error.code, ...error.context });
  }

  /**
   * Stops without breaking off a request, within the grace period. A further call returns the same promise
   * and so resolves no sooner: the program exits when a call resolves.
   */
  stop(): Promise<void> {
    this.stopped ??= this.stopGracefully();
    return this.stopped;
  }

  private async stopGracefully(): Promise<void> {
    const startedAt = now();
    const deadline = startedAt + this.settings.stopGraceMs - STOP_MARGIN_MS;
    this.send({ kind: 'beginDrain' });
    this.server.startClosing();
    await delay(Math.min(DRAIN_NOTICE_MS, deadline - startedAt));
    this.send({ kind: 'closeForNew' });
    const refusedUntil = Math.max(deadline - LISTENER_CLOSE_MS, now() + MINIMUM_REFUSAL_MS);
    await this.waitUntilIdle(Math.min(refusedUntil, deadline));
    await this.closeListener(deadline + FINAL_ACCEPT_MS - now());
    await this.waitUntilIdle(deadline);
    await this.waitForFinalRequests(Math.max(deadline + FINAL_ACCEPT_MS, now()));
    this.send({ kind: 'endRequests' });
    await this.waitForFinalRequests(now() + FINAL_ANSWER_MS);
    this.stopTimers();
    this.log.writeImportantEvent('process.stopped', {
      unfinished: this.server.getOpenRequestCount(),
      tunnels: this.tunnels.getOpenCount(),
      unused: this.server.getUnusedConnectionCount(),
      afterMs: Math.round(now() - startedAt),
    });
    this.tunnels.close();
    this.logStream.flushSync();
  }

  /** Waits until no caller is connected and no tunnel open, or until `deadline` (monotonic milliseconds). */
  private async waitUntilIdle(deadline: number): Promise<void> {
    const isIdle = (): boolean =>
      this.server.getOpenRequestCount() === 0 &&
      this.server.getOpenConnectionCount() === 0 &&
      this.tunnels.getOpenCount() === 0;
    while (now() < deadline && !isIdle()) await delay(Math.min(DRAIN_POLL_MS, deadline - now()));
  }

  private async closeListener(timeoutMs: number): Promise<void> {
    const end = await this.server.stopListening(Math.min(timeoutMs, LISTENER_CLOSE_MS));
    this.log.writeImportantEvent('listener.closed', { ...end });
  }

  /**
   * Refuses the requests of callers that have connected, or sent a request, since the last check. The exit of
   * the process would reset their connections, and they could not know whether their requests were executed.
   * Ends when none of them waits, or at `deadline` (monotonic milliseconds): accepting many connections takes a
   * while, also after a listener that closed early.
   */
  private async waitForFinalRequests(deadline: number): Promise<void> {
    do await delay(FINAL_POLL_MS);
    while (this.server.hasUnansweredCallers() && now() < deadline);
  }

  /** Closes all servers and connections at once. */
  async close(): Promise<void> {
    this.stopTimers();
    this.server.close();
    this.readyServer.close();
    this.readyServer.closeAllConnections();
    this.metricsServer.close();
    this.metricsServer.closeAllConnections();
    this.peers.close();
    this.tunnels.close();
    nact.stop(this.system);
    await this.backends.close();
  }

  /** Whether callers should connect here: new connections are accepted, and requests on them can be served. */
  private isReady(): boolean {
    return this.daemon.ready() && this.server.hasCapacity();
  }

  /**
   * Sends a tick and schedules the next one: sooner while requests are open, as only these have short
   * deadlines.
   */
  private tick(): void {
    this.send({ kind: 'tick', wallMs: Date.now() });
    const intervalMs = this.requests.getCount() > 0 ? TICK_MS : IDLE_TICK_MS;
    this.tickTimer = setTimeout(() => this.tick(), intervalMs);
  }

  private stopTimers(): void {
    clearTimeout(this.tickTimer);
    clearInterval(this.flushTimer);
  }

  private send(event: ForwardingEvent): void {
    this.daemonActor.dispatch(event);
  }

  /**
   * Compares the clocks before the event is handled: the first event after a suspension of the machine may
   * otherwise lead to an order under a lease that has expired meanwhile.
   */
  private onEvent(event: ForwardingEvent): void {
    const at = now();
    const forMs = this.suspension.observe(at, Date.now());
    if (forMs > 0) this.handle({ kind: 'clockStoodStill', forMs }, at);
    this.handle(event, at);
  }

  private handle(event: ForwardingEvent, at: number): void {
    let effects: ForwardingEffect[] = [];
    this.faults.run(findRequestId(event), () => (effects = this.daemon.handle(event, at)));
    for (const effect of effects) this.effects.perform(effect);
  }

  /** Ends a request that cannot be handled further; its caller is answered, or loses the connection. */
  private endFaultyRequest(requestId: string): void {
    for (const effect of this.daemon.handle({ kind: 'requestFaulted', requestId }, now()))
      this.effects.perform(effect);
    this.requests.drop(requestId);
  }

  /** A daemon whose metrics address cannot be bound logs this and serves requests all the same. */
  private async startMetricsServer(): Promise<void> {
    const { metricsAddress } = this.settings;
    if (metricsAddress === undefined) return;
    try {
      await startListening(this.metricsServer, metricsAddress);
    } catch (error) {
      if (!(error instanceof ListenError)) throw error;
      this.log.writeImportantEvent('metrics.unavailable', { code: error.code, ...error.context });
    }
  }
}

function now(): number {
  return performance.now();
}
