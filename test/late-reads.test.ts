/**
 * A daemon that hears nothing from its peers acted on a change of the back ends later than the fleet is given.
 *
 * It asks the store itself after 0.7 of the bound. The connection that it then used had rested and fallen
 * silent; the read was to wait 0.33 of the bound for a change and counted as lost 800 ms after that, so the
 * second read, on a new connection, went out after 1.4 + 0.66 + 0.8 + 0.1 = 2.96 s after it last heard, of 2 s.
 *
 * Evidence: nine daemons, one that hears nothing: draining known after 2,531 ms of 2,000. Virtual time.
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
/** All daemons know of a leaving within this time. Milliseconds. */
const BOUND_MS = 2000;
const DAEMONS = 9;

/** Until a daemon that hears nothing knows that a back end leaves. Milliseconds. */
function playDeafDaemon(leavesMs: number): number {
  const fleet = startSettledFleet(DAEMONS, SEED, ['a', 'b']);
  const reader = findReader(fleet);
  const [deaf] = fleet.nodes.filter((node) => node !== reader);
  fleet.isLinked = (_from, to) => to !== deaf;
  deaf.silentConnections.add('backends').add('configuration');
  fleet.time.runUntil(fleet.time.now() + leavesMs);
  const since = fleet.time.now();
  fleet.write(makeBackendRecord('a', 'draining'));
  fleet.time.runUntil(since + 3 * BOUND_MS);
  const seen = deaf.backendStates.get('a');
  return seen?.state === 'draining' ? seen.at - since : Infinity;
}

/**
 * Until a daemon that lacks one change reads, told of a newer one each so many milliseconds. Each word put the
 * read off to 150 ms from then, so that none went out in 3 s.
 */
function getFirstReadAfterWords(gapMs: number): number {
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
    const told = { collection: 'backends' as const, from: to - 1, to, changed: to, records: [] };
    if (now % gapMs === 0) replica.receiveChanges('peer', { kind: 'recordsChanged', ...told }, now);
    replica.tick(now);
  }
  return readAt - gapMs;
}

describe('a daemon that hears nothing from its peers', () => {
  it('knows of a leaving in time though its first read of the store is lost', () => {
    for (let leavesMs = 0; leavesMs <= 1000; leavesMs += 50)
      expect(playDeafDaemon(leavesMs), `left after ${leavesMs} ms`).to.be.at.most(BOUND_MS);
  });

  it('asks a store that lags behind what it was told no more often than each 150 ms', () => {
    let reads = 0;
    const emit = (effect: FleetEffect): void => void (reads += effect.kind === 'readRecords' ? 1 : 0);
    const replica = new FleetReplica(DEFAULT_FLEET_REPLICA_SETTINGS, new SeededRandom(SEED), emit, 0);
    replica.setRank(3);
    const lagging = { revision: 10, records: [] };
    replica.receiveReadResult('backends', { kind: 'snapshot', ...lagging }, 0);
    const told = { collection: 'backends' as const, from: 15, to: 20, changed: 20, records: [] };
    replica.receiveChanges('peer', { kind: 'recordsChanged', ...told }, 10);
    reads = 0;
    for (let now = 20; now < 1020; now += 10) {
      const before = reads;
      replica.tick(now);
      if (reads > before) replica.receiveReadResult('backends', { kind: 'changes', ...lagging }, now + 4);
    }
    expect(reads).to.be.within(1, 8);
  });

  it('reads within 200 ms of the first word of a change, however closely others follow', () => {
    for (const gapMs of [20, 100, 140, 300])
      expect(getFirstReadAfterWords(gapMs), `a word each ${gapMs} ms`).to.be.at.most(200);
  });

  it('tells that it has lost the store and that it has it back once each, whatever its peers say between', () => {
    const told: string[] = [];
    const emit = ({ kind }: FleetEffect): void => void told.push(kind);
    const replica = new FleetReplica(DEFAULT_FLEET_REPLICA_SETTINGS, new SeededRandom(SEED), emit, 0);
    replica.setRank(3);
    replica.receiveReadResult('backends', { kind: 'snapshot', revision: 10, records: [], storeMs: 0 }, 0);
    replica.receiveReadResult('backends', { kind: 'noAnswer', reason: 'timeout' }, 1500);
    const word = (now: number) => ({ complete: 11, changed: 10, ageMs: 0, storeMs: now });
    for (let now = 2000; now < 20_000; now += 1000)
      replica.receiveKnowledge({ configuration: word(now), backends: word(now) }, now);
    replica.tick(22_000);
    replica.receiveReadResult('backends', { kind: 'noAnswer', reason: 'timeout' }, 22_350);
    replica.tick(23_000);
    replica.receiveReadResult(
      'backends',
      { kind: 'changes', revision: 12, records: [], storeMs: 23_004 },
      23_004,
    );
    expect(told.filter((kind) => kind.startsWith('store'))).to.deep.equal(['storeLost', 'storeRegained']);
  });
});
