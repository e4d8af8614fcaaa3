/// Opens a server, with a typed error when its address cannot be had.
import type { Server } from 'node:net';
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
