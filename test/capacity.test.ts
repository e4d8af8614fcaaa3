/**
 * Orders of back ends: they follow demand and price, replacements are ready before others are removed, and lost
 * orders are repeated.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend } from '../lab/forwarding-site.js';
import { CapacityDemand, DEFAULT_CAPACITY_DEMAND_SETTINGS } from '../src/capacity/capacity-demand.js';
import {
  CapacityManager,
  DEFAULT_CAPACITY_MANAGER_SETTINGS,
  type ServerOrder,
} from '../src/capacity/capacity-manager.js';
import { DEFAULT_CAPACITY_PLANNER_SETTINGS, planCapacity } from '../src/capacity/capacity-planner.js';
import type { DutyResult } from '../src/duties/duty-messages.js';
import { BackendDirectory } from '../src/forwarding/backends/backend-directory.js';
import { DEFAULT_BACKEND_HEALTH_SETTINGS } from '../src/forwarding/backends/backend-health.js';
import type { EngineTraits, ScalingRules } from '../src/forwarding/routes/route.js';
import { VirtualTime } from '../simulation/virtual-time.js';

const SEED = 20261209;
const TICK_MS = 120;
const BOOT_MS = 4000;
const DRAIN_MS = 3000;
const RULES: ScalingRules = {
  min: 1,
  max: 12,
  bootMs: BOOT_MS,
  spotPrice: 0.22,
  zonePrices: { 'zone-a': 1, 'zone-b': 0.8, 'zone-c': 1.25 },
};
const ZONES = Object.keys(RULES.zonePrices);
const SERVICE = {
  name: 'service',
  healthPath: '/',
  maximumConnections: 100,
  engine: undefined,
  scaling: RULES,
};

/** A simulated platform that starts and drains back ends as ordered, and the manager that orders them. */
class SimulatedPlatform {
  readonly time = new VirtualTime();
  readonly directory = new BackendDirectory(DEFAULT_BACKEND_HEALTH_SETTINGS);
  readonly orders: ServerOrder[] = [];
  readonly manager: CapacityManager;
  /** Outcomes of the next orders, in sequence; further orders are accepted. */
  readonly outcomes: ('accepted' | 'lost' | 'unavailable' | 'delayed')[] = [];
  wanted = 0;
  private readonly desired = new Map<string, number>();
  private count = 0;

  constructor(
    ordinaryPerZone: number,
    private readonly engine?: EngineTraits,
  ) {
    this.manager = new CapacityManager(
      { ...DEFAULT_CAPACITY_MANAGER_SETTINGS, planner: DEFAULT_CAPACITY_PLANNER_SETTINGS },
      ({ call }) => this.receiveOrder(call),
    );
    for (const zone of ZONES) this.setDesired(zone, false, ordinaryPerZone, 0);
    this.time.runUntil(1);
    this.tick();
  }

  /** Numbers of ready back ends by zone: ordinary ones and spot ones. */
  countReady(): number[][] {
    return ZONES.map((zone) => [this.getReadyIds(zone, false).length, this.getReadyIds(zone, true).length]);
  }

  remove(zone: string, spot: boolean): void {
    for (const id of this.getReadyIds(zone, spot)) this.directory.remove(id);
  }

  private tick(): void {
    const views = this.directory.ofService('service');
    if (this.wanted > 0)
      this.manager.tick(
        { ...SERVICE, engine: this.engine },
        views,
        this.wanted,
        { holder: 'd', fence: 1 },
        this.time.now(),
      );
    this.time.after(TICK_MS, () => this.tick());
  }

  private receiveOrder(call: ServerOrder): void {
    this.orders.push(call);
    const outcome = this.outcomes.shift() ?? 'accepted';
    const sendResult = (result: DutyResult, delayMs: number): void =>
      this.time.after(delayMs, () => this.manager.receiveResult(call, result, this.time.now()));
    const applyOrder = (): void => this.setDesired(call.zone, call.spot, call.desired, BOOT_MS);
    if (outcome === 'accepted') applyOrder();
    if (outcome === 'delayed') this.time.after(5000, applyOrder);
    if (outcome === 'accepted') sendResult({ kind: 'accepted' }, 4);
    else if (outcome === 'unavailable') sendResult({ kind: 'unavailable' }, 4);
    else sendResult({ kind: 'noAnswer', reason: 'TimeoutError' }, 1000);
  }

  private setDesired(zone: string, spot: boolean, desired: number, bootMs: number): void {
    this.desired.set(`${zone} ${spot}`, desired);
    const present = this.getReadyIds(zone, spot);
    for (const id of present.slice(desired)) this.drainBackend(id);
    for (let i = present.length; i < desired; i += 1)
      this.time.after(bootMs, () => this.startBackend(zone, spot));
  }

  private startBackend(zone: string, spot: boolean): void {
    if (this.getReadyIds(zone, spot).length >= (this.desired.get(`${zone} ${spot}`) ?? 0)) return;
    this.count += 1;
    const record = makeLabBackend(`b${this.count}`, `10.0.0.${this.count}:80`);
    this.directory.put({ ...record, zone, isSpot: spot });
  }

  private drainBackend(id: string): void {
    const view = this.directory.get(id);
    if (view) this.directory.put({ ...view.record, state: 'draining' });
    this.time.after(DRAIN_MS, () => this.directory.remove(id));
  }

  private getReadyIds(zone: string, spot: boolean): string[] {
    return this.directory
      .ofService('service')
      .filter(({ record }) => record.zone === zone && record.isSpot === spot && record.state === 'ready')
      .map(({ record }) => record.id);
  }
}

describe('capacity planner', () => {
  it('keeps the limits of each zone, and 60% of the back ends when one zone loses its spot ones', () => {
    fc.assert(
      fc.property(
        fc.nat({ max: 60 }),
        fc.option(fc.constant(0.3), { nil: undefined }),
        (total, spotPrice) => {
          const plan = planCapacity(DEFAULT_CAPACITY_PLANNER_SETTINGS, { ...RULES, spotPrice }, total);
          const sum = plan.reduce((all, { ordinary, spot }) => all + ordinary + spot, 0);
          expect(sum).to.equal(Math.min(36, Math.max(3, total)));
          for (const { ordinary, spot } of plan) {
            expect(ordinary + spot).to.be.within(RULES.min, RULES.max);
            expect(ordinary).to.be.at.least(RULES.min);
            expect(sum - spot).to.be.at.least(sum * 0.6);
            if (spotPrice === undefined) expect(spot).to.equal(0);
          }
        },
      ),
      { seed: SEED },
    );
  });
});

describe('capacity manager', () => {
  it('replaces ordinary back ends by spot ones without a gap, and orders nothing more when done', () => {
    const site = new SimulatedPlatform(4);
    site.wanted = 12;
    let minimum = Infinity;
    for (let at = 100; at <= 12_000; at += 100) {
      site.time.runUntil(at);
      minimum = Math.min(
        minimum,
        site
          .countReady()
          .flat()
          .reduce((sum, count) => sum + count, 0),
      );
    }
    expect(site.countReady()).to.deep.equal([
      [1, 3],
      [1, 3],
      [1, 3],
    ]);
    expect(minimum).to.equal(12);
    const { length } = site.orders;
    expect(length).to.be.at.most(9);
    site.time.runUntil(60_000);
    expect(site.orders.length).to.equal(length);
  });

  it('removes ordinary back ends first in a zone that is at its maximum', () => {
    const site = new SimulatedPlatform(6);
    site.wanted = 36;
    site.time.runUntil(30_000);
    expect(site.countReady()).to.deep.equal([
      [1, 11],
      [1, 11],
      [1, 11],
    ]);
  });

  it('repeats orders that were lost, delayed or unavailable, and replaces withdrawn back ends, with pauses', () => {
    const outcome = fc.constantFrom<'accepted' | 'lost' | 'unavailable' | 'delayed'>(
      'accepted',
      'lost',
      'unavailable',
      'delayed',
    );
    fc.assert(
      fc.property(
        fc.array(outcome, { maxLength: 12 }),
        fc.integer({ min: 3, max: 24 }),
        (outcomes, wanted) => {
          const site = new SimulatedPlatform(4);
          site.outcomes.push(...outcomes);
          site.wanted = 12;
          site.time.runUntil(6000);
          site.wanted = wanted;
          site.time.runUntil(10_000);
          site.remove('zone-b', true);
          site.time.runUntil(90_000);
          const total = site
            .countReady()
            .flat()
            .reduce((sum, count) => sum + count, 0);
          expect(total).to.equal(wanted);
          // Two kinds in three zones, each ordered at most about once a second while orders fail.
          expect(site.orders.length).to.be.below(60);
        },
      ),
      { seed: SEED, numRuns: 100 },
    );
  });
});

describe('engines that replace others', () => {
  it('cause the removal of the others only after the time to change their stage', () => {
    const site = new SimulatedPlatform(4, {
      slots: 8,
      kvCapacityTokens: 1,
      kvHandleLifetimeMs: 0,
      stageChangeMs: 3000,
    });
    site.wanted = 12;
    site.time.runUntil(BOOT_MS + 3000);
    expect(site.countReady().map(([ordinary]) => ordinary)).to.deep.equal([4, 4, 4]);
    site.time.runUntil(BOOT_MS + 4500);
    expect(site.countReady().map(([ordinary]) => ordinary)).to.deep.equal([1, 1, 1]);
  });

  it('are counted with the replacement factor for each initial ordinary engine, and only for these', () => {
    const directory = new BackendDirectory(DEFAULT_BACKEND_HEALTH_SETTINGS);
    for (let i = 0; i < 12; i += 1)
      directory.put({ ...makeLabBackend(`e${i}`, `10.0.0.${i}:80`), isSpot: i >= 8 });
    const demand = new CapacityDemand(DEFAULT_CAPACITY_DEMAND_SETTINGS);
    for (let now = 0; now <= 6000; now += TICK_MS) demand.update(directory.ofService('service'), true, now);
    expect(demand.getWanted(RULES, 6000)).to.equal(16);
  });
});

describe('capacity demand', () => {
  function makeDemand(engines: number): { demand: CapacityDemand; directory: BackendDirectory } {
    const directory = new BackendDirectory(DEFAULT_BACKEND_HEALTH_SETTINGS);
    for (let i = 0; i < engines; i += 1)
      directory.put({
        ...makeLabBackend(`e${i}`, `10.0.0.${i}:80`),
        stage: i % 3 === 0 ? 'decode' : 'prefill',
      });
    return { demand: new CapacityDemand(DEFAULT_CAPACITY_DEMAND_SETTINGS), directory };
  }

  function updateDemand(
    site: ReturnType<typeof makeDemand>,
    from: number,
    until: number,
  ): number | undefined {
    for (let now = from; now <= until; now += TICK_MS)
      site.demand.update(site.directory.ofService('service'), false, now);
    return site.demand.getWanted(RULES, until);
  }

  function addPrompts(site: ReturnType<typeof makeDemand>, prompts: number): void {
    const prefills = site.directory.ofService('service').filter(({ record }) => record.stage === 'prefill');
    for (let i = 0; i < prompts; i += 1) prefills[i % prefills.length].addAttempt(`a${i}`, 1000, 0);
  }

  it('starts at the initial back ends, then follows the load, up to 1.5 times the back ends in service', () => {
    const site = makeDemand(12);
    expect(updateDemand(site, 0, 4000)).to.equal(undefined);
    expect(updateDemand(site, 4000, 10_000)).to.equal(12);
    addPrompts(site, 8);
    expect(updateDemand(site, 10_000, 20_000)).to.equal(16);
    addPrompts(site, 100);
    expect(updateDemand(site, 20_000, 30_000)).to.equal(18);
    expect(site.demand.getWanted(undefined, 30_000)).to.equal(undefined);
  });

  it('decays slowly after the load has ended', () => {
    const site = makeDemand(12);
    addPrompts(site, 8);
    updateDemand(site, 0, 20_000);
    for (const view of site.directory.all()) for (let i = 0; i < 8; i += 1) view.removeAttempt(`a${i}`);
    expect(updateDemand(site, 20_000, 40_000)).to.equal(14);
    expect(updateDemand(site, 40_000, 400_000)).to.equal(1);
  });
});
