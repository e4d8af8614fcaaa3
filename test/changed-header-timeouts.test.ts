/**
 * Tests that a changed time for a head cuts no request that was read whole, or that arrived in time.
 */
import { expect } from 'chai';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { findFreeAddresses } from '../lab/free-ports.js';
import type { CallerLimits } from '../src/forwarding/routes/route.js';
import { ForwardServer } from '../src/gateway/forward-server.js';
import { delay } from '../src/shared/delay.js';

const LIMITS: CallerLimits = {
  maximumHeaderBytes: 1000,
  maximumBodyBytes: 1000,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 5000,
};
const SHORT_HEADER_MS = 200;
/** Longer than the time for a head and the interval at which Node.js checks it. Milliseconds. */
const ANSWER_MS = 2000;
const SETTLE_MS = 50;
const REQUEST = 'GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n';

describe('a time for heads that changes', () => {
  let server: ForwardServer;
  let caller: Socket;
  let received: string;

  beforeEach(async () => {
    received = '';
    server = new ForwardServer(
      {
        onRequest: ({ path }, reply) => {
          const answer = { status: 200, failure: 'none', retryAfterMs: undefined };
          setTimeout(() => reply.sendFailure(answer), path === '/slow' ? ANSWER_MS : 0);
        },
      },
      () => performance.now(),
    );
    const [address] = await findFreeAddresses(1);
    await server.listen(address);
    server.setLimits(LIMITS);
    caller = connect(Number(address.split(':')[1]), '127.0.0.1');
    caller.on('error', () => undefined);
    caller.on('data', (bytes) => (received += bytes.toString('latin1')));
    await once(caller, 'connect');
    await delay(SETTLE_MS);
  });

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  function getStatuses(): string[] {
    return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
  }

  it('does not cut a request in progress when a head in parts behind it is over its time', async () => {
    caller.write(REQUEST.replace('/a/x', '/slow') + 'GET /a/y HT');
    await delay(SETTLE_MS);
    server.setLimits({ ...LIMITS, headerTimeoutMs: SHORT_HEADER_MS });
    await Promise.race([once(caller, 'close'), delay(ANSWER_MS + ANSWER_MS / 2)]);
    expect(getStatuses()[0]).to.equal('200');
  });

  it('does not cut a head that began under the longer time and is over the shorter one', async () => {
    caller.write('GET /a/x HT');
    await delay(SHORT_HEADER_MS + SETTLE_MS);
    server.setLimits({ ...LIMITS, headerTimeoutMs: SHORT_HEADER_MS });
    await delay(ANSWER_MS / 2 + SHORT_HEADER_MS);
    caller.write(REQUEST.slice('GET /a/x HT'.length));
    await delay(2 * SETTLE_MS);
    expect(getStatuses()).to.deep.equal(['200']);
  });

  it('answers a request that waited in its socket while the process was busy', async () => {
    server.setLimits({ ...LIMITS, headerTimeoutMs: SHORT_HEADER_MS });
    caller.write(REQUEST);
    const busyUntil = performance.now() + ANSWER_MS;
    while (performance.now() < busyUntil);
    await delay(4 * SETTLE_MS);
    expect(getStatuses()).to.deep.equal(['200']);
  });
});
