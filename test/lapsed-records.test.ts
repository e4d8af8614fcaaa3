/** Back ends whose records were gone when the store came back: back within moments, or gone. */
import { expect } from 'chai';
import { makeLabBackend } from '../lab/forwarding-site.js';
import {
  DEFAULT_FLEET_REPLICA_SETTINGS,
  FleetReplica,
  type FleetEffect,
} from '../src/fleet/fleet-replica.js';
import type { RecordsChanged } from '../src/fleet/fleet-messages.js';
import type { StoredRecord } from '../src/fleet/record-store.js';
import { SeededRandom } from '../src/shared/random.js';
import { Snapshot } from './snapshot.js';

const SEED = 20261206;
const GRACE_MS = DEFAULT_FLEET_REPLICA_SETTINGS.expiryGraceMs;

function record(id: string, revision: number, state: 'ready' | 'draining' | 'gone' = 'ready'): StoredRecord {
  const value = state === 'gone' ? undefined : { ...makeLabBackend(id, '10.0.0.1:80'), state };
  return { collection: 'backends', id, revision, value };
}

/** A replica that knows `a` and `b`, ready, and `c`, draining, at 100 ms. */
class Replica {
  readonly effects: FleetEffect[] = [];
  readonly fleet = new FleetReplica(
    DEFAULT_FLEET_REPLICA_SETTINGS,
    new SeededRandom(SEED),
    (effect) => this.effects.push(effect),
    0,
  );

  constructor() {
    const records = [record('a', 1), record('b', 2), record('c', 3, 'draining')];
    this.fleet.receiveReadResult('backends', { kind: 'snapshot', revision: 3, records }, 100);
    this.effects.length = 0;
  }

  /** The store does not answer from `from` until `to`. */
  lose(from: number, to: number): void {
    for (let now = from; now <= to; now += 500)
      this.fleet.receiveReadResult('backends', { kind: 'noAnswer', reason: 'timeout' }, now);
  }

  removed(): string[] {
    return this.effects.flatMap((effect) => (effect.kind === 'backendRemoved' ? [effect.id] : []));
  }

  told(): RecordsChanged[] {
    return this.effects.flatMap((effect) => (effect.kind === 'tellPeers' ? [effect.message] : []));
  }
}

const GONE = [record('a', 4, 'gone'), record('b', 5, 'gone'), record('c', 6, 'gone')];

describe('records that are gone when the store comes back', () => {
  it('a ready back end keeps its work until it is back or its time is over; a draining one is gone at once', () => {
    const site = new Replica();
    const snapshot = new Snapshot('lapsed-records');
    const tell = (what: string) => snapshot.add(`${what}: removed ${site.removed().join(', ') || 'none'}`);
    site.lose(500, 4000);
    site.fleet.receiveReadResult('backends', { kind: 'changes', revision: 6, records: GONE }, 4500);
    tell('the store is back');
    site.fleet.receiveReadResult(
      'backends',
      { kind: 'changes', revision: 7, records: [record('a', 7)] },
      5500,
    );
    site.fleet.tick(4500 + GRACE_MS - 1);
    tell('one is back, just before the time is over');
    site.fleet.tick(4500 + GRACE_MS);
    tell('the time is over');
    site.fleet.tick(60_000);
    tell('much later');
    snapshot.check();
  });

  it('without an outage, or after a short one, a back end is gone at once', () => {
    const calm = new Replica();
    calm.fleet.receiveReadResult('backends', { kind: 'changes', revision: 6, records: GONE }, 4500);
    expect(calm.removed()).to.deep.equal(['a', 'b', 'c']);
    const short = new Replica();
    short.lose(500, 1500);
    short.fleet.receiveReadResult('backends', { kind: 'changes', revision: 6, records: GONE }, 2000);
    expect(short.removed()).to.deep.equal(['a', 'b', 'c']);
  });

  it('a history that the store has forgotten is no outage', () => {
    const site = new Replica();
    for (let now = 500; now <= 4000; now += 500)
      site.fleet.receiveReadResult('backends', { kind: 'historyGone' }, now);
    site.fleet.receiveReadResult('backends', { kind: 'snapshot', revision: 9, records: [] }, 4500);
    expect(site.removed()).to.deep.equal(['a', 'b', 'c']);
  });

  it('peers that did not ask the store themselves wait as long as its reader', () => {
    const [reader, peer] = [new Replica(), new Replica()];
    reader.lose(500, 4000);
    reader.fleet.receiveReadResult('backends', { kind: 'changes', revision: 6, records: GONE }, 4500);
    const [message] = reader.told();
    peer.fleet.receiveChanges('reader', message, 4510);
    expect(peer.removed()).to.deep.equal(['c']);
    peer.fleet.tick(4510 + GRACE_MS);
    expect(peer.removed().sort()).to.deep.equal(['a', 'b', 'c']);
  });

  it('once the time after the outage is over, removals count at once again', () => {
    const site = new Replica();
    site.lose(500, 4000);
    site.fleet.receiveReadResult('backends', { kind: 'changes', revision: 3, records: [] }, 4500);
    site.fleet.receiveReadResult(
      'backends',
      { kind: 'changes', revision: 6, records: GONE },
      4500 + GRACE_MS,
    );
    expect(site.removed()).to.deep.equal(['a', 'b', 'c']);
  });
});
