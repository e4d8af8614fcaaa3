/** The crash history and its archive: counts do not depend on the order of facts, are bounded, and are kept in the table store. */
import { expect } from 'chai';
import fc from 'fast-check';
import { PlatformModel } from '../lab/platform-model.js';
import type { TableResult } from '../src/contracts/table-service.js';
import { CrashHistory, type BackendCrash } from '../src/quarantine/crash-history.js';
import {
  QuarantineArchive,
  type CountedCrash,
  type QuarantineTable,
} from '../src/quarantine/quarantine-archive.js';
import { DEFAULT_QUARANTINE_SETTINGS } from '../src/quarantine/quarantine-settings.js';
import { makeRequestKey } from '../src/quarantine/request-key.js';

const SEED = 20261203;
const NOW = 100_000;
const WALL_MS = 1_800_000_000_000;

type Fact = ({ readonly kind: 'end' } & BackendCrash) | { readonly kind: 'answer'; key: string; at: number };

function makeHistory(fields: Partial<typeof DEFAULT_QUARANTINE_SETTINGS> = {}): CrashHistory {
  return new CrashHistory({ ...DEFAULT_QUARANTINE_SETTINGS, ...fields }, 0);
}

function addFact(history: CrashHistory, fact: Fact): void {
  if (fact.kind === 'end') history.addCrash(fact, NOW);
  else history.addAnswer(fact.key, fact.at, NOW);
}

function addCrashes(history: CrashHistory, key: string, count: number, at = NOW): void {
  for (let i = 0; i < count; i += 1) history.addCrash({ key, incarnation: `${key} b${i}`, at }, NOW);
}

describe('crash history', () => {
  it('gives the same verdict in whatever order and however often facts are added', () => {
    const key = fc
      .constantFrom('x', 'y')
      .chain((content) =>
        fc.constantFrom('10.0.0.1', '10.0.0.2').map((caller) => makeRequestKey(content, caller)),
      );
    const at = fc.integer({ min: NOW - 9000, max: NOW });
    const factArbitrary: fc.Arbitrary<Fact> = fc.oneof(
      fc.record({
        kind: fc.constant('end' as const),
        key,
        incarnation: fc.constantFrom('b1', 'b2', 'b3', 'b4'),
        at,
      }),
      fc.record({ kind: fc.constant('answer' as const), key, at }),
    );
    // A crash has one time, whichever daemon reports it.
    const facts = fc.uniqueArray(factArbitrary, {
      maxLength: 14,
      selector: (value) =>
        value.kind === 'end' ? `${value.key} ${value.incarnation}` : JSON.stringify(value),
    });
    const orders = facts.chain((list) =>
      fc.tuple(fc.constant(list), fc.shuffledSubarray(list, { minLength: list.length })),
    );
    fc.assert(
      fc.property(orders, ([list, shuffled]) => {
        const [first, second] = [makeHistory(), makeHistory()];
        for (const fact of list) addFact(first, fact);
        for (const fact of [...shuffled, ...shuffled]) addFact(second, fact);
        for (const { key: factKey } of list)
          expect(second.getQuarantineMs(factKey, NOW)).to.equal(first.getQuarantineMs(factKey, NOW));
      }),
      { seed: SEED, numRuns: 1000 },
    );
  });

  it('evicts only requests of the same caller when one caller sends many', () => {
    const history = makeHistory({ maximumSuspects: 100, maximumCrashesPerCaller: 1000 });
    const quarantined = makeRequestKey('proven', '10.0.0.1');
    addCrashes(history, quarantined, 3);
    for (let i = 0; i < 2000; i += 1)
      addCrashes(history, makeRequestKey(`many ${i}`, '10.0.0.2'), 1 + (i % 3));
    expect(history.getFigures(NOW).suspects).to.be.at.most(100);
    expect(history.getQuarantineMs(quarantined, NOW)).to.be.greaterThan(0);
  });

  it('does not count crashes that a part of prompts explains, neither for a request nor for its caller', () => {
    const explained = new Set<string>();
    const history = new CrashHistory(DEFAULT_QUARANTINE_SETTINGS, 0, (incarnation) =>
      explained.has(incarnation),
    );
    const key = makeRequestKey('sound', '10.0.0.1');
    for (let i = 0; i < 8; i += 1)
      history.addCrash(
        { key: i < 3 ? key : makeRequestKey(`x${i}`, '10.0.0.1'), incarnation: `b${i}`, at: NOW },
        NOW,
      );
    expect(history.getQuarantineMs(key, NOW)).to.be.greaterThan(0);
    expect(history.isIsolated(key, NOW)).to.equal(true);
    for (let i = 0; i < 8; i += 1) explained.add(`b${i}`);
    expect(history.getQuarantineMs(key, NOW)).to.equal(undefined);
    expect(history.isIsolated(key, NOW)).to.equal(false);
  });

  it('shares the crashes of requests with several first, then the newest of others', () => {
    const history = makeHistory();
    const repeated = makeRequestKey('repeated', '10.0.0.1');
    const [older, newer, newest] = ['x', 'y', 'z'].map((content) => makeRequestKey(content, '10.0.0.2'));
    history.addCrash({ key: newer, incarnation: 'b1', at: NOW - 2 }, NOW);
    history.addCrash({ key: older, incarnation: 'b1', at: NOW - 3 }, NOW);
    history.addCrash({ key: newest, incarnation: 'b2', at: NOW }, NOW);
    addCrashes(history, repeated, 2, NOW - 5);
    const keys = history.getSharedCrashes(4, NOW).map(({ key }) => key);
    expect(keys).to.deep.equal([repeated, repeated, newest, newer]);
    expect(history.getSharedCrashes(8, NOW)).to.have.length(5);
  });

  it('counts crashes until they expire; then one more back end may be tried', () => {
    const history = makeHistory();
    const key = makeRequestKey('x', '10.0.0.1');
    addCrashes(history, key, 2, NOW);
    history.addCrash({ key, incarnation: 'old', at: NOW - 60_000 }, NOW);
    const { crashMemoryMs } = DEFAULT_QUARANTINE_SETTINGS;
    expect(history.getQuarantineMs(key, NOW)).to.equal(crashMemoryMs - 60_000);
    expect(history.getQuarantineMs(key, NOW + crashMemoryMs - 60_000)).to.equal(undefined);
    history.removeOld(NOW + crashMemoryMs);
    expect(history.getFigures(NOW + crashMemoryMs).suspects).to.equal(0);
  });

  it('does not isolate a large caller that gets more answers than crashes', () => {
    const history = makeHistory();
    const keys = Array.from({ length: 8 }, (_, i) => makeRequestKey(`x${i}`, 'tenant'));
    for (const key of keys) addCrashes(history, key, 1);
    expect(history.isIsolated(keys[0], NOW)).to.equal(true);
    for (let i = 0; i < 9; i += 1) history.addAnswer(makeRequestKey(`y${i}`, 'tenant'), NOW, NOW);
    expect(history.isIsolated(keys[0], NOW)).to.equal(false);
  });
});

describe('crashes in the table store', () => {
  /** An archive that uses a simulated table store whose results may be lost. */
  class ArchiveHarness {
    readonly calls: QuarantineTable[] = [];
    readonly readCrashes: CountedCrash[] = [];
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
      deliver: (result: TableResult | undefined) => TableResult | undefined = (result) => result,
    ): void {
      for (const until = this.now + ms; this.now < until; this.now += 50) {
        this.archive.tick(false, this.now);
        for (const { request } of this.calls.splice(0)) {
          const result = deliver(this.platform.applyTableRequest(request, this.now)) ?? {
            kind: 'noAnswer',
            reason: 'lost',
          };
          this.readCrashes.push(...this.archive.receive(result, WALL_MS + this.now, this.now));
        }
      }
    }
  }

  const crash = { key: makeRequestKey('x', '10.0.0.1'), incarnation: 'b1', at: 900 };

  it('survive all daemons, although results of the store are lost', () => {
    const platform = new PlatformModel({ perSecond: 10_000, burst: 10_000 });
    const first = new ArchiveHarness('first', platform, 1000);
    first.run(200);
    first.archive.add(crash, WALL_MS + 1000, 1000);
    let deliveries = 0;
    first.run(2000, (result) => (deliveries++ < 2 ? undefined : result));
    const second = new ArchiveHarness('second', platform, 50_000);
    second.run(1000, (result) => (deliveries++ < 4 ? undefined : result));
    expect(second.readCrashes).to.deep.equal([
      { key: crash.key, incarnation: 'b1', wallMs: WALL_MS + 900, at: 900 },
    ]);
  });

  it('are removed with the answer that discards them, and rows of other writers are ignored', () => {
    const platform = new PlatformModel({ perSecond: 10_000, burst: 10_000 });
    const writes = [{ table: 'quarantine' as const, key: 'foreign', expectedRevision: 0, value: { key: 7 } }];
    platform.applyTableRequest({ kind: 'commit', writeId: 'other', writes }, 0);
    const first = new ArchiveHarness('first', platform, 1000);
    first.archive.add(crash, WALL_MS + 1000, 1000);
    first.run(500);
    first.archive.remove(crash);
    first.run(500);
    const second = new ArchiveHarness('second', platform, 5000);
    second.run(500);
    expect(first.readCrashes).to.deep.equal([]);
    expect(second.readCrashes).to.deep.equal([]);
  });

  it('are removed with the answer that discards them, however many the daemon has written since', () => {
    const platform = new PlatformModel({ perSecond: 10_000, burst: 10_000 });
    const first = new ArchiveHarness('first', platform, 1000);
    const crashes = Array.from({ length: 1200 }, (_, i) => ({ ...crash, incarnation: `b${i}` }));
    for (const one of crashes) {
      first.archive.add(one, WALL_MS + 1000, 1000);
      first.run(100);
    }
    const [discarded, ...others] = crashes;
    first.archive.remove(discarded);
    first.run(500);
    const second = new ArchiveHarness('second', platform, 200_000);
    second.run(5000);
    const names = second.readCrashes.map(({ incarnation }) => incarnation).sort();
    expect(names).to.deep.equal(others.map(({ incarnation }) => incarnation).sort());
  });
});
