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

/// Turns of the event loop in which connections are accepted before a listener closes, at most: each accepts
/// one, and the system keeps up to 511 waiting.
const MAXIMUM_ACCEPTING_TURNS = 600;

/// Takes no new connections; those that are open stay. `http.Server.close` would also close idle ones, on
/// which a request may be coming.
///
/// Connections that have come up and wait to be accepted are reset when the listener closes, requests and all,
/// so they are accepted first, for `timeoutMs` at most: more may come than can be accepted.
export async function stopListening(server: Server, timeoutMs = Infinity): Promise<void> {
  const latest = performance.now() + timeoutMs;
  let accepted = true;
  const note = (): void => void (accepted = true);
  server.on('connection', note);
  for (let turn = 0; accepted && turn < MAXIMUM_ACCEPTING_TURNS && performance.now() < latest; turn += 1) {
    accepted = false;
    await new Promise((resolve) => setImmediate(resolve));
  }
  server.off('connection', note);
  Server.prototype.close.call(server);
}
