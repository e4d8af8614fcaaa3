/** What the log tells of a request that the configuration does not allow, and of a change of the configuration. */
import { expect } from 'chai';
import { makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import type { FleetNode } from '../simulation/forwarding-fleet.js';
import { findReader, startSettledFleet } from './store-reader.js';

const SEED = 20261208;
const NETWORK_MS = 150;

function findLine(node: FleetNode, event: string): Readonly<Record<string, unknown>> | undefined {
  return node.logLines.filter((line) => line.event === event).at(-1)?.fields;
}

describe('the log', () => {
  it('tells the version by which a request is denied, the age of the copy and who confirmed it', () => {
    const fleet = startSettledFleet(9, SEED, ['a']);
    const reader = findReader(fleet);
    const [other] = fleet.nodes.filter((node) => node !== reader);
    fleet.networkMs = NETWORK_MS;
    fleet.time.runUntil(fleet.time.now() + 3000);
    fleet.submit(other, 'unknown', '/nowhere/x');
    const line = findLine(other, 'request.refused');
    expect(line).to.include({ status: 404, failure: 'no-route', configuration: 1 });
    expect(fleet.nodes.map(({ id }) => id)).to.include(line?.confirmedBy);
    // The message that confirmed the copy took this long.
    expect(line?.ageMs).to.be.at.least(NETWORK_MS);
  });

  it('tells why a request is not denied by a copy that is too old', () => {
    const fleet = startSettledFleet(3, SEED, ['a']);
    const [alone, ...others] = fleet.nodes;
    for (const node of others) node.down = true;
    alone.access = 'silent';
    fleet.time.runUntil(fleet.time.now() + 4000);
    fleet.submit(alone, 'unknown', '/nowhere/x');
    const line = findLine(alone, 'request.refused');
    expect(line).to.include({ status: 503, failure: 'stale-configuration', configuration: 1 });
    expect(line?.ageMs).to.be.at.least(3000);
  });

  it('tells by which way a configuration came, and how long after the store had given it away', () => {
    const fleet = startSettledFleet(9, SEED, ['a']);
    const reader = findReader(fleet);
    fleet.networkMs = NETWORK_MS;
    fleet.write({
      collection: 'configuration',
      revision: 0,
      value: makeLabConfiguration(2, [makeLabRoute({})]),
    });
    fleet.time.runUntil(fleet.time.now() + 1000);
    for (const node of fleet.nodes) {
      const line = findLine(node, 'configuration.changed');
      const isReader = node === reader;
      const expected = isReader ? { way: 'read', source: 'store' } : { way: 'published', source: reader.id };
      expect(line).to.include({ version: 2, ...expected });
      expect(line?.readAgoMs).to.be.within(isReader ? 0 : NETWORK_MS, NETWORK_MS + 50);
    }
  });
});
