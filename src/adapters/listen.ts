/// Opens a server, with a typed error when its address cannot be had, and ends its listening.
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

/// Connections are accepted for so long at most before a listener closes. Milliseconds; the system keeps up to
/// 511 waiting, and each turn of the event loop accepts one.
const LONGEST_ACCEPTING_MS = 2000;
/// A turn of the event loop in which nothing was accepted counts only if it was shorter: what comes up in a longer
/// one, after it has looked, would be reset. Milliseconds.
const QUIET_TURN_MS = 1;

/// Takes no new connections; those that are open stay. `http.Server.close` would also close idle ones, on
/// which a request may be coming.
///
/// Connections that have come up and wait to be accepted are reset when the listener closes, requests and all,
/// so they are accepted first, for `timeoutMs` at most: more may come than can be accepted.
export async function stopListening(server: Server, timeoutMs = LONGEST_ACCEPTING_MS): Promise<void> {
  const latest = performance.now() + timeoutMs;
  let accepted: boolean;
  const note = (): void => void (accepted = true);
  server.on('connection', note);
  let turnMs: number;
  do {
    accepted = false;
    const startedAt = performance.now();
    await new Promise((resolve) => setImmediate(resolve));
    turnMs = performance.now() - startedAt;
  } while ((accepted || turnMs >= QUIET_TURN_MS) && performance.now() < latest);
  server.off('connection', note);
  Server.prototype.close.call(server);
}
