/**
 * Checks whether a process still listens at an address, by opening a connection without sending anything: a request
 * would have to queue at a back end that is only busy.
 */
import { createConnection } from 'node:net';
import type { buildConnector } from 'undici';
import type { BackendCheck } from '../quarantine/crash-detector.js';
import { TunnelError } from '../errors/index.js';
import { splitAddress } from '../shared/address.js';
import { createTunnelConnector, type TunnelPath } from './tunnel-connector.js';

/** A connection attempt that takes longer is inconclusive. Milliseconds. */
const CONNECT_TIMEOUT_MS = 500;
/**
 * A connection must stay open for this time to count as accepted: a proxy in front of a listener that no longer
 * exists, or a listener whose accept queue is full, closes a new connection at once. Milliseconds.
 */
const HOLD_MS = 30;

/** Checks an address (`ip:port`). Never rejects. */
export function checkListener(address: string): Promise<BackendCheck> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = createConnection({ host, port });
    const finish = (check: BackendCheck): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(check);
    };
    let timer = setTimeout(() => finish('unclear'), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(timer);
      timer = setTimeout(() => finish('answered'), HOLD_MS);
    });
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? 'ended' : 'unclear'),
    );
    socket.once('close', () => finish('unclear'));
  });
}

/** Checks an address (`ip:port`) through a peer; `unknown` if the peer can't tell. Never rejects. */
export function checkListenerThrough(path: TunnelPath, address: string): Promise<BackendCheck> {
  return new Promise((resolve) => {
    createTunnelConnector(path, address)({} as buildConnector.Options, (error, socket) => {
      if (!socket) {
        resolve(error instanceof TunnelError && error.failure === 'backend' ? 'ended' : 'unknown');
        return;
      }
      socket.on('error', () => undefined);
      const timer = setTimeout(() => {
        resolve('answered');
        socket.destroy();
      }, HOLD_MS);
      socket.once('close', () => {
        clearTimeout(timer);
        resolve('unclear');
      });
    });
  });
}
