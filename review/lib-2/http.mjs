/* global Buffer, clearInterval, clearTimeout, setInterval, setTimeout */
/// Servers and callers on raw sockets, with the messages of HTTP/1.1 that the cases need.
import { connect, createServer } from 'node:net';

/** Takes whole messages of HTTP/1.1 from a stream of bytes; bodies have a length or chunks. */
export class MessageReader {
  buffered = Buffer.alloc(0);

  push(chunk) {
    this.buffered = Buffer.concat([this.buffered, chunk]);
    const messages = [];
    for (let message = this.take(); message; message = this.take()) messages.push(message);
    return messages;
  }

  take() {
    const end = this.buffered.indexOf('\r\n\r\n');
    if (end < 0) return undefined;
    const [start, ...lines] = this.buffered.toString('latin1', 0, end).split('\r\n');
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(':');
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
    }
    const from = end + 4;
    if ((headers['transfer-encoding'] ?? '').includes('chunked'))
      return this.takeChunked(start, headers, from);
    const length = Number(headers['content-length'] ?? 0);
    if (this.buffered.length < from + length) return undefined;
    const body = this.buffered.subarray(from, from + length);
    this.buffered = this.buffered.subarray(from + length);
    return { start, headers, body };
  }

  takeChunked(start, headers, from) {
    const parts = [];
    let at = from;
    for (;;) {
      const end = this.buffered.indexOf('\r\n', at);
      if (end < 0) return undefined;
      const size = parseInt(this.buffered.toString('latin1', at, end), 16);
      if (this.buffered.length < end + 2 + size + 2) return undefined;
      parts.push(this.buffered.subarray(end + 2, end + 2 + size));
      at = end + 2 + size + 2;
      if (size === 0) break;
    }
    this.buffered = this.buffered.subarray(at);
    return { start, headers, body: Buffer.concat(parts) };
  }
}

/** A server on raw sockets. `onRequest(request, socket, server)` answers all but health checks. */
export class Server {
  sockets = new Set();

  constructor(site, id, fields, onRequest) {
    Object.assign(this, { site, id, fields, onRequest });
    site.servers.push(this);
  }

  async start(ip = '127.0.0.1', port = 0) {
    this.seq = 0;
    this.listener = createServer({ noDelay: true }, (socket) => this.onConnection(socket));
    await new Promise((done) => this.listener.listen(port, ip, done));
    this.address = `${ip}:${this.listener.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), 1200);
  }

  /** Writes the server's own entry. */
  beat() {
    this.seq += 1;
    const { site, id, fields, address, seq } = this;
    site.store.put('servers', id, {
      service: 'app',
      addr: address,
      zone: site.zone,
      version: '1',
      slots: 32,
      state: 'ready',
      cold_left_ms: 0,
      seq,
      ...fields,
    });
  }

  onConnection(socket) {
    this.sockets.add(socket);
    const reader = new MessageReader();
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      for (const request of reader.push(chunk)) this.receive(request, socket);
    });
  }

  receive(request, socket) {
    const [method, path] = request.start.split(' ');
    if (path === '/healthz') {
      socket.write(`HTTP/1.1 200 OK\r\nX-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
    } else if (path.startsWith('/v1/')) {
      socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
    } else if (request.headers['x-expect-instance'] !== this.id) {
      socket.write('HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n');
    } else this.onRequest({ ...request, method, path }, socket, this);
  }

  /** Stops listening and resets all connections, as a process that is killed. */
  close() {
    clearInterval(this.timer);
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.listener?.close();
  }
}

/** A whole answer with a length. */
export function encodeAnswer(status, headers, body) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} X\r\n${lines.join('')}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/**
 * Sends one request on a new connection. Resolves when the connection or the answer has ended: with the bytes that
 * arrived, and whether the connection was closed in order (`end`), was reset (`error`) or timed out.
 */
export function call(address, text, timeoutMs, isDone = () => false) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const socket = connect({ host, port: Number(port) });
    let bytes = Buffer.alloc(0);
    const finish = (end) => {
      clearTimeout(timer);
      socket.destroy();
      done({ bytes, end });
    };
    const timer = setTimeout(() => finish('timeout'), timeoutMs);
    socket.on('connect', () => socket.write(text));
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      if (isDone(bytes)) finish('done');
    });
    socket.on('end', () => finish('end'));
    socket.on('error', (error) => finish(error.code));
  });
}
