/** Calls to back ends without an answer are counted and reported, at a limited rate. */
import { expect } from 'chai';
import { HttpDialect } from '../platform/http-dialect.js';
import { BackendClient } from '../src/adapters/backend-client.js';
import { UnansweredCalls } from '../src/process/unanswered-calls.js';

describe('calls that were not answered', () => {
  it('are all counted, and reported at powers of two for each kind and reason', () => {
    const reported: string[] = [];
    const calls = new UnansweredCalls((call, reason, count) => reported.push(`${call} ${reason} ${count}`));
    for (let count = 0; count < 1000; count += 1) calls.add('probe', 'ECONNREFUSED');
    calls.add('probe', 'TimeoutError');
    calls.add('engineStatus', 'ECONNREFUSED');
    const probes = [1, 2, 4, 8, 16, 32, 64, 128, 256, 512].map((count) => `probe ECONNREFUSED ${count}`);
    expect(reported).to.deep.equal([...probes, 'probe TimeoutError 1', 'engineStatus ECONNREFUSED 1']);
  });

  it('are reported by the client with the kind and the reason, and have no result', async () => {
    const reported: string[] = [];
    const settings = {
      connectTimeoutMs: 500,
      connectionsPerBackend: 2,
      callTimeoutMs: 500,
      silentConnectionMs: 1000,
    };
    const client = new BackendClient(new HttpDialect(), settings, (call, reason) =>
      reported.push(`${call} ${reason}`),
    );
    const backend = {
      id: 'b1',
      service: 's',
      // Nothing listens on port 1 of the loopback interface.
      address: '127.0.0.1:1',
      zone: 'z',
      slots: 1,
      state: 'ready' as const,
      stage: undefined,
    };
    expect(await client.probe({ backend }, '/healthz')).to.equal(false);
    expect(await client.readKvChanges({ backend, since: 0, waitMs: 0 })).to.equal(undefined);
    expect(await client.readEngineStatus(backend)).to.equal(undefined);
    expect(reported).to.deep.equal(
      ['probe', 'kvChanges', 'engineStatus'].map((call) => `${call} ECONNREFUSED`),
    );
    await client.close();
  });
});
