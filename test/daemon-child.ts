/**
 * A forwarding daemon in a process of its own. Argument: the address of its back end. Sends its addresses for callers and
 * for peers to its parent.
 */
import { makeLabBackend, makeLabRoute, startForwardingSite } from '../lab/forwarding-site.js';

const [, , backend] = process.argv;
const routes = [
  makeLabRoute({ name: 'stream', pathPrefix: '/stream/', kind: 'stream' }),
  makeLabRoute({ name: 'whole', pathPrefix: '/whole/' }),
];
const site = await startForwardingSite(routes, [makeLabBackend('b1', backend)]);
process.send?.([site.callers, site.peers]);
