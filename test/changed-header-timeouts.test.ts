/**
 * Tests that a changed time for a head cuts no request that was read whole, or that arrived in time.
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
const SHORT_HEADER_MS = 200;
/** Longer than the time for a head and the interval at which Node.js checks it. Milliseconds. */
const ANSWER_MS = 2000;
const SETTLE_MS = 50;
const REQUEST = 'GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n';

describe('a time for heads that changes', () => {
  let site: ForwardServerCaller;

  beforeEach(async () => {
    site = new ForwardServerCaller(
      {
        onRequest: ({ path }, reply) => {
          const answer = { status: 200, failure: 'none', retryAfterMs: undefined };
          setTimeout(() => reply.sendFailure(answer), path === '/slow' ? ANSWER_MS : 0);
        },
      },
      LIMITS,
    );
    await site.open();
    await delay(SETTLE_MS);
  });

  afterEach(() => site.close());

  it('does not cut a request in progress when a head in parts behind it is over its time', async () => {
    site.caller.write(REQUEST.replace('/a/x', '/slow') + 'GET /a/y HT');
    await delay(SETTLE_MS);
    site.setLimits({ headerTimeoutMs: SHORT_HEADER_MS });
    await Promise.race([once(site.caller, 'close'), delay(ANSWER_MS + ANSWER_MS / 2)]);
    expect(site.getStatuses()[0]).to.equal('200');
  });

  it('does not cut a head that began under the longer time and is over the shorter one', async () => {
    site.caller.write('GET /a/x HT');
    await delay(SHORT_HEADER_MS + SETTLE_MS);
    site.setLimits({ headerTimeoutMs: SHORT_HEADER_MS });
    await delay(ANSWER_MS / 2 + SHORT_HEADER_MS);
    site.caller.write(REQUEST.slice('GET /a/x HT'.length));
    await delay(2 * SETTLE_MS);
    expect(site.getStatuses()).to.deep.equal(['200']);
  });

  it('answers a request that waited in its socket while the process was busy', async () => {
    site.setLimits({ headerTimeoutMs: SHORT_HEADER_MS });
    site.caller.write(REQUEST);
    const busyUntil = performance.now() + ANSWER_MS;
    while (performance.now() < busyUntil);
    await delay(4 * SETTLE_MS);
    expect(site.getStatuses()).to.deep.equal(['200']);
  });
});
