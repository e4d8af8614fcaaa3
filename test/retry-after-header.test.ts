/** What engines, application servers and the store say in refusals of when they want to be asked again. */
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

/** Runs a server that turns everything away. */
async function withRefusing<Result>(
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

async function askEngine(retryAfter: string | undefined, unreadable: string[] = []): Promise<AttemptEvent> {
  return withRefusing(retryAfter, async (address) => {
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

describe('Retry-After of others', () => {
  it('is a decimal number of seconds or a date, and nothing else', () => {
    expect(parseRetryAfterMs('3', undefined)).to.equal(3000);
    expect(parseRetryAfterMs(' 0.25 ', undefined)).to.equal(250);
    expect(parseRetryAfterMs('Thu, 03 Dec 2026 10:00:02 GMT', DATE)).to.equal(2000);
    expect(parseRetryAfterMs('Thu, 03 Dec 2026 09:00:00 GMT', DATE)).to.equal(0);
    for (const text of ['soon', '-1', '1e3', '', 'Infinity', '3 s'])
      expect(parseRetryAfterMs(text, DATE), text).to.equal(undefined);
    expect(parseRetryAfterMs('Thu, 03 Dec 2026 10:00:02 GMT', undefined)).to.equal(undefined);
  });

  it('counts in refusals of back ends only, and is told when it cannot be read', () => {
    const dialect = new HttpDialect();
    expect(dialect.parseSignals(503, ['Retry-After', '3']).retryAfterMs).to.equal(3000);
    expect(dialect.parseSignals(200, ['Retry-After', '3']).retryAfterMs).to.equal(undefined);
    const { retryAfterMs, unreadable } = dialect.parseSignals(503, ['Retry-After', 'soon']);
    expect(retryAfterMs).to.equal(undefined);
    expect(unreadable).to.deep.equal(['Retry-After: soon']);
  });

  it('leaves a limit that cannot be read without effect', () => {
    const signals = (text: string) => new HttpDialect().parseSignals(200, ['Server-Limit', text]);
    expect(signals('0.5').requestsPerSecond).to.equal(0.5);
    expect(signals('many')).to.deep.include({
      requestsPerSecond: 'unreadable',
      unreadable: ['Server-Limit: many'],
    });
  });

  it('of an engine of the completions interface reaches the daemon', async () => {
    expect(await askEngine('1.5')).to.deep.equal({ kind: 'refused', reason: 'full', retryAfterMs: 1500 });
    expect(await askEngine(undefined)).to.deep.include({ kind: 'refused', retryAfterMs: undefined });
    const unreadable: string[] = [];
    expect(await askEngine('soon', unreadable)).to.deep.include({ retryAfterMs: undefined });
    expect(unreadable).to.deep.equal(['soon']);
  });

  it('keeps work from an engine until then, whatever it says later', () => {
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

  it('keeps calls from an application server, also from the only one, and tells when there is one', () => {
    const servers = new ApplicationServers(new SeededRandom(1));
    servers.setServers([{ id: 'a', address: '10.0.0.1:1', leaving: false }]);
    const server = servers.pick(new Set(), 0);
    expect(server?.id).to.equal('a');
    if (server) servers.addBackOff(server, 3000, 0);
    expect(servers.pick(new Set(), 2999)).to.equal(undefined);
    expect(servers.findBackOffMs(1000)).to.equal(2000);
    expect(servers.pick(new Set(), 3000)?.id).to.equal('a');
  });

  it('of the store is heeded in place of the usual pause, within bounds', async () => {
    const unreadable: string[] = [];
    const ask = (retryAfter: string | undefined) =>
      withRefusing(retryAfter, (address) =>
        new TableClient(address, (key) => unreadable.push(key)).perform({
          kind: 'read',
          table: 'leases',
          key: 'k',
        }),
      );
    expect(await ask('1.2')).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 1200 });
    expect(await ask(undefined)).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 300 });
    expect(await ask('600')).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 3000 });
    expect(unreadable).to.deep.equal([]);
    expect(await ask('soon')).to.deep.equal({ kind: 'rateLimited', retryAfterMs: 300 });
    expect(unreadable).to.deep.equal(['Retry-After']);
  });
});
