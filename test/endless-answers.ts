/** Answers of a back end that have no end. */
import type { Socket } from 'node:net';
import { writeEndlessly } from '../lab/garbled-bytes.js';

const CHUNK = Buffer.alloc(64 * 1024, 'x');
const makeHead = (id: string): string =>
  `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Signature: s\r\n`;

const ONE_BYTE_CHUNKS = '1\r\nx\r\n'.repeat(10_000);

/** An answer without end in chunks of one byte, each of which costs far more than a byte. */
export function writeOneByteChunks(socket: Socket, id: string): void {
  socket.write(`${makeHead(id)}Transfer-Encoding: chunked\r\n\r\n`);
  writeEndlessly(socket, ONE_BYTE_CHUNKS);
}

/** Answers without end to the attempt `id`, by what has no end. */
export const ENDLESS: Readonly<Record<string, (socket: Socket, id: string) => void>> = {
  head: (socket) => {
    socket.write('HTTP/1.1 200 OK\r\n');
    writeEndlessly(socket, `X-Field: ${'x'.repeat(1000)}\r\n`);
  },
  'informational answers': (socket) => writeEndlessly(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n'),
  body: (socket, id) => {
    socket.write(`${makeHead(id)}\r\n`);
    writeEndlessly(socket, CHUNK);
  },
  'chunk extension': (socket, id) => {
    socket.write(`${makeHead(id)}Transfer-Encoding: chunked\r\n\r\n5;`);
    writeEndlessly(socket, CHUNK);
  },
  'chunked body': (socket, id) => {
    socket.write(`${makeHead(id)}Transfer-Encoding: chunked\r\n\r\n`);
    writeEndlessly(socket, `10000\r\n${'x'.repeat(65_536)}\r\n`);
  },
};
