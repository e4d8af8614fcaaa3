/** A fleet over several regions: how far places are apart, what distance costs, and how much it weighs in each choice. */
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import { DistanceCost, type EngineLinks } from '../src/places/distance-cost.js';
import { DEFAULT_DISTANCE_SETTINGS } from '../src/places/distance-settings.js';
import { Places } from '../src/places/places.js';
import { RoundTrips } from '../src/places/round-trips.js';
import type { BackendRecord, EngineStage } from '../src/forwarding/routes/route.js';
import { findCutOffRegions } from '../src/forwarding/backends/region-contact.js';
import { engine, Forwarding, prompt } from './forwarding-harness.js';

const REGIONS = { 'zone-a': 'r1', 'zone-b': 'r1', 'zone-c': 'r2', 'zone-d': 'r2', 'zone-e': 'r3' };
/** 18 KB a token and 370 Gbit/s: 13,300 tokens are 245 MB. */
const LINKS: EngineLinks = { tokenBytes: 18_432, linkMbps: 370_000 };
const SLACK = 50;
const LONG = prompt(2000, 8000);
const SHORT = prompt(100, 0);

function makeCost(regionByZone: Record<string, string> = REGIONS): DistanceCost {
  const roundTrips = new RoundTrips(DEFAULT_DISTANCE_SETTINGS.roundTripMs);
  return new DistanceCost(DEFAULT_DISTANCE_SETTINGS, new Places(regionByZone), roundTrips);
}

function at(zone: string, id: string, stage?: EngineStage): BackendRecord {
  const record = stage ? engine(id, stage) : makeLabBackend(id, '');
  return { ...record, zone, address: `10.0.0.1:${id}` };
}

function makeSite(...backends: BackendRecord[]): Forwarding {
  return new Forwarding(
    [makeLabRoute({ kind: 'stream', timeoutMs: 5000, targetLatencyMs: 500 })],
    backends,
    SLACK,
    REGIONS,
  );
}

/** Puts work of other requests on a back end. */
function addLoad(site: Forwarding, id: string, requests: number, tokens = 0): void {
  for (let count = 0; count < requests; count += 1)
    site.directory.get(id)?.addAttempt(`${id}/${count}`, tokens / requests, 0);
}

function lastBackend(site: Forwarding): string | undefined {
  return site.starts().at(-1)?.backend.id;
}

/** When regions are looked at: soon after back ends were lost. Milliseconds. */
const LOOKED_AT_MS = 50;

describe('places', () => {
  it('are one zone, one region or two regions apart', () => {
    const places = new Places(REGIONS);
    expect(places.getDistance('zone-a', 'zone-a')).to.equal('sameZone');
    expect(places.getDistance('zone-a', 'zone-b')).to.equal('sameRegion');
    expect(places.getDistance('zone-a', 'zone-c')).to.equal('otherRegion');
    expect(places.getOtherRegions('zone-a')).to.deep.equal(['r2', 'r3']);
  });

  it('that the settings do not name lie in the region', () => {
    const places = new Places(REGIONS);
    expect(places.getDistance('zone-a', 'zone-new')).to.equal('sameRegion');
    expect(places.getDistance('zone-a', 'constructor')).to.equal('sameRegion');
  });

  it('of one region, or of none named, are no fleet of several regions', () => {
    expect(new Places({}).hasSeveralRegions()).to.equal(false);
    expect(new Places({ 'zone-a': 'r1', 'zone-b': 'r1' }).hasSeveralRegions()).to.equal(false);
  });
});

describe('cost of distance', () => {
  it('of a call is the round trip and what its bytes are worth', () => {
    const cost = makeCost();
    expect(cost.getCallExpense('zone-a', 'zone-a', 17_000).costMs).to.equal(0);
    expect(cost.getCallExpense('zone-a', 'zone-b', 17_000)).to.deep.equal({ timeMs: 2, costMs: 10.5 });
    expect(cost.getCallExpense('zone-a', 'zone-c', 17_000)).to.deep.equal({ timeMs: 16, costMs: 50 });
  });

  it('of a copy is its time on the link that is there, and what its bytes are worth', () => {
    const cost = makeCost();
    const copyMs = (zone: string) => cost.getCopyExpense('zone-a', zone, 13_300, LINKS).timeMs;
    expect(copyMs('zone-a')).to.be.closeTo(5.3, 0.1);
    expect(copyMs('zone-b')).to.be.closeTo(2 * 5.3 + 2, 0.1);
    expect(copyMs('zone-c')).to.be.closeTo(10 * 5.3 + 16, 0.1);
    expect(cost.getCopyExpense('zone-a', 'zone-c', 13_300, undefined).costMs).to.equal(0);
  });

  it('in one region is the round trip alone, whatever bytes', () => {
    const cost = makeCost({ 'zone-a': 'r1', 'zone-b': 'r1' });
    expect(cost.getCallExpense('zone-a', 'zone-b', 17_000)).to.deep.equal({ timeMs: 2, costMs: 2 });
  });
});

describe('round trips', () => {
  it('follow a link between regions that turns slow within 30 probes, and back', () => {
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

  it('ignore senseless samples', () => {
    const roundTrips = new RoundTrips(DEFAULT_DISTANCE_SETTINGS.roundTripMs);
    for (const ms of [NaN, -1, Infinity]) roundTrips.addSample('r2', 'otherRegion', ms);
    expect(roundTrips.getRoundTripMs('r2', 'otherRegion')).to.equal(16);
  });
});

describe('choice of a back end among regions', () => {
  it('plain: the own zone while it has room, then the own region, another one only when a request would wait for long', () => {
    const site = makeSite(at('zone-a', 'near'), at('zone-b', 'next'), at('zone-c', 'far'));
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
      ...zones.flatMap((zone) => stages.map(([id, stage]) => at(zone, `${id}-${zone}`, stage))),
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
    expect(lastBackend(site), 'the whole way stays there').to.equal('d-zone-c');
  });

  it('short prompts: a decode engine of the own region', () => {
    const site = makeSite(at('zone-b', 'near', 'decode'), at('zone-c', 'far', 'decode'));
    addLoad(site, 'near', 6);
    site.begin({ prompt: SHORT });
    expect(lastBackend(site)).to.equal('near');
  });

  it('copies: from the nearest of those that keep as much', () => {
    const site = makeSite(
      at('zone-c', 'far', 'decode'),
      at('zone-b', 'near', 'decode'),
      at('zone-a', 'p', 'prefill'),
    );
    for (const id of ['far', 'near']) site.kvIndex.addComputedPrompt(id, LONG, 100_000);
    site.begin({ prompt: LONG });
    expect(site.starts()[0].copyFrom).to.equal('10.0.0.1:near');
  });

  it('homes: a shared part has one in each region, the same for all its daemons', () => {
    const zones = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
    const engines = zones.flatMap((zone) => [
      at(zone, `p1-${zone}`, 'prefill'),
      at(zone, `p2-${zone}`, 'prefill'),
    ]);
    const site = makeSite(...engines, at('zone-a', 'd1', 'decode'), at('zone-c', 'd2', 'decode'));
    const reasons = ['one', 'two', 'three', 'four', 'five', 'six'].map((key) => {
      site.begin({ id: key, prompt: prompt(2000, 8000, key) });
      expect(lastBackend(site)).to.match(/zone-[ab]$/);
      site.manager.cancel(key, 0);
      return site.effects.flatMap((effect) =>
        effect.kind === 'decision' && effect.event === 'request.attempt' ? [effect.fields.reason] : [],
      );
    });
    expect(new Set(reasons.at(-1))).to.deep.equal(new Set(['home']));
  });

  it('a region whose back ends are all lost uses those of another one', () => {
    const site = makeSite(at('zone-a', 'near'), at('zone-c', 'far'));
    site.directory.get('near')?.health.onUnreachable(0);
    site.begin();
    expect(lastBackend(site)).to.equal('far');
  });

  it('a region without prefill engines has prompts computed by another one', () => {
    const site = makeSite(
      at('zone-a', 'near', 'decode'),
      at('zone-c', 'far', 'prefill'),
      at('zone-c', 'd', 'decode'),
    );
    site.begin({ prompt: LONG, bodyBytes: 10_000 });
    expect(site.starts()[0]).to.include({ prefillOnly: true });
    expect(lastBackend(site)).to.equal('far');
    site.event({ kind: 'prefilled', handle: 'h' }, 100);
    expect(lastBackend(site), 'the KV cache is nearer there').to.equal('d');
  });

  it('a region without decode engines generates in another one', () => {
    const site = makeSite(at('zone-a', 'p', 'prefill'), at('zone-c', 'd', 'decode'));
    site.begin({ prompt: LONG });
    expect(lastBackend(site)).to.equal('p');
    site.event({ kind: 'prefilled', handle: 'h' }, 100);
    expect(lastBackend(site)).to.equal('d');
  });

  it('a region that is cut off: nothing goes there or is copied from there, and all is as before once it is heard again', () => {
    const far = ['f1', 'f2', 'f3'].map((id) => at('zone-c', id, 'decode'));
    const site = makeSite(at('zone-a', 'p', 'prefill'), at('zone-a', 'd', 'decode'), ...far);
    site.kvIndex.addComputedPrompt('f3', LONG, 100_000);
    const look = () =>
      site.distance.setCutOff(findCutOffRegions(site.directory.all(), site.distance, LOOKED_AT_MS));
    const copyFrom = (id: string) => {
      site.begin({ id, prompt: LONG });
      return site.starts().at(-1)?.copyFrom;
    };
    look();
    expect(copyFrom('r1')).to.equal('10.0.0.1:f3');
    site.directory.get('f1')?.health.onUnreachable(10);
    look();
    expect(copyFrom('r2'), 'one engine lost').to.equal('10.0.0.1:f3');
    site.directory.get('f2')?.health.onUnreachable(20);
    look();
    expect(copyFrom('r3'), 'two engines lost, the keeper not tried').to.equal(undefined);
    addLoad(site, 'd', 40);
    site.begin({ id: 'r4', prompt: SHORT }, 30);
    expect(lastBackend(site)).to.equal('d');
    site.directory.get('f1')?.health.onProbeAnswered(40);
    look();
    expect(copyFrom('r5')).to.equal('10.0.0.1:f3');
    site.begin({ id: 'r6', prompt: SHORT }, 50);
    expect(lastBackend(site)).to.be.oneOf(['f1', 'f3']);
  });

  it('a region whose way is lost is still tried when no other back end is left', () => {
    const site = makeSite(at('zone-c', 'f1'), at('zone-c', 'f2'));
    for (const id of ['f1', 'f2']) site.directory.get(id)?.health.onUnreachable(10);
    site.distance.setCutOff(findCutOffRegions(site.directory.all(), site.distance, LOOKED_AT_MS));
    site.begin({}, 20);
    expect(site.starts()).to.have.length(1);
  });

  it('a link between regions of 200 ms: work stays at home until it would wait longer than that', () => {
    const site = makeSite(at('zone-a', 'near', 'decode'), at('zone-c', 'far', 'decode'));
    for (let count = 0; count < 40; count += 1) site.roundTrips.addSample('r2', 'otherRegion', 400);
    // 30,000 tokens are 333 ms on the way in at 90 a millisecond, twice that on a decode engine.
    addLoad(site, 'near', 4, 12_000);
    site.begin({ id: 'r1', prompt: SHORT });
    expect(lastBackend(site)).to.equal('near');
    addLoad(site, 'near', 4, 40_000);
    site.begin({ id: 'r2', prompt: SHORT });
    expect(lastBackend(site)).to.equal('far');
  });

  it('every attempt tells the distance in its log line; in one region none does', () => {
    const several = makeSite(at('zone-c', 'far'));
    several.begin();
    const one = new Forwarding([makeLabRoute({})], [at('zone-c', 'far')]);
    one.begin();
    const distances = [several, one].map((site) =>
      site.effects.flatMap((effect) =>
        effect.kind === 'decision' && effect.event === 'request.attempt' ? [effect.fields.distance] : [],
      ),
    );
    expect(distances).to.deep.equal([['otherRegion'], [undefined]]);
  });

  it('an attempt that leaves its region tells what it costs there and would have cost at home', () => {
    const site = makeSite(at('zone-a', 'near'), at('zone-c', 'far'));
    addLoad(site, 'near', 40);
    site.begin();
    const lines = site.effects.flatMap((effect) =>
      effect.kind === 'decision' && effect.event === 'request.attempt' ? [effect.fields] : [],
    );
    // 20 ms of work, with 33 requests more than the 8 slots (4.125 times) and a quarter of the load of 5.
    expect(lines[0]).to.include({ backend: 'far', distance: 'otherRegion', ownRegionMs: 128, costMs: 39 });
  });
});
