/**
 * A forwarding daemon as a process: servers, adapters and an actor around its state machine, and an orderly
 * stop.
 */
import type { Server } from 'node:http';
import nact, { type Ref } from 'nact';
import { pino } from 'pino';
import { BackendClient, type BackendClientSettings } from '../adapters/backend-client.js';
import type { BackendDialect } from '../adapters/backend-dialect.js';
import { startListening } from '../adapters/listen.js';
import { PeerTransport } from '../adapters/peer-transport.js';
import { ForwardingDaemon, TICK_MS } from '../daemon/forwarding-daemon.js';
import type { ForwardingEffect, ForwardingEvent } from '../daemon/forwarding-messages.js';
import { ListenError, type PulleyledgeError } from '../errors/index.js';
import { ForwardServer } from '../gateway/forward-server.js';
import { delay } from '../shared/delay.js';
import { SuspensionDetector } from '../shared/suspension-watch.js';
import { createDaemonStart, type DaemonStart } from './daemon-identity.js';
import { ForwardingMetrics } from './forwarding-metrics.js';
import { createMetricsServer, createReadyServer } from './status-servers.js';
import { OpenRequests } from './open-requests.js';
import { ExternalCalls, type ExternalSystems } from './outside-calls.js';
import { DecisionLog } from './decision-log.js';
import type { ForwardingProcessSettings } from './forwarding-process-settings.js';
import { spawnActor } from './spawn-actor.js';
import { UnansweredCalls } from './unanswered-calls.js';

/** The outside systems. */
interface ForwardingAdapters extends ExternalSystems {
  readonly dialect: BackendDialect;
}

/**
 * Interval between ticks while no request is in hand. Milliseconds; under half of what counts as a pause of
 * the process.
 */
const IDLE_TICK_MS = 100;

/** Connections to back ends. Reasons: docs/design/silent-connections.md. */
const BACKEND_CONNECTIONS: BackendClientSettings = {
  /** Many times the way there and back between the furthest regions. */
  connectTimeoutMs: 500,
  /** Above the slots of any back end, so that the slots limit and not the connections. */
  connectionsPerBackend: 64,
  /** A back end that takes longer over a small call is of no use to a request either. */
  callTimeoutMs: 1000,
  /** A quarter of the 4 s within which contact has to be found again. */
  silentConnectionMs: 1000,
};

/**
 * Interval between looks at what a stopping process still waits for. Milliseconds; short against the
 * grace.
 */
const DRAIN_POLL_MS = 50;
/**
 * After a stop was asked for, new requests are served for so long, since callers are sent here until the
 * platform has noticed; later ones are refused. Milliseconds.
 */
const NOTICE_MS = 2800;
/** Time kept at the end of the grace for the process to end by itself. Milliseconds. */
const STOP_MARGIN_MS = 700;
/**
 * A stopping process accepts its last callers for so long, and waits so long for their answers. Milliseconds; together
 * within STOP_MARGIN_MS.
 */
const LAST_CALLERS_MS = 300;
const LAST_ANSWERS_MS = 200;
/** Interval between looks at these. Milliseconds. */
const LAST_ANSWERS_POLL_MS = 5;
/** Log lines are written in pieces of this size at least. Bytes; a page of memory. */
const LOG_BUFFER_BYTES = 4096;
/** A process that is killed loses the lines of so long. Milliseconds. */
const LOG_FLUSH_MS = 500;
/** Log lines that cannot be written wait up to this size; further ones are dropped. Bytes. */
const MAXIMUM_LOG_BYTES = 1024 * 1024;

/** One forwarding daemon process. */
export class ForwardingProcess {
  private readonly daemon: ForwardingDaemon;
  private readonly machine: Ref<ForwardingEvent>;
  private readonly system = nact.start();
  private readonly peers: PeerTransport;
  private readonly backends: BackendClient;
  private readonly outside: ExternalCalls;
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
    this.machine = spawnActor(this.system, 'daemon', (event) => this.step(event));
    this.peers = this.createPeers(identity);
    this.backends = this.createBackends();
    this.requests = new OpenRequests(adapters.dialect, this.backends, (event) => this.send(event));
    this.server = new ForwardServer(
      { onRequest: (request, reply) => this.requests.add(request, reply) },
      now,
      settings.maximumCallerConnections,
    );
    this.metrics = this.createMetrics();
    this.outside = new ExternalCalls(this.backends, adapters, this.metrics, (event) => this.send(event));
    this.metricsServer = createMetricsServer(this.metrics);
    this.readyServer = createReadyServer(settings.readyPath, () => this.ready());
  }

  private createPeers({ id, address }: DaemonStart['identity']): PeerTransport {
    const hello = { kind: 'hello', id, address } as const;
    return new PeerTransport(hello, {
      onMessage: (fromId, fromAddress, message) =>
        this.send({ kind: 'peerMessage', fromId, fromAddress, message }),
      onProtocolError: (error, remote) =>
        this.log.writeImportantEvent('peer.protocol-error', { code: error.code, ...error.context, remote }),
      onTraffic: () => undefined,
    });
  }

  private createBackends(): BackendClient {
    const unanswered = new UnansweredCalls((call, reason, count) =>
      this.log.writeImportantEvent('backend.call-unanswered', { call, reason, count }),
    );
    return new BackendClient(
      this.adapters.dialect,
      BACKEND_CONNECTIONS,
      (call, reason) => unanswered.add(call, reason),
      (backend, signals, sentAt, isHealthCheck) =>
        this.send({ kind: 'backendSignalled', backend, signals, sentAt, isHealthCheck }),
    );
  }

  private createMetrics(): ForwardingMetrics {
    return new ForwardingMetrics({
      isReady: () => this.ready(),
      getOpenRequestCount: () => this.daemon.countOpenRequests(),
      getConfigurationVersion: () => this.daemon.configurationVersion(),
      getConfigurationAgeMs: () => this.daemon.configurationAgeMs(now()),
      getMemberCount: () => this.daemon.members(),
      getDroppedLineCount: () => this.log.getDroppedLineCount(),
      getPartFigures: () => this.daemon.getPartFigures(now()),
    });
  }

  /** Opens the servers and starts the timers. */
  async start(): Promise<void> {
    this.log.writeImportantEvent('process.started', { zone: this.settings.zone, node: process.version });
    this.tick();
    this.flushTimer = setInterval(() => this.logStream.flush(), LOG_FLUSH_MS);
    await Promise.all([
      startListening(this.readyServer, this.settings.readyAddress),
      this.listenMetrics(),
      this.peers.listen(),
      this.server.listen(this.settings.callerAddress),
    ]);
  }

  /** The settings were written anew. */
  onReload(fields: Readonly<Record<string, unknown>>): void {
    this.log.writeImportantEvent('process.reloaded', fields);
  }

  /** A record of the store cannot be read; the last good one stays in force. */
  onInvalidRecord(key: string, error: PulleyledgeError): void {
    this.log.writeImportantEvent('record.rejected', { key, code: error.code, ...error.context });
  }

  /**
   * Stops without cutting a request, within the grace. Asked again, it resolves no sooner: the program ends then.
   */
  stop(): Promise<void> {
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private async runStop(): Promise<void> {
    const startedAt = now();
    const latest = startedAt + this.settings.stopGraceMs - STOP_MARGIN_MS;
    this.send({ kind: 'beginDrain' });
    this.server.startClosing();
    while (now() < latest) {
      const noticed = now() - startedAt > NOTICE_MS;
      if (noticed) this.send({ kind: 'closeForNew' });
      if (noticed && this.server.getOpenRequestCount() === 0 && this.server.getOpenConnectionCount() === 0)
        break;
      await delay(DRAIN_POLL_MS);
    }
    await this.waitForLastCallers();
    this.stopTimers();
    this.log.writeImportantEvent('process.stopped', {
      unfinished: this.server.getOpenRequestCount(),
      afterMs: Math.round(now() - startedAt),
    });
    this.logStream.flushSync();
  }

  /**
   * Callers that have connected, or sent a request, since the last look are refused in order: the end of the
   * process would reset them, and they could not know whether their requests ran.
   */
  private async waitForLastCallers(): Promise<void> {
    await this.server.stopListening(LAST_CALLERS_MS);
    const latest = now() + LAST_ANSWERS_MS;
    do await delay(LAST_ANSWERS_POLL_MS);
    while (this.server.getOpenRequestCount() > 0 && now() < latest);
  }

  /** Closes every server and connection at once. */
  async close(): Promise<void> {
    this.stopTimers();
    this.server.close();
    this.readyServer.close();
    this.readyServer.closeAllConnections();
    this.metricsServer.close();
    this.metricsServer.closeAllConnections();
    this.peers.close();
    nact.stop(this.system);
    await this.backends.close();
  }

  /** Whether callers should connect here: new connections are taken, and what comes on them can be served. */
  private ready(): boolean {
    return this.daemon.ready() && this.server.hasCapacity();
  }

  /**
   * Ticks, and again after a while: sooner while requests are in hand, since only these have short deadlines.
   */
  private tick(): void {
    this.send({ kind: 'tick', wallMs: Date.now() });
    const pauseMs = this.requests.getCount() > 0 ? TICK_MS : IDLE_TICK_MS;
    this.tickTimer = setTimeout(() => this.tick(), pauseMs);
  }

  private stopTimers(): void {
    clearTimeout(this.tickTimer);
    clearInterval(this.flushTimer);
  }

  private send(event: ForwardingEvent): void {
    nact.dispatch(this.machine, event);
  }

  /**
   * Before anything is decided the clocks are compared: the first event after a suspension may lead to an
   * order.
   */
  private step(event: ForwardingEvent): void {
    const at = now();
    const forMs = this.suspension.observe(at, Date.now());
    if (forMs > 0) this.handle({ kind: 'clockStoodStill', forMs }, at);
    this.handle(event, at);
  }

  private handle(event: ForwardingEvent, at: number): void {
    for (const effect of this.daemon.handle(event, at)) this.perform(effect);
  }

  private perform(effect: ForwardingEffect): void {
    switch (effect.kind) {
      case 'startAttempt':
        this.requests.startAttempt(effect.start);
        break;
      case 'abortAttempt':
        this.backends.abort(effect.attemptId);
        break;
      case 'abandonAttempt':
        this.backends.abandon(effect.attemptId);
        break;
      case 'replyWhole':
      case 'replyFailure':
      case 'replyBroken':
        this.requests.sendReply(effect);
        break;
      case 'freeKv':
        this.backends.freeKv(effect.source);
        break;
      case 'decision':
        this.logDecision(effect);
        break;
      case 'change':
        this.logChange(effect);
        break;
      case 'sendPeer':
        this.peers.send(effect.address, effect.message);
        break;
      case 'configurationInForce':
        this.server.setLimits(effect.configuration.limits);
        break;
      case 'backendGone':
        this.backends.removeBackend(effect.backendId);
        break;
      default:
        this.outside.perform(effect);
    }
  }

  private logChange(effect: Extract<ForwardingEffect, { kind: 'change' }>): void {
    this.metrics.addChange(effect);
    this.log.writeImportantEvent(effect.event, effect.fields);
  }

  private logDecision(effect: Extract<ForwardingEffect, { kind: 'decision' }>): void {
    this.metrics.addDecision(effect);
    const failed = effect.event === 'request.refused' || effect.event === 'request.failed';
    if (failed) this.log.writeImportantEvent(effect.event, { requestId: effect.callerId, ...effect.fields });
    else this.log.writeRequestEvent(effect.event, effect.callerId, effect.fields);
  }

  /** Without its metrics a daemon still serves. */
  private async listenMetrics(): Promise<void> {
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
