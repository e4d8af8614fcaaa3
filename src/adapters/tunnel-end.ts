/**
 * Asks a peer how a tunnel ended. An answer without a length ends with its connection, and the end of the peer closes
 * the tunnel in the same way as the end of the back end does.
 */
import { createConnection } from 'node:net';
import { PulleyledgeError } from '../errors/index.js';
import { splitAddress } from '../shared/address.js';
import { FirstLineReader } from './first-line-reader.js';
import { decodeTunnelEnd, encodeTunnelRequest } from './peer-codec.js';

/** Time for the peer's answer. Milliseconds: many round trips within a region. */
const ANSWER_TIMEOUT_MS = 400;
/** A longer answer is invalid. Bytes. */
const MAXIMUM_ANSWER_BYTES = 1024;

/**
 * Whether the back end closed its connection regularly. False if the peer at `via` (`ip:port`) does not say so in time,
 * as one that was killed or is of an older version.
 */
export function hasEndedRegularly(via: string, tunnelId: string): Promise<boolean> {
  return new Promise((resolve) => {
    const { host, port } = splitAddress(via);
    const socket = createConnection({ host, port, noDelay: true });
    const reader = new FirstLineReader(MAXIMUM_ANSWER_BYTES);
    const end = (regularly: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(regularly);
    };
    const timer = setTimeout(() => setImmediate(() => end(false)), ANSWER_TIMEOUT_MS);
    socket.on('error', () => end(false)).on('close', () => end(false));
    socket.on('data', (chunk: Buffer) => {
      try {
        const first = reader.push(chunk);
        if (first) end(decodeTunnelEnd(first.line).regularly);
      } catch (error) {
        if (!(error instanceof PulleyledgeError)) throw error;
        end(false);
      }
    });
    socket.write(`${encodeTunnelRequest({ kind: 'tunnelEnd', tunnelId })}\n`);
  });
}
