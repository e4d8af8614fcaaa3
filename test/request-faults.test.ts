/**
 * Guards against an exception in the handling of one request that ends the requests of all others: the process exited
 * with all its connections.
 */
import { request } from 'node:http';
import { expect } from 'chai';
import { HttpDialect } from '../platform/http-dialect.js';
import {
  makeLabBackend,
  makeLabRoute,
  startForwardingSite,
  type ForwardingSite,
} from '../lab/forwarding-site.js';
import { findHeader, ScriptedBackend } from '../lab/scripted-backend.js';
import type { ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';

const FAULTY = 'faulty';
/** The methods of the dialect that are called while one request is handled. */
const METHODS = ['createRequestHeaders', 'parseAnswerHead', 'parseSignals', 'parseCallerHead'] as const;

/** Throws in one method for requests that carry `FAULTY` in a header. */
function createFaultyDialect(method: (typeof METHODS)[number]): HttpDialect {
  const dialect = new HttpDialect();
  const original = dialect[method].bind(dialect) as (...args: unknown[]) => unknown;
  const faulty = (...args: unknown[]): unknown => {
    if (JSON.stringify(args).includes(FAULTY)) throw new RangeError('a defect');
    return original(...args);
  };
  return Object.assign(dialect, { [method]: faulty });
}

describe('an exception in the handling of one request', () => {
  let backend: ScriptedBackend;
  let site: ForwardingSite;

  async function start(dialect: HttpDialect): Promise<void> {
    backend = new ScriptedBackend(({ head }, socket) => {
      const id = findHeader(head, 'x-attempt-id');
      setTimeout(
        () =>
          socket.write(
            `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok`,
          ),
        300,
      );
    });
    const address = await backend.listen();
    site = await startForwardingSite([makeLabRoute({})], [makeLabBackend('b1', address)], null, { dialect });
  }

  afterEach(async () => {
    backend.close();
    await site.daemon.close();
  });

  /** The status of the answer; 0 if the connection was closed without one. */
  function ask(id: string): Promise<number> {
    const [host, port] = site.callers.split(':');
    const headers = { 'X-Attempt-Id': id, Host: 'site.example' };
    return new Promise((resolve) => {
      const sent = request({ host, port, path: '/a/x', headers, agent: false, timeout: 4000 }, (answer) => {
        answer.resume();
        resolve(answer.statusCode ?? 0);
      });
      sent.on('error', () => resolve(0));
      sent.on('timeout', () => sent.destroy());
      sent.end();
    });
  }

  for (const method of METHODS)
    it(`leaves the others as they are when ${method} throws`, async () => {
      await start(createFaultyDialect(method));
      const others = ['r1', 'r2', 'r3'].map(ask);
      const answer = await ask(FAULTY);
      expect(answer).to.be.oneOf([0, 502]);
      expect(await Promise.all(others)).to.deep.equal([200, 200, 200]);
      expect(await ask('r4')).to.equal(200);
    });

  it('leaves the others as they are when the state machine throws at an event of an attempt', async () => {
    await start(new HttpDialect());
    const others = ['r1', 'r2', 'r3'].map(ask);
    const event: ForwardAttemptEvent = {
      kind: 'whole',
      get status(): number {
        throw new RangeError('a defect');
      },
    };
    const answer = ask(FAULTY);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const { daemonActor } = site.daemon as unknown as { daemonActor: { dispatch(event: object): void } };
    daemonActor.dispatch({ kind: 'attempt', requestId: '4', attemptId: '4/1', event });
    expect(await answer).to.equal(502);
    expect(await Promise.all(others)).to.deep.equal([200, 200, 200]);
  });
});
