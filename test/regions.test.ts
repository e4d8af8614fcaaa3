/** A fleet over several regions: distances between places, the cost of distance, and its effect on each choice. */
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import { DistanceCost, type EngineLinks } from '../src/places/distance-cost.js';
import { DEFAULT_DISTANCE_SETTINGS } from '../src/places/distance-settings.js';
import { Places } from '../src/places/places.js';
import { RoundTrips } from '../src/places/round-trips.js';
import type { BackendRecord, EngineStage } from '../src/forwarding/routes/route.js';
import { findCutOffRegions } from '../src/forwarding/backends/region-contact.js';
import { makeEngine, ForwardingHarness, makePrompt } from './forwarding-harness.js';

const REGIONS = { 'zone-a': 'r1', 'zone-b': 'r1', 'zone-c': 'r2', 'zone-d': 'r2', 'zone-e': 'r3' };
/** 18 KB a token and 370 Gbit/s, so that 13,300 tokens are 245 MB. */
const LINKS: EngineLinks = { tokenBytes: 18_432, linkMbps: 370_000 };
const SLACK = 50;
const LONG = makePrompt(2000, 8000);
const SHORT = makePrompt(100, 0);

function makeCost(regionByZone: Record<string, string> = REGIONS): DistanceCost {
  const roundTrips = new RoundTrips(DEFAULT_DISTANCE_SETTINGS.roundTripMs);
  return new DistanceCost(DEFAULT_DISTANCE_SETTINGS, new Places(regionByZone), roundTrips);
}

function makeRecord(zone: string, id: string, stage?: EngineStage): BackendRecord {
  const record = stage ? makeEngine(id, stage) : makeLabBackend(id, '');
  return { ...record, zone, address: `10.0.0.1:${id}` };
}

function makeSite(...backends: BackendRecord[]): ForwardingHarness {
  return new ForwardingHarness(
    [makeLabRoute({ kind: 'stream', timeoutMs: 5000, targetLatencyMs: 500 })],
    backends,
    SLACK,
    REGIONS,
  );
}

/** Adds load of other requests to a back end. */
function addLoad(site: ForwardingHarness, id: string, requests: number, tokens = 0): void {
  for (let count = 0; count < requests; count += 1)
    site.directory.get(id)?.addAttempt(`${id}/${count}`, tokens / requests, 0);
}

function lastBackend(site: ForwardingHarness): string | undefined {
  return site.getStarts().at(-1)?.backend.id;
}

/** Time at which cut-off regions are looked for: soon after back ends were lost. Milliseconds. */
const CHECKED_AT_MS = 50;

describe('places', () => {
  it('are in the same zone, in the same region or in different regions', () => {
    const places = new Places(REGIONS);
    expect(places.getDistance('zone-a', 'zone-a')).to.equal('sameZone');
    expect(places.getDistance('zone-a', 'zone-b')).to.equal('sameRegion');
    expect(places.getDistance('zone-a', 'zone-c')).to.equal('otherRegion');
    expect(places.getOtherRegions('zone-a')).to.deep.equal(['r2', 'r3']);
  });

  it('that the settings do not list count as in the same region', () => {
    const places = new Places(REGIONS);
    expect(places.getDistance('zone-a', 'zone-new')).to.equal('sameRegion');
    expect(places.getDistance('zone-a', 'constructor')).to.equal('sameRegion');
  });

  it('of one region, or of none listed, are no fleet of several regions', () => {
    expect(new Places({}).hasSeveralRegions()).to.equal(false);
    expect(new Places({ 'zone-a': 'r1', 'zone-b': 'r1' }).hasSeveralRegions()).to.equal(false);
  });
});

describe('cost of distance', () => {
  it('of a call is the round trip and the price of its bytes', () => {
    const cost = makeCost();
    expect(cost.getCallExpense('zone-a', 'zone-a', 17_000).costMs).to.equal(0);
    expect(cost.getCallExpense('zone-a', 'zone-b', 17_000)).to.deep.equal({ timeMs: 2, costMs: 10.5 });
    expect(cost.getCallExpense('zone-a', 'zone-c', 17_000)).to.deep.equal({ timeMs: 16, costMs: 50 });
  });

  it('of a copy is its time on the link between the zones and the price of its bytes', () => {
    const cost = makeCost();
    const copyMs = (zone: string) => cost.getCopyExpense('zone-a', zone, 13_300, LINKS).timeMs;
    expect(copyMs('zone-a')).to.be.closeTo(5.3, 0.1);
    expect(copyMs('zone-b')).to.be.closeTo(2 * 5.3 + 2, 0.1);
    expect(copyMs('zone-c')).to.be.closeTo(10 * 5.3 + 16, 0.1);
    expect(cost.getCopyExpense('zone-a', 'zone-c', 13_300, undefined).costMs).to.equal(0);
  });

  it('in one region is the round trip alone, for any number of bytes', () => {
    const cost = makeCost({ 'zone-a': 'r1', 'zone-b': 'r1' });
    expect(cost.getCallExpense('zone-a', 'zone-b', 17_000)).to.deep.equal({ timeMs: 2, costMs: 2 });
  });
});

describe('round trips', () => {
  it('follow a link between regions that becomes slow within 30 probes, and its recovery within 10', () => {
    const roundTrips = new RoundTrips(DEFAULT_DISTANCE_SETTINGS.roundTripMs);
    const feed = (region: string, ms: number, times: number) => {
      for (let count = 0; count < times; count += 1) roundTrips.addSample(region, 'otherRegion', ms);
    };
    feed('r2', 400, 30);
    expect(roundTrips.getRoundTripMs('r2', 'otherRegion')).to.be.closeTo(400, 20);
    expect(roundTrips.getRoundTripMs('r3', 'otherRegion')).to.equal(16);
    feed('r2', 16, 10);
    expect(roundTrips.getRoundTripMs('r2', 'otherRegion')).to.be.closeTo(16, 1);
  });

  it('ignore invalid samples', () => {
    const roundTrips = new RoundTrips(DEFAULT_DISTANCE_SETTINGS.roundTripMs);
    for (const ms of [NaN, -1, Infinity]) roundTrips.addSample('r2', 'otherRegion', ms);
    expect(roundTrips.getRoundTripMs('r2', 'otherRegion')).to.equal(16);
  });
});

describe('choice of a back end among regions', () => {
  it('plain: the own zone while it has capacity, then the own region, another one only to avoid a long wait', () => {
    const site = makeSite(
      makeRecord('zone-a', 'near'),
      makeRecord('zone-b', 'next'),
      makeRecord('zone-c', 'far'),
    );
    site.begin({ id: 'r1' });
    expect(lastBackend(site)).to.equal('near');
    addLoad(site, 'near', 9);
    site.begin({ id: 'r2' });
    expect(lastBackend(site)).to.equal('next');
    addLoad(site, 'next', 9);
    site.begin({ id: 'r3' });
    expect(lastBackend(site)).to.not.equal('far');
    addLoad(site, 'near', 40);
    addLoad(site, 'next', 40);
    site.begin({ id: 'r4' });
    expect(lastBackend(site)).to.equal('far');
  });

  it('prompts: computed and generated in the own region while its engines are not clearly busier', () => {
    const stages: [string, EngineStage][] = [
      ['p', 'prefill'],
      ['d', 'decode'],
    ];
    const zones = ['zone-b', 'zone-c'];
    const site = makeSite(
      ...zones.flatMap((zone) => stages.map(([id, stage]) => makeRecord(zone, `${id}-${zone}`, stage))),
    );
    addLoad(site, 'p-zone-b', 1, 4000);
    site.begin({ id: 'r1', prompt: LONG, bodyBytes: 10_000, callerDeadlineMs: 5000 });
    expect(lastBackend(site)).to.equal('p-zone-b');
    site.event({ kind: 'prefilled', handle: 'h' }, 100);
    expect(lastBackend(site)).to.equal('d-zone-b');
    addLoad(site, 'p-zone-b', 20, 60_000);
    site.begin({ id: 'r2', prompt: LONG, bodyBytes: 10_000, callerDeadlineMs: 5000 });
    expect(lastBackend(site)).to.equal('p-zone-c');
    site.event({ kind: 'prefilled', handle: 'h' }, 200);
    expect(lastBackend(site), 'both stages in the same region').to.equal('d-zone-c');
  });

  it('short prompts: a decode engine of the own region', () => {
    const site = makeSite(makeRecord('zone-b', 'near', 'decode'), makeRecord('zone-c', 'far', 'decode'));
    addLoad(site, 'near', 6);
    site.begin({ prompt: SHORT });
    expect(lastBackend(site)).to.equal('near');
  });

  it('copies: from the nearest of the engines that keep most of the prompt', () => {
    const site = makeSite(
      makeRecord('zone-c', 'far', 'decode'),
      makeRecord('zone-b', 'near', 'decode'),
      makeRecord('zone-a', 'p', 'prefill'),
    );
    for (const id of ['far', 'near']) site.kvIndex.addComputedPrompt(id, LONG, 100_000);
    site.begin({ prompt: LONG });
    expect(site.getStarts()[0].copyFrom).to.equal('10.0.0.1:near');
  });

  it('homes: a shared part has one in each region, the same for all its daemons', () => {
    const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
    const engines = zones.flatMap((zone) => [
      makeRecord(zone, `p1-${zone}`, 'prefill'),
      makeRecord(zone, `p2-${zone}`, 'prefill'),
    ]);
    const site = makeSite(
      ...engines,
      makeRecord('zone-a', 'd1', 'decode'),
      makeRecord('zone-c', 'd2', 'decode'),
    );
    const reasons = ['one', 'two', 'three', 'four', 'five', 'six'].map((key) => {
      site.begin({ id: key, prompt: makePrompt(2000, 8000, key) });
      expect(lastBackend(site)).to.match(/zone-[ab]$/);
      site.manager.cancel(key, 0);
      return site.effects.flatMap((effect) =>
        effect.kind === 'decision' && effect.event === 'request.attempt' ? [effect.fields.reason] : [],
      );
    });
    expect(new Set(reasons.at(-1))).to.deep.equal(new Set(['home']));
  });

  it('a region whose back ends are all lost uses those of another one', () => {
    const site = makeSite(makeRecord('zone-a', 'near'), makeRecord('zone-c', 'far'));
    site.directory.get('near')?.health.onUnreachable(0);
    site.begin();
    expect(lastBackend(site)).to.equal('far');
  });

  it('a region without prefill engines has prompts computed by another one', () => {
    const site = makeSite(
      makeRecord('zone-a', 'near', 'decode'),
      makeRecord('zone-c', 'far', 'prefill'),
      makeRecord('zone-c', 'd', 'decode'),
    );
    site.begin({ prompt: LONG, bodyBytes: 10_000 });
    expect(site.getStarts()[0]).to.include({ prefillOnly: true });
    expect(lastBackend(site)).to.equal('far');
    site.event({ kind: 'prefilled', handle: 'h' }, 100);
    expect(lastBackend(site), 'the KV cache is nearer there').to.equal('d');
  });

  it('a region without decode engines generates in another one', () => {
    const site = makeSite(makeRecord('zone-a', 'p', 'prefill'), makeRecord('zone-c', 'd', 'decode'));
    site.begin({ prompt: LONG });
    expect(lastBackend(site)).to.equal('p');
    site.event({ kind: 'prefilled', handle: 'h' }, 100);
    expect(lastBackend(site)).to.equal('d');
  });

  it('a region that is cut off: it gets no requests and nothing is copied from it until contact is regained', () => {
    const far = ['f1', 'f2', 'f3'].map((id) => makeRecord('zone-c', id, 'decode'));
    const site = makeSite(makeRecord('zone-a', 'p', 'prefill'), makeRecord('zone-a', 'd', 'decode'), ...far);
    site.kvIndex.addComputedPrompt('f3', LONG, 100_000);
    const checkRegions = () =>
      site.distance.setCutOff(findCutOffRegions(site.directory.all(), site.distance, CHECKED_AT_MS));
    const copyFrom = (id: string) => {
      site.begin({ id, prompt: LONG });
      return site.getStarts().at(-1)?.copyFrom;
    };
    checkRegions();
    expect(copyFrom('r1')).to.equal('10.0.0.1:f3');
    site.directory.get('f1')?.health.onUnreachable(10);
    checkRegions();
    expect(copyFrom('r2'), 'one engine lost').to.equal('10.0.0.1:f3');
    site.directory.get('f2')?.health.onUnreachable(20);
    checkRegions();
    expect(copyFrom('r3'), 'two engines lost, the one with the KV cache not tried').to.equal(undefined);
    addLoad(site, 'd', 40);
    site.begin({ id: 'r4', prompt: SHORT }, 30);
    expect(lastBackend(site)).to.equal('d');
    site.directory.get('f1')?.health.onProbeAnswered(40);
    checkRegions();
    expect(copyFrom('r5')).to.equal('10.0.0.1:f3');
    site.begin({ id: 'r6', prompt: SHORT }, 50);
    expect(lastBackend(site)).to.be.oneOf(['f1', 'f3']);
  });

  it('a region that is cut off is still tried when no other back end is left', () => {
    const site = makeSite(makeRecord('zone-c', 'f1'), makeRecord('zone-c', 'f2'));
    for (const id of ['f1', 'f2']) site.directory.get(id)?.health.onUnreachable(10);
    site.distance.setCutOff(findCutOffRegions(site.directory.all(), site.distance, CHECKED_AT_MS));
    site.begin({}, 20);
    expect(site.getStarts()).to.have.length(1);
  });

  it('a link between regions of 200 ms: requests stay in the own region until they would wait longer than that', () => {
    const site = makeSite(makeRecord('zone-a', 'near', 'decode'), makeRecord('zone-c', 'far', 'decode'));
    for (let count = 0; count < 40; count += 1) site.roundTrips.addSample('r2', 'otherRegion', 400);
    // At 90 tokens a millisecond, 30,000 tokens are computed in 333 ms, and in twice that on a decode engine.
    addLoad(site, 'near', 4, 12_000);
    site.begin({ id: 'r1', prompt: SHORT });
    expect(lastBackend(site)).to.equal('near');
    addLoad(site, 'near', 4, 40_000);
    site.begin({ id: 'r2', prompt: SHORT });
    expect(lastBackend(site)).to.equal('far');
  });

  it('the log line of each attempt has the distance; in a fleet of one region none has', () => {
    const several = makeSite(makeRecord('zone-c', 'far'));
    several.begin();
    const one = new ForwardingHarness([makeLabRoute({})], [makeRecord('zone-c', 'far')]);
    one.begin();
    const distances = [several, one].map((site) =>
      site.effects.flatMap((effect) =>
        effect.kind === 'decision' && effect.event === 'request.attempt' ? [effect.fields.distance] : [],
      ),
    );
    expect(distances).to.deep.equal([['otherRegion'], [undefined]]);
  });

  it('the log line of an attempt in another region has its cost there and the cost in the own region', () => {
    const site = makeSite(makeRecord('zone-a', 'near'), makeRecord('zone-c', 'far'));
    addLoad(site, 'near', 40);
    site.begin();
    const lines = site.effects.flatMap((effect) =>
      effect.kind === 'decision' && effect.event === 'request.attempt' ? [effect.fields] : [],
    );
    // 20 ms of work, times 1 + 4.125 (33 requests in excess of the 8 slots) + 1.25 (a quarter of the load of 5).
    expect(lines[0]).to.include({ backend: 'far', distance: 'otherRegion', ownRegionMs: 128, costMs: 39 });
  });
});
