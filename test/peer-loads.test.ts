/** Sums of the loads that peers report. */
import { expect } from 'chai';
import fc from 'fast-check';
import type { BackendLoad } from '../src/forwarding/backends/peer-loads.js';
import { PeerLoads } from '../src/forwarding/backends/peer-loads.js';

const SEED = 20261204;
const LIFETIME_MS = 2000;

const loadArbitrary = fc.tuple(
  fc.constantFrom('a', 'b', 'c'),
  fc.nat({ max: 9 }),
  fc.nat({ max: 9000 }),
  fc.constantFrom(0, 1, 2),
);
const loadsArbitrary = fc.uniqueArray(loadArbitrary, { selector: ([id]) => id, maxLength: 3 });
const stepArbitrary = fc.record({
  peer: fc.constantFrom('p', 'q', 'r', 's'),
  loads: loadsArbitrary,
  afterMs: fc.nat({ max: 900 }),
});

describe('loads of peers', () => {
  it('the sums are those of the unexpired digests, after any sequence of digests', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
        const peers = new PeerLoads();
        const digests = new Map<string, { loads: readonly BackendLoad[]; at: number }>();
        let now = 0;
        for (const { peer, loads, afterMs } of steps) {
          now += afterMs;
          peers.applyDigest(peer, loads, now);
          digests.set(peer, { loads, at: now });
          peers.removeOld(now);
        }
        for (const id of ['a', 'b', 'c']) {
          const unexpired = [...digests.values()].filter(({ at }) => now - at <= LIFETIME_MS);
          const entries = unexpired.flatMap((digest) => digest.loads.filter((entry) => entry[0] === id));
          expect(peers.getInFlight(id)).to.equal(entries.reduce((sum, entry) => sum + entry[1], 0));
          expect(peers.getPendingTokens(id)).to.equal(entries.reduce((sum, entry) => sum + entry[2], 0));
          expect(peers.isEjectedByPeers(id)).to.equal(entries.reduce((sum, entry) => sum + entry[3], 0) >= 2);
        }
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
