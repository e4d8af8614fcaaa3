/** Tests of Retry-After in rejections by engines, application servers and the store. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { HttpDialect } from '../platform/http-dialect.js';
import { TableClient } from '../platform/table-client.js';
import { HttpEngineClient } from '../src/adapters/engine-client.js';
import { parseRetryAfterMs } from '../src/adapters/retry-after-header.js';
import type { AttemptEvent } from '../src/contracts/engine-protocol.js';
import type { AttemptStart } from '../src/routing/completion-effects.js';
import { ApplicationServers } from '../src/routing/application-servers.js';
import { EngineView } from '../src/routing/engine-directory.js';
import { SeededRandom } from '../src/shared/random.js';

const DATE = 'Thu, 03 Dec 2026 10:00:00 GMT';

/** Runs `use` against a server that rejects every request. */
async function withRejectingServer<Result>(
  retryAfter: string | undefined,
  use: (address: string) => Promise<Result>,
): Promise<Result> {
  const server: Server = createServer((request, response) => {
    request.resume();
    const headers = retryAfter === undefined ? {} : { 'Retry-After': retryAfter };
    response.writeHead(503, headers).end(JSON.stringify({ refused: 'full' }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  try {
    return await use(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

async function callRejectingEngine(
  retryAfter: string | undefined,
  unreadable: string[] = [],
): Promise<AttemptEvent> {
  return withRejectingServer(retryAfter, async (address) => {
    const client = new HttpEngineClient((text) => unreadable.push(text));
    const attempt = {
      address,
      stage: 'whole',
      request: { prompt: { text: '' }, maximumTokens: 1 },
      row: {},
      remainingMs: 1000,
    } as unknown as AttemptStart;
    const event = await new Promise<AttemptEvent>((resolve) => void client.start(attempt, resolve));
    await client.close();
    return event;
  });
}

describe('headers by which servers limit requests', () => {
  it('a Retry-After is a decimal number of seconds or a date, and nothing else', () => {
    expect(parseRetryAfterMs('3', undefined)).to.equal(3000);
    expect(parseRetryAfterMs(' 0.25 ', undefined)).to.equal(250);
    expect(parseRetryAfterMs('Thu, 03 Dec 2026 10:00:02 GMT', DATE)).to.equal(2000);
    expect(parseRetryAfterMs('Thu, 03 Dec 2026 09:00:00 GMT', DATE)).to.equal(0);
    for (const text of ['soon', '-1', '1e3', '', 'Infinity', '3 s'])
      expect(parseRetryAfterMs(text, DATE), text).to.equal(undefined);
    expect(parseRetryAfterMs('Thu, 03 Dec 2026 10:00:02 GMT', undefined)).to.equal(undefined);
  });

  it('a Retry-After of a back end counts in rejections only, and is reported when it is invalid', () => {
    const dialect = new HttpDialect();
    expect(dialect.parseSignals(503, ['Retry-After', '3']).retryAfterMs).to.equal(3000);
    expect(dialect.parseSignals(200, ['Retry-After', '3']).retryAfterMs).to.equal(undefined);
    const { retryAfterMs, unreadable } = dialect.parseSignals(503, ['Retry-After', 'soon']);
    expect(retryAfterMs).to.equal(undefined);
    expect(unreadable).to.deep.equal(['Retry-After: soon']);
  });

  it('an invalid Server-Limit is ignored and reported', () => {
    const signals = (text: string) => new HttpDialect().parseSignals(200, ['Server-Limit', text]);
    expect(signals('0.5').requestsPerSecond).to.equal(0.5);
    expect(signals('many')).to.deep.include({
      requestsPerSecond: 'unreadable',
      unreadable: ['Server-Limit: many'],
    });
  });

  it('the Retry-After of an engine of the completions interface reaches the daemon', async () => {
    expect(await callRejectingEngine('1.5')).to.deep.equal({
      kind: 'refused',
      reason: 'full',
      retryAfterMs: 1500,
    });
    expect(await callRejectingEngine(undefined)).to.deep.include({
      kind: 'refused',
      retryAfterMs: undefined,
    });
    const unreadable: string[] = [];
    expect(await callRejectingEngine('soon', unreadable)).to.deep.include({ retryAfterMs: undefined });
    expect(unreadable).to.deep.equal(['soon']);
  });

  it('an engine gets no work until the latest time that it has named', () => {
    const engine = new EngineView('e1', '10.0.0.1:1', 'z', 'c', 10_000);
    const takesWork = (now: number): boolean => {
      engine.phase = 'active';
      engine.assignment = { model: 'm', version: 1, adapter: undefined, role: 'mixed' } as never;
      return engine.takesWork(now);
    };
    engine.markPhase('active', 0);
    expect(takesWork(0)).to.equal(true);
    engine.addBackOff(3000);
    engine.addBackOff(1000);
    expect(takesWork(2999)).to.equal(false);
    expect(takesWork(3000)).to.equal(true);
  });

  it('an application server gets no calls during its back-off, even if it is the only one, and the waiting time is known', () => {
    const servers = new ApplicationServers(new SeededRandom(1));
    servers.setServers([{ id: 'a', address: '10.0.0.1:1', leaving: false }]);
    const server = servers.pick(new Set(), 0);
    expect(server?.id).to.equal('a');
    if (server) servers.addBackOff(server, 3000, 0);
    expect(servers.pick(new Set(), 2999)).to.equal(undefined);
    expect(servers.findBackOffMs(1000)).to.equal(2000);
    expect(servers.pick(new Set(), 3000)?.id).to.equal('a');
  });

  it('the Retry-After of the store replaces the default delay, within bounds', async () => {
    const unreadable: string[] = [];
    const readTable = (retryAfter: string | undefined) =>
      withRejectingServer(retryAfter, (address) =>
        new TableClient(address, (key) => unreadable.push(key)).perform({
          kind: 'read',
          table: 'leases',
          key: 'k',
        }),
      );
    expect(await readTable('1.2')).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 1200 });
    expect(await readTable(undefined)).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 300 });
    expect(await readTable('600')).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 3000 });
    expect(unreadable).to.deep.equal([]);
    expect(await readTable('soon')).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 300 });
    expect(unreadable).to.deep.equal(['Retry-After']);
  });
});
