/** Stages of a service with engines in several regions. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  DEFAULT_STAGE_PLANNER_SETTINGS,
  planStage,
  type StageDemand,
} from '../src/allocation/stage-planner.js';
import { StageCoordinator, type StageEffect } from '../src/allocation/stage-coordinator.js';
import { groupByRegion, planRegions } from '../src/allocation/stage-regions.js';
import { DEFAULT_BACKEND_HEALTH_SETTINGS } from '../src/forwarding/backends/backend-health.js';
import { BackendView } from '../src/forwarding/backends/backend-view.js';
import { PeerLoads } from '../src/forwarding/backends/peer-loads.js';
import { DEFAULT_PACE_TRACKER_SETTINGS, PaceTracker } from '../src/forwarding/pace/pace-tracker.js';
import type { EngineStage } from '../src/forwarding/routes/route.js';
import { makeLabBackend } from '../lab/forwarding-site.js';
import { FLEET_SETTINGS } from '../simulation/forwarding-fleet.js';

const SEED = 20261202;
const SLOTS = 12;
const SETTINGS = DEFAULT_STAGE_PLANNER_SETTINGS;

function makeDemand(
  prefillEngines: number,
  decodeEngines: number,
  streams: number,
  prompts = 0,
): StageDemand {
  return { prefillEngines, decodeEngines, slots: SLOTS, prompts, streams };
}

function planSteps(regions: Readonly<Record<string, StageDemand>>): string[] {
  return planRegions(SETTINGS, new Map(Object.entries(regions))).map(
    ({ region, step }) => `${region} ${step}`,
  );
}

describe('stages by region', () => {
  it('a single region is planned like a fleet without regions, for any load', () => {
    const count = fc.integer({ min: 0, max: 200 });
    fc.assert(
      fc.property(
        count,
        count,
        fc.integer({ min: 0, max: 3000 }),
        count,
        (prefill, decode, streams, prompts) => {
          const only = makeDemand(prefill, decode, streams, prompts);
          const step = planStage(SETTINGS, only);
          expect(planSteps({ only })).to.deep.equal(step === 'none' ? [] : [`only ${step}`]);
        },
      ),
      { seed: SEED, numRuns: 1000 },
    );
  });

  it('each region reaches its shares', () => {
    expect(
      planSteps({ a: makeDemand(9, 4, 10), b: makeDemand(12, 1, 10), c: makeDemand(9, 4, 10) }),
    ).to.deep.equal(['b toDecode']);
  });

  it('a region without engines of a stage gets one, even when the other engines are full', () => {
    expect(planSteps({ a: makeDemand(0, 4, 48), b: makeDemand(9, 4, 48) })).to.include('a toPrefill');
    expect(planSteps({ a: makeDemand(4, 0, 0), b: makeDemand(9, 4, 10) })).to.include('a toDecode');
  });

  it('a full region changes nothing while another has room for its excess streams', () => {
    expect(planSteps({ a: makeDemand(9, 4, 45), b: makeDemand(9, 4, 10) })).to.deep.equal([]);
    expect(planSteps({ a: makeDemand(9, 4, 45), b: makeDemand(9, 4, 28) })).to.deep.equal(['a toDecode']);
  });

  it('a region returns no engine to prefill whose slots another region needs', () => {
    expect(planSteps({ a: makeDemand(8, 5, 20), b: makeDemand(9, 4, 20) })).to.deep.equal(['a toPrefill']);
    expect(planSteps({ a: makeDemand(8, 5, 20), b: makeDemand(9, 4, 48) })).to.deep.equal([]);
  });

  it('other regions add capacity for a region that has no engine left to change', () => {
    expect(planSteps({ a: makeDemand(1, 2, 60), b: makeDemand(9, 4, 20) })).to.deep.equal(['b toDecode']);
  });

  it('the region with the higher load comes first, and added decode engines before returned ones', () => {
    const full = { a: makeDemand(9, 4, 42), b: makeDemand(9, 4, 47), c: makeDemand(5, 8, 90) };
    expect(planSteps(full)).to.deep.equal(['b toDecode', 'c toDecode', 'a toDecode']);
    expect(planSteps({ a: makeDemand(8, 5, 20), b: makeDemand(13, 0, 0) })).to.deep.equal([
      'b toDecode',
      'a toPrefill',
    ]);
  });

  it('converges for any regions and any constant load, and each region keeps both stages', () => {
    const region = fc.record({
      engines: fc.integer({ min: 2, max: 40 }),
      decode: fc.integer({ min: 0, max: 40 }),
      streams: fc.integer({ min: 0, max: 800 }),
    });
    fc.assert(
      fc.property(fc.array(region, { minLength: 2, maxLength: 5 }), (regions) => {
        const decodes = regions.map(({ engines, decode }) => Math.min(engines, decode));
        const engines = regions.reduce((sum, one) => sum + one.engines, 0);
        const step = (): boolean => {
          const demands = regions.map((one, index): [string, StageDemand] => [
            String(index),
            makeDemand(one.engines - decodes[index], decodes[index], one.streams),
          ]);
          const steps = planRegions(SETTINGS, new Map(demands));
          if (steps.length === 0) return false;
          decodes[Number(steps[0].region)] += steps[0].step === 'toDecode' ? 1 : -1;
          return true;
        };
        let steps = 0;
        while (step()) {
          steps += 1;
          expect(steps).to.be.at.most(2 * engines);
        }
        regions.forEach((one, index) => {
          expect(decodes[index]).to.be.within(1, one.engines - 1);
        });
      }),
      { seed: SEED, numRuns: 1000 },
    );
  });

  it('engines of a region with only one are assigned to the largest region', () => {
    const groups = groupByRegion(['a1', 'b1', 'b2', 'b3', 'c1', 'c2', 'd1'], ([region]) => region);
    expect([...groups].map(([region, items]) => `${region}: ${items.join(' ')}`)).to.deep.equal([
      'b: b1 b2 b3 a1 d1',
      'c: c1 c2',
    ]);
    expect([...groupByRegion(['a1', 'b1', 'c1'], ([region]) => region).values()]).to.deep.equal([
      ['a1', 'b1', 'c1'],
    ]);
    expect(groupByRegion([], () => '').size).to.equal(0);
  });
});

/** Creates engines from zones and stages; zone `north-1` is in region `north`. */
function makeViews(places: readonly (readonly [zone: string, stage: EngineStage])[]): BackendView[] {
  const paces = new PaceTracker(DEFAULT_PACE_TRACKER_SETTINGS);
  return places.map(([zone, stage], index) => {
    const id = `${zone}/${index}`;
    return new BackendView(
      { ...makeLabBackend(id, `10.0.0.${index}:80`), zone, stage },
      DEFAULT_BACKEND_HEALTH_SETTINGS,
      new PeerLoads(),
      paces.get(id),
    );
  });
}

/** The engines answer in turn, each in its multiple of the same time. */
function answerInTurn(views: readonly BackendView[], multiples: readonly number[]): void {
  for (let round = 0; round < 100; round += 1)
    for (const [index, multiple] of multiples.entries())
      views[index].pace.addSample('group', 1000, 100 * multiple);
}

/** The ids of the engines whose state a coordinator with the lease requests in order to change them. */
function findRequestedEngines(views: readonly BackendView[], loaded = true): string[] {
  const asked: string[] = [];
  const effects: StageEffect[] = [];
  const coordinator = new StageCoordinator(
    'service',
    'daemon-1',
    FLEET_SETTINGS.stages,
    (effect) => effects.push(effect),
    0,
  );
  const regionOf = (zone: string) => zone.slice(0, zone.indexOf('-'));
  for (let now = 0; now < 3000; now += 10) {
    coordinator.tick({ views, slots: SLOTS, loaded, shouldLead: true, regionOf }, now);
    for (const effect of effects.splice(0)) {
      if (effect.kind === 'askEngine') asked.push(effect.backend.id);
      else if (effect.kind !== 'leaseTable') continue;
      else if (effect.request.kind === 'read')
        coordinator.receiveTableResult({ kind: 'row', row: null }, now);
      else coordinator.receiveTableResult({ kind: 'committed', revision: 1 }, now);
    }
  }
  return asked;
}

describe('stages of engines in several regions', () => {
  const north = Array.from({ length: 6 }, (_, index): [string, EngineStage] => [
    `north-${index % 2}`,
    index < 4 ? 'prefill' : 'decode',
  ]);

  it('a region that has lost all prefill engines changes one of its remaining engines to prefill', () => {
    const south: [string, EngineStage][] = [
      ['south-1', 'decode'],
      ['south-2', 'decode'],
    ];
    const asked = findRequestedEngines(makeViews([...north, ...south]));
    expect(asked).to.have.length(1);
    expect(asked[0]).to.match(/^south-/);
  });

  it('the loss of a whole region changes nothing in the others', () => {
    expect(findRequestedEngines(makeViews(north))).to.deep.equal([]);
  });

  it('the slowest engine is moved to decode, the fastest to prefill', () => {
    const views = makeViews([
      ...Array<[string, EngineStage]>(5).fill(['north-1', 'prefill']),
      ['north-1', 'decode'],
    ]);
    answerInTurn(views, [1, 1, 1.4, 1, 0.8, 1]);
    expect(findRequestedEngines(views)[0]).to.equal('north-1/2');
    const spare = makeViews([
      ['north-1', 'prefill'],
      ...Array<[string, EngineStage]>(5).fill(['north-1', 'decode']),
    ]);
    answerInTurn(spare, [1, 1, 1.4, 1, 0.8, 1]);
    expect(findRequestedEngines(spare)[0]).to.equal('north-1/4');
  });
});
