/** Which daemons read the store, and how soon a change is in force everywhere if the reader fails. Virtual time. */
import { expect } from 'chai';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import { Snapshot } from './snapshot.js';
import { findReader } from './store-reader.js';

const SEED = 20261203;
const SETTLED_MS = 6000;
const BOUND_MS = 2000;
/** Network delay as on machines with too little processor time. */
const SLOW_NETWORK_MS = 100;
/** Number of steps of 10 ms after which a peer has received the report of a change. */
const REPORTED_STEPS = 3;

function makeConfigurationRecord(version: number) {
  return {
    collection: 'configuration' as const,
    revision: 0,
    value: makeLabConfiguration(version, [makeLabRoute({})]),
  };
}

function makeBackendRecord(id: string, state: 'ready' | 'draining' | 'gone') {
  const value = state === 'gone' ? undefined : { ...makeLabBackend(id, '10.1.0.1:80'), state };
  return { collection: 'backends' as const, id, revision: 0, value };
}

function startSettledFleet(count: number): ForwardingFleet {
  const fleet = new ForwardingFleet(count, SEED);
  fleet.write(makeConfigurationRecord(1));
  fleet.write(makeBackendRecord('a', 'ready'));
  fleet.write(makeBackendRecord('b', 'ready'));
  fleet.time.runUntil(SETTLED_MS);
  return fleet;
}

/** The longest time until a version was in force at a running daemon. Milliseconds. */
function getSlowestMs(fleet: ForwardingFleet, version: number, since: number): number {
  return Math.max(
    ...fleet.nodes
      .filter((node) => !node.down)
      .map((node) => (node.inForceAt.get(version) ?? Infinity) - since),
  );
}

/** The longest time until a running daemon knew this state of a back end. Milliseconds. */
function getSlowestStateMs(fleet: ForwardingFleet, id: string, state: string, since: number): number {
  return Math.max(
    ...fleet.nodes
      .filter((node) => !node.down)
      .map((node) => {
        const seen = node.backendStates.get(id);
        return seen?.state === state ? seen.at - since : Infinity;
      }),
  );
}

describe('readers of the store', () => {
  for (const count of [2, 9, 88]) {
    it(`${count} daemons: one follows the store, the others receive changes from it`, () => {
      const fleet = startSettledFleet(count);
      const before = fleet.getReadCount();
      fleet.time.runUntil(SETTLED_MS + 20_000);
      const snapshot = new Snapshot(`store-readers-${count}`);
      snapshot.add(`reads in 20 s without a change: ${fleet.getReadCount() - before}`);
      let since = fleet.time.now();
      fleet.write(makeConfigurationRecord(2));
      fleet.time.runUntil(since + 3000);
      snapshot.add(`configuration in force everywhere after ${Math.round(getSlowestMs(fleet, 2, since))} ms`);
      since = fleet.time.now();
      fleet.write(makeBackendRecord('a', 'draining'));
      fleet.time.runUntil(since + 3000);
      snapshot.add(`draining known after ${Math.round(getSlowestStateMs(fleet, 'a', 'draining', since))} ms`);
      since = fleet.time.now();
      fleet.write(makeBackendRecord('a', 'gone'));
      fleet.time.runUntil(since + 3000);
      snapshot.add(`removal known after ${Math.round(getSlowestStateMs(fleet, 'a', 'gone', since))} ms`);
      snapshot.add(`reads in all: ${fleet.getReadCount() - before}`);
      snapshot.check();
    });
  }

  const failures: readonly [string, (reader: FleetNode) => void][] = [
    ['dies', (reader) => void (reader.down = true)],
    ['is rejected by the store', (reader) => void (reader.access = 'refuses')],
    ['gets no answer from the store', (reader) => void (reader.access = 'silent')],
  ];
  for (const [name, fail] of failures) {
    for (const count of [2, 9, 88]) {
      it(`${count} daemons: when the reader ${name}, a change is in force everywhere within the bound`, () => {
        const fleet = startSettledFleet(count);
        fail(findReader(fleet));
        const since = fleet.time.now();
        fleet.write(makeConfigurationRecord(2));
        fleet.write(makeBackendRecord('a', 'draining'));
        fleet.time.runUntil(since + 5000);
        expect(getSlowestMs(fleet, 2, since)).to.be.lessThan(BOUND_MS);
        expect(getSlowestStateMs(fleet, 'a', 'draining', since)).to.be.lessThan(BOUND_MS);
      });
    }
  }

  it('a third of the daemons get no answer from the store, the reader among them: changes reach all within the bound', () => {
    const fleet = startSettledFleet(9);
    const reader = findReader(fleet);
    reader.access = 'silent';
    for (const node of fleet.nodes.filter((other) => other !== reader).slice(0, 2)) node.access = 'silent';
    for (let version = 2; version < 8; version += 1) {
      const since = fleet.time.now();
      fleet.write(makeConfigurationRecord(version));
      fleet.write(makeBackendRecord(`new-${version}`, 'ready'));
      fleet.time.runUntil(since + 2500);
      expect(getSlowestMs(fleet, version, since)).to.be.lessThan(BOUND_MS);
      expect(getSlowestStateMs(fleet, `new-${version}`, 'ready', since)).to.be.lessThan(BOUND_MS);
    }
  });

  for (const count of [9, 66]) {
    it(`${count} daemons: a change of the configuration costs the store a few reads, not one per daemon`, () => {
      const fleet = startSettledFleet(count);
      fleet.time.runUntil(SETTLED_MS + 10_000);
      const quietReads = fleet.getReadCount();
      fleet.time.runUntil(fleet.time.now() + 2000);
      const before = fleet.getReadCount();
      const since = fleet.time.now();
      fleet.write(makeConfigurationRecord(2));
      fleet.time.runUntil(since + 2000);
      expect(getSlowestMs(fleet, 2, since)).to.be.lessThan(BOUND_MS);
      expect(fleet.getReadCount() - before).to.be.at.most(before - quietReads + 4);
    });
  }

  it('a daemon that knows of a newer configuration answers no 404 until it has read it', () => {
    const fleet = startSettledFleet(9);
    const reader = findReader(fleet);
    const rejected = fleet.nodes.find((node) => node !== reader) ?? reader;
    rejected.access = 'refuses';
    // Too large to be published with its records, so this daemon learns of the change before it can read it.
    const many = Array.from({ length: 400 }, (_unused, i) => makeLabRoute({ pathPrefix: `/r${i}/` }));
    const value = makeLabConfiguration(2, [
      ...many,
      makeLabRoute({}),
      makeLabRoute({ name: 'new', pathPrefix: '/new/' }),
    ]);
    fleet.write({ collection: 'configuration', revision: 0, value });
    const statuses: number[] = [];
    for (let i = 0; i < 40 && !rejected.inForceAt.has(2); i += 1) {
      fleet.time.runUntil(fleet.time.now() + 10);
      const before = rejected.refusals.length;
      fleet.submit(rejected, `q${i}`, '/new/x');
      if (i >= REPORTED_STEPS) statuses.push(...rejected.refusals.slice(before).map(({ status }) => status));
    }
    expect(statuses).to.include(503);
    expect(statuses).not.to.include(404);
    fleet.time.runUntil(fleet.time.now() + 2000);
    expect(rejected.inForceAt.has(2)).to.equal(true);
    fleet.submit(rejected, 'unknown', '/nowhere/x');
    expect(rejected.refusals.at(-1)?.status).to.equal(404);
  });

  for (const count of [9, 66]) {
    it(`${count} daemons on slow links: a confirmation that is forwarded in a cycle does not appear newer`, () => {
      const fleet = startSettledFleet(count);
      fleet.networkMs = SLOW_NETWORK_MS;
      fleet.time.runUntil(fleet.time.now() + 5000);
      for (const node of fleet.nodes) node.access = 'refuses';
      const since = fleet.time.now();
      fleet.time.runUntil(since + 4000);
      const now = fleet.time.now();
      const ages = fleet.nodes.map(({ daemon }) => daemon.configurationAgeMs(now));
      expect(Math.min(...ages)).to.be.greaterThan(4000 - 10 * SLOW_NETWORK_MS);
    });
  }

  it('a daemon without a confirmation for longer than a change may take answers no 404', () => {
    const fleet = startSettledFleet(9);
    const [alone] = fleet.nodes;
    for (const node of fleet.nodes) if (node !== alone) node.down = true;
    alone.access = 'silent';
    fleet.time.runUntil(fleet.time.now() + BOUND_MS + 100);
    fleet.submit(alone, 'unknown', '/nowhere/x');
    expect(alone.refusals.at(-1)?.status).to.equal(503);
  });

  for (const access of ['refuses', 'silent'] as const) {
    it(`all daemons start (access to the store: ${access}): callers get increasing retry times; all serve soon after`, () => {
      const fleet = new ForwardingFleet(7, SEED);
      fleet.write(makeConfigurationRecord(1));
      fleet.write(makeBackendRecord('a', 'ready'));
      for (const node of fleet.nodes) node.access = access;
      const snapshot = new Snapshot(`store-outage-at-start-${access}`);
      for (const at of [50, 500, 1500, 2900]) {
        fleet.time.runUntil(at);
        fleet.submit(fleet.nodes[0], `q${at}`);
        const { status, retryAfterMs } = fleet.nodes[0].refusals.at(-1) ?? { status: 0, retryAfterMs: 0 };
        snapshot.add(`after ${at} ms: ${status}, come back in ${Math.round(retryAfterMs ?? 0)} ms`);
      }
      fleet.time.runUntil(3000);
      for (const node of fleet.nodes) node.access = 'serves';
      fleet.time.runUntil(6000);
      expect(getSlowestMs(fleet, 1, 3000)).to.be.lessThan(access === 'refuses' ? 350 : 1200);
      snapshot.check();
    });
  }

  it('a single daemon without records reads within 350 ms of the recovery of the store, at any time', () => {
    for (let backAt = 2000; backAt < 6000; backAt += 173) {
      const fleet = new ForwardingFleet(1, SEED);
      fleet.write(makeConfigurationRecord(1));
      fleet.nodes[0].access = 'refuses';
      fleet.time.runUntil(backAt);
      fleet.nodes[0].access = 'serves';
      fleet.time.runUntil(backAt + 2000);
      expect(getSlowestMs(fleet, 1, backAt)).to.be.lessThan(350);
    }
  });
});
