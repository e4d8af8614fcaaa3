/** The replica of the configuration and the back ends: revisions never decrease, whatever the store and peers send. */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import {
  FleetReplica,
  DEFAULT_FLEET_REPLICA_SETTINGS,
  type FleetEffect,
} from '../src/fleet/fleet-replica.js';
import type { FleetKnowledge } from '../src/fleet/fleet-messages.js';
import type { StoredRecord } from '../src/fleet/record-store.js';
import { decodePeerMessage, encodePeerMessage } from '../src/adapters/peer-codec.js';
import { SeededRandom } from '../src/shared/random.js';

const SEED = 20261202;

function createReplica(): { fleet: FleetReplica; effects: FleetEffect[] } {
  const effects: FleetEffect[] = [];
  const emit = (effect: FleetEffect): void => void effects.push(effect);
  return {
    fleet: new FleetReplica(DEFAULT_FLEET_REPLICA_SETTINGS, new SeededRandom(SEED), emit, 0),
    effects,
  };
}

function makeConfigurationRecord(revision: number, version: number): StoredRecord {
  return { collection: 'configuration', revision, value: makeLabConfiguration(version, [makeLabRoute({})]) };
}

function makeBackendRecord(id: string, revision: number, present = true): StoredRecord {
  const value = present ? makeLabBackend(id, '10.0.0.1:80') : undefined;
  return { collection: 'backends', id, revision, value };
}

/** The state of copies that are complete up to these revisions. */
function createKnowledge(configuration: number, backends: number, ageMs = 0): FleetKnowledge {
  return {
    configuration: { complete: configuration, changed: configuration, ageMs },
    backends: { complete: backends, changed: backends, ageMs },
  };
}

/** Ids of the back ends that the replica knows, without removed ones. */
function getBackendIds(fleet: FleetReplica): string[] {
  return fleet
    .getRecords()
    .flatMap((record) => (record.collection === 'backends' && record.value ? [record.id] : []));
}

describe('fleet replica', () => {
  it('an old snapshot after a gap neither reverts the configuration nor restores a removed back end', () => {
    const { fleet } = createReplica();
    fleet.receiveReadResult(
      'configuration',
      { kind: 'snapshot', revision: 10, records: [makeConfigurationRecord(10, 3)] },
      0,
    );
    fleet.receiveReadResult(
      'backends',
      { kind: 'snapshot', revision: 10, records: [makeBackendRecord('a', 5), makeBackendRecord('b', 6)] },
      0,
    );
    fleet.receiveReadResult(
      'backends',
      { kind: 'changes', revision: 12, records: [makeBackendRecord('a', 12, false)] },
      10,
    );
    fleet.receiveReadResult('backends', { kind: 'historyGone' }, 20);
    fleet.receiveReadResult(
      'backends',
      { kind: 'snapshot', revision: 9, records: [makeBackendRecord('a', 5), makeBackendRecord('b', 6)] },
      30,
    );
    fleet.receiveReadResult(
      'configuration',
      { kind: 'snapshot', revision: 9, records: [makeConfigurationRecord(8, 2)] },
      30,
    );
    expect(getBackendIds(fleet)).to.deep.equal(['b']);
    expect(fleet.getConfiguration()?.version).to.equal(3);
  });

  it('a back end that is missing in a newer snapshot is removed; one with a newer record stays', () => {
    const { fleet } = createReplica();
    fleet.receiveReadResult(
      'backends',
      { kind: 'snapshot', revision: 6, records: [makeBackendRecord('a', 5), makeBackendRecord('b', 6)] },
      0,
    );
    fleet.receiveSnapshot(
      'peer',
      { knowledge: createKnowledge(-1, -1), records: [makeBackendRecord('c', 20)] },
      5,
    );
    fleet.receiveReadResult(
      'backends',
      { kind: 'snapshot', revision: 15, records: [makeBackendRecord('b', 6)] },
      10,
    );
    expect(getBackendIds(fleet)).to.deep.equal(['b', 'c']);
  });

  it('without the store a daemon gets configuration and back ends from a peer, and treats them as possibly stale', () => {
    const { fleet } = createReplica();
    fleet.receiveReadResult('configuration', { kind: 'noAnswer', reason: 'timeout' }, 0);
    fleet.receiveSnapshot(
      'peer',
      {
        knowledge: createKnowledge(-1, -1),
        records: [makeConfigurationRecord(10, 3), makeBackendRecord('a', 5)],
      },
      50,
    );
    expect(fleet.getConfiguration()?.version).to.equal(3);
    expect(fleet.hasBackends()).to.equal(true);
    expect(fleet.mayBeStale('configuration', 100)).to.equal(true);
  });

  it('after a failed read the next follows after a back-off, and an answer confirms the copy as of the time of the request', () => {
    const { fleet, effects } = createReplica();
    fleet.tick(0);
    expect(effects.filter((effect) => effect.kind === 'readRecords')).to.have.length(2);
    fleet.receiveReadResult('configuration', { kind: 'rejected', status: 429 }, 10);
    fleet.tick(11);
    expect(effects.filter((effect) => effect.kind === 'readRecords')).to.have.length(2);
    fleet.tick(2000);
    fleet.receiveReadResult(
      'configuration',
      { kind: 'snapshot', revision: 1, records: [makeConfigurationRecord(1, 1)] },
      2500,
    );
    expect(fleet.getAgeMs('configuration', 2500)).to.equal(500);
    expect(effects.map((effect) => effect.kind))
      .to.include('storeLost')
      .and.to.include('storeRegained');
  });

  it('for any order of answers, no revision decreases', () => {
    const record = fc.record({ revision: fc.integer({ min: 1, max: 30 }), fromPeer: fc.boolean() });
    fc.assert(
      fc.property(fc.array(record, { maxLength: 40 }), (plan) => {
        const { fleet } = createReplica();
        let newest = 0;
        for (const { revision, fromPeer } of plan) {
          const records = [makeConfigurationRecord(revision, revision)];
          if (fromPeer)
            fleet.receiveSnapshot('peer', { knowledge: createKnowledge(-1, -1), records }, revision);
          else fleet.receiveReadResult('configuration', { kind: 'snapshot', revision, records }, revision);
          newest = Math.max(newest, revision);
          expect(fleet.getConfiguration()?.version).to.equal(newest);
        }
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('a daemon whose records come only from a peer, with a gap, still sends its peers digests that they can decode', () => {
    const { fleet } = createReplica();
    const knowledge = createKnowledge(5, 5);
    fleet.receiveSnapshot(
      'peer',
      {
        knowledge: { ...knowledge, backends: { complete: 5, changed: 9, ageMs: 0 } },
        records: [makeConfigurationRecord(5, 1), makeBackendRecord('a', 9)],
      },
      50,
    );
    const message = {
      kind: 'loadDigest' as const,
      knowledge: fleet.getKnowledge(60),
      loads: [],
      placements: [],
    };
    expect(decodePeerMessage(encodePeerMessage(message))).to.deep.equal(message);
    expect(fleet.getKnowledge(60).backends.complete).to.equal(-1);
  });
});
