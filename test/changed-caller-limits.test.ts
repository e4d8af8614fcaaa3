/**
 * Tests that no request is left without an answer when the limits for callers change while it is read, or
 * while its connection is at rest.
 */
import { expect } from 'chai';
import { once } from 'node:events';
import type { CallerLimits } from '../src/forwarding/routes/route.js';
import { delay } from '../src/shared/delay.js';
import { ForwardServerCaller } from './forward-server-caller.js';

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
  let site: ForwardServerCaller;
  let bodies: string[];
  let closedFor: string[];

  beforeEach(async () => {
    bodies = [];
    closedFor = [];
    site = new ForwardServerCaller(
      {
        onRequest: ({ body }, reply) => {
          bodies.push(body.toString('latin1'));
          reply.sendFailure({ status: 200, failure: 'none', retryAfterMs: undefined });
        },
        onIdleClosed: (reason) => closedFor.push(reason),
      },
      LIMITS,
    );
    await site.open();
  });

  afterEach(() => site.close());

  const getStatuses = (count: number): Promise<string[]> => site.waitForStatuses(count, ANSWER_TIMEOUT_MS);

  async function sendInParts(limitsBetween: Partial<CallerLimits>): Promise<void> {
    const body = 'b'.repeat(BODY_BYTES);
    site.caller.write(
      `POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${body.slice(1)}`,
    );
    await delay(SETTLE_MS);
    site.setLimits(limitsBetween);
    site.caller.write('b');
  }

  it('a request in parts is answered when the maximum length falls below what has been read', async () => {
    await sendInParts({ maximumBodyBytes: BODY_BYTES / 2 });
    expect(await getStatuses(1)).to.deep.equal(['200']);
    expect(bodies).to.deep.equal(['b'.repeat(BODY_BYTES)]);
  });

  it('a request whose last part is its end is answered when the maximum length falls', async () => {
    site.caller.write('POST /a/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
    site.caller.write(`${BODY_BYTES.toString(16)}\r\n${'b'.repeat(BODY_BYTES)}\r\n`);
    await delay(SETTLE_MS);
    site.setLimits({ maximumBodyBytes: BODY_BYTES / 2 });
    site.caller.write('0\r\n\r\n');
    expect(await getStatuses(1)).to.deep.equal(['200']);
    expect(bodies).to.deep.equal(['b'.repeat(BODY_BYTES)]);
  });

  it('a request that was rejected for its length is not handed on when the maximum length rises', async () => {
    site.setLimits({ maximumBodyBytes: BODY_BYTES / 2 });
    await sendInParts({ maximumBodyBytes: BODY_BYTES });
    expect(await getStatuses(1)).to.deep.equal(['413']);
    expect(bodies).to.deep.equal([]);
  });

  it('a connection at rest is kept for the idle timeout in force after that became longer', async () => {
    site.setLimits({ idleTimeoutMs: SHORT_IDLE_MS });
    site.caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(1)).to.deep.equal(['200']);
    site.setLimits({ idleTimeoutMs: LONG_IDLE_MS });
    await delay(REST_MS);
    site.caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(2)).to.deep.equal(['200', '200']);
  });

  it('a connection at rest is kept for the longest idle timeout since its last answer', async () => {
    site.setLimits({ idleTimeoutMs: LONG_IDLE_MS });
    site.caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(1)).to.deep.equal(['200']);
    site.setLimits({ idleTimeoutMs: SHORT_IDLE_MS });
    site.setLimits({ idleTimeoutMs: 2 * SHORT_IDLE_MS });
    await delay(REST_MS);
    site.caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(2)).to.deep.equal(['200', '200']);
  });

  it('a connection at rest is closed although configurations with the same idle timeout follow', async () => {
    site.setLimits({ idleTimeoutMs: SHORT_IDLE_MS });
    site.caller.write('GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n');
    expect(await getStatuses(1)).to.deep.equal(['200']);
    const repeat = setInterval(() => site.setLimits({ idleTimeoutMs: SHORT_IDLE_MS }), SHORT_IDLE_MS / 2);
    await Promise.race([once(site.caller, 'close'), delay(LONG_IDLE_MS)]);
    clearInterval(repeat);
    expect(site.caller.destroyed).to.equal(true);
    expect(closedFor).to.deep.equal(['timeout']);
  });
});
