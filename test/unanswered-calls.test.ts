import { expect } from 'chai';
import { HttpDialect } from '../platform/http-dialect.js';
import { BackendClient } from '../src/adapters/backend-client.js';
import { UnansweredCalls } from '../src/process/unanswered-calls.js';

describe('calls that were not answered', () => {
  it('are all counted, and told ever more seldom by kind and reason', () => {
    const told: string[] = [];
    const calls = new UnansweredCalls((call, reason, count) => told.push(`${call} ${reason} ${count}`));
    for (let count = 0; count < 1000; count += 1) calls.add('probe', 'ECONNREFUSED');
    calls.add('probe', 'TimeoutError');
    calls.add('engineStatus', 'ECONNREFUSED');
    const probes = [1, 2, 4, 8, 16, 32, 64, 128, 256, 512].map((count) => `probe ECONNREFUSED ${count}`);
    expect(told).to.deep.equal([...probes, 'probe TimeoutError 1', 'engineStatus ECONNREFUSED 1']);
  });

  it('are told by the client with the kind and the reason, and their result is none', async () => {
    const told: string[] = [];
    const settings = {
      connectTimeoutMs: 500,
      connectionsPerBackend: 2,
      callTimeoutMs: 500,
      silentConnectionMs: 1000,
    };
    const client = new BackendClient(new HttpDialect(), settings, (call, reason) =>
      told.push(`${call} ${reason}`),
    );
    const backend = {
      id: 'b1',
      service: 's',
      // Port 1 of this machine: nothing listens there.
      address: '127.0.0.1:1',
      zone: 'z',
      slots: 1,
      state: 'ready' as const,
      stage: undefined,
    };
    expect(await client.probe({ backend }, '/healthz')).to.equal(false);
    expect(await client.readKvChanges({ backend, since: 0, waitMs: 0 })).to.equal(undefined);
    expect(await client.readEngineStatus(backend)).to.equal(undefined);
    expect(told).to.deep.equal(['probe', 'kvChanges', 'engineStatus'].map((call) => `${call} ECONNREFUSED`));
    await client.close();
  });
});
