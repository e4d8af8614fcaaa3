/** Duties towards the platform: a single holder, and every window reported once and correctly. Virtual time. */
import { expect } from 'chai';
import fc from 'fast-check';
import { DutyModel } from '../lab/duty-model.js';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import {
  FLEET_SETTINGS,
  ForwardingFleet,
  WALL_START_MS,
  type FleetNode,
  type StoreAccess,
} from '../simulation/forwarding-fleet.js';
import { DUTY_CELL, type DutySettings } from '../src/duties/duty-manager.js';
import { DEFAULT_CAPACITY_DEMAND_SETTINGS } from '../src/capacity/capacity-demand.js';
import { DEFAULT_CAPACITY_MANAGER_SETTINGS } from '../src/capacity/capacity-manager.js';
import { DEFAULT_CAPACITY_PLANNER_SETTINGS } from '../src/capacity/capacity-planner.js';
import { FleetClock } from '../src/duties/fleet-clock.js';
import { UsageCollector } from '../src/duties/usage-collector.js';
import { UsageCounter } from '../src/duties/usage-counter.js';
import { DEFAULT_USAGE_REPORTER_SETTINGS } from '../src/duties/usage-reporter.js';
import { SeededRandom } from '../src/shared/random.js';
import { ForwardingHarness, PLAIN } from './forwarding-harness.js';

const SEED = 20261208;
const LEASE_MS = 3000;
const WINDOW_MS = 5000;
const DUE_MS = 10_000;
/** Time by which the daemons have discovered each other and one holds the duties. Milliseconds. */
const SETTLED_MS = 10_000;
/** A count in a report may differ from the true count by this fraction. */
const ALLOWED_ERROR = 0.05;
const TENANTS = ['anna', 'bert', 'cleo', 'dora'].map((name) => ({ name, keyDigests: [`key of ${name}`] }));

function createDutySettings(fenced: boolean): DutySettings {
  return {
    lease: { durationMs: 3600, renewIntervalMs: 1200, marginMs: 600 },
    takeoverWaitMs: fenced ? 0 : 1000,
    reportsUsage: true,
    ordersServers: true,
    usage: { ...DEFAULT_USAGE_REPORTER_SETTINGS, windowMs: WINDOW_MS, dueMs: DUE_MS },
    capacity: { ...DEFAULT_CAPACITY_MANAGER_SETTINGS, planner: DEFAULT_CAPACITY_PLANNER_SETTINGS },
    demand: DEFAULT_CAPACITY_DEMAND_SETTINGS,
  };
}

/** A fleet with duties. Sends requests of tenants and records their true counts by window. */
class DutyFleet {
  readonly platform: DutyModel;
  readonly fleet: ForwardingFleet;
  readonly trueCounts = new Map<number, Map<string, number>>();
  private readonly random = new SeededRandom(SEED);
  private requests = 0;

  constructor(daemons: number, seed = SEED, fenced = true) {
    this.platform = new DutyModel(fenced, LEASE_MS);
    const settings = { ...FLEET_SETTINGS, duties: createDutySettings(fenced) };
    this.fleet = new ForwardingFleet(daemons, seed, settings, this.platform);
    const value = makeLabConfiguration(1, [makeLabRoute({})], TENANTS);
    this.fleet.write({ collection: 'configuration', revision: 0, value });
    for (const id of ['a', 'b'])
      this.fleet.write({ collection: 'backends', id, revision: 0, value: makeLabBackend(id, '10.1.0.1:80') });
    this.fleet.time.runUntil(SETTLED_MS);
  }

  /** Sends requests until `until` at about `perSecond` per second; each is answered after 20 ms. */
  sendRequestsUntil(until: number, perSecond = 100): void {
    while (this.fleet.time.now() < until) {
      this.sendRequest();
      this.fleet.time.runUntil(this.fleet.time.now() + (1000 / perSecond) * (0.5 + this.random.next()));
    }
  }

  /** The daemon that last acquired the lease; the first daemon before that. */
  getHolder(): FleetNode {
    const row = this.fleet.table.getRow('leases', DUTY_CELL)?.value as { holder: string } | undefined;
    return this.fleet.nodes.find((node) => node.id === row?.holder) ?? this.fleet.nodes[0];
  }

  /** The windows within a span of the simulation, and whether each was reported correctly. */
  checkReports(from: number, until: number): { window: number; isCorrect: boolean }[] {
    const first = Math.ceil((WALL_START_MS + from) / WINDOW_MS);
    const last = Math.floor((WALL_START_MS + until) / WINDOW_MS) - 1;
    return Array.from({ length: last - first + 1 }, (_, i) => {
      const report = this.platform.reports.get(first + i);
      return { window: i, isCorrect: report !== undefined && this.isCorrect(first + i, JSON.parse(report)) };
    });
  }

  private isCorrect(window: number, counts: Record<string, number>): boolean {
    const trueCounts = this.trueCounts.get(window) ?? new Map<string, number>();
    return TENANTS.every(({ name }) => {
      const count = trueCounts.get(name) ?? 0;
      return Math.abs((counts[name] ?? 0) - count) <= Math.max(1, count * ALLOWED_ERROR);
    });
  }

  private sendRequest(): void {
    const { fleet } = this;
    const nodes = fleet.nodes.filter((node) => !node.down && !node.paused);
    if (nodes.length === 0) return;
    const node = nodes[this.random.below(nodes.length)];
    const tenant = TENANTS[this.random.below(TENANTS.length)];
    this.requests += 1;
    const before = fleet.attempts.length;
    fleet.submit(node, `q${this.requests}`, '/a/x', { keyDigest: tenant.keyDigests[0] });
    const attempt = fleet.attempts.at(-1);
    if (!attempt || fleet.attempts.length === before) return;
    const window = Math.floor((WALL_START_MS + fleet.time.now()) / WINDOW_MS);
    const counts = this.trueCounts.get(window) ?? new Map<string, number>();
    this.trueCounts.set(window, counts.set(tenant.name, (counts.get(tenant.name) ?? 0) + 1));
    fleet.time.after(20, () => fleet.sendAttemptEvent(attempt, { kind: 'whole', status: 200 }));
  }
}

describe('usage', () => {
  for (const daemons of [1, 9, 40]) {
    it(`${daemons} daemons: every window is reported once, correctly and in time`, () => {
      const dutyFleet = new DutyFleet(daemons);
      dutyFleet.sendRequestsUntil(SETTLED_MS + 20_000);
      dutyFleet.fleet.time.runUntil(SETTLED_MS + 20_000 + DUE_MS);
      const reports = dutyFleet.checkReports(SETTLED_MS, SETTLED_MS + 20_000);
      expect(reports.map(({ isCorrect }) => isCorrect)).to.deep.equal([true, true, true, true]);
      expect(dutyFleet.platform.violations).to.deep.equal([]);
      expect(dutyFleet.platform.calls).to.equal(dutyFleet.platform.reports.size);
    });
  }

  it('clocks of three daemons in ten that jump by seconds change no report', () => {
    const dutyFleet = new DutyFleet(20);
    dutyFleet.fleet.nodes.forEach((node, i) => (node.clockErrorMs = (i % 7) - 3));
    dutyFleet.sendRequestsUntil(SETTLED_MS + 2000);
    for (const node of dutyFleet.fleet.nodes.slice(0, 6)) node.clockErrorMs = 4000;
    dutyFleet.sendRequestsUntil(SETTLED_MS + 12_000);
    for (const node of dutyFleet.fleet.nodes.slice(0, 6)) node.clockErrorMs = -4000;
    dutyFleet.sendRequestsUntil(SETTLED_MS + 20_000);
    dutyFleet.fleet.time.runUntil(SETTLED_MS + 20_000 + DUE_MS);
    const reports = dutyFleet.checkReports(SETTLED_MS, SETTLED_MS + 20_000);
    expect(reports.map(({ isCorrect }) => isCorrect)).to.deep.equal([true, true, true, true]);
  });

  it('no report is lost or wrong if the holder is killed, is paused or loses access to the store', () => {
    const failures: ((node: FleetNode) => void)[] = [
      (node) => (node.down = true),
      (node) => (node.paused = true),
      (node) => (node.access = 'refuses'),
      (node) => (node.access = 'silent'),
    ];
    for (const fail of failures) {
      // Just before the holder would report, and in the middle of a window.
      for (const failsAt of [2300, 4000]) {
        const dutyFleet = new DutyFleet(9);
        dutyFleet.sendRequestsUntil(SETTLED_MS + 5000 + failsAt);
        fail(dutyFleet.getHolder());
        dutyFleet.sendRequestsUntil(SETTLED_MS + 20_000);
        dutyFleet.fleet.time.runUntil(SETTLED_MS + 20_000 + DUE_MS);
        const reports = dutyFleet.checkReports(SETTLED_MS, SETTLED_MS + 20_000);
        expect(reports.map(({ isCorrect }) => isCorrect)).to.deep.equal([true, true, true, true]);
        expect(dutyFleet.platform.violations).to.deep.equal([]);
      }
    }
  });

  it('no report is lost or wrong while all daemons are restarted one after the other', () => {
    const dutyFleet = new DutyFleet(30);
    const { nodes, time } = dutyFleet.fleet;
    const from = time.now();
    for (const node of nodes) {
      dutyFleet.fleet.restart(node, 3000, 1000);
      dutyFleet.sendRequestsUntil(time.now() + 750);
    }
    dutyFleet.sendRequestsUntil(from + 30_000);
    time.runUntil(from + 30_000 + DUE_MS);
    const reports = dutyFleet.checkReports(from, from + 30_000);
    expect(reports.map(({ isCorrect }) => isCorrect)).to.deep.equal(reports.map(() => true));
    expect(dutyFleet.platform.violations).to.deep.equal([]);
  });

  it('for any sequence of failures, no two reports differ and no two daemons hold the duties', () => {
    const accessArbitrary = fc.constantFrom<StoreAccess>(
      'serves',
      'serves',
      'refuses',
      'silent',
      'appliesLate',
    );
    const step = fc.record({
      afterMs: fc.integer({ min: 50, max: 4000 }),
      /** Index of the daemon that is affected; undefined, as in most steps, for the holder. */
      daemonIndex: fc.option(fc.nat({ max: 4 }), { nil: undefined }),
      access: accessArbitrary,
      paused: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 3, maxLength: 14 }),
        fc.boolean(),
        fc.nat({ max: 1000 }),
        (steps, fenced, seed) => {
          const dutyFleet = new DutyFleet(5, seed, fenced);
          for (const { afterMs, daemonIndex, access, paused } of steps) {
            dutyFleet.sendRequestsUntil(dutyFleet.fleet.time.now() + afterMs, 20);
            const node =
              daemonIndex === undefined ? dutyFleet.getHolder() : dutyFleet.fleet.nodes[daemonIndex];
            node.access = access;
            node.paused = paused;
          }
          for (const node of dutyFleet.fleet.nodes) {
            node.access = 'serves';
            node.paused = false;
          }
          const recoveredAt = dutyFleet.fleet.time.now() + 5000;
          dutyFleet.sendRequestsUntil(recoveredAt + 15_000, 20);
          dutyFleet.fleet.time.runUntil(recoveredAt + 15_000 + DUE_MS);
          expect(dutyFleet.platform.violations).to.deep.equal([]);
          const reports = dutyFleet.checkReports(recoveredAt, recoveredAt + 15_000);
          expect(reports.filter(({ isCorrect }) => !isCorrect)).to.deep.equal([]);
        },
      ),
      { seed: SEED, numRuns: 60 },
    );
  });
});

describe('parts of the duties', () => {
  it('the time of the fleet is the median of many clocks', () => {
    const clock = new FleetClock('self');
    expect(clock.getTime(0)).to.equal(undefined);
    clock.setLocalTime(5_000_000, 1000);
    expect(clock.getTime(1500)).to.equal(5_000_500);
    for (let i = 0; i < 8; i += 1) clock.addSample(`d${i}`, 1_000_000 + i, 1000);
    expect(clock.getTime(1000)).to.equal(1_000_004);
    expect(clock.getLocalTime(1000)).to.equal(5_000_000);
    clock.setLocalTime(1_020_000, 20_000);
    expect(clock.getTime(20_000)).to.equal(1_020_000);
  });

  it('messages that are lost, late, repeated or out of order give the same totals', () => {
    const counter = new UsageCounter(WINDOW_MS);
    const collector = new UsageCollector();
    counter.add('anna', 100);
    counter.add('bert', 4900);
    const first = counter.takeUnsent(4950, false);
    counter.add('anna', 4990);
    counter.add('bert', 5001);
    const second = counter.takeUnsent(5500, false);
    expect(counter.takeUnsent(6500, false)).not.to.equal(undefined);
    expect(counter.takeUnsent(7500, false)).to.equal(undefined);
    if (!first || !second) throw new Error('there were no counts to send');
    for (const message of [second, first, second]) collector.apply('d1', message);
    expect(collector.sum(0)).to.deep.equal({ anna: 2, bert: 1 });
    expect(collector.sum(1)).to.deep.equal({ bert: 1 });
    collector.apply('d2', first);
    expect(collector.sum(0)).to.deep.equal({ anna: 3, bert: 2 });
  });

  it('a request counts once for its tenant, when a back end is first known to have begun to execute it', () => {
    const daemon = new ForwardingHarness([makeLabRoute({})], PLAIN);
    daemon.tenants.apply(TENANTS);
    daemon.begin({ keyDigest: 'key of anna' }, 100);
    daemon.event({ kind: 'notExecuted', status: 503, wrongIncarnation: false }, 110);
    daemon.event({ kind: 'broken', reason: 'reset' }, 130);
    daemon.event({ kind: 'whole', status: 200 }, 190);
    daemon.begin({ id: 'r2', keyDigest: 'key of bert' }, 200);
    daemon.event({ kind: 'unreachable', reason: 'refused' }, 210);
    daemon.manager.cancel('r2', 220);
    expect(daemon.executionStarts).to.deep.equal([['anna', 110]]);
  });
});
