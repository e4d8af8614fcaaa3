/**
 * Guards against statuses that are none: an answer whose status line says 000 must reach no caller as an answer, on any
 * path to a back end, nor count as a good answer to a call of the daemon itself.
 */
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute, startForwardingSite } from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import type { Route } from '../src/forwarding/routes/route.js';
import { delay } from '../src/shared/delay.js';
import { makeEngine } from './forwarding-harness.js';
import { TunnelRig } from './tunnel-rig.js';

/** Status lines that are no answer, by what some parsers take them for. */
const INVALID_LINES = [
  'HTTP/1.1 000 OK',
  'HTTP/1.1 0 OK',
  'HTTP/1.1 00200 OK',
  'HTTP/1.1 099 OK',
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.1 600 OK',
  'HTTP/1.1 999 OK',
  'HTTP/1.1 1000 OK',
  'HTTP/1.1 20',
  'HTTP/1.1 2 00 OK',
  'HTTP/1.1 +200 OK',
  'HTTP/1.1 -200 OK',
  'HTTP/1.1 0x0 OK',
  'HTTP/1.1  OK',
  'HTTP/1.1 2OO OK',
  'HTTP/1.1\t200 OK',
  '200 OK',
];
const HEADERS = 'X-Attempt-Id: id1\r\nX-Server-Signature: s\r\nX-Instance-Id: b1\r\n';
const BODY = 'Content-Length: 2\r\n\r\nok';

/** The first line of the answer to a request of the caller `id1`; empty if the connection was closed without one. */
async function ask(address: string, method = 'GET'): Promise<string> {
  const [host, port] = address.split(':');
  const head =
    `${method} /a/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: id1\r\nX-Model: m\r\n` +
    'X-Token-Usage: 2000,10\r\nX-Prefix-Hash: k:1000,o:1000\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n';
  return new Promise((resolve) => {
    let text = '';
    const socket: Socket = connect(Number(port), host);
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    socket.on('error', () => resolve(''));
    socket.on('close', () => resolve(text.split('\r\n')[0]));
    socket.write(head);
  });
}

const PATHS: Readonly<Record<string, Partial<Route>>> = {
  'an answer': { kind: 'idempotent', maximumAttempts: 2 },
  'an answer that may be asked for only once': { kind: 'nonIdempotent', maximumAttempts: 1 },
  'a stream': { kind: 'stream', resumable: true, maximumAttempts: 2 },
};

describe('a status line that is none', () => {
  for (const [path, route] of Object.entries(PATHS))
    it(`in ${path} reaches no caller`, async () => {
      let line = '';
      const backend = new ScriptedBackend(({ head }, socket) =>
        socket.write(`${head.includes(' /a/x ') ? line : 'HTTP/1.1 200 OK'}\r\n${HEADERS}${BODY}`),
      );
      const site = await startForwardingSite(
        [makeLabRoute(route)],
        [makeLabBackend('b1', await backend.listen())],
      );
      try {
        for (line of INVALID_LINES) expect(await ask(site.callers), line).to.match(/^HTTP\/1\.1 50[234] /);
        line = 'HTTP/1.1 200 OK';
        await delay(1500);
        expect(await ask(site.callers), 'a valid one afterwards').to.match(/^HTTP\/1\.1 200 /);
      } finally {
        backend.close();
        await site.daemon.close();
      }
    });

  it('in the answer to a prefill call is no computed prompt', async () => {
    let line = '';
    let generations = 0;
    const prefill = new ScriptedBackend(({ head }, socket) => {
      const isWork = findHeader(head, 'x-inference-phase') === 'prefill';
      const body = '{"kv_handle":"h1"}';
      socket.write(
        `${isWork ? line : 'HTTP/1.1 200 OK'}\r\nX-Attempt-Id: id1\r\nX-Instance-Id: p1\r\n` +
          `Content-Length: ${body.length}\r\n\r\n${body}`,
      );
    });
    const decode = new ScriptedBackend(({ head }, socket) => {
      if (findHeader(head, 'x-kv-source') !== undefined) generations += 1;
      socket.write(`HTTP/1.1 200 OK\r\n${HEADERS}${BODY}`);
    });
    const records = [
      { ...makeEngine('p1', 'prefill'), address: await prefill.listen() },
      { ...makeEngine('d1', 'decode'), address: await decode.listen() },
    ];
    const route = makeLabRoute({ kind: 'stream', resumable: true, maximumAttempts: 1 });
    const site = await startForwardingSite([route], records);
    try {
      for (line of INVALID_LINES) {
        expect(await ask(site.callers), line).not.to.match(/^HTTP\/1\.1 (?!200|502|503|504)/);
        expect(generations, line).to.equal(0);
      }
    } finally {
      prefill.close();
      decode.close();
      await site.daemon.close();
    }
  });

  it('through a tunnel is no answer', async () => {
    let line = '';
    const rig = new TunnelRig((_request, socket) => socket.write(`${line}\r\n${HEADERS}${BODY}`));
    await rig.start();
    try {
      for (line of INVALID_LINES) {
        const end = await rig.startAttempt().ended;
        expect(end.kind, line).to.equal('broken');
      }
    } finally {
      await rig.close();
    }
  });

  it('in the answer to a health check is no sign of health', async () => {
    let line = '';
    const backend = new ScriptedBackend((_request, socket) =>
      socket.write(`${line}\r\n${HEADERS}Content-Length: 0\r\n\r\n`),
    );
    const rig = new TunnelRig(() => undefined);
    const record = makeLabBackend('b1', await backend.listen());
    try {
      for (line of INVALID_LINES)
        expect(await rig.client.probe({ backend: record }, '/healthz'), line).to.equal(false);
      line = 'HTTP/1.1 200 OK';
      expect(await rig.client.probe({ backend: record }, '/healthz')).to.equal(true);
    } finally {
      backend.close();
      await rig.client.close();
    }
  });
});
