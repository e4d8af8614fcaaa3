/**
 * Back ends of several software versions serve one service. A stream goes on only at the version that began it, within
 * one answer and when its caller takes it up at any daemon. Every test forces an order of events in virtual time.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode, type StartedAttempt } from '../simulation/forwarding-fleet.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';
import type { Member } from '../src/membership/membership-messages.js';
import { ENGINES, ForwardingHarness, makePrompt } from './forwarding-harness.js';

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

const VERSIONED_ENGINES = ENGINES.map((engine, index) => ({
  ...engine,
  version: index % 2 === 0 ? 'v1' : 'v2',
}));

function makePeer(address: string): Member {
  return { id: address, address, zone: 'zone-a', region: 'main', incarnation: 1, state: 'alive' };
}

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

  it('whatever ends its attempts, through tunnels, with prompts and back ends that advertise limits', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 7 }), { maxLength: 12 }), fc.nat(30), (steps, seed) => {
        const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], [...BACKENDS, ...VERSIONED_ENGINES]);
        site.peers.push(makePeer('10.0.9.1:1'));
        const prompt = seed % 2 === 0 ? makePrompt(2000, 9000) : undefined;
        site.begin({ prompt, callerDeadlineMs: 4000 });
        let now = 10;
        let began: string | undefined;
        for (const step of steps) {
          const starts = site.getStarts();
          const last = starts.at(-1) as AttemptStart;
          if (began !== undefined && !last.prefillOnly) expect(last.backend.version).to.equal(began);
          if (last.prefillOnly) site.event({ kind: 'prefilled', handle: 'h' }, now);
          else if (step < 3) {
            site.event({ kind: 'streamStarted' }, now);
            site.event({ kind: 'streamProgress', lastEventId: String(now) }, now);
            began ??= last.backend.version ?? undefined;
          } else if (step < 5) site.event({ kind: 'broken', reason: 'reset' }, now);
          else if (step === 5) site.event({ kind: 'unreachable', reason: 'refused' }, now);
          else if (step === 6) site.event({ kind: 'notExecuted', status: 503, wrongIncarnation: false }, now);
          else for (const end = now + 600; now < end; now += 20) site.manager.tick(now);
          now += 10;
        }
        for (const start of site.getStarts().filter(({ resumeAfter }) => resumeAfter !== undefined))
          expect(start.backend.version).to.equal(began);
      }),
      { seed: 73, numRuns: 400 },
    );
  });

  it('and is broken off at once when no back end of that version is left', () => {
    const site = beginAt(['v1', 'v2', 'v2']);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getStarts()).to.have.length(1);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('and is broken off when the record of its back end has changed its version', () => {
    const site = beginAt(['v1', 'v1', 'v2']);
    const [{ backend }] = site.getStarts();
    site.directory.put({ ...backend, version: 'v2' });
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('and is broken off when its first event came after such a change', () => {
    const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], [makeVersion('b1', 'v1')]);
    site.begin();
    site.directory.put(makeVersion('b1', 'v2'));
    site.directory.put(makeVersion('b2', 'v2'));
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('and is broken off when the version is not known', () => {
    const records = ['b1', 'b2'].map((id) => ({ ...makeVersion(id, ''), version: null }));
    const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], records);
    site.begin();
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('and before its first event may go to any version', () => {
    const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], [makeVersion('b1', 'v1')]);
    site.begin();
    site.directory.put(makeVersion('b2', 'v2'));
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getStarts().map(({ backend }) => backend.version)).to.deep.equal(['v1', 'v2']);
  });

  it('and where the platform reports no versions, at any back end', () => {
    const records = ['b1', 'b2'].map((id) => makeVersion(id, ''));
    const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], records);
    site.begin();
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getStarts()).to.have.length(2);
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

/** Begins a stream at a back end of the first of these versions; further back ends are added after it was sent. */
function beginAt([first, ...others]: readonly string[]): ForwardingHarness {
  const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], [makeVersion('b1', first)]);
  site.begin();
  others.forEach((version, index) => site.directory.put(makeVersion(`b${index + 2}`, version)));
  site.event({ kind: 'streamStarted' }, 10);
  site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
  return site;
}

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
