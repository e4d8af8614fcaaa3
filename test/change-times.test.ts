/** The delays that add up to the time in which a change of the store is known. */
import { expect } from 'chai';
import { createChangeTimes, getLatestMs } from '../src/fleet/change-times.js';

/** A long poll, a read and three digests of a large fleet, each up to a tick late. Milliseconds. */
const DIGESTS_MS = 3 * (250 + 40) + 10;

describe('the times of a change', () => {
  it('add up to at most the bound, though the first read is lost', () => {
    for (let boundMs = 1500; boundMs <= 20_000; boundMs += 100)
      expect(getLatestMs(createChangeTimes(boundMs, Infinity)), `${boundMs} ms`).to.be.at.most(boundMs);
  });

  it('follow the shorter bound, but for the age of a copy that denies', () => {
    const { staleMs, ...others } = createChangeTimes(6000, 2000);
    const { staleMs: shortest, ...expected } = createChangeTimes(2000, 2000);
    expect(others).to.deep.equal(expected);
    expect([shortest, staleMs]).to.deep.equal([1800, 5400]);
  });

  it('leave time for the confirmations of a large fleet before another daemon reads', () => {
    for (const boundMs of [3000, 4000, 10_000]) {
      const { waitMs, maximumStandbyDelayMs } = createChangeTimes(boundMs, boundMs);
      expect(waitMs + DIGESTS_MS).to.be.at.most(maximumStandbyDelayMs);
    }
  });
});
