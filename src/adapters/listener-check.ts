/**
 * Finds out whether somebody still listens at an address, by a connection on which nothing is said: a request
 * would wait for its turn at a back end that is only busy.
 */
import { createConnection } from 'node:net';
import type { BackendCheck } from '../quarantine/break-watch.js';
import { splitAddress } from '../shared/address.js';

/** A connection that does not come up within this time tells nothing. Milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/**
 * What stands for a listener that is gone, or one that is full, closes a new connection at once.
 * Milliseconds.
 */
const HOLD_MS = 30;

/** Checks an address. Never rejects. */
export function checkListener(address: string): Promise<BackendCheck> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = createConnection({ host, port });
    const end = (check: BackendCheck): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(check);
    };
    let timer = setTimeout(() => end('unclear'), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(timer);
      timer = setTimeout(() => end('answered'), HOLD_MS);
    });
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      end(code === 'ECONNREFUSED' ? 'ended' : 'unclear'),
    );
    socket.once('close', () => end('unclear'));
  });
}
