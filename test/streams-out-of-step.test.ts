/**
 * Guards against streams that go on at another software version: a daemon that was cut off from its peers judged by what
 * it had seen of the back ends, while one of a new version had joined and begun streams at other daemons.
 */
import { expect } from 'chai';
import type { ForwardingFleet, FleetNode } from '../simulation/forwarding-fleet.js';
import { beginStream, getAttempts, makeVersion, startFleet } from './stream-site.js';

const ONE_VERSION = ['b1', 'b2', 'b3', 'b4'].map((id) => makeVersion(id, 'v1'));
/** Longer than a daemon keeps origins. Milliseconds. */
const WATCHED_MS = 37_000;
const STREAMS = 6;
/** By now a request is decided. Milliseconds. */
const DECIDED_MS = 2500;

/** How a daemon gets out of step. */
const OUT_OF_STEP: Readonly<Record<string, (fleet: ForwardingFleet, node: FleetNode) => void>> = {
  'cut off from its peers': (fleet, node) => {
    fleet.isLinked = (from, to) => from !== node && to !== node;
  },
  'cut off from its peers and the store': (fleet, node) => {
    fleet.isLinked = (from, to) => from !== node && to !== node;
    node.access = 'silent';
  },
  'standing still': (fleet, node) => {
    node.paused = true;
    fleet.time.after(1500, () => (node.paused = false));
  },
};

interface Outcome {
  readonly wrong: number;
  readonly heldMs: number;
}

/** A new version joins `joinMs` after the daemon got out of step; its streams are taken up there at once. */
function play(outOfStep: (fleet: ForwardingFleet, node: FleetNode) => void, joinMs: number): Outcome {
  const fleet = startFleet(6, ONE_VERSION);
  fleet.time.runUntil(WATCHED_MS);
  const node = fleet.nodes[1];
  outOfStep(fleet, node);
  fleet.time.runUntil(fleet.time.now() + joinMs);
  // Only the new version can begin streams.
  for (const { id, version } of [makeVersion('b9', 'v2'), makeVersion('b8', 'v2')])
    fleet.write({ collection: 'backends', id, revision: 0, value: makeVersion(id, version ?? '') });
  fleet.time.runUntil(fleet.time.now() + 300);
  for (const { id } of ONE_VERSION)
    fleet.write({ collection: 'backends', id, revision: 0, value: undefined });
  fleet.time.runUntil(fleet.time.now() + 300);
  const began = Array.from({ length: 4 * STREAMS }, (_, index) => beginStream(fleet, `s${index}`)).filter(
    ({ backendId }) => backendId === 'b9' || backendId === 'b8',
  );
  expect(began.length).to.be.greaterThan(STREAMS);
  const at = fleet.time.now();
  for (const { requestId } of began)
    fleet.submit(node, `${requestId}-again`, '/a/x', {
      resumption: { firstAttemptId: requestId, lastEventId: '1' },
    });
  fleet.time.runUntil(at + DECIDED_MS);
  const next = began.map(({ requestId }) => getAttempts(fleet, `${requestId}-again`).at(-1)?.backendId);
  const refusals = node.refusals.filter(({ requestId }) => requestId.endsWith('-again'));
  return {
    wrong: next.filter((id) => id !== undefined && id !== 'b9' && id !== 'b8').length,
    heldMs: Math.max(0, ...refusals.map((refusal) => refusal.at - at)),
  };
}

describe('a daemon that is out of step', () => {
  for (const [name, outOfStep] of Object.entries(OUT_OF_STEP))
    for (const joinMs of [0, 100, 500, 1000])
      it(`continues no stream of a version that joined ${joinMs} ms after: ${name}`, () => {
        const { wrong, heldMs } = play(outOfStep, joinMs);
        expect(wrong).to.equal(0);
        expect(heldMs, 'until a rejection').to.be.lessThan(DECIDED_MS);
      });
});
