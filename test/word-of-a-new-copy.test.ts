/**
 * Callers' requests went to a back end long after it had left, since no daemon but one ever heard that it had.
 *
 * The first reader of the store is turned away; a ready back end's record goes; a daemon starts and reads what
 * is there. That snapshot is newer than what the others have, and says nothing of the back end that is gone. The
 * daemon tells its peers that its copy is complete up to the snapshot and that its newest change is an old
 * one, so they take their own copies for complete up to there too, and the next reader asks only for what came
 * after. The removal lies before and is never read.
 *
 * Evidence: 66 daemons, bound 3,000 ms, the starter's moment moved in steps of 25 ms: in 1 of 40 plays 29 of
 * 30 daemons never knew of the removal. Virtual time.
 */
import { expect } from 'chai';
import { findReader, makeBackendRecord, startSettledFleet } from './store-reader.js';

const SEED = 20261203;
/** All daemons know of a leaving within this time. Milliseconds. */
const BOUND_MS = 2000;
const DAEMONS = 9;
const DOWN_MS = 500;

/** Daemons that do not know after twice the bound that a back end is gone. */
function playStart(startsAfterMs: number): string[] {
  const fleet = startSettledFleet(DAEMONS, SEED, ['a', 'b']);
  const reader = findReader(fleet);
  const [starter] = fleet.nodes.filter((node) => node !== reader);
  reader.access = 'refuses';
  fleet.kill(starter, DOWN_MS);
  fleet.time.runUntil(fleet.time.now() + DOWN_MS - startsAfterMs);
  const since = fleet.time.now();
  fleet.write(makeBackendRecord('a', 'gone'));
  fleet.time.runUntil(since + 2 * BOUND_MS);
  const others = fleet.nodes.filter((node) => node !== starter);
  return others
    .filter(({ backendStates }) => {
      const seen = backendStates.get('a');
      return seen?.state !== 'gone' || seen.at - since > BOUND_MS;
    })
    .map(({ id }) => id);
}

describe('word of a copy that has just begun', () => {
  it('moves nobody past a removal that it cannot know of', () => {
    for (let startsAfterMs = 0; startsAfterMs <= DOWN_MS; startsAfterMs += 25)
      expect(playStart(startsAfterMs), `starts ${startsAfterMs} ms after`).to.deep.equal([]);
  });
});
