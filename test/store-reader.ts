/** Which daemon of a simulated fleet follows the store. */
import type { FleetNode, ForwardingFleet } from '../simulation/forwarding-fleet.js';

/** The daemon that reads most in a second without trouble, which passes. */
export function findReader(fleet: ForwardingFleet): FleetNode {
  const before = fleet.nodes.map((node) => node.reads);
  fleet.time.runUntil(fleet.time.now() + 1000);
  const counts = fleet.nodes.map((node, i) => ({ node, reads: node.reads - before[i] }));
  return counts.reduce((most, count) => (count.reads > most.reads ? count : most)).node;
}
