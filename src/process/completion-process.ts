/**
 * The process of a completion daemon: the servers, adapters and actors around its state machine, and the
 * graceful stop. Owns the sockets, the timers and the open requests. Relies on the state machine for all
 * decisions.
 */
import type { Server } from 'node:http';
import { pino, type Logger } from 'pino';
import { HttpApplicationClient, type ApplicationPayload } from '../adapters/application-client.js';
import { HttpEngineClient } from '../adapters/engine-client.js';
import { startListening, stopListening } from '../adapters/listen.js';
import { PeerTransport } from '../adapters/peer-transport.js';
import { HttpPlatformClient } from '../adapters/platform-client.js';
import { CompletionDaemon } from '../daemon/completion-daemon.js';
import type { CompletionDaemonStatus, RowEdit } from '../daemon/completion-messages.js';
import { PulleyledgeError } from '../errors/index.js';
import { createCallerServer, type ApplicationSink, type CallerHandler } from '../gateway/caller-server.js';
import { runAfterNextPoll } from '../gateway/after-next-poll.js';
import { KeepAliveConnections } from '../gateway/keep-alive-connections.js';
import { createOperatorServer } from '../gateway/operator-server.js';
import type { ReplySink } from '../gateway/reply-sink.js';
import type { ApplicationCall } from '../routing/application-messages.js';
import type { CompletionRequest } from '../routing/completion-request.js';
import type { ReloadFields } from '../settings/reload.js';
import { getDaemonSettings, type Settings } from '../settings/settings.js';
import { delay } from '../shared/delay.js';
import { CompletionActors, type ReplyEffect } from './completion-actors.js';
import { CompletionMetrics } from './completion-metrics.js';
import { createDaemonStart, type DaemonStart } from './daemon-identity.js';

interface OpenCompletion {
  readonly sink: ReplySink;
  readonly receivedAt: number;
  firstTokenSeen: boolean;
}

interface OpenApplication {
  readonly sink: ApplicationSink;
  readonly payload: ApplicationPayload;
}

interface OpenEdit {
  resolve(revision: number): void;
  reject(error: PulleyledgeError): void;
}

/** Interval at which a stopping process checks for open requests and connections. Milliseconds. */
const DRAIN_POLL_MS = 50;
/** Interval at which a starting process checks whether the configuration is known. Milliseconds. */
const READY_POLL_MS = 25;
/**
 * A stopping process waits at most this long for writes to the ledger. Milliseconds; ten retries of a commit.
 */
const LEDGER_FLUSH_TIMEOUT_MS = 5000;

/** One daemon process. */
export class CompletionProcess {
  private readonly daemon: CompletionDaemon;
  private readonly actors: CompletionActors;
  private readonly peers: PeerTransport;
  private readonly platform: HttpPlatformClient;
  private readonly engines = new HttpEngineClient((text) => this.onUnreadableRetryAfter('engine', text));
  private readonly applications = new HttpApplicationClient((text) =>
    this.onUnreadableRetryAfter('application', text),
  );
  /** The last Retry-After header that could not be parsed, by the kind of system that sent it. */
  private readonly unreadableRetryAfter = new Map<string, string>();
  private readonly callerServer: Server;
  private readonly callerConnections: KeepAliveConnections;
  private readonly operatorServer: Server;
  private readonly metrics: CompletionMetrics;
  private readonly logger: Logger;
  private readonly completions = new Map<string, OpenCompletion>();
  private readonly applicationCalls = new Map<string, OpenApplication>();
  private readonly edits = new Map<string, OpenEdit>();
  private ticker: NodeJS.Timeout | undefined;
  private stopping = false;
  private stopped: Promise<void> | undefined;

  constructor(private readonly settings: Settings) {
    const { identity, seeds, random } = createDaemonStart(settings);
    const { id } = identity;
    this.logger = pino({ level: settings.logLevel, base: { daemon: id } });
    this.metrics = new CompletionMetrics(() => this.getStatus());
    this.daemon = new CompletionDaemon(
      identity,
      seeds,
      getDaemonSettings(settings),
      random,
      performance.now(),
    );
    this.platform = new HttpPlatformClient(
      settings.platform,
      (reason, count) => this.logger.warn({ event: 'machines.no-answer', reason, count }),
      (text) => this.onUnreadableRetryAfter('platform', text),
    );
    this.peers = this.createPeers(identity);
    this.actors = this.createActors();
    this.callerServer = createCallerServer(this.createCallerHandler(), settings.maximumBodyBytes);
    this.callerConnections = new KeepAliveConnections(this.callerServer);
    this.operatorServer = this.createOperatorEndpoint();
  }

  /**
   * Opens the servers and starts the timers. Resolves once callers can connect, or the process is stopping.
   * @throws ListenError when an address cannot be bound.
   */
  async start(): Promise<void> {
    await this.peers.listen();
    await startListening(this.operatorServer, this.settings.operatorAddress);
    this.ticker = setInterval(
      () => this.actors.dispatch({ kind: 'tick', wallMs: Date.now() }),
      this.settings.tickIntervalMs,
    );
    this.logger.info({ event: 'process.started', operators: this.settings.operatorAddress });
    await this.startListeningWhenReady();
  }

  /**
   * Starts to listen for callers only once the daemon knows the configuration, so that a restart refuses no
   * request.
   */
  private async startListeningWhenReady(): Promise<void> {
    while (!this.stopping && !this.daemon.readiness(performance.now()).ready) await delay(READY_POLL_MS);
    if (this.stopping) return;
    await startListening(this.callerServer, this.settings.callerAddress);
    this.logger.info({ event: 'process.ready', callers: this.settings.callerAddress });
  }

  /** Logs that the settings file was read again; `fields` give the result. */
  onReload(fields: ReloadFields): void {
    this.logger.info({ event: 'process.reloaded', ...fields });
  }

  /**
   * Stops without breaking off a request: hands over leases, limits and membership, accepts new requests for
   * `drainNoticeMs`, closes the listener, and resolves when the last request is answered and no caller may
   * still reuse a keep-alive connection by the time advertised to it. A further call returns the same promise
   * and so resolves no sooner: the program exits when a call resolves.
   */
  stop(): Promise<void> {
    this.stopped ??= this.stopGracefully();
    return this.stopped;
  }

  private async stopGracefully(): Promise<void> {
    this.stopping = true;
    this.actors.dispatch({ kind: 'beginDrain' });
    this.callerConnections.startClosing();
    await delay(this.settings.drainNoticeMs);
    this.logger.info({ event: 'listener.closed', ...(await stopListening(this.callerServer)) });
    const { drainTimeoutMs } = this.settings;
    await waitUntil(
      () => !this.hasRequests() && this.callerConnections.getReusableCount() === 0,
      drainTimeoutMs,
    );
    this.daemon.closeForNew();
    await waitUntil(
      () => !this.hasRequests() && this.daemon.countUnconfirmedWrites() === 0,
      LEDGER_FLUSH_TIMEOUT_MS,
    );
    this.logger.info({
      event: 'process.stopped',
      unfinished: this.getOpenRequestCount(),
      closedEarly: this.callerConnections.getReusableCount(),
    });
    await this.close();
  }

  /** Whether a request is being read, waits for its answer, or is being answered. */
  private hasRequests(): boolean {
    return this.getOpenRequestCount() > 0 || this.callerConnections.hasPendingResponses();
  }

  private async close(): Promise<void> {
    clearInterval(this.ticker);
    this.callerServer.closeAllConnections();
    this.operatorServer.close();
    this.operatorServer.closeAllConnections();
    this.peers.close();
    this.actors.stop();
    await Promise.all([this.platform.close(), this.engines.close(), this.applications.close()]);
  }

  private createPeers({ id, address }: DaemonStart['identity']): PeerTransport {
    const hello = { kind: 'hello', id, address } as const;
    return new PeerTransport(hello, {
      onMessage: (fromId, fromAddress, message) =>
        this.actors.dispatch({ kind: 'peerMessage', fromId, fromAddress, message }),
      onProtocolError: (error, remote) =>
        this.logger.warn({ event: 'peer.protocol-error', code: error.code, ...error.context, remote }),
      onTraffic: (direction, kind, bytes) => this.metrics.addPeerMessage(direction, kind, bytes),
    });
  }

  private createActors(): CompletionActors {
    return new CompletionActors({
      daemon: this.daemon,
      peers: this.peers,
      platform: this.platform,
      engines: this.engines,
      applications: this.applications,
      getPayload: (requestId) => this.applicationCalls.get(requestId)?.payload,
      onReply: (effect) => this.sendReply(effect),
      onTransition: (event, milliseconds) => this.metrics.addTransition(event, milliseconds),
    });
  }

  private createOperatorEndpoint(): Server {
    const { registry } = this.metrics;
    return createOperatorServer({
      getStatus: () => this.getStatus(),
      getMetrics: async () => ({ contentType: registry.contentType, text: await registry.metrics() }),
      applyEdit: (editId, edits) => this.applyEdit(editId, edits),
    });
  }

  private getOpenRequestCount(): number {
    return this.completions.size + this.applicationCalls.size;
  }

  /**
   * Reports not ready until callers can connect: the listener opens up to READY_POLL_MS after the daemon is
   * ready, and callers routed here in between would have their connections refused.
   */
  private getStatus(): CompletionDaemonStatus {
    const status = this.daemon.status(performance.now());
    if (!status.ready || this.callerServer.listening) return status;
    return { ...status, ready: false, reason: 'callers cannot connect yet' };
  }

  private applyEdit(editId: string, edits: readonly RowEdit[]): Promise<number> {
    return new Promise((resolve, reject) => {
      this.edits.set(editId, { resolve, reject });
      this.actors.dispatch({ kind: 'editServices', editId, edits });
    });
  }

  private createCallerHandler(): CallerHandler {
    return {
      onCompletion: (request: CompletionRequest, sink: ReplySink) => {
        this.completions.set(request.requestId, {
          sink,
          receivedAt: request.receivedAt,
          firstTokenSeen: false,
        });
        this.actors.dispatch({ kind: 'submitCompletion', request });
      },
      onApplicationCall: (call: ApplicationCall, payload: ApplicationPayload, sink: ApplicationSink) => {
        this.applicationCalls.set(call.requestId, { sink, payload });
        this.actors.dispatch({ kind: 'submitApplication', call });
      },
      onCancelled: (requestId: string) => {
        const open = this.completions.delete(requestId) || this.applicationCalls.delete(requestId);
        if (open) this.actors.dispatch({ kind: 'cancelRequest', requestId });
      },
    };
  }

  private sendReply(effect: ReplyEffect): void {
    switch (effect.kind) {
      case 'replyTokens':
        this.sendTokens(effect.requestId, effect.texts);
        break;
      case 'replyEnd':
        this.completions.get(effect.requestId)?.sink.end(effect.tokens, effect.finishReason);
        this.onRequestFinished(effect.requestId, 'ok');
        break;
      case 'replyFailed':
        this.sendFailure(effect.requestId, effect.error, effect.tokensSent);
        break;
      case 'replyApplication':
        this.applicationCalls
          .get(effect.requestId)
          ?.sink.respond(effect.status, effect.contentType, effect.body);
        this.onRequestFinished(effect.requestId, 'ok');
        break;
      case 'editAccepted':
        this.edits.get(effect.editId)?.resolve(effect.revision);
        this.edits.delete(effect.editId);
        this.logger.info({ event: 'edit.accepted', editId: effect.editId, revision: effect.revision });
        break;
      case 'editFailed':
        this.edits.get(effect.editId)?.reject(effect.error);
        this.edits.delete(effect.editId);
        this.logger.warn({ event: 'edit.failed', editId: effect.editId, code: effect.error.code });
        break;
      case 'log':
        this.logger.info({ event: effect.event, ...effect.fields });
        break;
    }
  }

  private sendTokens(requestId: string, texts: readonly string[]): void {
    const open = this.completions.get(requestId);
    if (!open) return;
    if (!open.firstTokenSeen) {
      open.firstTokenSeen = true;
      this.metrics.addFirstToken(performance.now() - open.receivedAt);
    }
    this.metrics.addTokens(texts.length);
    open.sink.writeTokens(texts);
  }

  private sendFailure(requestId: string, error: PulleyledgeError, tokensSent: number): void {
    this.logger.info({
      event: 'request.failed',
      requestId,
      code: error.code,
      notRun: error.notRun,
      tokensSent,
      ...error.context,
    });
    this.completions.get(requestId)?.sink.fail(error, tokensSent);
    this.applicationCalls.get(requestId)?.sink.fail(error);
    this.onRequestFinished(requestId, error.code);
  }

  /** Logs a value once, however many answers of the system contain it. */
  private onUnreadableRetryAfter(from: string, text: string): void {
    if (this.unreadableRetryAfter.get(from) === text) return;
    this.unreadableRetryAfter.set(from, text);
    this.logger.warn({ event: 'retry-after.unreadable', from, text });
  }

  private onRequestFinished(requestId: string, outcome: string): void {
    this.completions.delete(requestId);
    this.applicationCalls.delete(requestId);
    this.metrics.addRequest(outcome);
  }
}

/**
 * Checks `condition` until it holds or `timeoutMs` have passed. Sockets are polled before each check: the
 * process may have been paused, and exiting without reading them would reset requests that were sent in time.
 */
async function waitUntil(condition: () => boolean, timeoutMs: number): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    await new Promise<void>(runAfterNextPoll);
    if (condition() || performance.now() > deadline) return;
    await delay(DRAIN_POLL_MS);
  }
}
