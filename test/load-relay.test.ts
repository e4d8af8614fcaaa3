/// Knowledge of loads and failures between the daemons of a large fleet, and its cost. Virtual time.
import { expect } from 'chai';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import { rankRelays, type RelayRanking } from '../src/fleet/relay-ranking.js';
import { Snapshot } from './snapshot.js';

const SEED = 20261206;
/// Time by which all daemons have discovered each other. Milliseconds.
const SETTLED_MS = 15_000;
const SECOND_MS = 1000;
/// Three intervals of the relays and the network delay between them. Milliseconds.
const LOADS_KNOWN_MS = 900;

function startSettledFleet(count: number, regions = 1): ForwardingFleet {
  const fleet = new ForwardingFleet(count, SEED, undefined, undefined, regions);
  const value = makeLabConfiguration(1, [makeLabRoute({ kind: 'nonIdempotent', timeoutMs: 8000 })]);
  fleet.write({ collection: 'configuration', revision: 0, value });
  for (const id of ['a', 'b'])
    fleet.write({ collection: 'backends', id, revision: 0, value: makeLabBackend(id, '10.1.0.1:80') });
  fleet.time.runUntil(SETTLED_MS);
  return fleet;
}

/// Sends requests to some daemons and returns the number of attempts at each back end.
function sendRequests(
  fleet: ForwardingFleet,
  nodes: readonly FleetNode[],
  requests: number,
): Map<string, number> {
  const from = fleet.attempts.length;
  for (let i = 0; i < requests; i += 1) fleet.submit(nodes[i % nodes.length], `load-${from}-${i}`);
  const counts = new Map<string, number>();
  for (const { backendId } of fleet.attempts.slice(from))
    counts.set(backendId, (counts.get(backendId) ?? 0) + 1);
  return counts;
}

/// Time after which a lost daemon is suspected and therefore is no longer a relay. Milliseconds.
const LOSS_DETECTED_MS = 8 * SECOND_MS;
/// Three intervals within a region, one between regions and the network delays between them. Milliseconds.
const OTHER_REGIONS_KNOWN_MS = 1300;

/// Number of daemons that know of fewer requests at a back end than there are.
function countUninformed(fleet: ForwardingFleet, counts: Map<string, number>): number {
  const running = fleet.nodes.filter((node) => !node.down);
  return running.filter(({ daemon }) => [...counts].some(([id, count]) => daemon.getInFlight(id) < count))
    .length;
}

/// The ranking of relays as a daemon of this zone computes it.
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

/// The first relay of a zone.
function findRelay(fleet: ForwardingFleet, zone: string): FleetNode | undefined {
  const [first] = rankFleet(fleet, zone).ownZone;
  return fleet.nodes.find(({ address }) => address === first);
}

describe('loads in a large fleet', () => {
  for (const count of [66, 195])
    it(`${count} daemons: every one knows the load that each puts on the back ends`, () => {
      const fleet = startSettledFleet(count);
      const counts = sendRequests(fleet, fleet.nodes.slice(0, 20), 60);
      fleet.time.runUntil(fleet.time.now() + LOADS_KNOWN_MS);
      expect(countUninformed(fleet, counts)).to.equal(0);
    });

  it('66 daemons in three regions: every one knows the load that each puts on the back ends', () => {
    const fleet = startSettledFleet(66, 3);
    const counts = sendRequests(fleet, fleet.nodes.slice(0, 20), 60);
    fleet.time.runUntil(fleet.time.now() + OTHER_REGIONS_KNOWN_MS);
    expect(countUninformed(fleet, counts)).to.equal(0);
    // The fleet's sum also contains the daemon's own requests.
    const localRequests = 60 / 20;
    for (const { daemon } of fleet.nodes)
      for (const [id, count] of counts)
        expect(daemon.getInFlight(id), 'no region counts twice').to.be.at.most(count + localRequests);
  });

  it('the loads of a region whose relay is lost are known again once another relay sends them', () => {
    const fleet = startSettledFleet(66, 3);
    const { regionRelay } = rankFleet(fleet, 'zone-1');
    const lost = fleet.nodes.find(({ address }) => address === regionRelay);
    expect(lost).not.to.equal(undefined);
    if (lost) lost.down = true;
    fleet.time.runUntil(fleet.time.now() + LOSS_DETECTED_MS);
    const inRegion = fleet.nodes.filter((node) => !node.down && fleet.getRegion(node.zone) === 'region-1');
    const counts = sendRequests(fleet, inRegion.slice(0, 10), 30);
    fleet.time.runUntil(fleet.time.now() + OTHER_REGIONS_KNOWN_MS);
    expect(countUninformed(fleet, counts)).to.equal(0);
  });

  it('each zone has one active relay once all daemons know each other', () => {
    const fleet = startSettledFleet(72);
    fleet.time.runUntil(40 * SECOND_MS);
    const before = fleet.zoneDigestSenders.size;
    fleet.zoneDigestSenders.clear();
    fleet.time.runUntil(41 * SECOND_MS);
    expect(before).to.be.at.least(3);
    expect(fleet.zoneDigestSenders.size).to.equal(3);
  });

  it('one daemon of a region sends its loads to the other regions', () => {
    const snapshot = new Snapshot('region-relay');
    for (const count of [24, 66, 195]) {
      const fleet = startSettledFleet(count, 3);
      const before = fleet.regionMessageCounts.get('loadDigest') ?? 0;
      fleet.time.runUntil(SETTLED_MS + 4 * SECOND_MS);
      const digests = ((fleet.regionMessageCounts.get('loadDigest') ?? 0) - before) / 4;
      snapshot.add(`${count} daemons: ${digests.toFixed(1)} digests a second between three regions`);
    }
    snapshot.check();
  });

  it("a zone whose relay is lost receives the fleet's loads from the next one", () => {
    const fleet = startSettledFleet(66);
    const relay = findRelay(fleet, 'zone-1');
    if (relay) relay.down = true;
    const running = fleet.nodes.filter((node) => !node.down);
    fleet.time.runUntil(fleet.time.now() + 2 * SECOND_MS);
    const counts = sendRequests(fleet, running.slice(0, 20), 60);
    fleet.time.runUntil(fleet.time.now() + LOADS_KNOWN_MS);
    expect(countUninformed(fleet, counts)).to.equal(0);
  });

  it('a back end that fails for some daemons is avoided by those that have not used it', () => {
    const fleet = startSettledFleet(66);
    sendRequests(fleet, fleet.nodes.slice(0, 30), 30);
    for (const attempt of fleet.attempts.slice())
      if (attempt.backendId === 'a') fleet.sendAttemptEvent(attempt, { kind: 'broken', reason: 'reset' });
      else fleet.sendAttemptEvent(attempt, { kind: 'whole', status: 200 });
    fleet.time.runUntil(fleet.time.now() + LOADS_KNOWN_MS);
    expect(sendRequests(fleet, fleet.nodes.slice(30), 36).get('a') ?? 0).to.equal(0);
  });

  it('failures of one daemon among many successful ones make no other daemon avoid a back end', () => {
    const fleet = startSettledFleet(66);
    sendRequests(fleet, fleet.nodes, 200);
    const failing = fleet.nodes[0];
    for (const attempt of fleet.attempts.slice())
      if (attempt.node === failing) fleet.sendAttemptEvent(attempt, { kind: 'broken', reason: 'reset' });
      else fleet.sendAttemptEvent(attempt, { kind: 'whole', status: 200 });
    fleet.time.runUntil(fleet.time.now() + LOADS_KNOWN_MS);
    expect([...sendRequests(fleet, fleet.nodes.slice(1), 60).keys()].sort()).to.deep.equal(['a', 'b']);
  });

  it('an idle daemon has as few events and messages in a large fleet as in a small one', () => {
    const snapshot = new Snapshot('idle-cost');
    for (const count of [9, 66, 195, 380]) {
      const fleet = startSettledFleet(count);
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
