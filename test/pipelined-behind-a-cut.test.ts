/** Guards against answers that are lost because an answer before them on the caller's connection breaks off. */
import { connect } from 'node:net';
import { expect } from 'chai';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { splitAddress } from '../src/shared/address.js';

const SIGNED = 'HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\n';
const EVENT = 'id: 1\ndata: one\n\n';

describe('a stream that breaks off on a connection with pipelined requests', () => {
  let backend: ScriptedBackend;
  let site: ForwardingSite;

  beforeEach(async () => {
    backend = new ScriptedBackend(({ head }, socket) => {
      const id = findHeader(head, 'x-attempt-id') ?? '';
      const named = `${SIGNED}X-Attempt-Id: ${id}\r\n`;
      if (id === 'second') {
        setTimeout(() => socket.write(`${named}Content-Length: 6\r\n\r\nsecond`), 150);
        return;
      }
      socket.write(`${named}Transfer-Encoding: chunked\r\n\r\n`);
      socket.write(`${EVENT.length.toString(16)}\r\n${EVENT}\r\n`);
      setTimeout(() => socket.destroy(), 50);
    });
    const routes = [
      makeLabRoute({ name: 'stream', pathPrefix: '/s/', kind: 'stream', maximumAttempts: 1 }),
      makeLabRoute({}),
    ];
    site = await startForwardingSite(routes, [makeLabBackend('b1', await backend.listen())]);
  });

  afterEach(async () => {
    await site.daemon.close();
    backend.close();
  });

  it('leaves the requests behind it their answers', async () => {
    const { host, port } = splitAddress(site.callers);
    const socket = connect(port, host);
    let text = '';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    const ended = new Promise((resolve) => socket.on('close', resolve));
    for (const [path, id] of [
      ['/s/x', 'first'],
      ['/a/x', 'second'],
    ])
      socket.write(`GET ${path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${id}\r\n\r\n`);
    await Promise.race([ended, new Promise((resolve) => setTimeout(resolve, 1000))]);
    socket.destroy();
    expect(backend.received).to.have.length(2);
    expect(text).to.match(/second$/);
  });
});
