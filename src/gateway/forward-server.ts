/**
 * The HTTP server that callers of forwarded requests connect to. It reads requests whole and hands each on
 * with the reply that answers it. Owns the callers' connections: how many are open, which rest, which give
 * way to new ones.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { startListening, stopListening } from '../adapters/listen.js';
import type { BufferedAnswer, StreamSink } from '../adapters/backend-client.js';
import type { CallerLimits } from '../forwarding/routes/route.js';
import { runAfterNextPoll, closeIfIdle } from './after-next-poll.js';
import { STATUS_TOO_LARGE } from '../shared/http-status.js';
import { SECOND_MS } from '../shared/units.js';

/** A request that was read whole. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Where the connection comes from, without its port; empty when it is gone. */
  readonly callerAddress: string;
  /** When its head arrived. Monotonic milliseconds. */
  readonly arrivedAt: number;
}

/** Takes requests. */
interface ForwardHandler {
  onRequest(request: ReceivedRequest, reply: CallerReply): void;
}

/** An answer of the daemon's own. */
interface OwnAnswer {
  readonly status: number;
  readonly failure: string;
  readonly retryAfterMs: number | undefined;
}

/** Connections that the system keeps while the process is busy. */
const BACKLOG = 1024;
/**
 * Callers keep to the configured limit; this one only protects the process. Bytes; four times the limit's
 * default.
 */
const MAXIMUM_HEADER_BYTES = 64 * 1024;
/**
 * Interval between looks for connections over their time limits. Milliseconds; short against the limits'
 * defaults of 3 and 15 s.
 */
const KEEP_ALIVE_CHECK_MS = 1000;
/** Limit of a body until a configuration is known. Bytes; the default of the configuration. */
const INITIAL_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
/**
 * A connection that has rested for less is not closed to make room: its request may be on its way.
 * Milliseconds; some times the way to a caller and back in any region that the platform names.
 */
const MINIMUM_REST_MS = 200;

/** The answer to one request. Every method but the first has an effect once only. */
export class CallerReply implements StreamSink {
  private lastId: string | undefined;
  private over = false;
  private headSent = false;
  /** Called when the caller goes away before the answer is whole. */
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

  /** Nothing more is written: the answer is whole, or there will be none. */
  isFinished(): boolean {
    return this.over;
  }

  /** The caller has closed its connection, or its side of it. */
  onConnectionClosed(): void {
    if (this.over) return;
    this.over = true;
    this.onCallerGone();
  }

  /** The id of the last event passed on. */
  getLastEventId(): string | undefined {
    return this.headSent ? this.lastId : undefined;
  }

  /** Begins a streamed answer; the head of a back end that goes on with it is not the caller's business. */
  writeHead(status: number, headers: string[], framed: boolean): void {
    if (this.over || this.headSent) return;
    this.headSent = true;
    this.markClosing();
    if (!framed) this.endWithConnection();
    this.response.writeHead(status, pairs(headers, new Set(['content-length'])));
    this.response.flushHeaders();
  }

  /** Passes on whole events. */
  writeEvents(bytes: Buffer, lastEventId: string | undefined): void {
    if (this.over) return;
    if (lastEventId !== undefined) this.lastId = lastEventId;
    this.response.write(bytes);
  }

  /** Ends the answer: a stream, or one that was kept. */
  sendAnswer(answer: BufferedAnswer): void {
    if (this.over) return;
    this.over = true;
    if (this.headSent) {
      this.response.end();
      return;
    }
    this.markClosing();
    const headers = pairs(answer.headers, new Set(['content-length']));
    const bodiless = this.response.req.method === 'HEAD';
    if (!answer.framed) this.endWithConnection();
    else if (!bodiless) headers.push(['Content-Length', String(answer.body.length)]);
    this.response.writeHead(answer.status, headers);
    this.response.end(answer.body);
  }

  /** Answers with a failure of the daemon's own; an answer that has begun is broken off instead. */
  sendFailure(answer: OwnAnswer): void {
    if (this.headSent) this.abort();
    if (this.over) return;
    this.over = true;
    this.markClosing();
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

  /** Breaks off an answer that cannot be finished, so that it does not look complete. */
  abort(): void {
    if (this.over) return;
    this.over = true;
    this.response.destroy();
  }

  /** An answer whose end only the back end's closing told is passed on in the same way. */
  private endWithConnection(): void {
    this.response.useChunkedEncodingByDefault = false;
    this.response.shouldKeepAlive = false;
  }

  private markClosing(): void {
    if (this.closing()) this.response.shouldKeepAlive = false;
  }
}

/** The server of one daemon. */
export class ForwardServer {
  private readonly server: Server;
  /**
   * Open connections, and the answers that are due on each: more than one where requests were sent without
   * waiting.
   */
  private readonly connections = new Map<Socket, Set<CallerReply>>();
  /** Connections without a due answer and since when, the longest at rest first. Monotonic milliseconds. */
  private readonly resting = new Map<Socket, number>();
  private maximumBodyBytes = INITIAL_MAXIMUM_BODY_BYTES;
  private closing = false;

  constructor(
    private readonly handler: ForwardHandler,
    private readonly clock: () => number,
    /**
     * Connections that callers may have open at once: what the process may open, without what it needs for
     * servers and peers.
     */
    private readonly maximumConnections = Infinity,
  ) {
    this.server = createServer({
      connectionsCheckingInterval: KEEP_ALIVE_CHECK_MS,
      noDelay: true,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
    });
    this.server.on('request', (request, response) => this.accept(request, response));
    this.server.on('connection', (socket: Socket) => this.watch(socket));
    this.server.on('timeout', closeIfIdle);
  }

  /** Starts to listen on `ip:port`. */
  listen(address: string): Promise<void> {
    return startListening(this.server, address, BACKLOG);
  }

  /** Takes new limits into force. */
  setLimits(limits: CallerLimits): void {
    this.maximumBodyBytes = limits.maximumBodyBytes;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** From now on answers ask callers to close their connections. */
  startClosing(): void {
    this.closing = true;
  }

  /** Takes no new connections; those that have come up are accepted first, for `timeoutMs` at most. */
  stopListening(timeoutMs: number): Promise<void> {
    return stopListening(this.server, timeoutMs);
  }

  /** Requests without a whole answer. */
  getOpenRequestCount(): number {
    let requests = 0;
    for (const replies of this.connections.values()) requests += replies.size;
    return requests;
  }

  /** Open connections. */
  getOpenConnectionCount(): number {
    return this.connections.size;
  }

  /** Whether a new connection would be served: there is room, or one that rests can give way. */
  hasCapacity(): boolean {
    return this.connections.size < this.maximumConnections || this.getLongestAtRest() !== undefined;
  }

  /** Closes everything. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Notices that a caller leaves. Only the response whose turn it is hears of the end of its connection;
   * those behind it on the same connection would be worked on for nobody. A caller that ends its side is
   * taken to have left: a connection that is closed looks the same until something is written.
   */
  private watch(socket: Socket): void {
    if (!this.makeRoom()) {
      socket.destroy();
      return;
    }
    const replies = new Set<CallerReply>();
    const leave = (): void => replies.forEach((reply) => reply.onConnectionClosed());
    this.connections.set(socket, replies);
    this.resting.set(socket, this.clock());
    socket.on('end', leave);
    socket.on('close', () => {
      this.connections.delete(socket);
      this.resting.delete(socket);
      leave();
    });
  }

  /**
   * At the limit the connection that has rested longest is closed for a new one. A process without
   * descriptors accepts nothing at all.
   */
  private makeRoom(): boolean {
    if (this.connections.size < this.maximumConnections) return true;
    const longest = this.getLongestAtRest();
    if (longest === undefined) return false;
    this.resting.delete(longest);
    runAfterNextPoll(() => this.closeUnlessAsked(longest));
    return true;
  }

  /** A request may have waited in the socket while this process was busy: one poll more shows it. */
  private closeUnlessAsked(socket: Socket): void {
    if ((this.connections.get(socket)?.size ?? 0) > 0 || this.resting.has(socket)) return;
    this.connections.delete(socket);
    socket.destroy();
  }

  /** A connection that gives way; one that has only just come or been answered is about to ask. */
  private getLongestAtRest(): Socket | undefined {
    for (const [socket, since] of this.resting)
      return this.clock() - since >= MINIMUM_REST_MS ? socket : undefined;
    return undefined;
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = this.clock();
    const { socket } = request;
    const replies = this.connections.get(socket);
    const reply: CallerReply = new CallerReply(
      response,
      () => this.closing && isLast(replies, reply),
      undefined,
    );
    replies?.add(reply);
    this.resting.delete(socket);
    response.on('close', () => {
      replies?.delete(reply);
      if (replies?.size === 0 && !socket.destroyed) this.resting.set(socket, this.clock());
    });
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= this.maximumBodyBytes) chunks.push(chunk);
      else
        reply.sendFailure({
          status: STATUS_TOO_LARGE,
          failure: 'payload-too-large',
          retryAfterMs: undefined,
        });
    });
    // A caller that breaks off is noticed by the end of its connection (see `watch`), which tells the reply.
    request.on('error', () => undefined);
    request.on('end', () => {
      if (!request.complete || length > this.maximumBodyBytes) return;
      const received: ReceivedRequest = {
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        host: request.headers.host ?? '',
        headers: request.rawHeaders,
        body: Buffer.concat(chunks),
        callerAddress: socket.remoteAddress ?? '',
        arrivedAt,
      };
      runAfterNextPoll(() => {
        if (!reply.isFinished()) this.handler.onRequest(received, reply);
      });
    });
  }
}

/** Only the last answer due on a connection may end it: the others are followed by answers to requests that have come. */
function isLast(replies: ReadonlySet<CallerReply> | undefined, reply: CallerReply): boolean {
  return replies === undefined || [...replies].pop() === reply;
}

function pairs(headers: readonly string[], dropped: ReadonlySet<string>): [string, string][] {
  const list: [string, string][] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (!dropped.has(headers[index].toLowerCase())) list.push([headers[index], headers[index + 1]]);
  }
  return list;
}
