/** Answers with neither a length nor chunks, which end with their connection, on real sockets. */
import { connect } from 'node:net';
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend, type BackendScript } from '../lab/scripted-backend.js';
import type { Route } from '../src/forwarding/routes/route.js';
import { splitAddress } from '../src/shared/address.js';

const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: event ${id}\n\n`);
const HEAD = 'HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\nContent-Type: text/event-stream\r\n\r\n';
const STREAM: Partial<Route> = { kind: 'stream', resumable: true, maximumAttempts: 2 };

/** Writes the events after the last one that the caller has; the first attempt ends within the second event. */
const breakFirstAttempt: BackendScript = ({ head }, socket) => {
  const last = Number(findHeader(head, 'last-event-id') ?? 0);
  if (last === 0) socket.end(HEAD + EVENTS[0] + EVENTS[1].slice(0, 8));
  else socket.end(HEAD + EVENTS.slice(last).join(''));
};

/** Reads a body in chunks; it is complete if it ends with the last chunk. */
function parseChunks(body: string): { readonly text: string; readonly isComplete: boolean } {
  let text = '';
  let rest = body;
  while (rest !== '') {
    const [, size, data] = /^([0-9a-f]+)\r\n([\s\S]*)$/.exec(rest) ?? [];
    if (size === undefined) throw new RangeError(`no chunk begins here: ${rest}`);
    const length = Number.parseInt(size, 16);
    if (length === 0) return { text, isComplete: data === '\r\n' };
    text += data.slice(0, length);
    rest = data.slice(length + 2);
  }
  return { text, isComplete: false };
}

describe('a stream without a length', () => {
  const backends = [new ScriptedBackend(breakFirstAttempt), new ScriptedBackend(breakFirstAttempt)];
  let site: ForwardingSite;

  async function start(route: Partial<Route>): Promise<void> {
    const addresses = await Promise.all(backends.map((backend) => backend.listen()));
    const records = addresses.map((address, i) => makeLabBackend(`b${i}`, address));
    site = await startForwardingSite([makeLabRoute(route)], records);
  }

  afterEach(async () => {
    await site.daemon.close();
    for (const backend of backends) backend.close();
  });

  /** Sends a request and returns the bytes of the body as they arrive, and whether the connection was reset. */
  function receiveBody(
    version: '1.0' | '1.1',
  ): Promise<{ readonly body: string; readonly isReset: boolean }> {
    const { host, port } = splitAddress(site.callers);
    return new Promise((resolve) => {
      let text = '';
      const end = (isReset: boolean): void =>
        resolve({ body: text.slice(text.indexOf('\r\n\r\n') + 4), isReset });
      const socket = connect(port, host);
      socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
      socket.on('error', () => end(true));
      socket.on('close', () => end(false));
      socket.write(
        `GET /a/x HTTP/${version}\r\nHost: site.example\r\nX-Attempt-Id: id1\r\nConnection: close\r\n\r\n`,
      );
    });
  }

  it('that ends inside an event goes on at another back end', async () => {
    await start(STREAM);
    expect(await receiveBody('1.0')).to.deep.equal({ body: EVENTS.join(''), isReset: false });
    const { body } = await receiveBody('1.1');
    expect(parseChunks(body)).to.deep.equal({ text: EVENTS.join(''), isComplete: true });
  });

  it('that ends inside an event and cannot go on does not look complete', async () => {
    await start({ ...STREAM, resumable: false });
    expect(await receiveBody('1.0')).to.deep.equal({ body: EVENTS[0], isReset: true });
    const { body } = await receiveBody('1.1');
    expect(parseChunks(body)).to.deep.equal({ text: EVENTS[0], isComplete: false });
  });

  it('that ends between two events is complete', async () => {
    for (const backend of backends) backend.script = (_request, socket) => socket.end(HEAD + EVENTS.join(''));
    await start(STREAM);
    expect(await receiveBody('1.0')).to.deep.equal({ body: EVENTS.join(''), isReset: false });
    const { body } = await receiveBody('1.1');
    expect(parseChunks(body)).to.deep.equal({ text: EVENTS.join(''), isComplete: true });
  });
});

describe('a buffered answer without a length on a connection with pipelined requests', () => {
  const SIGNED = 'HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\n';
  let backend: ScriptedBackend;
  let site: ForwardingSite;

  beforeEach(async () => {
    backend = new ScriptedBackend(({ head }, socket) => {
      const id = findHeader(head, 'x-attempt-id') ?? '';
      const named = `${SIGNED}X-Attempt-Id: ${id}\r\n`;
      if (id === 'first') setTimeout(() => socket.end(`${named}\r\nfirst`), 50);
      else setTimeout(() => socket.write(`${named}Content-Length: 6\r\n\r\nsecond`), 150);
    });
    site = await startForwardingSite([makeLabRoute({})], [makeLabBackend('b1', await backend.listen())]);
  });

  afterEach(async () => {
    await site.daemon.close();
    backend.close();
  });

  it('does not cut the answers to the requests behind it', async () => {
    const { host, port } = splitAddress(site.callers);
    const socket = connect(port, host);
    let text = '';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    const ended = new Promise((resolve) => socket.on('close', resolve));
    for (const id of ['first', 'second'])
      socket.write(`GET /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${id}\r\n\r\n`);
    await Promise.race([ended, new Promise((resolve) => setTimeout(resolve, 1000))]);
    socket.destroy();
    expect(text).to.match(/second$/);
  });
});
