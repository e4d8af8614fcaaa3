/** Configurations in series, which relays send to every daemon of their zone, fill the relays' uplinks. */
import { expect } from 'chai';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet } from '../simulation/forwarding-fleet.js';
import { Uplinks } from '../simulation/uplinks.js';
import type { RouteConfiguration } from '../src/forwarding/routes/route.js';
import { STATUS_NOT_FOUND } from '../src/shared/http-status.js';

const SEED = 20261208;
const DAEMONS = 40;
const BACKENDS = 20;
const SETTLED_MS = 8000;
/** A change is in force everywhere within this time. Milliseconds. */
const BOUND_MS = 2000;
const CHANGE_INTERVAL_MS = 300;
const SERIES_MS = 9000;
/** A configuration of some 13 kB takes over half a second to the 13 daemons of a zone. Bytes in a millisecond. */
const UPLINK_RATE = 300;
const OTHER_ROUTES = 40;

/** Each version adds a route to those before it. */
function makeConfiguration(version: number): RouteConfiguration {
  const other = Array.from({ length: OTHER_ROUTES }, (_unused, i) =>
    makeLabRoute({ name: `route-${i}`, host: `host-${i}.example`, pathPrefix: `/prefix-${i}/` }),
  );
  const added = Array.from({ length: version }, (_unused, i) =>
    makeLabRoute({ name: `added-${i + 1}`, pathPrefix: `/added-${i + 1}/` }),
  );
  return makeLabConfiguration(version, [...other, ...added]);
}

function startFleet(): ForwardingFleet {
  const fleet = new ForwardingFleet(DAEMONS, SEED);
  fleet.write({ collection: 'configuration', revision: 0, value: makeConfiguration(1) });
  for (let i = 0; i < BACKENDS; i += 1) {
    const value = makeLabBackend(`b${i}`, `10.1.0.${i}:80`);
    fleet.write({ collection: 'backends', id: value.id, revision: 0, value });
  }
  fleet.time.runUntil(SETTLED_MS);
  const uplinks = new Uplinks(fleet.time, UPLINK_RATE);
  fleet.getTransitMs = ({ address }, _to, message) => uplinks.send(address, message) + fleet.networkMs;
  return fleet;
}

describe('configurations in series over full links', () => {
  it('no route that was added before the bound is denied, and each change is in force everywhere within it', () => {
    const fleet = startFleet();
    const writtenAt = new Map<number, number>();
    const denied: string[] = [];
    const startAt = fleet.time.now();
    while (fleet.time.now() < startAt + SERIES_MS) {
      const version = writtenAt.size + 2;
      fleet.write({ collection: 'configuration', revision: 0, value: makeConfiguration(version) });
      writtenAt.set(version, fleet.time.now());
      fleet.time.runUntil(fleet.time.now() + CHANGE_INTERVAL_MS);
      const due = [...writtenAt].filter(([, at]) => fleet.time.now() - at > BOUND_MS).at(-1)?.[0];
      for (const node of due === undefined ? [] : fleet.nodes) {
        const id = `${node.id} ${due}`;
        fleet.submit(node, id, `/added-${due}/x`);
        if (node.refusals.some(({ requestId, status }) => requestId === id && status === STATUS_NOT_FOUND))
          denied.push(id);
      }
    }
    fleet.time.runUntil(fleet.time.now() + 2 * BOUND_MS);
    expect(denied).to.deep.equal([]);
    const latest = fleet.nodes.flatMap(({ inForceAt }) =>
      [...writtenAt].map(([version, at]) => {
        const times = [...inForceAt].filter(([known]) => known >= version).map(([, since]) => since);
        return Math.min(...times) - at;
      }),
    );
    expect(Math.max(...latest)).to.be.at.most(BOUND_MS);
  });
});
