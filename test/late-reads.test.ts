/**
 * Guards against a daemon that receives nothing from its peers and learns of a change of the back ends after the bound.
 *
 * Such a daemon reads the store itself after 0.7 of the bound. Its idle connection was half-open: the read waited 0.33
 * of the bound for a change and timed out 800 ms later, so the second read, on a new connection, was sent
 * 1.4 + 0.66 + 0.8 + 0.1 = 2.96 s after the last confirmation, with a bound of 2 s.
 *
 * Seen with nine daemons, one of them without messages: draining known after 2,531 ms, bound 2,000. Virtual time.
 */
import { expect } from 'chai';
import {
  DEFAULT_FLEET_REPLICA_SETTINGS,
  FleetReplica,
  type FleetEffect,
} from '../src/fleet/fleet-replica.js';
import { SeededRandom } from '../src/shared/random.js';
import { findReader, makeBackendRecord, startSettledFleet } from './store-reader.js';

const SEED = 20261203;
/** All daemons know that a back end is leaving within this time. Milliseconds. */
const BOUND_MS = 2000;
const DAEMONS = 9;

/** Time until a daemon that receives nothing from its peers knows that a back end is leaving. Milliseconds. */
function runIsolatedDaemon(leavesMs: number): number {
  const fleet = startSettledFleet(DAEMONS, SEED, ['a', 'b']);
  const reader = findReader(fleet);
  const [isolated] = fleet.nodes.filter((node) => node !== reader);
  fleet.isLinked = (_from, to) => to !== isolated;
  isolated.silentConnections.add('backends').add('configuration');
  fleet.time.runUntil(fleet.time.now() + leavesMs);
  const since = fleet.time.now();
  fleet.write(makeBackendRecord('a', 'draining'));
  fleet.time.runUntil(since + 3 * BOUND_MS);
  const seen = isolated.backendStates.get('a');
  return seen?.state === 'draining' ? seen.at - since : Infinity;
}

/**
 * Time until a daemon that lacks one change reads the store while a peer reports a newer change every `gapMs`.
 * Each report delayed the read by another 150 ms, so that none was sent in 3 s. Milliseconds.
 */
function getFirstReadAfterReports(gapMs: number): number {
  let now = 0;
  let readAt = Infinity;
  const emit = (effect: FleetEffect): void => {
    if (effect.kind === 'readRecords' && effect.read.collection === 'backends')
      readAt = Math.min(readAt, now);
  };
  const replica = new FleetReplica(DEFAULT_FLEET_REPLICA_SETTINGS, new SeededRandom(SEED), emit, now);
  replica.setRank(5);
  replica.receiveReadResult('backends', { kind: 'snapshot', revision: 10, records: [] }, now);
  readAt = Infinity;
  for (now = 10; now < 3000; now += 10) {
    const to = 15 + now;
    const published = { collection: 'backends' as const, from: to - 1, to, changed: to, records: [] };
    if (now % gapMs === 0) replica.receiveChanges('peer', { kind: 'recordsChanged', ...published }, now);
    replica.tick(now);
  }
  return readAt - gapMs;
}

describe('a daemon that receives nothing from its peers', () => {
  it('knows within the bound that a back end is leaving though its first read of the store is lost', () => {
    for (let leavesMs = 0; leavesMs <= 1000; leavesMs += 50)
      expect(runIsolatedDaemon(leavesMs), `left after ${leavesMs} ms`).to.be.at.most(BOUND_MS);
  });

  it('reads a store that lags behind its peers at most once every 150 ms', () => {
    let reads = 0;
    const emit = (effect: FleetEffect): void => void (reads += effect.kind === 'readRecords' ? 1 : 0);
    const replica = new FleetReplica(DEFAULT_FLEET_REPLICA_SETTINGS, new SeededRandom(SEED), emit, 0);
    replica.setRank(3);
    const lagging = { revision: 10, records: [] };
    replica.receiveReadResult('backends', { kind: 'snapshot', ...lagging }, 0);
    const published = { collection: 'backends' as const, from: 15, to: 20, changed: 20, records: [] };
    replica.receiveChanges('peer', { kind: 'recordsChanged', ...published }, 10);
    reads = 0;
    for (let now = 20; now < 1020; now += 10) {
      const before = reads;
      replica.tick(now);
      if (reads > before) replica.receiveReadResult('backends', { kind: 'changes', ...lagging }, now + 4);
    }
    expect(reads).to.be.within(1, 8);
  });

  it('reads within 200 ms of the first report of a change, whatever the interval of further reports', () => {
    for (const gapMs of [20, 100, 140, 300])
      expect(getFirstReadAfterReports(gapMs), `a report every ${gapMs} ms`).to.be.at.most(200);
  });

  it('reports the loss and the recovery of the store once each, whatever its peers send in between', () => {
    const kinds: string[] = [];
    const emit = ({ kind }: FleetEffect): void => void kinds.push(kind);
    const replica = new FleetReplica(DEFAULT_FLEET_REPLICA_SETTINGS, new SeededRandom(SEED), emit, 0);
    replica.setRank(3);
    replica.receiveReadResult('backends', { kind: 'snapshot', revision: 10, records: [], storeMs: 0 }, 0);
    replica.receiveReadResult('backends', { kind: 'noAnswer', reason: 'timeout' }, 1500);
    const createKnowledge = (now: number) => ({ complete: 11, changed: 10, ageMs: 0, storeMs: now });
    for (let now = 2000; now < 20_000; now += 1000)
      replica.receiveKnowledge(
        'peer',
        { configuration: createKnowledge(now), backends: createKnowledge(now) },
        now,
      );
    replica.tick(22_000);
    replica.receiveReadResult('backends', { kind: 'noAnswer', reason: 'timeout' }, 22_350);
    replica.tick(23_000);
    replica.receiveReadResult(
      'backends',
      { kind: 'changes', revision: 12, records: [], storeMs: 23_004 },
      23_004,
    );
    expect(kinds.filter((kind) => kind.startsWith('store'))).to.deep.equal(['storeLost', 'storeRegained']);
  });
});
