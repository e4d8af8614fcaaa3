/**
 * The connections that callers keep to an HTTP server between their requests. Owns when such a connection may
 * be closed. Each answer tells its caller for how long it may send a further request; a connection that is
 * closed sooner resets the request that is on its way, and its caller cannot know whether it ran.
 *
 * Relies on Node's `http` telling `keepAliveTimeout` in whole seconds, rounded down, with each answer.
 */
import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { SECOND_MS } from '../shared/units.js';
import { closeIfIdle } from './after-next-poll.js';

/** For how long an answer tells its caller that the connection is kept. Milliseconds. */
const TOLD_REST_MS = 5 * SECOND_MS;
/**
 * A connection is kept for so much longer than told: the answer and the next request are on their way for as
 * long. Milliseconds; under a second, so that it is not told.
 */
const WAY_MARGIN_MS = 900;

interface CallerConnection {
  /** Answers that are due on it: more than one where requests were sent without waiting. */
  readonly due: Set<ServerResponse>;
  /** A further request may come until then. Monotonic milliseconds. */
  keptUntil: number;
}

/** The kept connections of one server. */
export class KeepAliveConnections {
  private readonly connections = new Map<Socket, CallerConnection>();
  private closing = false;

  constructor(private readonly server: Server) {
    server.keepAliveTimeout = TOLD_REST_MS + WAY_MARGIN_MS;
    server.on('connection', (socket: Socket) => this.add(socket));
    server.prependListener('request', ({ socket }, response) => this.addDue(socket, response));
    server.on('timeout', closeIfIdle);
  }

  /** From now on answers tell callers to close their connections, also those whose requests have come already. */
  startClosing(): void {
    this.closing = true;
    for (const { due } of this.connections.values()) closeAfterLast(due);
  }

  /** Whether an answer is due on any connection. */
  hasPendingResponses(): boolean {
    for (const { due } of this.connections.values()) if (due.size > 0) return true;
    return false;
  }

  /** Connections on which a request may still come, by what their callers were told. */
  getReusableCount(): number {
    const now = performance.now();
    let count = 0;
    for (const { keptUntil } of this.connections.values()) if (keptUntil > now) count += 1;
    return count;
  }

  private add(socket: Socket): void {
    const connection = { due: new Set<ServerResponse>(), keptUntil: this.getRestEnd() };
    this.connections.set(socket, connection);
    socket.on('close', () => this.connections.delete(socket));
  }

  private addDue(socket: Socket, response: ServerResponse): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.due.add(response);
    if (this.closing) closeAfterLast(connection.due);
    response.on('close', () => {
      connection.due.delete(response);
      connection.keptUntil = this.getRestEnd();
    });
  }

  private getRestEnd(): number {
    return performance.now() + this.server.keepAliveTimeout;
  }
}

/** Only the last answer ends its connection: the others are followed by answers to requests that have come. */
function closeAfterLast(due: ReadonlySet<ServerResponse>): void {
  const waiting = [...due].filter((response) => !response.headersSent);
  const last = waiting.pop();
  for (const response of waiting) response.shouldKeepAlive = true;
  if (last) last.shouldKeepAlive = false;
}
