/** Unit tests of policies that use no sockets: fair queue, picker, allocation, lease, retry budget. */
import { expect } from 'chai';
import fc from 'fast-check';
import { getCapability, DEFAULT_ENGINE_MODEL_SETTINGS } from '../lab/engine-model-settings.js';
import { PlatformModel } from '../lab/platform-model.js';
import {
  DEFAULT_ALLOCATION_SETTINGS,
  planNextChange,
  type AllocatableEngine,
  type ModelDemand,
} from '../src/allocation/role-allocator.js';
import { servableFactor } from '../src/allocation/throughput-model.js';
import { CellLease, DEFAULT_LEASE_SETTINGS, type LeaseEffect } from '../src/lease/cell-lease.js';
import type { EngineAssignment, EngineReport, EngineRole } from '../src/contracts/engine-protocol.js';
import { AdmissionQueue } from '../src/routing/admission-queue.js';
import { EngineView } from '../src/routing/engine-directory.js';
import { DEFAULT_PICKER_SETTINGS, EnginePicker, type PickRequest } from '../src/routing/engine-picker.js';
import { RetryBudget } from '../src/routing/retry-budget.js';
import { SeededRandom } from '../src/shared/random.js';

const SEED = 20261202;
const capability = getCapability(DEFAULT_ENGINE_MODEL_SETTINGS);

function makeAssignment(role: EngineRole, version = 1): EngineAssignment {
  return { role, model: 'm', version, adapters: [] };
}

function makeEngines(roles: readonly EngineRole[]): AllocatableEngine[] {
  return roles.map((role, index) => ({
    id: `e${index}`,
    assignment: makeAssignment(role),
    capability,
    streams: index,
    cachedShare: 0,
    drainMs: 5000,
    changing: false,
  }));
}

function makeDemand(prefillPerSecond: number, decodePerSecond: number, version = 1): ModelDemand {
  return { model: 'm', version, adapters: [], prefillPerSecond, decodePerSecond };
}

describe('admission queue', () => {
  it('serves higher classes first and the services of a class by weight', () => {
    const queue = new AdmissionQueue();
    for (let index = 0; index < 40; index += 1) {
      queue.push({ id: `light${index}`, service: 'light', priority: 5, weight: 1, cost: 100 });
      queue.push({ id: `heavy${index}`, service: 'heavy', priority: 5, weight: 3, cost: 100 });
    }
    queue.push({ id: 'urgent', service: 'light-urgent', priority: 1, weight: 1, cost: 100 });
    const order: string[] = [];
    for (let taken = 0; taken < 21; taken += 1) {
      const [head] = queue.heads();
      order.push(head.service);
      queue.remove(head.id);
    }
    expect(order[0]).to.equal('light-urgent');
    expect(order.filter((service) => service === 'heavy')).to.have.length(15);
  });

  it('loses no item and keeps its cost correct for any sequence of items', () => {
    const item = fc.record({
      service: fc.constantFrom('a', 'b', 'c'),
      priority: fc.nat({ max: 2 }),
      weight: fc.integer({ min: 1, max: 9 }),
      cost: fc.integer({ min: 1, max: 500 }),
    });
    fc.assert(
      fc.property(fc.array(item, { maxLength: 40 }), (items) => {
        const queue = new AdmissionQueue();
        items.forEach((entry, index) => queue.push({ ...entry, id: String(index) }));
        const seen = new Set<string>();
        while (queue.length > 0) {
          const [head] = queue.heads();
          seen.add(head.id);
          expect(queue.remove(head.id)).to.equal(true);
        }
        expect(seen.size).to.equal(items.length);
        expect(queue.cost()).to.equal(0);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});

describe('engine picker', () => {
  function makeView(id: string, role: EngineRole, streams: number, waitingPrefillTokens = 0): EngineView {
    const engine = new EngineView(id, id, 'z', 'c', 5000);
    const report: EngineReport = {
      assignment: makeAssignment(role),
      phase: 'active',
      streams,
      maximumStreams: 64,
      waitingPrefillTokens,
      cachedShare: 0,
      capability,
      clockMs: 0,
      epoch: 0,
      sequence: 0,
    };
    engine.applyReport(report, 0);
    return engine;
  }
  const request: PickRequest = {
    model: 'm',
    version: 1,
    adapter: '',
    promptTokens: 4000,
    prefixKey: 'p',
    excluded: new Set(),
    exhaustive: true,
  };
  const picker = new EnginePicker(DEFAULT_PICKER_SETTINGS, 'z', new SeededRandom(1));

  it('picks the least loaded engine, and tells busy from missing engines', () => {
    const picked = picker.pick(request, [makeView('a', 'mixed', 10, 9000), makeView('b', 'mixed', 10, 0)], 0);
    expect(picked.kind === 'chosen' && picked.choice.generate.id).to.equal('b');
    expect(picker.pick(request, [makeView('a', 'mixed', 64)], 0).kind).to.equal('busy');
    expect(picker.pick({ ...request, version: 2 }, [makeView('a', 'mixed', 0)], 0).kind).to.equal('none');
  });

  it('sends a long prompt to a prefill engine only where its first token is expected earlier', () => {
    const idle = [makeView('p', 'prefill', 0), makeView('d', 'decode', 0), makeView('m', 'mixed', 0, 20_000)];
    const split = picker.pick(request, idle, 0);
    expect(split.kind === 'chosen' && split.choice.prefill?.id).to.equal('p');
    const busy = [makeView('p', 'prefill', 0, 60_000), makeView('d', 'decode', 0), makeView('m', 'mixed', 0)];
    const direct = picker.pick(request, busy, 0);
    expect(direct.kind === 'chosen' && direct.choice.prefill).to.equal(undefined);
  });

  it('never picks an engine that is draining, leaving or ejected', () => {
    const draining = makeView('a', 'mixed', 0);
    draining.markPhase('draining', 1);
    const leaving = makeView('b', 'mixed', 0);
    leaving.listedLeaving = true;
    const failing = makeView('c', 'mixed', 0);
    for (let count = 0; count < 3; count += 1)
      failing.addFailure(0, {
        reportLagMs: 0,
        maximumReportAgeMs: 5000,
        ejectAfterFailures: 3,
        ejectionMs: 2000,
      });
    expect(picker.pick(request, [draining, leaving, failing], 1).kind).to.equal('none');
    expect(picker.pick(request, [failing], 2001).kind).to.equal('chosen');
  });
});

describe('allocation policy', () => {
  it('changes nothing when the gain is below the cost of the change', () => {
    expect(
      planNextChange(
        makeEngines(['mixed', 'mixed', 'mixed', 'mixed']),
        [makeDemand(10_000, 1000)],
        DEFAULT_ALLOCATION_SETTINGS,
      ),
    ).to.equal(undefined);
  });

  it('moves engines from an idle role to an overloaded one', () => {
    const change = planNextChange(
      makeEngines(['prefill', 'prefill', 'prefill', 'decode']),
      [makeDemand(2000, 9000)],
      DEFAULT_ALLOCATION_SETTINGS,
    );
    expect(change?.assignment.role).to.be.oneOf(['decode', 'mixed']);
    const costlierChange = { ...DEFAULT_ALLOCATION_SETTINGS, roleChangeCostSeconds: 10_000 };
    expect(
      planNextChange(
        makeEngines(['prefill', 'prefill', 'prefill', 'decode']),
        [makeDemand(2000, 9000)],
        costlierChange,
      ),
    ).to.equal(undefined);
  });

  it('gives a new version an engine, and never takes the last one of another', () => {
    const engines = makeEngines(['mixed', 'mixed']);
    const change = planNextChange(
      engines,
      [makeDemand(10, 10), makeDemand(10, 10, 2)],
      DEFAULT_ALLOCATION_SETTINGS,
    );
    expect(change?.assignment.version).to.equal(2);
    const withoutDonor = planNextChange(
      makeEngines(['mixed']),
      [makeDemand(10, 10), makeDemand(10, 10, 2)],
      DEFAULT_ALLOCATION_SETTINGS,
    );
    expect(withoutDonor).to.equal(undefined);
  });

  it('keeps the minimum capacity in any group, for any demand and cost', () => {
    const roles = fc.array(fc.constantFrom<EngineRole>('prefill', 'decode', 'mixed'), {
      minLength: 2,
      maxLength: 8,
    });
    fc.assert(
      fc.property(
        roles,
        fc.nat({ max: 100_000 }),
        fc.nat({ max: 20_000 }),
        fc.nat({ max: 50 }),
        (currentRoles, prefill, decode, cost) => {
          const engines = makeEngines(currentRoles);
          const change = planNextChange(engines, [makeDemand(prefill, decode)], {
            ...DEFAULT_ALLOCATION_SETTINGS,
            roleChangeCostSeconds: cost,
          });
          if (!change) return;
          const next = engines.map((engine) =>
            engine.id === change.engineId ? change.assignment.role : engine.assignment.role,
          );
          const count = (role: EngineRole): number => next.filter((other) => other === role).length;
          expect(count('mixed') + Math.min(count('prefill'), count('decode'))).to.be.at.least(1);
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
  });

  it('never serves less with more engines', () => {
    const count = fc.nat({ max: 6 });
    fc.assert(
      fc.property(count, count, count, (prefill, decode, mixed) => {
        const load = makeDemand(20_000, 4000);
        const factor = servableFactor({ prefill, decode, mixed }, load, capability);
        expect(servableFactor({ prefill, decode, mixed: mixed + 1 }, load, capability)).to.be.at.least(
          factor,
        );
      }),
      { seed: SEED, numRuns: 100 },
    );
  });
});

describe('cell lease', () => {
  class LeaseCandidate {
    readonly log: string[] = [];
    readonly lease: CellLease;
    losesAnswers = false;
    constructor(
      readonly name: string,
      private readonly platform: PlatformModel,
    ) {
      this.lease = new CellLease('cell', name, DEFAULT_LEASE_SETTINGS, (effect) => this.runEffect(effect), 0);
    }
    private now = 0;
    tick(now: number): void {
      this.now = now;
      this.lease.tick(now, true);
    }
    private runEffect(effect: LeaseEffect): void {
      if (effect.kind !== 'leaseTable') {
        this.log.push(effect.kind);
        return;
      }
      const result = this.platform.applyTableRequest(effect.request, this.now);
      const { now } = this;
      const lost = this.losesAnswers || !result;
      queueMicrotask(() =>
        this.lease.receiveTableResult(lost ? { kind: 'noAnswer', reason: 'lost' } : result, now),
      );
    }
  }
  const step = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

  it('has one holder at a time, is taken over after its expiry, and an expired epoch never returns', async () => {
    const platform = new PlatformModel();
    const first = new LeaseCandidate('first', platform);
    const second = new LeaseCandidate('second', platform);
    for (let now = 0; now <= 8000; now += 100) {
      first.tick(now);
      second.tick(now);
      await step();
      expect(first.lease.getHeldLease(now) && second.lease.getHeldLease(now)).to.equal(undefined);
    }
    const epoch = first.lease.getHeldLease(8000)?.epoch;
    expect(epoch).to.equal(1);
    for (let now = 8100; now <= 24_000; now += 100) {
      second.tick(now);
      await step();
    }
    expect(second.lease.getHeldLease(24_000)?.epoch).to.equal(2);
    expect(first.lease.getHeldLease(24_000)).to.equal(undefined);
  });

  it('resolves a lost answer by a retry with the same write id, and is valid from the first request', async () => {
    const platform = new PlatformModel();
    const holder = new LeaseCandidate('holder', platform);
    for (let now = 0; now <= 500; now += 100) {
      holder.tick(now);
      await step();
      holder.losesAnswers = holder.lease.getLastObserved() === undefined && now >= 0;
    }
    expect(holder.lease.getHeldLease(500)).to.equal(undefined);
    holder.losesAnswers = false;
    for (let now = 600; now <= 3000; now += 100) {
      holder.tick(now);
      await step();
    }
    expect(holder.lease.getHeldLease(3000)?.epoch).to.equal(1);
    expect(platform.getRow('leases', 'cell')?.revision).to.be.at.most(2);
  });
});

describe('retry budget', () => {
  it('limits retries to its share of requests', () => {
    const budget = new RetryBudget(0.2);
    let retries = 0;
    for (let request = 0; request < 1000; request += 1) {
      budget.addRequest();
      if (budget.tryRetry()) retries += 1;
    }
    expect(retries).to.be.within(190, 215);
  });

  it('allows a new process at most one retry more than its requests earn', () => {
    let retries = 0;
    const processes = 20;
    const requests = 25;
    for (let index = 0; index < processes; index += 1) {
      const budget = new RetryBudget(0.2);
      for (let request = 0; request < requests; request += 1) {
        budget.addRequest();
        if (budget.tryRetry()) retries += 1;
      }
    }
    expect(retries).to.be.at.most(processes * (requests * 0.2 + 1));
  });
});
