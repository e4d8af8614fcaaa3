/**
 * The keep-alive connections of an HTTP server. Decides when such a connection may be closed. Each
 * response advertises how long its caller may reuse the connection; closing it sooner resets a request in
 * flight, and the caller cannot know whether that request was executed.
 *
 * Relies on Node's `http` to advertise `keepAliveTimeout` with each response, in whole seconds rounded down.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { SECOND_MS } from '../shared/units.js';
import { closeIfIdle } from './after-next-poll.js';
import { endConnection } from './end-connection.js';

/** How long a connection may be reused after a response, as advertised to the caller. Milliseconds. */
const ADVERTISED_IDLE_MS = 5 * SECOND_MS;
/**
 * A connection stays open this much longer than advertised, to cover the network latency of the response and
 * of the next request. Milliseconds; under a second, so that rounding down keeps it out of the advertised
 * value.
 */
const LATENCY_MARGIN_MS = 900;

interface CallerConnection {
  /** Responses not yet finished on it: more than one where the caller pipelines requests. */
  readonly pending: Set<ServerResponse>;
  /** The caller may send a further request until then. Monotonic milliseconds. */
  reusableUntil: number;
  /** Why nothing more can be read on it; it ends after the responses to the whole requests. */
  unreadable?: Error;
}

/** Tracks the keep-alive connections of one server. Creating it sets the server's `keepAliveTimeout`. */
export class KeepAliveConnections {
  private readonly connections = new Map<Socket, CallerConnection>();
  private closing = false;

  constructor(private readonly server: Server) {
    server.keepAliveTimeout = ADVERTISED_IDLE_MS + LATENCY_MARGIN_MS;
    server.on('connection', (socket: Socket) => this.addConnection(socket));
    server.prependListener('request', ({ socket }, response) => this.addPendingResponse(socket, response));
    server.on('timeout', (socket: Socket) => closeIfIdle(socket));
    server.on('clientError', (error, socket) => this.onUnreadable(socket as Socket, error));
  }

  /** From now on responses ask callers to close their connections, including responses already pending. */
  startClosing(): void {
    this.closing = true;
    for (const { pending } of this.connections.values()) closeAfterLast(pending);
  }

  /** Whether a response is pending on any connection. */
  hasPendingResponses(): boolean {
    for (const { pending } of this.connections.values()) if (pending.size > 0) return true;
    return false;
  }

  /** Number of connections that their callers may still reuse, by the time advertised to them. */
  getReusableCount(): number {
    const now = performance.now();
    let count = 0;
    for (const { reusableUntil } of this.connections.values()) if (reusableUntil > now) count += 1;
    return count;
  }

  private addConnection(socket: Socket): void {
    const connection = { pending: new Set<ServerResponse>(), reusableUntil: this.getIdleDeadline() };
    this.connections.set(socket, connection);
    socket.on('close', () => this.connections.delete(socket));
  }

  private addPendingResponse(socket: Socket, response: ServerResponse): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.pending.add(response);
    if (this.closing) closeAfterLast(connection.pending);
    // A head that took too long has arrived after all.
    delete connection.unreadable;
    response.on('close', () => {
      connection.pending.delete(response);
      connection.reusableUntil = this.getIdleDeadline();
      if (connection.unreadable) this.onUnreadable(socket, connection.unreadable);
    });
  }

  /** Node.js itself would answer the error at once, in the place of the responses to the requests before it. */
  private onUnreadable(socket: Socket, error: Error): void {
    const connection = this.connections.get(socket);
    const pending = [...(connection?.pending ?? [])];
    const isWholeWaiting = pending.some(({ req }) => req.complete);
    const isCallerThere = !socket.readableEnded && !socket.destroyed;
    if (connection && isCallerThere && isWholeWaiting) connection.unreadable = error;
    else endConnection(socket, error, !isWholeWaiting && !pending.some(({ headersSent }) => headersSent));
  }

  private getIdleDeadline(): number {
    return performance.now() + this.server.keepAliveTimeout;
  }
}

/**
 * Only the last response may close its connection: closing earlier would cut responses to pipelined requests. One whose
 * head is written already, and which may still wait for those before it, keeps the connection.
 */
function closeAfterLast(pending: ReadonlySet<ServerResponse>): void {
  const last = [...pending].pop();
  for (const response of pending) if (!response.headersSent) response.shouldKeepAlive = response !== last;
}
