/**
 * Guards against a stopping daemon that closes keep-alive connections within the time advertised to their
 * callers. The daemon counted that time from the closing of its listener instead of from the end of each
 * response. A response that began before the stop and ended 5 s after it still advertised a reusable
 * connection, but the process exited at once: the next request was reset, and its caller could not know
 * whether it was executed.
 *
 * Seen with 60 callers: the process exited together with the last response, some seconds after SIGTERM, although
 * each had advertised `Keep-Alive: timeout=5`; callers that were idle for 0 to 4 s found their connections
 * closed.
 */
import { expect } from 'chai';
import { once } from 'node:events';
import { createServer as createHttpServer, type ServerResponse } from 'node:http';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { LocalSite } from '../lab/launcher.js';
import { getSiteProfile } from '../lab/site-profiles.js';
import { KeepAliveConnections } from '../src/gateway/keep-alive-connections.js';
import { delay } from '../src/shared/delay.js';
import { SeededRandom } from '../src/shared/random.js';

const CALLERS = 60;
const SEED = 52;
/** One-way latency between a caller and the daemon. Milliseconds. */
const LATENCY_MS = 40;
/** Tokens of the long answers; an engine generates one in about 22 ms. */
const FEWEST_TOKENS = 480;
const MOST_TOKENS = 545;
/** The daemon of the first test is asked to stop after this time. Milliseconds. */
const STOP_AFTER_MS = 1400;
/** All first answers begin within this time, also on a busy machine. Milliseconds. */
const HEADS_TIMEOUT_MS = 20_000;
/**
 * A daemon that counts the advertised time from the closing of its listener has exited this long after SIGTERM
 * unless a request is open. Milliseconds.
 */
const FAULTY_EXIT_MS = 8000;
/** Further requests that must be sent after `FAULTY_EXIT_MS`, for the test to catch such a daemon. */
const FEWEST_LATE_REQUESTS = 10;
/**
 * A caller stops reusing a connection this long before the advertised time is over, as clients do.
 * Milliseconds.
 */
const CALLER_MARGIN_MS = 1000;
const END_OF_HEAD = '\r\n\r\n';
const END_OF_BODY = '0\r\n\r\n';

/** Forwards data, half-closes and resets after `LATENCY_MS`, as a network does. */
function startRelay(target: string): Promise<Server> {
  const [host, port] = target.split(':');
  const forward = (from: Socket, to: Socket): void => {
    const later = (action: () => void): void => void setTimeout(action, LATENCY_MS);
    from.on('data', (bytes) => later(() => to.write(bytes)));
    from.on('end', () => later(() => to.end()));
    from.on('error', () => later(() => to.resetAndDestroy()));
    from.on('close', () => later(() => to.destroy()));
  };
  const relay = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    forward(near, far);
    forward(far, near);
  });
  return new Promise((resolve) => relay.listen(0, '127.0.0.1', () => resolve(relay)));
}

/** A caller with its own connection. */
class Caller {
  private readonly socket: Socket;
  /** Whether the head of the first answer has been received. */
  headReceived = false;
  /** When the last request was sent. Monotonic milliseconds. */
  lastSentAt = 0;
  private received = '';
  private failure: string | undefined;

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (bytes) => {
      this.received += bytes.toString('latin1');
      this.headReceived ||= this.received.includes(END_OF_HEAD);
    });
    this.socket.on('error', (error: NodeJS.ErrnoException) => (this.failure = error.code));
    this.socket.on('close', () => (this.failure ??= 'closed'));
  }

  /** Sends a request and returns the complete answer, or the reason why there is none. */
  async sendRequest(tokens: number): Promise<string> {
    this.received = '';
    const body = JSON.stringify({ model: 'eligibility', prompt: 'farm', max_tokens: tokens, stream: true });
    const head = `POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`;
    this.socket.write(head + body);
    this.lastSentAt = performance.now();
    while (!this.received.endsWith(END_OF_BODY)) {
      if (this.failure !== undefined) return `${this.failure} after ${this.received.length} bytes`;
      await delay(2);
    }
    return this.received;
  }

  close(): void {
    this.socket.destroy();
  }
}

/** How long a connection may be reused by its answer's header. Milliseconds; undefined when it is closed. */
function getAdvertisedMs(answer: string): number | undefined {
  const header = /^keep-alive: timeout=(\d+)/im.exec(answer);
  return header ? Number(header[1]) * 1000 : undefined;
}

/** Requests a long answer, and sends a second request on the same connection within the time advertised. */
async function sendTwice(caller: Caller, random: SeededRandom): Promise<string> {
  const tokens = FEWEST_TOKENS + random.below(MOST_TOKENS - FEWEST_TOKENS);
  const idleShare = random.next();
  const first = await caller.sendRequest(tokens);
  const advertisedMs = getAdvertisedMs(first);
  if (!first.includes('[DONE]') || advertisedMs === undefined) return `first: ${first.slice(0, 200)}`;
  await delay(idleShare * (advertisedMs - CALLER_MARGIN_MS));
  return (await caller.sendRequest(3)).split('\r\n')[0];
}

/**
 * Waits until each caller has received the head of its first answer. A head that is sent after the beginning
 * of a stop rightly asks its caller to close the connection, so a stop is not begun earlier.
 */
async function waitForHeads(callers: readonly Caller[]): Promise<void> {
  const deadline = performance.now() + HEADS_TIMEOUT_MS;
  for (;;) {
    const count = callers.filter((caller) => caller.headReceived).length;
    if (count === callers.length) return;
    if (performance.now() > deadline)
      expect.fail(`${count} of ${callers.length} answers had begun after ${HEADS_TIMEOUT_MS} ms`);
    await delay(2);
  }
}

describe('keep-alive connections of callers', function () {
  this.timeout(90_000);
  let site: LocalSite;
  let relay: Server;

  beforeEach(async () => {
    site = new LocalSite(getSiteProfile('trust-tt-north'), { engines: 2, daemons: 1, applications: 1 });
    await site.start();
    relay = await startRelay(site.getCallerAddresses()[0]);
  });

  afterEach(async () => {
    relay.close();
    await site.stop();
  });

  /*
   * Guards against a second SIGTERM ending a stopping daemon at once, with its open requests: the second call
   * of `stop` resolved while the first was still waiting, and the program exits when `stop` resolves.
   */
  it('carry complete answers although the daemon is asked to stop several times', async () => {
    const { port } = relay.address() as AddressInfo;
    const callers = Array.from({ length: 10 }, () => new Caller(port));
    const pending = callers.map((caller) => caller.sendRequest(100));
    await delay(STOP_AFTER_MS);
    const { child } = site.daemons[0];
    const ended = once(child, 'exit');
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGTERM'] as const) {
      child.kill(signal);
      await delay(100);
    }
    const answers = await Promise.all(pending);
    callers.forEach((caller) => caller.close());
    expect(answers.filter((answer) => !answer.includes('[DONE]'))).to.deep.equal([]);
    expect((await ended)[0]).to.equal(0);
  });

  it('are reused after answers that end late in a stop, and each further request is answered', async () => {
    const { port } = relay.address() as AddressInfo;
    const random = new SeededRandom(SEED);
    const callers = Array.from({ length: CALLERS }, () => new Caller(port));
    const pending = callers.map((caller) => sendTwice(caller, random));
    await waitForHeads(callers);
    const { child } = site.daemons[0];
    child.kill('SIGTERM');
    const stoppedAt = performance.now();
    const [code] = (await once(child, 'exit')) as [number | null];
    const answers = await Promise.all(pending);
    callers.forEach((caller) => caller.close());
    expect(answers).to.deep.equal(callers.map(() => 'HTTP/1.1 200 OK'));
    expect(code).to.equal(0);
    const late = callers.filter((caller) => caller.lastSentAt - stoppedAt > FAULTY_EXIT_MS);
    expect(late.length, 'requests sent late in the stop').to.be.at.least(FEWEST_LATE_REQUESTS);
  });
});

/*
 * Guards against a stop that closes a connection after the first of two pipelined answers when the second one was
 * ready earlier: its request was executed, and its caller got no answer.
 */
describe('a keep-alive connection with pipelined requests', () => {
  it('carries every answer, also one that is ready before a stop and waits for the one before it', async () => {
    let first: ServerResponse | undefined;
    let secondIsReady = false;
    const server = createHttpServer((request, response) => {
      if (request.url === '/first') first = response;
      else secondIsReady = !!response.end('second answer');
    });
    const connections = new KeepAliveConnections(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let received = '';
    socket.on('data', (bytes) => (received += bytes.toString('latin1')));
    socket.write('GET /first HTTP/1.1\r\nhost: a\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\n\r\n');
    while (!first || !secondIsReady) await delay(2);
    connections.startClosing();
    first.end('first answer');
    const closed = once(socket, 'close');
    while (!received.includes('second answer') && !socket.destroyed) await delay(2);
    socket.end();
    await closed;
    server.close();
    expect(received).to.include('first answer').and.to.include('second answer');
  });
});
