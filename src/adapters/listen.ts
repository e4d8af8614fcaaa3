/// Starts and stops listening on TCP; an address that can't be bound gives a typed error.
import type { Server } from 'node:http';
import { Server as NetServer } from 'node:net';
import { ListenError } from '../errors/index.js';
import { splitAddress } from '../shared/address.js';
import { closeEmptyQueue, waitTurn } from './accept-queue.js';

/// Listens on `ip:port`.
/// @throws ListenError naming the address.
export function startListening(server: NetServer, address: string, backlog?: number): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const fail = (error: NodeJS.ErrnoException) =>
      reject(new ListenError(address, error.code ?? error.message));
    server.once('error', fail);
    server.listen({ host, port, backlog }, () => {
      server.off('error', fail);
      resolve();
    });
  });
}

/// Maximum time for which a listener that closes accepts pending connections. Milliseconds; the kernel queues up to
/// 1,024 of them, and each turn of the event loop accepts one.
const MAXIMUM_ACCEPT_MS = 2000;
/// A turn of the event loop without a new connection shows that the process keeps up with its callers only if it was
/// shorter than this. Milliseconds.
const IDLE_TURN_MS = 1;
/// Share of the time within which the queue may empty while it still takes new connections; the rest is for the
/// connections in it once it takes no more.
const OPEN_QUEUE_SHARE = 0.25;

/// How a listener was closed.
export interface ListenerEnd {
  /// Whether every connection in the accept queue was accepted; the kernel has reset the others.
  readonly queueEmptied: boolean;
  /// Connections accepted since the queue took no more.
  readonly acceptedLast: number;
  /// How long closing took. Milliseconds.
  readonly tookMs: number;
}

/// Stops accepting connections; open ones stay open. `http.Server.close` would also close idle ones, on which a
/// request may be arriving.
///
/// Closing the listener resets connections that are established but not yet accepted, together with the requests on
/// them, so they are accepted first. This takes `timeoutMs` at most (milliseconds). While callers connect as fast as
/// they are accepted the queue is never empty, so after a part of the time it is closed to new connections.
export async function stopListening(server: Server, timeoutMs = MAXIMUM_ACCEPT_MS): Promise<ListenerEnd> {
  const startedAt = performance.now();
  await waitUntilQueueEmpties(server, startedAt + timeoutMs * OPEN_QUEUE_SHARE);
  const elapsedMs = performance.now() - startedAt;
  const end = await closeEmptyQueue(server, Math.max(timeoutMs - elapsedMs, 0));
  return { ...end, tookMs: Math.round(performance.now() - startedAt) };
}

/// Resolves after a short turn of the event loop that accepted no connection, or at the deadline (monotonic
/// milliseconds).
async function waitUntilQueueEmpties(server: Server, deadline: number): Promise<void> {
  let accepted: boolean;
  const onConnection = (): void => void (accepted = true);
  server.on('connection', onConnection);
  let turnMs: number;
  do {
    accepted = false;
    const startedAt = performance.now();
    await waitTurn();
    turnMs = performance.now() - startedAt;
  } while ((accepted || turnMs >= IDLE_TURN_MS) && performance.now() < deadline);
  server.off('connection', onConnection);
}
