/** The region part of a daemon: round trips measured by probes, and figures for operators. */
import { expect } from 'chai';
import { DEFAULT_FORWARDING_SETTINGS } from '../src/daemon/forwarding-daemon-settings.js';
import { BackendDirectory } from '../src/forwarding/backends/backend-directory.js';
import { BackendDistance } from '../src/forwarding/choose/backend-distance.js';
import { BackendView } from '../src/forwarding/backends/backend-view.js';
import { LeavingBackends } from '../src/forwarding/backends/leaving-backends.js';
import { BackendLimits } from '../src/forwarding/permits/backend-limits.js';
import { KvIndex } from '../src/forwarding/kv-cache/kv-index.js';
import { makeLabBackend } from '../lab/forwarding-site.js';
import type { Member } from '../src/membership/membership-messages.js';
import type { PartContext } from '../src/parts/daemon-part.js';
import { RegionPart } from '../src/parts/region-part.js';
import { DistanceCost } from '../src/places/distance-cost.js';
import { Places } from '../src/places/places.js';
import { RoundTrips } from '../src/places/round-trips.js';
import { SeededRandom } from '../src/shared/random.js';
import { makePaths, makePermits } from './forwarding-harness.js';

const { distance: distanceSettings } = DEFAULT_FORWARDING_SETTINGS;
const FAR = 'daemon-far.a';
const THIRD = 'daemon-third.a';

function makePart(): { part: RegionPart; distance: BackendDistance } {
  const places = new Places({ 'zone-a': 'r1', 'zone-c': 'r2' });
  const roundTrips = new RoundTrips(distanceSettings.roundTripMs);
  const distance = new BackendDistance('zone-a', new DistanceCost(distanceSettings, places, roundTrips));
  const member: Member = {
    id: FAR,
    address: '10.0.0.2:1',
    zone: 'zone-c',
    region: 'r2',
    incarnation: 0,
    state: 'alive',
  };
  const regions = { places, roundTrips, distance };
  const directory = new BackendDirectory(DEFAULT_FORWARDING_SETTINGS.health);
  const context = {
    identity: { id: 'daemon-1.a', address: '10.0.0.1:1', zone: 'zone-a', region: 'r1' },
    settings: { ...DEFAULT_FORWARDING_SETTINGS } as PartContext['settings'],
    random: new SeededRandom(1),
    directory,
    limits: new BackendLimits(directory, () => undefined),
    leaving: new LeavingBackends(directory, () => undefined),
    permits: makePermits(),
    paths: makePaths(directory),
    kvIndex: new KvIndex(),
    regions,
    emit: () => undefined,
    getMembers: () => [member, { ...member, id: THIRD }],
    getFleet: () => ({ members: [member], knownCount: 1, joined: true }),
    decideQuota: () => undefined,
    decideOrigin: () => undefined,
    backendsMayBeStale: () => false,
    getBackendsAgeMs: () => 0,
    isFirstReader: () => true,
    getRoutes: () => undefined,
    logChange: () => undefined,
  };
  return { part: new RegionPart(context, regions), distance };
}

/** Sends a probe to the far daemon, answered by `from` after `ms` milliseconds. */
function sendProbe(part: RegionPart, sequence: number, ms: number, from = FAR): void {
  part.addToMembership({ kind: 'ping', sequence, target: FAR, updates: [] }, 1000);
  part.receivePeer(from, '10.0.0.2:1', { kind: 'ack', sequence, updates: [] }, 1000 + ms);
}

describe('the region part', () => {
  it('measures the round trip to each region by probes', () => {
    const { part } = makePart();
    for (let sequence = 0; sequence < 30; sequence += 1) sendProbe(part, sequence, 400);
    expect(part.getFigures().round_trip_ms_r2).to.be.closeTo(400, 20);
  });

  it('ignores answers of other daemons, answers to no probe, and the time of a process pause', () => {
    const { part } = makePart();
    sendProbe(part, 1, 400, THIRD);
    part.receivePeer(FAR, '10.0.0.2:1', { kind: 'ack', sequence: 7, updates: [] }, 1000);
    part.addToMembership({ kind: 'ping', sequence: 2, target: FAR, updates: [] }, 1000);
    part.onProcessResumed();
    part.receivePeer(FAR, '10.0.0.2:1', { kind: 'ack', sequence: 2, updates: [] }, 5000);
    expect(part.getFigures().round_trip_ms_r2).to.equal(distanceSettings.roundTripMs.otherRegion);
  });

  it('reports the share of attempts that leave the region', () => {
    const { part, distance } = makePart();
    const { health } = DEFAULT_FORWARDING_SETTINGS;
    const directory = new BackendDirectory(health);
    for (const zone of ['zone-a', 'zone-a', 'zone-a', 'zone-c']) {
      const record = { ...makeLabBackend(zone, ''), zone };
      distance.addAttempt(new BackendView(record, health, directory.peers));
    }
    expect(part.getFigures()).to.include({
      attempts_sameZone: 3,
      attempts_otherRegion: 1,
      share_elsewhere: 0.25,
    });
  });
});
