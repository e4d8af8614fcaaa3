/// Starts and stops listening on TCP; an address that can't be bound gives a typed error.
import { Server } from 'node:net';
import { ListenError } from '../errors/index.js';
import { splitAddress } from '../shared/address.js';

/// Listens on `ip:port`.
/// @throws ListenError naming the address.
export function startListening(server: Server, address: string, backlog?: number): Promise<void> {
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

/// Maximum time for which pending connections are accepted before a listener closes. Milliseconds; the kernel queues
/// up to 511 of them, and each turn of the event loop accepts one.
const MAXIMUM_ACCEPT_MS = 2000;
/// A turn of the event loop without a new connection shows an empty queue only if it was shorter than this: in a
/// longer one, a connection may have been established after the poll, and it would be reset. Milliseconds.
const IDLE_TURN_MS = 1;

/// Stops accepting connections; open ones stay open. `http.Server.close` would also close idle ones, on which a
/// request may be arriving.
///
/// Closing the listener resets connections that are established but not yet accepted, together with the requests on
/// them, so they are accepted first. This takes `timeoutMs` at most (milliseconds), since connections may arrive
/// faster than they are accepted.
export async function stopListening(server: Server, timeoutMs = MAXIMUM_ACCEPT_MS): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  let accepted: boolean;
  const onConnection = (): void => void (accepted = true);
  server.on('connection', onConnection);
  let turnMs: number;
  do {
    accepted = false;
    const startedAt = performance.now();
    await new Promise((resolve) => setImmediate(resolve));
    turnMs = performance.now() - startedAt;
  } while ((accepted || turnMs >= IDLE_TURN_MS) && performance.now() < deadline);
  server.off('connection', onConnection);
  Server.prototype.close.call(server);
}
