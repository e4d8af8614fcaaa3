/** The counts behind the quarantine: the same in whatever order daemons learn them, bounded, and kept in the store. */
import { expect } from 'chai';
import fc from 'fast-check';
import { PlatformModel } from '../lab/platform-model.js';
import type { TableResult } from '../src/contracts/table-service.js';
import { CrashHistory, type BackendCrash } from '../src/quarantine/end-record.js';
import { QuarantineArchive, type QuarantineTable } from '../src/quarantine/quarantine-archive.js';
import { DEFAULT_QUARANTINE_SETTINGS } from '../src/quarantine/quarantine-settings.js';
import { makeRequestKey } from '../src/quarantine/request-key.js';

const SEED = 20261203;
const NOW = 100_000;
const WALL_MS = 1_800_000_000_000;

type Fact = ({ readonly kind: 'end' } & BackendCrash) | { readonly kind: 'answer'; key: string; at: number };

function makeRecord(fields: Partial<typeof DEFAULT_QUARANTINE_SETTINGS> = {}): CrashHistory {
  return new CrashHistory({ ...DEFAULT_QUARANTINE_SETTINGS, ...fields }, 0);
}

function apply(record: CrashHistory, fact: Fact): void {
  if (fact.kind === 'end') record.addCrash(fact, NOW);
  else record.addAnswer(fact.key, fact.at, NOW);
}

function addEnds(record: CrashHistory, key: string, count: number, at = NOW): void {
  for (let i = 0; i < count; i += 1) record.addCrash({ key, incarnation: `${key} b${i}`, at }, NOW);
}

describe('ends of back ends, by request', () => {
  it('give the same verdict in whatever order and however often they are learned', () => {
    const key = fc
      .constantFrom('x', 'y')
      .chain((content) =>
        fc.constantFrom('10.0.0.1', '10.0.0.2').map((caller) => makeRequestKey(content, caller)),
      );
    const at = fc.integer({ min: NOW - 9000, max: NOW });
    const fact: fc.Arbitrary<Fact> = fc.oneof(
      fc.record({
        kind: fc.constant('end' as const),
        key,
        incarnation: fc.constantFrom('b1', 'b2', 'b3', 'b4'),
        at,
      }),
      fc.record({ kind: fc.constant('answer' as const), key, at }),
    );
    // One end is told with one time, whoever tells it.
    const facts = fc.uniqueArray(fact, {
      maxLength: 14,
      selector: (value) =>
        value.kind === 'end' ? `${value.key} ${value.incarnation}` : JSON.stringify(value),
    });
    const orders = facts.chain((list) =>
      fc.tuple(fc.constant(list), fc.shuffledSubarray(list, { minLength: list.length })),
    );
    fc.assert(
      fc.property(orders, ([list, shuffled]) => {
        const [first, second] = [makeRecord(), makeRecord()];
        for (const one of list) apply(first, one);
        for (const one of [...shuffled, ...shuffled]) apply(second, one);
        for (const { key: asked } of list)
          expect(second.getQuarantineMs(asked, NOW)).to.equal(first.getQuarantineMs(asked, NOW));
      }),
      { seed: SEED, numRuns: 1000 },
    );
  });

  it('of many requests of one caller displace each other and nothing that is known of others', () => {
    const record = makeRecord({ maximumSuspects: 100, maximumCrashesPerCaller: 1000 });
    const proven = makeRequestKey('proven', '10.0.0.1');
    addEnds(record, proven, 3);
    for (let i = 0; i < 2000; i += 1) addEnds(record, makeRequestKey(`many ${i}`, '10.0.0.2'), 1 + (i % 3));
    expect(record.getFigures(NOW).suspects).to.be.at.most(100);
    expect(record.getQuarantineMs(proven, NOW)).to.be.greaterThan(0);
  });

  it('count until they are old: then one more back end may be tried', () => {
    const record = makeRecord();
    const key = makeRequestKey('x', '10.0.0.1');
    addEnds(record, key, 2, NOW);
    record.addCrash({ key, incarnation: 'old', at: NOW - 60_000 }, NOW);
    const { crashMemoryMs: memoryMs } = DEFAULT_QUARANTINE_SETTINGS;
    expect(record.getQuarantineMs(key, NOW)).to.equal(memoryMs - 60_000);
    expect(record.getQuarantineMs(key, NOW + memoryMs - 60_000)).to.equal(undefined);
    record.removeOld(NOW + memoryMs);
    expect(record.getFigures(NOW + memoryMs).suspects).to.equal(0);
  });

  it('under most requests of a large caller confine nobody: it gets answers beside them', () => {
    const record = makeRecord();
    const keys = Array.from({ length: 8 }, (_, i) => makeRequestKey(`x${i}`, 'tenant'));
    for (const key of keys) addEnds(record, key, 1);
    expect(record.isIsolated(keys[0], NOW)).to.equal(true);
    for (let i = 0; i < 9; i += 1) record.addAnswer(makeRequestKey(`y${i}`, 'tenant'), NOW, NOW);
    expect(record.isIsolated(keys[0], NOW)).to.equal(false);
  });
});

describe('ends in the store', () => {
  /** An archive before a table whose answers may be lost. */
  class Keeper {
    readonly calls: QuarantineTable[] = [];
    readonly read: BackendCrash[] = [];
    readonly archive: QuarantineArchive;

    constructor(
      name: string,
      private readonly platform: PlatformModel,
      private now: number,
    ) {
      this.archive = new QuarantineArchive(name, 1_800_000, (call) => this.calls.push(call), now);
    }

    run(
      ms: number,
      treat: (result: TableResult | undefined) => TableResult | undefined = (result) => result,
    ): void {
      for (const until = this.now + ms; this.now < until; this.now += 50) {
        this.archive.tick(false, this.now);
        for (const { request } of this.calls.splice(0)) {
          const result = treat(this.platform.applyTableRequest(request, this.now)) ?? {
            kind: 'noAnswer',
            reason: 'lost',
          };
          this.read.push(...this.archive.receive(result, WALL_MS + this.now, this.now));
        }
      }
    }
  }

  const end = { key: makeRequestKey('x', '10.0.0.1'), incarnation: 'b1', at: 900 };

  it('outlast every daemon, though answers of the store are lost', () => {
    const platform = new PlatformModel({ perSecond: 10_000, burst: 10_000 });
    const first = new Keeper('first', platform, 1000);
    first.run(200);
    first.archive.add(end, WALL_MS + 1000, 1000);
    let lost = 0;
    first.run(2000, (result) => (lost++ < 2 ? undefined : result));
    const second = new Keeper('second', platform, 50_000);
    second.run(1000, (result) => (lost++ < 4 ? undefined : result));
    expect(second.read).to.deep.equal([{ key: end.key, incarnation: 'b1', wallMs: WALL_MS + 900, at: 900 }]);
  });

  it('are removed with the answer that strikes them out, and rows of other writers are passed over', () => {
    const platform = new PlatformModel({ perSecond: 10_000, burst: 10_000 });
    const writes = [{ table: 'quarantine' as const, key: 'foreign', expectedRevision: 0, value: { key: 7 } }];
    platform.applyTableRequest({ kind: 'commit', writeId: 'other', writes }, 0);
    const first = new Keeper('first', platform, 1000);
    first.archive.add(end, WALL_MS + 1000, 1000);
    first.run(500);
    first.archive.remove(end);
    first.run(500);
    const second = new Keeper('second', platform, 5000);
    second.run(500);
    expect(first.read).to.deep.equal([]);
    expect(second.read).to.deep.equal([]);
  });
});
