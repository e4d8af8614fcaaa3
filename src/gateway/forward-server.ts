/**
 * The HTTP server that callers of forwarded requests connect to. It reads each request completely and passes
 * it to a handler together with the reply to write to. Owns the callers' connections: how many are open,
 * which are idle, and which idle ones are closed to accept new ones.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ByteParts } from '../adapters/byte-parts.js';
import { startListening, stopListening, type ListenerEnd } from '../adapters/listen.js';
import type { CallerLimits } from '../forwarding/routes/route.js';
import { runAfterNextPoll, closeIfIdle } from './after-next-poll.js';
import { CallerReply } from './caller-reply.js';
import { endConnection, HEAD_TIMEOUT_CODE } from './end-connection.js';
import { STATUS_TOO_LARGE } from '../shared/http-status.js';

/** A request whose head and body were read completely. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Names and values alternate. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** The remote IP address, without its port; empty once the connection is closed. */
  readonly callerAddress: string;
  /** When its head arrived. Monotonic milliseconds. */
  readonly arrivedAt: number;
}

/** Why the server closed an idle connection: its timeout has expired, or a new one needed its place. */
export type IdleCloseReason = 'timeout' | 'limit';

/** Receives requests. */
interface ForwardHandler {
  onRequest(request: ReceivedRequest, reply: CallerReply): void;
  /** Called when the server has closed an idle connection. */
  onIdleClosed?(reason: IdleCloseReason): void;
}

/** Length of the accept queue: connections that the kernel completes while the process is busy. */
const BACKLOG = 1024;
/**
 * Callers stay within the configured limit; this one only protects the process. Bytes; four times the default
 * of the configured limit.
 */
const MAXIMUM_HEADER_BYTES = 64 * 1024;
/**
 * Interval between checks for connections over their time limits. Milliseconds; short compared with the
 * limits' defaults of 3 and 15 s.
 */
const KEEP_ALIVE_CHECK_MS = 1000;
/** Body limit until a configuration is known. Bytes; the configuration's default. */
const INITIAL_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
/**
 * A connection that has been idle for less is not closed to make room, since a request may be in flight on it.
 * Milliseconds; several times the round trip to a caller in any region that the platform names.
 */
const MINIMUM_IDLE_MS = 200;

/**
 * Node.js holds timeouts in 31 bits, with a second that it adds to the idle timeout: it warns of a longer one at each
 * answer, and tells callers a number that they can't read. Milliseconds.
 */
const MAXIMUM_TIMEOUT_MS = 2_000_000_000;

/** The server of one daemon. */
export class ForwardServer {
  private readonly server: Server;
  /**
   * Open connections, and the unfinished replies on each: more than one where the caller pipelines requests.
   */
  private readonly connections = new Map<Socket, Set<CallerReply>>();
  /** Connections without an unfinished reply and since when, longest idle first. Monotonic milliseconds. */
  private readonly idle = new Map<Socket, number>();
  /** Connections on which no request has arrived yet. */
  private readonly unused = new Set<Socket>();
  /** Connections that end after the answers to the whole requests on them, since what follows cannot be read. */
  private readonly unreadable = new Map<Socket, Error>();
  private maximumBodyBytes = INITIAL_MAXIMUM_BODY_BYTES;
  private closing = false;

  constructor(
    private readonly handler: ForwardHandler,
    private readonly clock: () => number,
    /**
     * Connections that callers may have open at once: the file descriptors that the process may open, less
     * those it needs for back ends and peers.
     */
    private readonly maximumConnections = Infinity,
  ) {
    this.server = createServer({
      connectionsCheckingInterval: KEEP_ALIVE_CHECK_MS,
      noDelay: true,
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
    });
    this.server.on('request', (request, response) => this.onRequest(request, response));
    this.server.on('connection', (socket: Socket) => this.onConnection(socket));
    this.server.on('clientError', (error, socket) => this.onClientError(socket as Socket, error));
    this.server.on('timeout', (socket: Socket) =>
      closeIfIdle(socket, () => this.handler.onIdleClosed?.('timeout')),
    );
  }

  /**
   * Starts to listen on `ip:port`.
   * @throws ListenError naming the address.
   */
  listen(address: string): Promise<void> {
    return startListening(this.server, address, BACKLOG);
  }

  /** Applies the limits of a configuration; a request whose head has arrived keeps the maximum length of its body. */
  setLimits(limits: CallerLimits): void {
    this.maximumBodyBytes = limits.maximumBodyBytes;
    this.server.headersTimeout = Math.min(limits.headerTimeoutMs, MAXIMUM_TIMEOUT_MS);
    this.setIdleTimeout(Math.min(limits.idleTimeoutMs, MAXIMUM_TIMEOUT_MS));
  }

  /** Makes all further replies ask callers to close their connections. */
  startClosing(): void {
    this.closing = true;
  }

  /**
   * Stops listening for new connections. Those that wait in the accept queue are accepted first, for
   * `timeoutMs` milliseconds at most.
   */
  stopListening(timeoutMs: number): Promise<ListenerEnd> {
    return stopListening(this.server, timeoutMs);
  }

  /** Number of requests without a complete reply. */
  getOpenRequestCount(): number {
    let requests = 0;
    for (const replies of this.connections.values()) requests += replies.size;
    return requests;
  }

  getOpenConnectionCount(): number {
    return this.connections.size;
  }

  /** Number of connections on which no request has arrived yet. */
  getUnusedConnectionCount(): number {
    return this.unused.size;
  }

  /** Whether a caller waits for a reply, or has connected and may be sending its first request. */
  hasUnansweredCallers(): boolean {
    return this.unused.size > 0 || this.getOpenRequestCount() > 0;
  }

  /**
   * Whether a new connection would be served: the limit is not reached, or an idle connection can be closed.
   */
  hasCapacity(): boolean {
    return this.connections.size < this.maximumConnections || this.findLongestIdle() !== undefined;
  }

  /** Stops listening and closes all connections at once. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Tracks a connection and detects when its caller disconnects. Node.js emits 'close' only on the response
   * being written; pipelined requests behind it would be executed although no caller waits for them. A caller
   * that half-closes is treated as disconnected: a closed connection looks the same until something is
   * written.
   */
  private onConnection(socket: Socket): void {
    if (!this.reserveConnection()) {
      socket.destroy();
      return;
    }
    const replies = new Set<CallerReply>();
    const onClosed = (): void => replies.forEach((reply) => reply.onConnectionClosed());
    this.connections.set(socket, replies);
    this.idle.set(socket, this.clock());
    this.unused.add(socket);
    socket.on('end', onClosed);
    socket.on('close', () => {
      this.connections.delete(socket);
      this.idle.delete(socket);
      this.unused.delete(socket);
      this.unreadable.delete(socket);
      onClosed();
    });
  }

  /**
   * Node.js could not read a request. It checks the time for a head before it reads the sockets, so the rest of a head
   * that is over its time may have waited there while this process was busy or paused.
   */
  private onClientError(socket: Socket, error: NodeJS.ErrnoException): void {
    if (error.code !== HEAD_TIMEOUT_CODE) {
      this.onUnreadable(socket, error);
      return;
    }
    this.unreadable.set(socket, error);
    runAfterNextPoll(() => {
      if (this.unreadable.get(socket) === error) this.onUnreadable(socket, error);
    });
  }

  /**
   * The next request on a connection is malformed or takes too long. Node.js itself would answer this at once, in the
   * place of the answers to the requests before it, which back ends may be executing.
   */
  private onUnreadable(socket: Socket, error: Error): void {
    const replies = [...(this.connections.get(socket) ?? [])];
    const isWholeWaiting = replies.some((reply) => reply.isRequestWhole());
    const isCallerThere = !socket.readableEnded && !socket.destroyed;
    if (isCallerThere && isWholeWaiting) this.unreadable.set(socket, error);
    else endConnection(socket, error, !isWholeWaiting && !replies.some((reply) => reply.isFinished()));
  }

  /**
   * At the limit, the longest idle connection is closed in favor of a new one. Without a limit the process
   * could run out of file descriptors and would then accept nothing at all. Returns whether the new one may
   * stay.
   */
  private reserveConnection(): boolean {
    if (this.connections.size < this.maximumConnections) return true;
    const longest = this.findLongestIdle();
    if (longest === undefined) return false;
    this.idle.delete(longest);
    runAfterNextPoll(() => this.closeIfStillIdle(longest));
    return true;
  }

  /**
   * Closes an idle connection in favor of a new one, unless a request has arrived on it: one that waited in
   * the socket while this process was busy has already been read.
   */
  private closeIfStillIdle(socket: Socket): void {
    if ((this.connections.get(socket)?.size ?? 0) > 0 || this.idle.has(socket)) return;
    this.connections.delete(socket);
    socket.destroy();
    this.handler.onIdleClosed?.('limit');
  }

  /**
   * The connection to close at the limit. One that was opened or answered a moment ago is not returned, since
   * its caller is likely to send a request.
   */
  private findLongestIdle(): Socket | undefined {
    for (const [socket, since] of this.idle)
      return this.clock() - since >= MINIMUM_IDLE_MS ? socket : undefined;
    return undefined;
  }

  /**
   * Sets how long a connection may be idle after an answer (milliseconds). A longer timeout also applies to connections
   * that are idle now, since their callers may know it already; a shorter one begins with the next answer, since the
   * last one told callers the longer one.
   */
  private setIdleTimeout(timeoutMs: number): void {
    this.server.keepAliveTimeout = timeoutMs;
    // Node.js itself applies `keepAliveTimeout` only when an answer ends; before the first answer there is no timeout.
    for (const socket of this.idle.keys())
      if (socket.timeout && socket.timeout < timeoutMs) socket.setTimeout(timeoutMs);
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = this.clock();
    // Later limits apply to later requests: a request accepted in part is either read whole or rejected.
    const { maximumBodyBytes } = this;
    const { socket } = request;
    const replies = this.connections.get(socket);
    const reply: CallerReply = new CallerReply(
      response,
      () => this.closing && isLast(replies, reply),
      undefined,
    );
    replies?.add(reply);
    this.idle.delete(socket);
    this.unused.delete(socket);
    // A head that took too long has arrived after all.
    this.unreadable.delete(socket);
    response.on('close', () => {
      replies?.delete(reply);
      const error = this.unreadable.get(socket);
      if (error) this.onUnreadable(socket, error);
      else if (replies?.size === 0 && !socket.destroyed) this.idle.set(socket, this.clock());
    });
    const chunks = new ByteParts();
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= maximumBodyBytes) chunks.add(chunk);
      else
        reply.sendFailure({
          status: STATUS_TOO_LARGE,
          failure: 'payload-too-large',
          retryAfterMs: undefined,
        });
    });
    // A disconnect is detected by the end of the connection (see `onConnection`), which notifies the reply.
    request.on('error', () => undefined);
    request.on('end', () => {
      if (!request.complete || length > maximumBodyBytes) return;
      const received: ReceivedRequest = {
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        host: request.headers.host ?? '',
        headers: request.rawHeaders,
        body: chunks.join(),
        callerAddress: socket.remoteAddress ?? '',
        arrivedAt,
      };
      runAfterNextPoll(() => {
        if (!reply.isFinished()) this.handler.onRequest(received, reply);
      });
    });
  }
}

/**
 * Only the last reply of a connection may close it: closing earlier would cut replies to pipelined requests.
 */
function isLast(replies: ReadonlySet<CallerReply> | undefined, reply: CallerReply): boolean {
  return replies === undefined || [...replies].pop() === reply;
}
