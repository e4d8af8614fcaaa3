/** How back ends that become silent or disappear for good affect their requests and their region. */
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import { findCutOffRegions } from '../src/forwarding/backends/region-contact.js';
import { DEFAULT_DISTANCE_SETTINGS } from '../src/places/distance-settings.js';
import { RoundTrips } from '../src/places/round-trips.js';
import { ForwardingHarness, PLAIN } from './forwarding-harness.js';

const DEADLINE_MS = 5000;
/** A request without an answer is sent elsewhere after this time: twice its target and a tick. Milliseconds. */
const STALLED_MS = 840;

describe('lost back ends', () => {
  it('all requests that wait at a back end that became silent are sent elsewhere at the same time', () => {
    const route = makeLabRoute({ kind: 'idempotent', timeoutMs: DEADLINE_MS, targetLatencyMs: 400 });
    const site = new ForwardingHarness([route], PLAIN);
    for (let count = 0; count < 9; count += 1) site.begin({ id: `r${count}`, callerDeadlineMs: DEADLINE_MS });
    const started = site.getStarts();
    const silent = started[0].backend.id;
    const waiting = started.filter(({ backend }) => backend.id === silent);
    expect(waiting.length).to.be.greaterThan(1);
    for (const { requestId, attemptId, backend } of started)
      if (backend.id !== silent)
        site.manager.receiveAttemptEvent(requestId, attemptId, { kind: 'whole', status: 200 }, 20);
    site.manager.tick(STALLED_MS);
    const moved = site.getStarts().slice(started.length);
    expect(moved).to.have.length(waiting.length);
    expect(moved.map(({ backend }) => backend.id)).not.to.include(silent);
  });

  it('two back ends that disappear for good do not cut off their region for good', () => {
    const far = Array.from({ length: 8 }, (_, index) => ({
      ...makeLabBackend(`far${index}`, `10.0.0.2:${index}`),
      zone: 'zone-c',
    }));
    const near = { ...makeLabBackend('near', '10.0.0.1:1'), zone: 'zone-a' };
    const regions = { 'zone-a': 'r1', 'zone-c': 'r2' };
    const site = new ForwardingHarness([makeLabRoute({})], [near, ...far], 50, regions);
    for (const { id } of far) site.directory.get(id)?.health.addSuccess(100);
    site.directory.get('far0')?.health.onUnreachable(1000);
    site.directory.get('far1')?.health.onUnreachable(1100);
    const findAt = (now: number) => [...findCutOffRegions(site.directory.all(), site.distance, now)];
    expect(findAt(1200)).to.deep.equal(['r2']);
    expect(findAt(6000)).to.deep.equal([]);
  });

  it('one slow answer of a paused peer does not raise the round-trip time of its region', () => {
    const roundTrips = new RoundTrips(DEFAULT_DISTANCE_SETTINGS.roundTripMs);
    for (let count = 0; count < 10; count += 1) roundTrips.addSample('r1', 'sameZone', 2);
    roundTrips.addSample('r1', 'sameZone', 3000);
    expect(roundTrips.getRoundTripMs('r1', 'sameZone')).to.be.lessThan(5);
  });
});
