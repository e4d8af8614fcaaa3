/**
 * Callers keep their connections for as long as the last answer told them, and send their next request on one
 * within that time. A stopping daemon counted that time from the moment at which it closed its listener, not from
 * the end of the last answer that told it: an answer that had begun before the stop and ended 5 s after it left
 * its caller with a connection that was told to be kept for 5 s more, and the process ended at once. The next
 * request on it was reset, and its caller could not know whether it ran.
 *
 * What showed it: the process ended some 7 s after SIGTERM, when the last of 60 answers did, though each had told
 * `Keep-Alive: timeout=5`; the callers, which rested 0 to 4 s, found their connections closed.
 */
import { expect } from 'chai';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { LocalSite } from '../lab/launcher.js';
import { getSiteProfile } from '../lab/site-profiles.js';
import { delay } from '../src/shared/delay.js';
import { SeededRandom } from '../src/shared/random.js';

const CALLERS = 60;
const SEED = 52;
/** The way between a caller and the daemon. Milliseconds. */
const WAY_MS = 40;
/** Tokens of the long answers; an engine gives one each 22 ms or so. */
const FEWEST_TOKENS = 320;
const MOST_TOKENS = 385;
/** The daemon is told to stop once the long answers have begun. Milliseconds. */
const STOP_AFTER_MS = 1400;
/** A caller gives up a connection this long before the told time is over, as clients do. Milliseconds. */
const CALLER_MARGIN_MS = 1000;
const END_OF_BODY = '0\r\n\r\n';

/** Passes bytes, ends and resets on after `WAY_MS`, as a network does. */
function startRelay(target: string): Promise<Server> {
  const [host, port] = target.split(':');
  const pass = (from: Socket, to: Socket): void => {
    const later = (action: () => void): void => void setTimeout(action, WAY_MS);
    from.on('data', (bytes) => later(() => to.write(bytes)));
    from.on('end', () => later(() => to.end()));
    from.on('error', () => later(() => to.resetAndDestroy()));
    from.on('close', () => later(() => to.destroy()));
  };
  const relay = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    pass(near, far);
    pass(far, near);
  });
  return new Promise((resolve) => relay.listen(0, '127.0.0.1', () => resolve(relay)));
}

/** A caller with a connection of its own. */
class Caller {
  private readonly socket: Socket;
  private received = '';
  private failure: string | undefined;

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (bytes) => (this.received += bytes.toString('latin1')));
    this.socket.on('error', (error: NodeJS.ErrnoException) => (this.failure = error.code));
    this.socket.on('close', () => (this.failure ??= 'closed'));
  }

  /** Sends a request and returns the whole answer, or why there is none. */
  async ask(tokens: number): Promise<string> {
    this.received = '';
    const body = JSON.stringify({ model: 'eligibility', prompt: 'farm', max_tokens: tokens, stream: true });
    const head = `POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`;
    this.socket.write(head + body);
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

/** For how long an answer says that its connection is kept. Milliseconds; undefined when it is closed. */
function getToldMs(answer: string): number | undefined {
  const told = /^keep-alive: timeout=(\d+)/im.exec(answer);
  return told ? Number(told[1]) * 1000 : undefined;
}

/** Asks for a long answer, and once more on the same connection within the time that it told. */
async function askTwice(caller: Caller, random: SeededRandom): Promise<string> {
  const tokens = FEWEST_TOKENS + random.below(MOST_TOKENS - FEWEST_TOKENS);
  const restShare = random.next();
  const first = await caller.ask(tokens);
  const toldMs = getToldMs(first);
  if (!first.includes('[DONE]') || toldMs === undefined) return `first: ${first.slice(0, 200)}`;
  await delay(restShare * (toldMs - CALLER_MARGIN_MS));
  return (await caller.ask(3)).split('\r\n')[0];
}

describe('connections that callers keep', function () {
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
   * A second SIGTERM ended a stopping daemon at once, with every request in hand: the second call of `stop` returned
   * while the first was still waiting, and the program ends when `stop` returns.
   */
  it('bring whole answers though the daemon is told to stop again and again', async () => {
    const { port } = relay.address() as AddressInfo;
    const callers = Array.from({ length: 10 }, () => new Caller(port));
    const asked = callers.map((caller) => caller.ask(100));
    await delay(STOP_AFTER_MS);
    const { child } = site.daemons[0];
    const ended = once(child, 'exit');
    for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGTERM'] as const) {
      child.kill(signal);
      await delay(100);
    }
    const answers = await Promise.all(asked);
    callers.forEach((caller) => caller.close());
    expect(answers.filter((answer) => !answer.includes('[DONE]'))).to.deep.equal([]);
    expect((await ended)[0]).to.equal(0);
  });

  it('of answers that end late in a stop bring further requests, and each is answered', async () => {
    const { port } = relay.address() as AddressInfo;
    const random = new SeededRandom(SEED);
    const callers = Array.from({ length: CALLERS }, () => new Caller(port));
    const asked = callers.map((caller) => askTwice(caller, random));
    await delay(STOP_AFTER_MS);
    const { child } = site.daemons[0];
    child.kill('SIGTERM');
    const [code] = (await once(child, 'exit')) as [number | null];
    const answers = await Promise.all(asked);
    callers.forEach((caller) => caller.close());
    expect(answers).to.deep.equal(callers.map(() => 'HTTP/1.1 200 OK'));
    expect(code).to.equal(0);
  });
});
