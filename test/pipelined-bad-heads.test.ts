/** Tests that what arrives behind a whole request takes nothing from its answer. */
import { expect } from 'chai';
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import type { CallerLimits } from '../src/forwarding/routes/route.js';
import type { CallerReply } from '../src/gateway/caller-reply.js';
import { KeepAliveConnections } from '../src/gateway/keep-alive-connections.js';
import { delay } from '../src/shared/delay.js';
import { ForwardServerCaller } from './forward-server-caller.js';

const LIMITS: CallerLimits = {
  maximumHeaderBytes: 1000,
  maximumBodyBytes: 1000,
  headerTimeoutMs: 60_000,
  idleTimeoutMs: 60_000,
};
/** What was written has arrived after this time. Milliseconds. */
const SETTLE_MS = 50;
/** Time limits are checked once in this time. Milliseconds; longer than the server's interval. */
const CHECKED_MS = 1500;
const FIRST = 'POST /a/first HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody';

describe('a whole request with something behind it on its connection', () => {
  let site: ForwardServerCaller;
  let replies: CallerReply[];
  let isGone: boolean;

  beforeEach(async () => {
    replies = [];
    isGone = false;
    site = new ForwardServerCaller(
      {
        onRequest: (_request, reply) => {
          replies.push(reply);
          reply.onCallerGone = () => (isGone = true);
        },
      },
      LIMITS,
    );
    await site.open();
    site.caller.write(FIRST);
    await delay(SETTLE_MS);
    expect(replies).to.have.length(1);
  });

  afterEach(() => site.close());

  async function answerFirst(): Promise<void> {
    replies[0].sendFailure({ status: 200, failure: 'none', retryAfterMs: undefined });
    await delay(SETTLE_MS);
  }

  it('is answered although the time for a head falls while the next head arrives', async () => {
    site.caller.write('POST /a/second HT');
    await delay(SETTLE_MS);
    site.setLimits({ headerTimeoutMs: 10 });
    await delay(CHECKED_MS);
    expect(site.getStatuses()).to.deep.equal([]);
    expect(isGone).to.equal(false);
    await answerFirst();
    expect(site.getStatuses()).to.deep.equal(['200', '408']);
    expect(site.caller.readableEnded).to.equal(true);
  });

  it('is answered although the next head is no HTTP', async () => {
    site.caller.write('no head\r\n\r\n');
    await delay(SETTLE_MS);
    expect(site.getStatuses()).to.deep.equal([]);
    expect(isGone).to.equal(false);
    await answerFirst();
    expect(site.getStatuses()).to.deep.equal(['200', '400']);
    expect(site.caller.readableEnded).to.equal(true);
  });

  it('gets no other answer if its caller half-closes within the next head', async () => {
    site.caller.end('POST /a/second HT');
    await delay(SETTLE_MS);
    expect(site.received).to.equal('');
    expect(isGone).to.equal(true);
    expect(site.server.getOpenConnectionCount()).to.equal(0);
  });

  it('is answered although the body behind it is broken', async () => {
    site.caller.write(
      'POST /a/second HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n',
    );
    await delay(SETTLE_MS);
    expect(site.getStatuses()).to.deep.equal([]);
    await answerFirst();
    expect(site.getStatuses()).to.deep.equal(['200', '400']);
    expect(replies).to.have.length(1);
    expect(site.server.getOpenRequestCount()).to.equal(0);
  });
});

describe('a connection with nothing whole on it', () => {
  let site: ForwardServerCaller;

  beforeEach(async () => {
    site = new ForwardServerCaller({ onRequest: () => undefined }, LIMITS);
    await site.open();
  });

  afterEach(() => site.close());

  it('is answered and closed at once if its head is no HTTP', async () => {
    site.caller.write('no head\r\n\r\n');
    await delay(SETTLE_MS);
    expect(site.received).to.match(/^HTTP\/1\.1 400 /);
    expect(site.server.getOpenConnectionCount()).to.equal(0);
  });

  it('is answered and closed if its head takes too long', async () => {
    site.setLimits({ headerTimeoutMs: 10 });
    site.caller.write('POST /a/x HT');
    await delay(CHECKED_MS);
    expect(site.received).to.match(/^HTTP\/1\.1 408 /);
    expect(site.server.getOpenConnectionCount()).to.equal(0);
  });
});

describe('a whole completion request with something behind it on its connection', () => {
  let server: Server;
  let caller: Socket;
  let received: string;
  let responses: ServerResponse[];

  beforeEach(async () => {
    received = '';
    responses = [];
    server = createServer((request, response) => {
      request.resume();
      responses.push(response);
    });
    void new KeepAliveConnections(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    caller.on('error', () => undefined);
    caller.on('data', (bytes) => (received += bytes.toString('latin1')));
    await once(caller, 'connect');
    caller.write(FIRST);
    await delay(SETTLE_MS);
  });

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  it('is answered although the next head is no HTTP', async () => {
    caller.write('no head\r\n\r\n');
    await delay(SETTLE_MS);
    expect(received).to.equal('');
    responses[0].end('answer');
    await delay(SETTLE_MS);
    expect(received).to.match(/^HTTP\/1\.1 200 [^]*answerHTTP\/1\.1 400 /);
    expect(caller.readableEnded).to.equal(true);
  });

  it('is answered whole although its answer has begun', async () => {
    responses[0].write('first ');
    caller.write('no head\r\n\r\n');
    await delay(SETTLE_MS);
    responses[0].end('last');
    await delay(SETTLE_MS);
    expect(received).to.match(/^HTTP\/1\.1 200 [^]*last\r\n0\r\n\r\nHTTP\/1\.1 400 /);
  });
});
