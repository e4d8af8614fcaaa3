/**
 * Callers take streams up at any daemon while back ends of several software versions serve. A daemon finds out which
 * version began a stream, or rejects it at once. Every test forces an order of events in virtual time.
 */
import { expect } from 'chai';
import { makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type CallerFields, type FleetNode } from '../simulation/forwarding-fleet.js';
import type { ForwardingEvent } from '../src/daemon/forwarding-messages.js';
import type { StoredRecord } from '../src/fleet/record-store.js';
import { OriginStore } from '../src/streams/origin-store.js';
import type { StreamOrigin } from '../src/streams/stream-origin.js';
import {
  BACKENDS,
  beginStream,
  getAttempts,
  getVersion,
  LOOKUP_MS,
  makeVersion,
  RESUMABLE,
  resume,
  startFleet,
  WARM_UP_MS,
} from './stream-site.js';

/** A daemon that asks its peers in vain rejects the stream within this time, one tick included. Milliseconds. */
const LONGEST_LOOKUP_MS = 400;
/** The part of the streams that were taken up that must go on. */
const GOES_ON_SHARE = 0.5;

describe('a stream goes on only at the version that began it', () => {
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

  it('and is not continued by a daemon that has not seen that version yet', () => {
    const fleet = new LateRecordsFleet(6, 75);
    const configuration = makeLabConfiguration(1, [makeLabRoute(RESUMABLE)]);
    fleet.write({ collection: 'configuration', revision: 0, value: configuration });
    const write = (id: string, version: string): void =>
      void fleet.write({ collection: 'backends', id, revision: 0, value: makeVersion(id, version) });
    write('b1', 'v1');
    fleet.time.runUntil(WARM_UP_MS);
    const late = fleet.nodes[5];
    fleet.withoutRecords.add(late);
    late.access = 'silent';
    // A read that already waits at the store is over by then.
    fleet.time.runUntil(fleet.time.now() + 30_000);
    write('b9', 'v9');
    fleet.write({ collection: 'backends', id: 'b1', revision: 0, value: undefined });
    fleet.time.runUntil(fleet.time.now() + 1000);
    expect(beginStream(fleet, 's').backendId).to.equal('b9');
    fleet.time.runUntil(fleet.time.now() + 20);
    expect([...late.backendStates.keys()]).to.deep.equal(['b1']);
    expect(resume(fleet, late, 's')).to.equal(undefined);
    expect(resume(fleet, fleet.nodes[4], 's')?.backendId).to.equal('b9');
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

describe('a stream of a service that had one version for as long as streams may last', () => {
  const UNNAMED = { resumption: { firstAttemptId: undefined, lastEventId: '1' } };
  const ONE_VERSION = BACKENDS.map((record) => ({ ...record, version: 'v1' }));
  /** Longer than a daemon keeps origins. Milliseconds. */
  const WATCHED_MS = 31_000;

  function startWatching(): ForwardingFleet {
    const fleet = startFleet(6, ONE_VERSION);
    fleet.time.runUntil(WARM_UP_MS + WATCHED_MS);
    return fleet;
  }

  function goesOn(fleet: ForwardingFleet, fields: CallerFields = UNNAMED, node = fleet.nodes[1]): boolean {
    const id = `t${fleet.time.now()}`;
    fleet.submit(node, id, '/a/x', fields);
    fleet.time.runUntil(fleet.time.now() + LOOKUP_MS);
    fleet.handle(node, { kind: 'cancel', requestId: id });
    return getAttempts(fleet, id).length > 0;
  }

  it('goes on where its caller names no attempt, and where nobody knows the attempt', () => {
    const fleet = startWatching();
    expect(goesOn(fleet)).to.equal(true);
    expect(goesOn(fleet, { resumption: { firstAttemptId: 'lost', lastEventId: '1' } })).to.equal(true);
  });

  it('is rejected by a daemon that has not watched for so long', () => {
    const fleet = startWatching();
    fleet.kill(fleet.nodes[1], 100);
    fleet.time.runUntil(fleet.time.now() + 3000);
    expect(goesOn(fleet)).to.equal(false);
    expect(goesOn(fleet, UNNAMED, fleet.nodes[2])).to.equal(true);
  });

  it('is rejected while another version serves, and until it is gone for so long', () => {
    const fleet = startWatching();
    const other = { collection: 'backends', id: 'b9', revision: 0 } as const;
    fleet.write({ ...other, value: makeVersion('b9', 'v2') });
    fleet.time.runUntil(fleet.time.now() + 1000);
    expect(goesOn(fleet)).to.equal(false);
    fleet.write({ ...other, value: undefined });
    fleet.time.runUntil(fleet.time.now() + 10_000);
    expect(goesOn(fleet)).to.equal(false);
    fleet.time.runUntil(fleet.time.now() + WATCHED_MS);
    expect(goesOn(fleet)).to.equal(true);
  });

  it('is rejected by a daemon that may have missed a change', () => {
    const fleet = startWatching();
    for (const node of fleet.nodes) node.access = 'silent';
    fleet.time.runUntil(fleet.time.now() + 5000);
    expect(goesOn(fleet)).to.equal(false);
  });

  it('is rejected by a daemon whose process was paused', () => {
    const fleet = startWatching();
    fleet.nodes[1].paused = true;
    fleet.time.runUntil(fleet.time.now() + 5000);
    fleet.nodes[1].paused = false;
    fleet.time.runUntil(fleet.time.now() + 3000);
    expect(goesOn(fleet)).to.equal(false);
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
    const now = fleet.time.now();
    const unknown = fleet.nodes.map(({ daemon }) => daemon.getPartFigures(now).streams.unknownVersions);
    expect(unknown).to.deep.equal([0, 0, 0, 0, 0, 0]);
    for (const node of fleet.nodes) expect([...node.backendStates.keys()]).to.include('b6');
  });
});

/** A fleet in which some daemons get no records from others. */
class LateRecordsFleet extends ForwardingFleet {
  readonly withoutRecords = new Set<FleetNode>();

  override handle(node: FleetNode, event: ForwardingEvent): void {
    const kind = event.kind === 'peerMessage' ? event.message.kind : '';
    if (kind.startsWith('records') && this.withoutRecords.has(node)) return;
    super.handle(node, event);
  }
}

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
