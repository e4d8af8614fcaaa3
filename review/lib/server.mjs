/** A server stand-in that writes the raw bytes of its answers. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import { setInterval, clearInterval } from 'node:timers';

const HEAD_END = '\r\n\r\n';

/** The value of a header in a request's head; undefined when it is missing. */
export function findHeader(head, name) {
  const line = head.split('\r\n').find((text) => text.toLowerCase().startsWith(`${name.toLowerCase()}:`));
  return line?.slice(name.length + 1).trim();
}

/** One server. `onRequest` gets each whole request with the connection to answer on. */
export class RawServer {
  sockets = new Set();

  constructor(record, row, onRequest) {
    this.record = record;
    this.row = row;
    this.onRequest = onRequest;
    this.server = createServer((socket) => this.accept(socket));
  }

  async start(store) {
    this.store = store;
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.row.addr = `127.0.0.1:${this.server.address().port}`;
    this.writeRow();
    this.timer = setInterval(() => this.writeRow(), 1200);
  }

  writeRow() {
    if (!this.store.isDown) this.store.write('servers', this.id, this.row);
  }

  get id() {
    return this.row.id ?? this.row.name;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** The process ends: connections are reset, and further ones are refused. Its entry in the store stays. */
  crash() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /** The process starts again at the same address under the same id; `fields` are what has changed in its entry. */
  async restart(fields) {
    Object.assign(this.row, fields);
    const [host, port] = this.row.addr.split(':');
    this.server = createServer((socket) => this.accept(socket));
    await new Promise((done) => this.server.listen(Number(port), host, done));
    this.writeRow();
    this.timer = setInterval(() => this.writeRow(), 1200);
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let bytes = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const text = bytes.toString('latin1');
        const split = text.indexOf(HEAD_END);
        if (split < 0) return;
        const head = text.slice(0, split);
        const end = split + HEAD_END.length + Number(findHeader(head, 'content-length') ?? 0);
        if (text.length < end) return;
        bytes = bytes.subarray(end);
        this.receive({ head, body: text.slice(split + HEAD_END.length, end) }, socket);
      }
    });
  }

  receive(request, socket) {
    const [method, path] = request.head.split(' ');
    const plain = (status, headers, body = '') =>
      socket.write(
        `HTTP/1.1 ${status} X\r\n${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
      );
    if (path === '/healthz') return plain(200, `X-Instance-Id: ${this.id}\r\n`);
    if (path === '/v1/report')
      return plain(
        200,
        'Content-Type: application/json\r\n',
        JSON.stringify({
          phase: this.row.phase,
          models: [],
          utilization: false,
          seq: 0,
          queued: 0,
          active: 0,
        }),
      );
    if (path.startsWith('/v1/')) return plain(404, '');
    const id = findHeader(request.head, 'x-attempt-id') ?? '';
    if (findHeader(request.head, 'x-expect-instance') !== this.id)
      return plain(421, `X-Attempt-Id: ${id}\r\nX-Not-Executed: 1\r\n`);
    return this.onRequest({ ...request, method, path, id }, socket, this);
  }
}
