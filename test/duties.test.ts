/** Duties before the platform: one holder, every window reported once and right. Virtual time. */
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
import { Forwarding, PLAIN } from './forwarding-harness.js';

const SEED = 20261208;
const LEASE_MS = 3000;
const WINDOW_MS = 5000;
const DUE_MS = 10_000;
/** The daemons have found each other and one holds the duties. */
const SETTLED_MS = 10_000;
/** A report may differ from the truth by this part. */
const ALLOWED_ERROR = 0.05;
const TENANTS = ['anna', 'bert', 'cleo', 'dora'].map((name) => ({ name, keyDigests: [`key of ${name}`] }));

function makeDuties(fenced: boolean): DutySettings {
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

/** A fleet with duties, and requests of tenants whose true counts are kept. */
class DutyFleet {
  readonly platform: DutyModel;
  readonly fleet: ForwardingFleet;
  readonly truth = new Map<number, Map<string, number>>();
  private readonly random = new SeededRandom(SEED);
  private requests = 0;

  constructor(daemons: number, seed = SEED, fenced = true) {
    this.platform = new DutyModel(fenced, LEASE_MS);
    const settings = { ...FLEET_SETTINGS, duties: makeDuties(fenced) };
    this.fleet = new ForwardingFleet(daemons, seed, settings, this.platform);
    const value = makeLabConfiguration(1, [makeLabRoute({})], TENANTS);
    this.fleet.write({ collection: 'configuration', revision: 0, value });
    for (const id of ['a', 'b'])
      this.fleet.write({ collection: 'backends', id, revision: 0, value: makeLabBackend(id, '10.1.0.1:80') });
    this.fleet.time.runUntil(SETTLED_MS);
  }

  /** Lets callers ask until `until`, at so many requests a second; each is answered after 20 ms. */
  loadUntil(until: number, perSecond = 100): void {
    while (this.fleet.time.now() < until) {
      this.request();
      this.fleet.time.runUntil(this.fleet.time.now() + (1000 / perSecond) * (0.5 + this.random.next()));
    }
  }

  /** The daemon that last took the lease; the first one before any has. */
  holder(): FleetNode {
    const row = this.fleet.table.getRow('leases', DUTY_CELL)?.value as { holder: string } | undefined;
    return this.fleet.nodes.find((node) => node.id === row?.holder) ?? this.fleet.nodes[0];
  }

  /** Windows that began and ended in a span of the simulation, and whether each was reported right. */
  judge(from: number, until: number): { window: number; right: boolean }[] {
    const first = Math.ceil((WALL_START_MS + from) / WINDOW_MS);
    const last = Math.floor((WALL_START_MS + until) / WINDOW_MS) - 1;
    return Array.from({ length: last - first + 1 }, (_, i) => {
      const report = this.platform.reports.get(first + i);
      return { window: i, right: report !== undefined && this.isRight(first + i, JSON.parse(report)) };
    });
  }

  private isRight(window: number, counts: Record<string, number>): boolean {
    const truth = this.truth.get(window) ?? new Map<string, number>();
    return TENANTS.every(({ name }) => {
      const count = truth.get(name) ?? 0;
      return Math.abs((counts[name] ?? 0) - count) <= Math.max(1, count * ALLOWED_ERROR);
    });
  }

  private request(): void {
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
    const counts = this.truth.get(window) ?? new Map<string, number>();
    this.truth.set(window, counts.set(tenant.name, (counts.get(tenant.name) ?? 0) + 1));
    fleet.time.after(20, () => fleet.sendAttemptEvent(attempt, { kind: 'whole', status: 200 }));
  }
}

describe('usage', () => {
  for (const daemons of [1, 9, 40]) {
    it(`${daemons} daemons: every window is reported once, right and in time`, () => {
      const site = new DutyFleet(daemons);
      site.loadUntil(SETTLED_MS + 20_000);
      site.fleet.time.runUntil(SETTLED_MS + 20_000 + DUE_MS);
      const judged = site.judge(SETTLED_MS, SETTLED_MS + 20_000);
      expect(judged.map(({ right }) => right)).to.deep.equal([true, true, true, true]);
      expect(site.platform.violations).to.deep.equal([]);
      expect(site.platform.calls).to.equal(site.platform.reports.size);
    });
  }

  it('three daemons in ten whose clocks jump by seconds change no report', () => {
    const site = new DutyFleet(20);
    site.fleet.nodes.forEach((node, i) => (node.clockErrorMs = (i % 7) - 3));
    site.loadUntil(SETTLED_MS + 2000);
    for (const node of site.fleet.nodes.slice(0, 6)) node.clockErrorMs = 4000;
    site.loadUntil(SETTLED_MS + 12_000);
    for (const node of site.fleet.nodes.slice(0, 6)) node.clockErrorMs = -4000;
    site.loadUntil(SETTLED_MS + 20_000);
    site.fleet.time.runUntil(SETTLED_MS + 20_000 + DUE_MS);
    const judged = site.judge(SETTLED_MS, SETTLED_MS + 20_000);
    expect(judged.map(({ right }) => right)).to.deep.equal([true, true, true, true]);
  });

  it('a holder that is killed, frozen or turned away by the store costs no report', () => {
    const harms: ((node: FleetNode) => void)[] = [
      (node) => (node.down = true),
      (node) => (node.paused = true),
      (node) => (node.access = 'refuses'),
      (node) => (node.access = 'silent'),
    ];
    for (const harm of harms) {
      // Just before it would report, and in the middle of a window.
      for (const harmedAt of [2300, 4000]) {
        const site = new DutyFleet(9);
        site.loadUntil(SETTLED_MS + 5000 + harmedAt);
        harm(site.holder());
        site.loadUntil(SETTLED_MS + 20_000);
        site.fleet.time.runUntil(SETTLED_MS + 20_000 + DUE_MS);
        const judged = site.judge(SETTLED_MS, SETTLED_MS + 20_000);
        expect(judged.map(({ right }) => right)).to.deep.equal([true, true, true, true]);
        expect(site.platform.violations).to.deep.equal([]);
      }
    }
  });

  it('daemons that are restarted one after the other cost no report', () => {
    const site = new DutyFleet(30);
    const { nodes, time } = site.fleet;
    const from = time.now();
    for (const node of nodes) {
      site.fleet.restart(node, 3000, 1000);
      site.loadUntil(time.now() + 750);
    }
    site.loadUntil(from + 30_000);
    time.runUntil(from + 30_000 + DUE_MS);
    const judged = site.judge(from, from + 30_000);
    expect(judged.map(({ right }) => right)).to.deep.equal(judged.map(() => true));
    expect(site.platform.violations).to.deep.equal([]);
  });

  it('whatever strikes whichever daemon, no two reports differ and no two daemons hold the duties', () => {
    const access = fc.constantFrom<StoreAccess>('serves', 'serves', 'refuses', 'silent', 'appliesLate');
    const step = fc.record({
      afterMs: fc.integer({ min: 50, max: 4000 }),
      /** Place among those that hear all counts; most steps strike the holder. */
      victim: fc.option(fc.nat({ max: 4 }), { nil: undefined }),
      access,
      frozen: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 3, maxLength: 14 }),
        fc.boolean(),
        fc.nat({ max: 1000 }),
        (steps, fenced, seed) => {
          const site = new DutyFleet(5, seed, fenced);
          for (const { afterMs, victim, access: treatment, frozen } of steps) {
            site.loadUntil(site.fleet.time.now() + afterMs, 20);
            const node = victim === undefined ? site.holder() : site.fleet.nodes[victim];
            node.access = treatment;
            node.paused = frozen;
          }
          for (const node of site.fleet.nodes) {
            node.access = 'serves';
            node.paused = false;
          }
          const calmFrom = site.fleet.time.now() + 5000;
          site.loadUntil(calmFrom + 15_000, 20);
          site.fleet.time.runUntil(calmFrom + 15_000 + DUE_MS);
          expect(site.platform.violations).to.deep.equal([]);
          const judged = site.judge(calmFrom, calmFrom + 15_000);
          expect(judged.filter(({ right }) => !right)).to.deep.equal([]);
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

  it('totals that are lost, late, repeated or out of order give the same sum', () => {
    const counter = new UsageCounter(WINDOW_MS);
    const collector = new UsageCollector();
    counter.add('anna', 100);
    counter.add('bert', 4900);
    const first = counter.takeUntold(4950, false);
    counter.add('anna', 4990);
    counter.add('bert', 5001);
    const second = counter.takeUntold(5500, false);
    expect(counter.takeUntold(6500, false)).not.to.equal(undefined);
    expect(counter.takeUntold(7500, false)).to.equal(undefined);
    if (!first || !second) throw new Error('nothing was told');
    for (const message of [second, first, second]) collector.apply('d1', message);
    expect(collector.sum(0)).to.deep.equal({ anna: 2, bert: 1 });
    expect(collector.sum(1)).to.deep.equal({ bert: 1 });
    collector.apply('d2', first);
    expect(collector.sum(0)).to.deep.equal({ anna: 3, bert: 2 });
  });

  it('a request counts once for its tenant, when a back end is first known to have begun it', () => {
    const daemon = new Forwarding([makeLabRoute({})], PLAIN);
    daemon.tenants.apply(TENANTS);
    daemon.begin({ keyDigest: 'key of anna' }, 100);
    daemon.event({ kind: 'notExecuted', status: 503, wrongIncarnation: false }, 110);
    daemon.event({ kind: 'broken', reason: 'reset' }, 130);
    daemon.event({ kind: 'whole', status: 200 }, 190);
    daemon.begin({ id: 'r2', keyDigest: 'key of bert' }, 200);
    daemon.event({ kind: 'unreachable', reason: 'refused' }, 210);
    daemon.manager.cancel('r2', 220);
    expect(daemon.begun).to.deep.equal([['anna', 110]]);
  });
});
