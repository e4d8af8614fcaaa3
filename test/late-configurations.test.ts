/** A copy of the configuration that is older than a change may take denies nothing, whatever delays its messages. */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { SimulatedRecordStore } from '../simulation/simulated-record-store.js';
import { VirtualTime } from '../simulation/virtual-time.js';
import { TICK_MS } from '../src/shared/tick-interval.js';
import type { FleetEffect } from '../src/fleet/fleet-effects.js';
import { DEFAULT_FLEET_REPLICA_SETTINGS, FleetReplica } from '../src/fleet/fleet-replica.js';
import type { RecordRead, RecordReadResult } from '../src/fleet/record-store.js';
import { SeededRandom } from '../src/shared/random.js';

/** A change is in force within this time, or nothing is denied. Milliseconds. */
const BOUND_MS = 2000;
const DIGEST_INTERVAL_MS = 150;
const SEED = 20261208;

/** How long messages take in a period, and whether the store answers. Milliseconds. */
interface Period {
  readonly forMs: number;
  /** From the peer that follows the store. */
  readonly peerMs: number;
  /** From the replica to the store, and back. */
  readonly requestMs: number;
  readonly answerMs: number;
  readonly storeAnswers: boolean;
}

const CALM: Period = { forMs: 1000, peerMs: 2, requestMs: 2, answerMs: 2, storeAnswers: true };

/** A replica, the store, and a peer whose copy is always current. */
class DelayedReplica {
  readonly time = new VirtualTime();
  readonly store = new SimulatedRecordStore(this.time);
  readonly replica: FleetReplica;
  private period = CALM;
  private lastPeerArrival = 0;
  private version = 0;
  private configurationRevision = 0;
  private storeRevision = 0;
  private readonly writtenAt: number[] = [];

  constructor(rank: number) {
    const emit = (effect: FleetEffect) => effect.kind === 'readRecords' && this.read(effect.read);
    const random = new SeededRandom(SEED);
    this.replica = new FleetReplica(DEFAULT_FLEET_REPLICA_SETTINGS, random, (effect) => void emit(effect), 0);
    this.replica.setRank(rank);
    this.write();
    this.repeat(TICK_MS, () => this.replica.tick(this.time.now()));
    this.repeat(DIGEST_INTERVAL_MS, () => this.sendDigest());
  }

  /** Writes the next version of the configuration; the peer publishes it. */
  write(): void {
    this.version += 1;
    this.writtenAt.push(this.time.now());
    const value = makeLabConfiguration(this.version, [makeLabRoute({})]);
    const from = this.storeRevision;
    const revision = this.store.write({ collection: 'configuration', revision: 0, value });
    this.configurationRevision = revision;
    this.storeRevision = revision;
    const records = [{ collection: 'configuration' as const, revision, value }];
    const range = { from, to: revision, changed: revision };
    const message = {
      kind: 'recordsChanged' as const,
      collection: 'configuration' as const,
      ...range,
      records,
    };
    this.sendFromPeer((now) => this.replica.receiveChanges('peer', message, now));
  }

  /** Plays a period with a change each `changeMs`; returns the longest time for which a replaced version denied. */
  run(period: Period, changeMs: number): number {
    this.period = period;
    const until = this.time.now() + period.forMs;
    let nextChangeAt = this.time.now() + changeMs;
    let longestMs = 0;
    while (this.time.now() < until) {
      if (this.time.now() >= nextChangeAt) {
        this.write();
        nextChangeAt += changeMs;
      }
      this.time.runUntil(this.time.now() + 10);
      longestMs = Math.max(longestMs, this.getReplacedMs());
    }
    return longestMs;
  }

  /** How long ago the configuration in force was replaced, if the replica would deny a request by it. Milliseconds. */
  private getReplacedMs(): number {
    const now = this.time.now();
    if (this.replica.mayBeStale('configuration', now)) return 0;
    const inForce = this.replica.getConfiguration()?.version ?? 0;
    return inForce === this.version ? 0 : now - this.writtenAt[inForce];
  }

  private repeat(everyMs: number, action: () => void): void {
    this.time.after(everyMs, () => {
      action();
      this.repeat(everyMs, action);
    });
  }

  private sendDigest(): void {
    const storeMs = this.time.now();
    const { configurationRevision: changed, storeRevision: complete } = this;
    const knowledge = { complete, changed, ageMs: 0, storeMs };
    const knowledges = { configuration: knowledge, backends: knowledge };
    this.sendFromPeer((now) => this.replica.receiveKnowledge('peer', knowledges, now));
  }

  private sendFromPeer(receive: (now: number) => void): void {
    const now = this.time.now();
    this.lastPeerArrival = Math.max(this.lastPeerArrival, now + this.period.peerMs);
    this.time.after(this.lastPeerArrival - now, () => receive(this.time.now()));
  }

  private read(read: RecordRead): void {
    const { requestMs, answerMs, storeAnswers } = this.period;
    const { collection, waitMs, answerTimeoutMs } = read;
    let isOver = false;
    const end = (result: RecordReadResult): void => {
      if (!isOver) this.replica.receiveReadResult(collection, result, this.time.now());
      isOver = true;
    };
    this.time.after(waitMs + answerTimeoutMs, () => end({ kind: 'noAnswer', reason: 'TimeoutError' }));
    if (!storeAnswers) return;
    this.time.after(requestMs, () =>
      this.store.read(read, (result) => this.time.after(answerMs, () => end(result))),
    );
  }
}

const periodArbitrary: fc.Arbitrary<Period> = fc.record({
  forMs: fc.integer({ min: 500, max: 6000 }),
  peerMs: fc.oneof(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 100, max: 6000 })),
  requestMs: fc.oneof(fc.constant(2), fc.integer({ min: 1, max: 1500 })),
  answerMs: fc.oneof(fc.constant(2), fc.integer({ min: 1, max: 1500 })),
  storeAnswers: fc.boolean(),
});

describe('a copy of the configuration', () => {
  for (const peerMs of [2500, 3200, 3500, 5000]) {
    it(`denies nothing by a configuration replaced before the bound, though peers' messages take ${peerMs} ms`, () => {
      const delayed = new DelayedReplica(5);
      delayed.run({ ...CALM, forMs: 3000 }, 10_000);
      // Queues grow bit by bit, so that confirmations never cease to arrive.
      for (let part = 1; part <= 20; part += 1)
        delayed.run({ ...CALM, forMs: 600, peerMs: (peerMs * part) / 20 }, 20_000);
      expect(delayed.run({ ...CALM, forMs: 12_000, peerMs }, 3000)).to.be.at.most(BOUND_MS);
    });
  }

  it('denies nothing by a configuration replaced before the bound, when a store falls silent whose answers took long', () => {
    for (let slowMs = 2000; slowMs <= 4000; slowMs += 100) {
      const delayed = new DelayedReplica(0);
      delayed.run({ ...CALM, forMs: 3000 }, 10_000);
      delayed.run({ ...CALM, forMs: slowMs, answerMs: 700, peerMs: 20_000 }, 100);
      const silent = { ...CALM, forMs: 6000, storeAnswers: false, peerMs: 20_000 };
      expect(delayed.run(silent, 100), `silent after ${slowMs} ms`).to.be.at.most(BOUND_MS);
    }
  });

  it('denies nothing by a configuration replaced before the bound, in drawn delays', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 4 }),
        fc.integer({ min: 200, max: 3000 }),
        fc.array(periodArbitrary, { minLength: 1, maxLength: 6 }),
        (rank, changeMs, periods) => {
          const delayed = new DelayedReplica(rank);
          delayed.run(CALM, 10_000);
          for (const period of periods)
            expect(delayed.run(period, changeMs), JSON.stringify(period)).to.be.at.most(BOUND_MS);
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
  });
});
