/** Starts fleets in virtual time with a store and a few back ends, and finds the daemon that follows the store. */
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import type { StoredRecord } from '../src/fleet/record-store.js';

/** Time at which all daemons know each other and the store's records. Milliseconds. */
const SETTLED_MS = 6000;

/** A back end's record in the store; without a value when it is gone. */
export function makeBackendRecord(id: string, state: 'ready' | 'draining' | 'gone'): StoredRecord {
  const value = state === 'gone' ? undefined : { ...makeLabBackend(id, '10.1.0.1:80'), state };
  return { collection: 'backends', id, revision: 0, value };
}

/** Starts a fleet whose daemons know each other and these back ends, all ready. */
export function startSettledFleet(count: number, seed: number, backends: readonly string[]): ForwardingFleet {
  const fleet = new ForwardingFleet(count, seed);
  const value = makeLabConfiguration(1, [makeLabRoute({})]);
  fleet.write({ collection: 'configuration', revision: 0, value });
  for (const id of backends) fleet.write(makeBackendRecord(id, 'ready'));
  fleet.time.runUntil(SETTLED_MS);
  return fleet;
}

/** Returns the daemon with the most reads in the next second, and advances the time by that second. No fault may be active. */
export function findReader(fleet: ForwardingFleet): FleetNode {
  const before = fleet.nodes.map((node) => node.reads);
  fleet.time.runUntil(fleet.time.now() + 1000);
  const counts = fleet.nodes.map((node, i) => ({ node, reads: node.reads - before[i] }));
  return counts.reduce((most, count) => (count.reads > most.reads ? count : most)).node;
}
