/** A back end that restarts under its id: all state of its previous incarnation is dropped. */
import { expect } from 'chai';
import { makeLabBackend } from '../lab/forwarding-site.js';
import {
  DEFAULT_FLEET_REPLICA_SETTINGS,
  FleetReplica,
  type FleetEffect,
} from '../src/fleet/fleet-replica.js';
import type { BackendRecord } from '../src/forwarding/routes/route.js';
import { getIncarnation } from '../src/quarantine/incarnation.js';
import { SeededRandom } from '../src/shared/random.js';
import { ForwardingHarness, PLAIN } from './forwarding-harness.js';

const BORN_MS = 1_800_000_000_000;

function bornAt(bornMs: number | undefined): BackendRecord {
  return { ...makeLabBackend('b1', '10.0.0.1:80'), bornMs };
}

/** Kinds of the back-end changes that a replica reports while it receives these records of one back end. */
function getChangeKinds(records: readonly BackendRecord[]): string[] {
  const effects: FleetEffect[] = [];
  const fleet = new FleetReplica(
    DEFAULT_FLEET_REPLICA_SETTINGS,
    new SeededRandom(1),
    (effect) => effects.push(effect),
    0,
  );
  records.forEach((value, i) =>
    fleet.receiveReadResult(
      'backends',
      {
        kind: i === 0 ? 'snapshot' : 'changes',
        revision: i + 1,
        records: [{ collection: 'backends', id: value.id, revision: i + 1, value }],
      },
      100 * (i + 1),
    ),
  );
  return effects.flatMap(({ kind }) =>
    kind === 'backendChanged' || kind === 'backendRemoved' ? [kind] : [],
  );
}

describe('a back end that restarts under its id', () => {
  it('is removed and added again; one whose record changes otherwise is not', () => {
    const changed = { ...bornAt(BORN_MS), state: 'draining' as const };
    expect(getChangeKinds([bornAt(BORN_MS), changed])).to.deep.equal(['backendChanged', 'backendChanged']);
    expect(getChangeKinds([bornAt(BORN_MS), bornAt(BORN_MS + 5000)])).to.deep.equal([
      'backendChanged',
      'backendRemoved',
      'backendChanged',
    ]);
    expect(getChangeKinds([bornAt(undefined), bornAt(BORN_MS)])).to.deep.equal([
      'backendChanged',
      'backendChanged',
    ]);
  });

  it('has neither the failures nor the attempts of the previous incarnation', () => {
    const site = new ForwardingHarness([], PLAIN);
    const [record] = PLAIN;
    const before = site.directory.get(record.id);
    before?.addAttempt('a1', 100, 0);
    before?.health.onUnreachable(10);
    site.directory.remove(record.id);
    site.directory.put({ ...record, bornMs: BORN_MS });
    const after = site.directory.get(record.id);
    expect(after?.isEjected(20)).to.equal(false);
    expect(after?.localInFlight()).to.equal(0);
    expect(before?.takesWork()).to.equal(false);
  });

  it('is distinguished from the previous incarnation by its start time', () => {
    expect(getIncarnation(bornAt(BORN_MS))).not.to.equal(getIncarnation(bornAt(BORN_MS + 1)));
    expect(getIncarnation(bornAt(undefined))).to.equal('b1');
  });
});
