/** A forwarding daemon in a process of its own, which its parent may kill. Argument: the address of its back end. */
import { makeLabBackend, makeLabRoute, startForwardingSite } from '../lab/forwarding-site.js';

const [, , backend] = process.argv;
const routes = [
  makeLabRoute({ name: 'stream', pathPrefix: '/stream/', kind: 'stream' }),
  makeLabRoute({ name: 'whole', pathPrefix: '/whole/' }),
];
const site = await startForwardingSite(routes, [makeLabBackend('b1', backend)]);
process.send?.(site.callers);
