/**
 * Guards against servers, the store and peers that send bytes without end: they held the event loop, so that callers of
 * sound servers and health checks were not answered, and took memory.
 */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { connect } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { writeEndlessly } from '../lab/garbled-bytes.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import { PlatformConnection } from '../platform/platform-connection.js';
import { StoreClient } from '../platform/store-client.js';
import { EventSplitter } from '../src/adapters/event-splitter.js';
import { LineSplitter } from '../src/adapters/line-splitter.js';
import { delay } from '../src/shared/delay.js';
import { ENDLESS, writeOneByteChunks } from './endless-answers.js';

/** A health check that is not answered within this time takes a daemon out. Milliseconds. */
const HEALTH_CHECK_LIMIT_MS = 1000;
/** The route's timeout, long enough that bytes without end are cut off before. Milliseconds. */
const TIMEOUT_MS = 8000;
/** Milliseconds. */
const CUT_OFF_MS = 5000;
const CONCURRENT = 8;
const MEGABYTE = 1024 * 1024;
const CHUNK = Buffer.alloc(64 * 1024, 'x');
const SIGNED = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Signature: s\r\n';

describe('bytes without end', () => {
  const backends: ScriptedBackend[] = [];
  const servers: Server[] = [];
  let site: ForwardingSite | undefined;
  let openSockets = 0;

  afterEach(async () => {
    for (const backend of backends.splice(0)) backend.close();
    for (const server of servers.splice(0)) server.close();
    await site?.daemon.close();
    site = undefined;
  });

  /** One back end spoils its answers on the paths that start with `path`, another one answers well. */
  async function start(
    write: (socket: Socket, id: string) => void,
    stream: boolean,
    path = '/bad/',
  ): Promise<void> {
    openSockets = 0;
    const bad = new ScriptedBackend(({ head }, socket) => {
      if (!head.split(' ')[1].startsWith(path)) {
        socket.write('HTTP/1.1 200 OK\r\nX-Instance-Id: b1\r\nContent-Length: 0\r\n\r\n');
        return;
      }
      openSockets += 1;
      socket.on('close', () => (openSockets -= 1));
      write(socket, 'id1');
    });
    const sound = new ScriptedBackend(({ head }, socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${findHeader(head, 'x-attempt-id')}\r\nX-Server-Signature: s\r\n` +
          'X-Instance-Id: b2\r\nContent-Length: 2\r\n\r\nok',
      ),
    );
    backends.push(bad, sound);
    const records = [
      { ...makeLabBackend('b1', await bad.listen()), slots: 32 },
      { ...makeLabBackend('b2', await sound.listen()), service: 'sound' },
    ];
    const once = { maximumAttempts: 1, timeoutMs: TIMEOUT_MS };
    const routes = [
      makeLabRoute({ ...once, pathPrefix: '/bad/', kind: stream ? 'stream' : 'idempotent' }),
      makeLabRoute({ ...once, pathPrefix: '/good/', targets: [{ service: 'sound', weight: 1 }] }),
    ];
    site = await startForwardingSite(routes, records);
  }

  /** Sends a request; resolves with the time until its connection was closed, and whether it was answered well. */
  function ask(path: string): Promise<{ ms: number; isWell: boolean }> {
    const startedAt = performance.now();
    const [host, port] = (site as ForwardingSite).callers.split(':');
    return new Promise((resolve) => {
      let head = '';
      const socket = connect(Number(port), host);
      socket.on('data', (chunk: Buffer) => {
        if (head.length < 20) head += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () =>
        resolve({ ms: performance.now() - startedAt, isWell: head.startsWith('HTTP/1.1 200') }),
      );
      socket.write(
        `GET ${path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: id1\r\nConnection: close\r\n\r\n`,
      );
    });
  }

  /** Checks health and a sound service while `work` goes on. */
  async function checkOthers(work: Promise<unknown>): Promise<void> {
    let isOver = false;
    void work.finally(() => (isOver = true));
    const before = process.memoryUsage().rss;
    const seen = { longestMs: 0, failed: 0, megabytes: 0 };
    for (let check = 0; check < 200 && !isOver; check += 1) {
      const startedAt = performance.now();
      const [good] = await Promise.all([ask('/good/x'), fetch(`http://${site?.ready}/ready`)]);
      seen.longestMs = Math.max(seen.longestMs, performance.now() - startedAt);
      if (!good.isWell) seen.failed += 1;
      seen.megabytes = Math.max(seen.megabytes, (process.memoryUsage().rss - before) / MEGABYTE);
      await delay(20);
    }
    expect(seen.failed, 'callers of the sound service').to.equal(0);
    expect(seen.longestMs, 'longest check').to.be.lessThan(HEALTH_CHECK_LIMIT_MS);
    // This process also holds what the stand-ins write.
    expect(seen.megabytes, 'memory').to.be.lessThan(400);
  }

  for (const [name, write] of Object.entries(ENDLESS))
    for (const kind of ['answer', 'stream'])
      it(`in the ${name} of an ${kind === 'answer' ? 'answer' : 'answer to a stream'} hold up nobody else and are cut off`, async () => {
        await start(write, kind === 'stream');
        const asked = Promise.all(Array.from({ length: CONCURRENT }, () => ask('/bad/x')));
        await checkOthers(asked);
        for (const { ms } of await asked) expect(ms).to.be.lessThan(CUT_OFF_MS);
        await delay(100);
        expect(openSockets, 'connections to the server').to.equal(0);
      });

  for (const kind of ['answer', 'stream'])
    it(`in chunks of one byte of an ${kind === 'answer' ? 'answer' : 'answer to a stream'} hold up nobody else and end with the route's timeout`, async () => {
      await start(writeOneByteChunks, kind === 'stream');
      const asked = Promise.all(Array.from({ length: CONCURRENT }, () => ask('/bad/x')));
      await checkOthers(asked);
      for (const { ms } of await asked) expect(ms).to.be.lessThan(TIMEOUT_MS + 1000);
      await delay(100);
      expect(openSockets, 'connections to the server').to.equal(0);
    });

  it('in the answers to health checks hold up nobody else', async () => {
    await start(ENDLESS.body, false, '/healthz');
    await checkOthers(delay(3000));
  });

  it('of a stream to a caller that does not read are not kept in memory', async () => {
    await start((socket) => {
      socket.write(`${SIGNED}\r\n`);
      writeEndlessly(socket, `data: ${'x'.repeat(1000)}\n\n`);
    }, true);
    const [host, port] = (site as ForwardingSite).callers.split(':');
    const caller = connect(Number(port), host);
    caller.write('GET /bad/x HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: id1\r\n\r\n');
    caller.pause();
    await checkOthers(delay(2000));
    caller.destroy();
  });

  it('from the store end the call', async () => {
    const store = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n');
        writeEndlessly(socket, CHUNK);
      });
    });
    servers.push(store);
    await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
    const connection = new PlatformConnection(`127.0.0.1:${(store.address() as AddressInfo).port}`);
    const call = { method: 'GET', path: '/', timeoutMs: 10_000 } as const;
    const error = await connection.call(call).then(
      () => undefined,
      (reason: Error) => reason.message,
    );
    expect(error).to.match(/an answer of over \d+ bytes/);
  });

  it('in a table of the store end the read of a snapshot', async () => {
    let pages = 0;
    const store = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        pages += 1;
        const body = JSON.stringify({ ver: 1, more: true, rows: [{ key: `k${pages}`, ver: 1 }] });
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
      });
    });
    servers.push(store);
    await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
    const client = new StoreClient(`127.0.0.1:${(store.address() as AddressInfo).port}`, () => undefined);
    const read = { collection: 'backends', after: undefined, waitMs: 0, answerTimeoutMs: 1000 } as const;
    const result = await client.read(read);
    expect(result).to.include({ kind: 'noAnswer' });
  });
});

describe('the lines of a peer', () => {
  it('are the same however they arrive', () => {
    fc.assert(
      fc.property(fc.array(fc.string({ unit: fc.constantFrom('a', 'b', '\n') })), (chunks) => {
        const splitter = new LineSplitter(1000);
        const lines = chunks.flatMap((chunk) => splitter.push(chunk) ?? []);
        expect(lines).to.deep.equal(chunks.join('').split('\n').slice(0, -1));
      }),
      { seed: 20261207, numRuns: 500 },
    );
  });
});

describe('a stream of events', () => {
  it('is passed on up to the end of the last event, however it arrives', () => {
    const unit = fc.constantFrom('a', '\n', '\r\n', 'id: 7\n', '\n\n');
    fc.assert(
      fc.property(fc.array(fc.string({ unit })), (chunks) => {
        const splitter = new EventSplitter();
        const passed = chunks.flatMap((chunk) => {
          const batch = chunk === '' ? undefined : splitter.push(Buffer.from(chunk));
          return batch?.kind === 'events' ? [batch.bytes] : [];
        });
        const text = Buffer.concat(passed).toString();
        const rest = splitter.getRemainder().toString();
        expect(text + rest).to.equal(chunks.join(''));
        expect(text).to.match(/^$|\n\r?\n$/);
        expect(rest).not.to.match(/\n\r?\n/);
      }),
      { seed: 20261207, numRuns: 1000 },
    );
  });

  it('is invalid when an event has no end', () => {
    const splitter = new EventSplitter();
    let batch;
    for (let chunk = 0; chunk < 20 && !batch; chunk += 1) batch = splitter.push(CHUNK);
    expect(batch).to.deep.equal({ kind: 'invalid', reason: 'an event is too long' });
  });
});
