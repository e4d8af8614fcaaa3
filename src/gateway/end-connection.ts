/** Ends a caller's connection on which no further request can be read. */
import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import {
  STATUS_BAD_REQUEST,
  STATUS_HEAD_TOO_LARGE,
  STATUS_REQUEST_TIMEOUT,
  STATUS_TOO_LARGE,
} from '../shared/http-status.js';

/** Code of the error of Node.js for a head that is over its time. */
export const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Statuses by the code of the error with which Node.js stopped reading; the rest are bad requests. */
const STATUS_BY_CODE: ReadonlyMap<string | undefined, number> = new Map([
  [HEAD_TIMEOUT_CODE, STATUS_REQUEST_TIMEOUT],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', STATUS_TOO_LARGE],
  ['HPE_HEADER_OVERFLOW', STATUS_HEAD_TOO_LARGE],
]);

/**
 * Ends the connection after what has been written; with `mayAnswer`, by the status that Node.js itself answers to the
 * error.
 */
export function endConnection(socket: Socket, { code }: NodeJS.ErrnoException, mayAnswer: boolean): void {
  if (!socket.writable) return;
  const status = STATUS_BY_CODE.get(code) ?? STATUS_BAD_REQUEST;
  if (mayAnswer) socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
  socket.destroySoon();
}
