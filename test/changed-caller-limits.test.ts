/**
 * Tests that no request is left without an answer when the limits for callers change while it is read, or
 * while its connection is at rest.
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
const BODY_BYTES = 600;
/** A change of the limits, or a part of a request, has arrived after this time. Milliseconds. */
const SETTLE_MS = 50;
/** An answer that has not arrived after this time is missing. Milliseconds. */
const ANSWER_TIMEOUT_MS = 1000;
const SHORT_IDLE_MS = 300;
const LONG_IDLE_MS = 3000;
/** Longer than the short idle timeout with the second that Node.js adds, and 0.8 of the long one. Milliseconds. */
const REST_MS = 2400;

describe('limits for callers that change', () => {
  let server: ForwardServer;
  let caller: Socket;
  let received: string;
  let bodies: string[];
  let closedFor: string[];

  beforeEach(async () => {
    bodies = [];
    closedFor = [];
    received = '';
    server = new ForwardServer(
      {
        onRequest: ({ body }, reply) => {
          bodies.push(body.toString('latin1'));
          reply.sendFailure({ status: 200, failure: 'none', retryAfterMs: undefined });
        },
        onIdleClosed: (reason) => closedFor.push(reason),
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
  });

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  /** The statuses of all answers after `count` of them have arrived, or time is up. */
  async function getStatuses(count: number): Promise<string[]> {
    const deadline = performance.now() + ANSWER_TIMEOUT_MS;
    const find = (): string[] => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
    while (find().length < count && performance.now() < deadline) await delay(SETTLE_MS);
    return find();
  }

  async function sendInParts(limitsBetween: Partial<CallerLimits>): Promise<void> {
    const body = 'b'.repeat(BODY_BYTES);
    caller.write(`POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${body.slice(1)}`);
    await delay(SETTLE_MS);
    server.setLimits({ ...LIMITS, ...limitsBetween });
    caller.write('b');
  }

  it('a request in parts is answered when the maximum length falls below what has been read', async () => {
    await sendInParts({ maximumBodyBytes: BODY_BYTES / 2 });
    expect(await getStatuses(1)).to.deep.equal(['200']);
    expect(bodies).to.deep.equal(['b'.repeat(BODY_BYTES)]);
  });

  it('a request whose last part is its end is answered when the maximum length falls', async () => {
    caller.write('POST /a/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
    caller.write(`${BODY_BYTES.toString(16)}\r\n${'b'.repeat(BODY_BYTES)}\r\n`);
    await delay(SETTLE_MS);
    server.setLimits({ ...LIMITS, maximumBodyBytes: BODY_BYTES / 2 });
    caller.write('0\r\n\r\n');
    expect(await getStatuses(1)).to.deep.equal(['200']);
    expect(bodies).to.deep.equal(['b'.repeat(BODY_BYTES)]);
  });

  it('a request that was rejected for its length is not handed on when the maximum length rises', async () => {
    server.setLimits({ ...LIMITS, maximumBodyBytes: BODY_BYTES / 2 });
    await sendInParts({ maximumBodyBytes: BODY_BYTES });
    expect(await getStatuses(1)).to.deep.equal(['413']);
    expect(bodies).to.deep.equal([]);
  });

  it('a connection at rest is kept for the idle timeout in force after that became longer', async () => {
    server.setLimits({ ...LIMITS, idleTimeoutMs: SHORT_IDLE_MS });
    caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(1)).to.deep.equal(['200']);
    server.setLimits({ ...LIMITS, idleTimeoutMs: LONG_IDLE_MS });
    await delay(REST_MS);
    caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(2)).to.deep.equal(['200', '200']);
  });

  it('a connection at rest is kept for the longest idle timeout since its last answer', async () => {
    server.setLimits({ ...LIMITS, idleTimeoutMs: LONG_IDLE_MS });
    caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(1)).to.deep.equal(['200']);
    server.setLimits({ ...LIMITS, idleTimeoutMs: SHORT_IDLE_MS });
    server.setLimits({ ...LIMITS, idleTimeoutMs: 2 * SHORT_IDLE_MS });
    await delay(REST_MS);
    caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(2)).to.deep.equal(['200', '200']);
  });

  it('a connection at rest is closed although configurations with the same idle timeout follow', async () => {
    server.setLimits({ ...LIMITS, idleTimeoutMs: SHORT_IDLE_MS });
    caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(1)).to.deep.equal(['200']);
    const repeat = setInterval(
      () => server.setLimits({ ...LIMITS, idleTimeoutMs: SHORT_IDLE_MS }),
      SHORT_IDLE_MS / 2,
    );
    await Promise.race([once(caller, 'close'), delay(LONG_IDLE_MS)]);
    clearInterval(repeat);
    expect(caller.destroyed).to.equal(true);
    expect(closedFor).to.deep.equal(['timeout']);
  });
});
