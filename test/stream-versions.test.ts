/**
 * Back ends of several software versions serve one service. A stream goes on only at the version that began it, within
 * one answer and when its caller takes it up at any daemon. Every test forces an order of events in virtual time.
 */
import { expect } from 'chai';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode, type StartedAttempt } from '../simulation/forwarding-fleet.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';
import { ForwardingHarness } from './forwarding-harness.js';

const RESUMABLE: Partial<Route> = { kind: 'stream', resumable: true, maximumAttempts: 3 };
/** Time for all daemons to discover each other and read the store's records. Milliseconds. */
const WARM_UP_MS = 6000;
/** Time in which a daemon finds out what it does not know, or rejects the stream. Milliseconds. */
const LOOKUP_MS = 1000;

function makeVersion(id: string, version: string): BackendRecord {
  return { ...makeLabBackend(id, `10.0.0.1:${id.slice(1)}`), version };
}

const VERSION_OF: Readonly<Record<string, string>> = { b1: 'v1', b2: 'v2', b3: 'v1', b4: 'v2', b5: 'v2' };
const BACKENDS = Object.entries(VERSION_OF).map(([id, version]) => makeVersion(id, version));

describe('a stream goes on only at the version that began it', () => {
  it('when its back end breaks it off within one answer', () => {
    for (let run = 0; run < 20; run += 1) {
      const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], BACKENDS);
      site.begin({ id: `r${run}` });
      // Draws another first back end in each run.
      for (let draw = 0; draw < run; draw += 1) site.begin({ id: `r${run}-${draw}` });
      site.event({ kind: 'streamStarted' }, 10);
      site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
      const began = site.getStarts().at(-1)?.backend.version;
      site.event({ kind: 'broken', reason: 'reset' }, 20);
      const next = site.getStarts().at(-1);
      expect(next?.resumeAfter).to.equal('1');
      expect(next?.backend.version).to.equal(began);
    }
  });

  it('when its caller takes it up at another daemon', () => {
    const fleet = startFleet();
    const versions = fleet.nodes.slice(1).flatMap((node, index) => {
      const began = beginStream(fleet, `s${index}`);
      fleet.time.runUntil(fleet.time.now() + 10);
      fleet.handle(fleet.nodes[0], { kind: 'cancel', requestId: `s${index}` });
      return [[getVersion(began), getVersion(resume(fleet, node, `s${index}`))]];
    });
    expect(versions).to.have.length.greaterThan(10);
    for (const [began, next] of versions) expect(next).to.equal(began);
  });
});

function startFleet(daemons = 24): ForwardingFleet {
  const fleet = new ForwardingFleet(daemons, 73);
  fleet.write({
    collection: 'configuration',
    revision: 0,
    value: makeLabConfiguration(1, [makeLabRoute(RESUMABLE)]),
  });
  for (const value of BACKENDS) fleet.write({ collection: 'backends', id: value.id, revision: 0, value });
  fleet.time.runUntil(WARM_UP_MS);
  return fleet;
}

/** Sends a new stream to the first daemon and passes on its first event. */
function beginStream(fleet: ForwardingFleet, id: string, node = fleet.nodes[0]): StartedAttempt {
  fleet.submit(node, id);
  const attempt = getAttempts(fleet, id).at(-1) as StartedAttempt;
  fleet.sendAttemptEvent(attempt, { kind: 'streamStarted' });
  fleet.sendAttemptEvent(attempt, { kind: 'streamProgress', lastEventId: '1' });
  return attempt;
}

/** Takes a stream up at a daemon; returns the attempt, undefined if the daemon rejects it. */
function resume(fleet: ForwardingFleet, node: FleetNode, firstAttemptId: string): StartedAttempt | undefined {
  const id = `${firstAttemptId}-at-${node.address}-${fleet.time.now()}`;
  fleet.submit(node, id, '/a/x', { resumption: { firstAttemptId, lastEventId: '1' } });
  fleet.time.runUntil(fleet.time.now() + LOOKUP_MS);
  return getAttempts(fleet, id).at(-1);
}

function getAttempts(fleet: ForwardingFleet, requestId: string): StartedAttempt[] {
  return fleet.attempts.filter((attempt) => attempt.requestId === requestId);
}

function getVersion(attempt: StartedAttempt | undefined): string | undefined {
  return attempt && VERSION_OF[attempt.backendId];
}
