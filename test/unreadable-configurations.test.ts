/** A configuration that a daemon cannot read has replaced the one in force all the same. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { StoreClient } from '../platform/store-client.js';
import type { FleetEffect } from '../src/fleet/fleet-effects.js';
import type { RecordsChanged } from '../src/fleet/fleet-messages.js';
import { DEFAULT_FLEET_REPLICA_SETTINGS, FleetReplica } from '../src/fleet/fleet-replica.js';
import type { RecordReadResult, StoredRecord } from '../src/fleet/record-store.js';
import { SeededRandom } from '../src/shared/random.js';

const SEED = 20261208;
/** How long a read of the store takes. Milliseconds. */
const READ_MS = 4;

/** One replica, the changes that it publishes, and its reads of the configuration. */
class ReplicaUnderTest {
  readonly published: RecordsChanged[] = [];
  reads = 0;
  readonly replica: FleetReplica;

  constructor(rank: number) {
    const emit = (effect: FleetEffect): void => {
      if (effect.kind === 'tellPeers') this.published.push(effect.message);
      if (effect.kind === 'readRecords' && effect.read.collection === 'configuration') this.reads += 1;
    };
    this.replica = new FleetReplica(DEFAULT_FLEET_REPLICA_SETTINGS, new SeededRandom(SEED), emit, 0);
    this.replica.setRank(rank);
    this.replica.tick(0);
    const snapshot = { kind: 'snapshot' as const, revision: 10, records: [makeRecord(10, 1)], storeMs: 1000 };
    this.replica.receiveReadResult('configuration', snapshot, READ_MS);
  }

  receiveConfiguration(result: RecordReadResult, now: number): void {
    this.replica.receiveReadResult('configuration', result, now);
  }

  denies(now: number): boolean {
    return !this.replica.mayBeStale('configuration', now);
  }
}

function makeRecord(revision: number, version: number): StoredRecord {
  return {
    collection: 'configuration',
    revision,
    value: makeLabConfiguration(version, [makeLabRoute({})]),
  };
}

function makeChanges(revision: number, records: readonly StoredRecord[]): RecordReadResult {
  return { kind: 'changes', revision, records, storeMs: 1000 + revision };
}

const UNREADABLE: StoredRecord = { collection: 'configuration', revision: 12, isUnreadable: true };

describe('a configuration that a daemon cannot read', () => {
  it('leaves the one before it in force, by which nothing is denied until a newer one can be read', () => {
    const reader = new ReplicaUnderTest(0);
    expect(reader.denies(10)).to.equal(true);
    reader.receiveConfiguration(makeChanges(12, [UNREADABLE]), 14);
    expect(reader.replica.getConfiguration()?.version).to.equal(1);
    expect(reader.denies(20)).to.equal(false);
    reader.receiveConfiguration(makeChanges(13, [makeRecord(13, 3)]), 24);
    expect(reader.replica.getConfiguration()?.version).to.equal(3);
    expect(reader.denies(30)).to.equal(true);
  });

  it('is not taken as known by a peer that can read it', () => {
    const reader = new ReplicaUnderTest(0);
    const other = new ReplicaUnderTest(3);
    reader.receiveConfiguration(makeChanges(12, [UNREADABLE]), 14);
    const [message] = reader.published;
    other.replica.receiveChanges('reader', message, 16);
    other.replica.receiveKnowledge('reader', reader.replica.getKnowledge(20), 22);
    expect(other.denies(24)).to.equal(false);
    const before = other.reads;
    other.replica.tick(200);
    expect(other.reads).to.equal(before + 1);
    other.receiveConfiguration(makeChanges(12, [makeRecord(12, 2)]), 204);
    expect(other.replica.getConfiguration()?.version).to.equal(2);
    expect(other.denies(210)).to.equal(true);
  });

  it('is not taken as known by a peer that asks for the whole copy', () => {
    const reader = new ReplicaUnderTest(0);
    const other = new ReplicaUnderTest(3);
    reader.receiveConfiguration(makeChanges(12, [UNREADABLE]), 14);
    const knowledge = reader.replica.getKnowledge(20);
    const copy = { knowledge, records: reader.replica.getRecords(), requestedAt: 18 };
    other.replica.receiveSnapshot('reader', copy, 22);
    expect(other.denies(24)).to.equal(false);
  });

  describe('in an answer of the store', () => {
    let server: Server;
    let row: object;

    beforeEach(async () => {
      server = createServer((_request, response) =>
        response.end(JSON.stringify({ rows: [row], ver: 12, now_ms: 5 })),
      );
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    });

    afterEach(() => {
      server.close();
      server.closeAllConnections();
    });

    const read = async (after: number | undefined): Promise<readonly StoredRecord[]> => {
      const store = new StoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, () => undefined);
      const call = { collection: 'configuration' as const, waitMs: 0, answerTimeoutMs: 2000 };
      const result = await store.read({ ...call, after });
      return 'records' in result ? result.records : [];
    };

    for (const [kind, after] of [['a snapshot', undefined] as const, ['changes', 10] as const]) {
      it(`is a record of its own in ${kind}, unlike one that was removed`, async () => {
        const encode = (text: string) => Buffer.from(text).toString('base64');
        for (const value of [encode('{"version": "new"}'), encode('no JSON'), 7, undefined]) {
          row = { key: 'config', ver: 12, value };
          expect(await read(after), String(value)).to.deep.equal([UNREADABLE]);
        }
        row = { key: 'config', ver: 12, gone: true };
        expect(await read(after)).to.deep.equal([{ collection: 'configuration', revision: 12 }]);
        row = { key: 'settings', ver: 12, value: encode('no JSON') };
        expect(await read(after)).to.deep.equal([]);
      });
    }
  });
});
