/** Bytes that are no answer, or have no end, as servers, the store and peers in trouble send them. */
import type { Socket } from 'node:net';

const CHUNK = Buffer.alloc(16 * 1024, 'x');

/**
 * Writes as fast as it is read, until the connection is closed or `forMs` milliseconds are over; then closes it.
 */
export function writeEndlessly(socket: Socket, chunk: Buffer | string, forMs = Infinity): void {
  const end = performance.now() + forMs;
  const write = (): void => {
    for (let index = 0; index < 16 && !socket.destroyed; index += 1) {
      if (performance.now() > end) {
        socket.destroy();
        return;
      }
      if (!socket.write(chunk)) {
        socket.once('drain', write);
        return;
      }
    }
    if (!socket.destroyed) setImmediate(write);
  };
  socket.on('error', () => undefined);
  write();
}

/** Writes a text and closes the connection. */
function writeOnce(text: (head: string) => string): (socket: Socket, head: string) => void {
  return (socket, head) => void socket.on('error', () => undefined).end(text(head), 'latin1');
}

/** A prefill's answer, without the signature by which complete answers to callers are told. */
function writeHandle(head: string, handle: string): string {
  const body = `{"kv_handle":"${handle}"}`;
  const unsigned = head.replace(/X-Server-Signature: .*\r\n/, '');
  return `${unsigned}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Longest time for which bytes without end are sent. Milliseconds. */
const ENDLESS_MS = 3000;

/** `head` is the status line and the headers of a valid answer, without the empty line. */
const GARBLED: readonly ((socket: Socket, head: string) => void)[] = [
  writeOnce((head) => `${head.replace(' 200 ', ' 000 ')}Content-Length: 2\r\n\r\nok`),
  writeOnce((head) => `${head.replace(' 200 ', ' 101 ')}Content-Length: 2\r\n\r\nok`),
  writeOnce((head) => `${head.replace(' 200 ', ' 999 ')}Content-Length: 2\r\n\r\nok`),
  writeOnce((head) => writeHandle(head, '3fa09c41\\ud83d')),
  writeOnce((head) => writeHandle(head, '3f\\u0001\\r\\nc1')),
  writeOnce((head) => `${head}Transfer-Encoding: chunked\r\n\r\n16\r\nid: \x00\x01\ndata: x\x7f\n\n\r\n`),
  writeOnce(() => '\x00\xff\x16\x03HTTP/9.9 abc\r\n\r\n\r\n'),
  writeOnce((head) => `${head}Content-Length: 999999999999999999999\r\n\r\nok`),
  writeOnce((head) => `${head}Transfer-Encoding: chunked\r\n\r\nzz\r\n`),
  writeOnce((head) => head.slice(0, 20)),
  (socket, head) => {
    socket.write(`${head}Content-Length: 99999999999\r\n\r\n`);
    writeEndlessly(socket, CHUNK, ENDLESS_MS);
  },
  (socket, head) => {
    socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
    writeEndlessly(socket, `4000\r\n${'x'.repeat(0x4000)}\r\n`, ENDLESS_MS);
  },
  (socket, head) => {
    socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n5;`);
    writeEndlessly(socket, CHUNK, ENDLESS_MS);
  },
  (socket, head) => {
    socket.write(head);
    writeEndlessly(socket, `X-Field: ${'x'.repeat(1000)}\r\n`, ENDLESS_MS);
  },
  (socket) => writeEndlessly(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n', ENDLESS_MS),
];

/** Sends one of the kinds in place of an answer, and closes the connection in the end. `kind` is any whole number. */
export function sendGarbledAnswer(socket: Socket, headers: Record<string, string>, kind: number): void {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  GARBLED[kind % GARBLED.length](socket, `HTTP/1.1 200 OK\r\n${lines.join('')}`);
}

/** What is sent on a daemon's port for peers. */
const PEER_GARBAGE: readonly ((socket: Socket) => void)[] = [
  (socket) => writeEndlessly(socket, CHUNK, ENDLESS_MS),
  (socket) => void socket.end('[[-7,4294967295]]\n'),
  (socket) => void socket.end('\x00\xff\x16\x03\n{}\n', 'latin1'),
  (socket) => {
    socket.write('[{"kind":1,"id":2,"address":3},"hello","stranger","10.0.0.9:70000"]\n');
    writeEndlessly(socket, '\n', ENDLESS_MS);
  },
  (socket) => {
    socket.write('[{"kind":1,"id":2,"address":3},"hello","stranger","127.0.0.1:9"]\n');
    writeEndlessly(socket, CHUNK, ENDLESS_MS);
  },
  (socket) => {
    socket.write('[{"kind":1,"id":2,"address":3},"hello","stranger","127.0.0.1:9"]\n');
    socket.end(
      '[{"kind":1,"reply":2,"members":3},"sync",false,[4],["x","127.0.0.1:99999","z","r",1,"alive"]]\n',
    );
  },
  (socket) => void socket.end('[{"kind":1,"id":2,"backend":3},"tunnel","stranger","10.0.0.1:x"]\n'),
];

/** Sends one of the kinds of garbage on a connection to a daemon's port for peers. `kind` is any whole number. */
export function sendPeerGarbage(socket: Socket, kind: number): void {
  socket.on('error', () => undefined);
  PEER_GARBAGE[kind % PEER_GARBAGE.length](socket);
}
