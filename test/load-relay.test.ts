/// What daemons of a large fleet know of each other's loads and failures, and what that costs them. Virtual time.
import { expect } from 'chai';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import { rankRelays, type RelayRanking } from '../src/fleet/relay-ranking.js';
import { Snapshot } from './snapshot.js';

const SEED = 20261206;
/// Every daemon has found the others.
const SETTLED_MS = 15_000;
const SECOND_MS = 1000;
/// Three intervals of the relays and the way between them.
const KNOWN_MS = 900;

function settledFleet(count: number, regions = 1): ForwardingFleet {
  const fleet = new ForwardingFleet(count, SEED, undefined, undefined, regions);
  const value = makeLabConfiguration(1, [makeLabRoute({ kind: 'nonIdempotent', timeoutMs: 8000 })]);
  fleet.write({ collection: 'configuration', revision: 0, value });
  for (const id of ['a', 'b'])
    fleet.write({ collection: 'backends', id, revision: 0, value: makeLabBackend(id, '10.1.0.1:80') });
  fleet.time.runUntil(SETTLED_MS);
  return fleet;
}

/// Sends requests to some daemons and gives what they put on each back end.
function load(fleet: ForwardingFleet, nodes: readonly FleetNode[], requests: number): Map<string, number> {
  const from = fleet.attempts.length;
  for (let i = 0; i < requests; i += 1) fleet.submit(nodes[i % nodes.length], `load-${from}-${i}`);
  const counts = new Map<string, number>();
  for (const { backendId } of fleet.attempts.slice(from))
    counts.set(backendId, (counts.get(backendId) ?? 0) + 1);
  return counts;
}

/// A lost daemon is suspected, and no relay any more, after so long.
const FOUND_LOST_MS = 8 * SECOND_MS;
/// Three intervals within a region, one between regions and the ways between them.
const KNOWN_FROM_OTHER_REGIONS_MS = 1300;

/// How many daemons know of fewer requests at a back end than there are.
function countIgnorant(fleet: ForwardingFleet, counts: Map<string, number>): number {
  const running = fleet.nodes.filter((node) => !node.down);
  return running.filter(({ daemon }) => [...counts].some(([id, count]) => daemon.getInFlight(id) < count))
    .length;
}

/// The ranking of relays as a daemon of this zone finds it.
function rankFleet(fleet: ForwardingFleet, zone: string): RelayRanking {
  const members = fleet.nodes.map((node) => ({
    id: node.id,
    address: node.address,
    zone: node.zone,
    region: fleet.getRegion(node.zone),
    incarnation: 1,
    state: 'alive' as const,
  }));
  return rankRelays(members, { zone, region: fleet.getRegion(zone) });
}

/// The daemon that relays for a zone.
function findRelay(fleet: ForwardingFleet, zone: string): FleetNode | undefined {
  const [first] = rankFleet(fleet, zone).ownZone;
  return fleet.nodes.find(({ address }) => address === first);
}

describe('loads in a large fleet', () => {
  for (const count of [66, 195])
    it(`${count} daemons: every one knows what each puts on the back ends`, () => {
      const fleet = settledFleet(count);
      const counts = load(fleet, fleet.nodes.slice(0, 20), 60);
      fleet.time.runUntil(fleet.time.now() + KNOWN_MS);
      expect(countIgnorant(fleet, counts)).to.equal(0);
    });

  it('66 daemons in three regions: every one knows what each puts on the back ends', () => {
    const fleet = settledFleet(66, 3);
    const counts = load(fleet, fleet.nodes.slice(0, 20), 60);
    fleet.time.runUntil(fleet.time.now() + KNOWN_FROM_OTHER_REGIONS_MS);
    expect(countIgnorant(fleet, counts)).to.equal(0);
    // A daemon's own requests stand in the fleet's sum too.
    const own = 60 / 20;
    for (const { daemon } of fleet.nodes)
      for (const [id, count] of counts)
        expect(daemon.getInFlight(id), 'no region counts twice').to.be.at.most(count + own);
  });

  it('a region whose relay is lost is heard of again once another one tells', () => {
    const fleet = settledFleet(66, 3);
    const { regionRelay } = rankFleet(fleet, 'zone-1');
    const lost = fleet.nodes.find(({ address }) => address === regionRelay);
    expect(lost).not.to.equal(undefined);
    if (lost) lost.down = true;
    fleet.time.runUntil(fleet.time.now() + FOUND_LOST_MS);
    const inRegion = fleet.nodes.filter((node) => !node.down && fleet.getRegion(node.zone) === 'region-1');
    const counts = load(fleet, inRegion.slice(0, 10), 30);
    fleet.time.runUntil(fleet.time.now() + KNOWN_FROM_OTHER_REGIONS_MS);
    expect(countIgnorant(fleet, counts)).to.equal(0);
  });

  it('each zone has one relay at work once all have found each other', () => {
    const fleet = settledFleet(72);
    fleet.time.runUntil(40 * SECOND_MS);
    const before = fleet.zoneDigestSenders.size;
    fleet.zoneDigestSenders.clear();
    fleet.time.runUntil(41 * SECOND_MS);
    expect(before).to.be.at.least(3);
    expect(fleet.zoneDigestSenders.size).to.equal(3);
  });

  it('one daemon of a region tells the others', () => {
    const snapshot = new Snapshot('region-relay');
    for (const count of [24, 66, 195]) {
      const fleet = settledFleet(count, 3);
      const before = fleet.regionMessageCounts.get('loadDigest') ?? 0;
      fleet.time.runUntil(SETTLED_MS + 4 * SECOND_MS);
      const digests = ((fleet.regionMessageCounts.get('loadDigest') ?? 0) - before) / 4;
      snapshot.add(`${count} daemons: ${digests.toFixed(1)} digests a second between three regions`);
    }
    snapshot.check();
  });

  it("a zone whose relay is lost hears of the fleet's loads from the next one", () => {
    const fleet = settledFleet(66);
    const relay = findRelay(fleet, 'zone-1');
    if (relay) relay.down = true;
    const running = fleet.nodes.filter((node) => !node.down);
    fleet.time.runUntil(fleet.time.now() + 2 * SECOND_MS);
    const counts = load(fleet, running.slice(0, 20), 60);
    fleet.time.runUntil(fleet.time.now() + KNOWN_MS);
    expect(countIgnorant(fleet, counts)).to.equal(0);
  });

  it('a back end that fails some daemons is avoided by those that have not tried it', () => {
    const fleet = settledFleet(66);
    load(fleet, fleet.nodes.slice(0, 30), 30);
    for (const attempt of fleet.attempts.slice())
      if (attempt.backendId === 'a') fleet.sendAttemptEvent(attempt, { kind: 'broken', reason: 'reset' });
      else fleet.sendAttemptEvent(attempt, { kind: 'whole', status: 200 });
    fleet.time.runUntil(fleet.time.now() + KNOWN_MS);
    expect(load(fleet, fleet.nodes.slice(30), 36).get('a') ?? 0).to.equal(0);
  });

  it('failures of one daemon among many that succeed turn nobody else away', () => {
    const fleet = settledFleet(66);
    load(fleet, fleet.nodes, 200);
    const own = fleet.nodes[0];
    for (const attempt of fleet.attempts.slice())
      if (attempt.node === own) fleet.sendAttemptEvent(attempt, { kind: 'broken', reason: 'reset' });
      else fleet.sendAttemptEvent(attempt, { kind: 'whole', status: 200 });
    fleet.time.runUntil(fleet.time.now() + KNOWN_MS);
    expect([...load(fleet, fleet.nodes.slice(1), 60).keys()].sort()).to.deep.equal(['a', 'b']);
  });

  it('a daemon that waits is woken and written to as seldom in a large fleet as in a small one', () => {
    const snapshot = new Snapshot('idle-cost');
    for (const count of [9, 66, 195, 380]) {
      const fleet = settledFleet(count);
      const [events, messages] = [sumCounts(fleet.eventCounts), sumCounts(fleet.messageCounts)];
      fleet.time.runUntil(SETTLED_MS + 4 * SECOND_MS);
      const perSecond = (before: number, after: number) => ((after - before) / (4 * count)).toFixed(1);
      snapshot.add(
        `${count} daemons: ${perSecond(events, sumCounts(fleet.eventCounts))} events, ` +
          `${perSecond(messages, sumCounts(fleet.messageCounts))} messages a daemon and second`,
      );
    }
    snapshot.check();
  });
});

function sumCounts(counts: ReadonlyMap<string, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}
