/**
 * Back ends of several software versions serve one service. A stream goes on only at the version that began it, within
 * one answer and when its caller takes it up at any daemon. Every test forces an order of events in virtual time.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode, type StartedAttempt } from '../simulation/forwarding-fleet.js';
import type { ForwardingEvent } from '../src/daemon/forwarding-messages.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';
import type { StoredRecord } from '../src/fleet/record-store.js';
import { OriginStore } from '../src/streams/origin-store.js';
import type { StreamOrigin } from '../src/streams/stream-origin.js';
import type { Member } from '../src/membership/membership-messages.js';
import { ENGINES, ForwardingHarness, makePrompt } from './forwarding-harness.js';

const RESUMABLE: Partial<Route> = { kind: 'stream', resumable: true, maximumAttempts: 3 };
/** Time for all daemons to discover each other and read the store's records. Milliseconds. */
const WARM_UP_MS = 6000;
/** A daemon that asks its peers in vain rejects the stream within this time, one tick included. Milliseconds. */
const LONGEST_LOOKUP_MS = 400;
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

/** The part of the streams that were taken up that must go on. */
const GOES_ON_SHARE = 0.5;

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
      return [[getVersion(began), getVersion(resume(fleet, node, `s${index}`))]];
    });
    expect(versions).to.have.length.greaterThan(10);
    for (const [began, next] of versions) expect(next).to.equal(began);
  });

  it('when it is taken up again and again, always under the first attempt', () => {
    const fleet = startFleet();
    const began = getVersion(beginStream(fleet, 's'));
    for (const node of fleet.nodes) {
      fleet.time.runUntil(fleet.time.now() + 300);
      expect(getVersion(resume(fleet, node, 's'))).to.equal(began);
    }
  });

  it('when its daemon was killed right after the first event', () => {
    const { wrong, wentOn, taken } = takeUpAfter((fleet) => fleet.kill(fleet.nodes[0], 60_000), 20);
    expect(wrong).to.equal(0);
    expect(wentOn).to.equal(taken);
  });

  it('when half of the daemons were killed at once, and for most of the streams', () => {
    const { wrong, wentOn, taken } = takeUpAfter((fleet) => killAll(fleet, 2, 60_000), 20);
    expect(wrong).to.equal(0);
    expect(wentOn).to.be.greaterThan(taken * GOES_ON_SHARE);
  });

  it('when the store has been silent since, as often as before', () => {
    const silence = (fleet: ForwardingFleet): void => fleet.nodes.forEach((node) => (node.access = 'silent'));
    const { wrong, wentOn, taken } = takeUpAfter(silence, 2500);
    expect(wrong).to.equal(0);
    expect(wentOn).to.equal(taken);
  });

  it('and is rejected at once when all daemons were restarted', () => {
    const { wrong, wentOn, heldMs } = takeUpAfter((fleet) => killAll(fleet, 1, 200), 3000);
    expect(wrong).to.equal(0);
    expect(wentOn).to.equal(0);
    expect(heldMs).to.be.below(LONGEST_LOOKUP_MS);
  });

  it('and is rejected at once by a daemon that is cut off from its peers', () => {
    const cut = (fleet: ForwardingFleet): void => {
      const last = fleet.nodes.at(-1);
      fleet.isLinked = (from, to) => from !== last && to !== last;
    };
    const { wrong, heldMs } = takeUpAfter(cut, 20, (fleet) => fleet.nodes.slice(-1));
    expect(wrong).to.equal(0);
    expect(heldMs).to.be.below(LONGEST_LOOKUP_MS);
  });

  it('and is rejected at once when all back ends of that version are gone, and when it names no attempt', () => {
    const fleet = startFleet();
    const began = beginStream(fleet, 's');
    for (const { id, version } of BACKENDS)
      if (version === getVersion(began))
        fleet.write({ collection: 'backends', id, revision: 0, value: undefined });
    fleet.time.runUntil(fleet.time.now() + 2000);
    for (const firstAttemptId of ['s', undefined]) {
      const at = fleet.time.now();
      fleet.submit(fleet.nodes[1], `t-${firstAttemptId}`, '/a/x', {
        resumption: { firstAttemptId, lastEventId: '1' },
      });
      fleet.time.runUntil(at + LOOKUP_MS);
      const refusal = fleet.nodes[1].refusals.at(-1);
      expect(refusal?.requestId).to.equal(`t-${firstAttemptId}`);
      expect(refusal?.status).to.equal(503);
      expect((refusal?.at ?? Infinity) - at).to.be.below(20);
    }
  });

  it('and nothing is sent for a caller that leaves while its daemon asks others', () => {
    const fleet = startFleet();
    beginStream(fleet, 's');
    fleet.time.runUntil(fleet.time.now() + 20);
    const sent = fleet.nodes.slice(1).map((node, index) => {
      fleet.submit(node, `t${index}`, '/a/x', { resumption: { firstAttemptId: 's', lastEventId: '1' } });
      const isWaiting = getAttempts(fleet, `t${index}`).length === 0;
      if (isWaiting) fleet.handle(node, { kind: 'cancel', requestId: `t${index}` });
      fleet.time.runUntil(fleet.time.now() + LOOKUP_MS);
      return isWaiting ? getAttempts(fleet, `t${index}`).length : 0;
    });
    expect(sent.filter((count) => count > 0)).to.deep.equal([]);
  });

  it('and only at the service that began it, where a route leads to several', () => {
    const targets = ['service', 'other'].map((service) => ({ service, weight: 1 }));
    const others = BACKENDS.map((record) => ({ ...record, id: `o${record.id}`, service: 'other' }));
    const site = new ForwardingHarness([makeLabRoute({ ...RESUMABLE, targets })], [...BACKENDS, ...others]);
    for (let run = 0; run < 20; run += 1) {
      site.streamOrigins.set('s', { service: 'other', backendId: 'ob1', version: 'v1' });
      site.begin({ id: `r${run}`, resumption: { firstAttemptId: 's', lastEventId: '1' } });
      const backend = site.getStarts().at(-1)?.backend;
      expect([backend?.service, backend?.version]).to.deep.equal(['other', 'v1']);
    }
  });
});

describe('the origins that a daemon holds', () => {
  const origin = (version: string): StreamOrigin => ({ service: 's', backendId: 'b', version });

  it('expire, and are bounded in number', () => {
    const store = new OriginStore();
    store.put('old', origin('v1'), 1000, 0);
    expect(store.find('old', 999)).to.deep.equal(origin('v1'));
    expect(store.find('old', 1000)).to.equal(undefined);
    for (let index = 0; index < 60_000; index += 1) store.put(`s${index}`, origin('v1'), 1000, 0);
    expect(store.size).to.equal(50_000);
    store.tick(1000);
    expect(store.size).to.equal(0);
  });

  it('are not known when two claims differ', () => {
    const store = new OriginStore();
    store.put('s', origin('v1'), 1000, 0);
    store.put('s', origin('v2'), 1000, 1);
    expect(store.find('s', 2)?.version).to.equal(null);
    store.put('s', origin('v1'), 1000, 3);
    expect(store.find('s', 4)?.version).to.equal(null);
  });

  it('cost two messages for each stream', () => {
    const fleet = startFleet();
    for (let index = 0; index < 20; index += 1) beginStream(fleet, `s${index}`);
    expect(fleet.messageCounts.get('streamBegan')).to.equal(40);
  });
});

describe('the versions of back ends', () => {
  it('are read from the store where an older daemon passes records on without them', () => {
    const fleet = new OlderPublisherFleet(6, 74);
    const configuration = makeLabConfiguration(1, [makeLabRoute(RESUMABLE)]);
    fleet.write({ collection: 'configuration', revision: 0, value: configuration });
    for (const value of BACKENDS) fleet.write({ collection: 'backends', id: value.id, revision: 0, value });
    fleet.time.runUntil(WARM_UP_MS);
    fleet.write({ collection: 'backends', id: 'b6', revision: 0, value: makeVersion('b6', 'v3') });
    fleet.time.runUntil(WARM_UP_MS + 3000);
    const versions = fleet.nodes.map(({ daemon }) => daemon.getBackendVersions());
    const expected = new Map([...Object.entries(VERSION_OF), ['b6', 'v3']]);
    for (const known of versions) expect(new Map([...known].sort())).to.deep.equal(expected);
  });
});

/** A fleet in which records pass between daemons as from an older daemon, after decoding. */
class OlderPublisherFleet extends ForwardingFleet {
  override handle(node: FleetNode, event: ForwardingEvent): void {
    if (event.kind !== 'peerMessage') return super.handle(node, event);
    const { message } = event;
    if (message.kind !== 'recordsChanged' && message.kind !== 'recordsSnapshot')
      return super.handle(node, event);
    const records = message.records.map(removeVersion);
    super.handle(node, { ...event, message: { ...message, records } });
  }
}

function removeVersion(record: StoredRecord): StoredRecord {
  return record.collection === 'backends' && record.value
    ? { ...record, value: { ...record.value, version: null } }
    : record;
}

interface TakenUp {
  readonly taken: number;
  readonly wentOn: number;
  /** Number of streams that went on at another version. */
  readonly wrong: number;
  /** Longest time until a rejection. Milliseconds. */
  readonly heldMs: number;
}

/** Begins streams at one daemon, applies trouble, and takes the streams up at the daemons that run `afterMs` later. */
function takeUpAfter(
  applyTrouble: (fleet: ForwardingFleet) => void,
  afterMs: number,
  getDaemons = (fleet: ForwardingFleet): readonly FleetNode[] => fleet.nodes.slice(1),
): TakenUp {
  const fleet = startFleet();
  const began = Array.from({ length: 40 }, (_, index) => beginStream(fleet, `s${index}`));
  fleet.time.runUntil(fleet.time.now() + 10);
  applyTrouble(fleet);
  fleet.time.runUntil(fleet.time.now() + afterMs);
  const at = fleet.time.now();
  const daemons = getDaemons(fleet).filter(({ down }) => !down);
  const results = began.map((attempt, index) => {
    const node = daemons[index % daemons.length];
    const id = `t${index}`;
    fleet.submit(node, id, '/a/x', { resumption: { firstAttemptId: attempt.requestId, lastEventId: '1' } });
    fleet.time.runUntil(fleet.time.now() + 10);
    return { node, id, began: getVersion(attempt) };
  });
  fleet.time.runUntil(fleet.time.now() + LOOKUP_MS);
  const outcomes = results.map(({ node, id, began: version }) => ({
    began: version,
    next: getVersion(getAttempts(fleet, id).at(-1)),
    refusedAt: node.refusals.find(({ requestId }) => requestId === id)?.at,
  }));
  const wentOn = outcomes.filter(({ next }) => next !== undefined);
  return {
    taken: outcomes.length,
    wentOn: wentOn.length,
    wrong: wentOn.filter((result) => result.next !== result.began).length,
    heldMs: Math.max(0, ...outcomes.map(({ refusedAt = at }, index) => refusedAt - at - index * 10)),
  };
}

/** Kills every n-th daemon, beginning with the first. */
function killAll(fleet: ForwardingFleet, every: number, downMs: number): void {
  fleet.nodes.forEach((node, index) => {
    if (index % every === 0) fleet.kill(node, downMs);
  });
}

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

/** Sends a new stream to the first daemon, which passes on its first event; then the caller breaks it off. */
function beginStream(fleet: ForwardingFleet, id: string, node = fleet.nodes[0]): StartedAttempt {
  fleet.submit(node, id);
  const attempt = getAttempts(fleet, id).at(-1) as StartedAttempt;
  fleet.sendAttemptEvent(attempt, { kind: 'streamStarted' });
  fleet.sendAttemptEvent(attempt, { kind: 'streamProgress', lastEventId: '1' });
  fleet.handle(node, { kind: 'cancel', requestId: id });
  return attempt;
}

/** Takes a stream up at a daemon; returns the attempt, undefined if the daemon rejects it. */
function resume(fleet: ForwardingFleet, node: FleetNode, firstAttemptId: string): StartedAttempt | undefined {
  const id = `${firstAttemptId}-at-${node.address}-${fleet.time.now()}`;
  fleet.submit(node, id, '/a/x', { resumption: { firstAttemptId, lastEventId: '1' } });
  fleet.time.runUntil(fleet.time.now() + LOOKUP_MS);
  fleet.handle(node, { kind: 'cancel', requestId: id });
  return getAttempts(fleet, id).at(-1);
}

function getAttempts(fleet: ForwardingFleet, requestId: string): StartedAttempt[] {
  return fleet.attempts.filter((attempt) => attempt.requestId === requestId);
}

function getVersion(attempt: StartedAttempt | undefined): string | undefined {
  return attempt && VERSION_OF[attempt.backendId];
}
