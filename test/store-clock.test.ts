/** The bounds by which a daemon knows when the store's clock showed a time. */
import { expect } from 'chai';
import fc from 'fast-check';
import { StoreClock } from '../src/fleet/store-clock.js';

/** The store's clock may run this much faster or slower than the local one. */
const DRIFT = 0.0008;
/** The clocks are read in whole milliseconds. */
const ROUNDING_MS = 2;
const HOUR_MS = 3_600_000;

/** A call to the store: the pause before it, and how long the request and the answer took. Milliseconds. */
const callArbitrary = fc.record({
  pauseMs: fc.integer({ min: 0, max: 60_000 }),
  requestMs: fc.integer({ min: 0, max: 3000 }),
  answerMs: fc.integer({ min: 0, max: 3000 }),
});

describe('the clock of the store as a daemon knows it', () => {
  it('never showed a time earlier than told, however long calls take and the clocks drift', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: -1_000_000, max: 1_000_000 }),
        fc.double({ min: -DRIFT, max: DRIFT, noNaN: true }),
        fc.array(callArbitrary, { minLength: 1, maxLength: 20 }),
        fc.integer({ min: 0, max: HOUR_MS }),
        (offsetMs, drift, calls, restMs) => {
          const getStoreMs = (at: number) => Math.round(offsetMs + at * (1 + drift));
          const clock = new StoreClock();
          let now = 0;
          const checkAt = (shownAt: number) => {
            const earliest = clock.findEarliestTime(getStoreMs(shownAt), now);
            expect(earliest).to.be.at.most(shownAt + ROUNDING_MS);
          };
          for (const { pauseMs, requestMs, answerMs } of calls) {
            const sentAt = now + pauseMs;
            const madeAt = sentAt + requestMs;
            now = madeAt + answerMs;
            clock.receiveAnswer(getStoreMs(madeAt), sentAt, now);
            checkAt(madeAt);
          }
          now += restMs;
          checkAt(now);
          checkAt(now - restMs / 2);
        },
      ),
    );
  });

  it('is known as closely as the fastest call allows', () => {
    const clock = new StoreClock();
    clock.receiveAnswer(50_500, 100, 700);
    clock.receiveAnswer(51_003, 1000, 1006);
    clock.receiveAnswer(52_400, 2000, 2900);
    expect(clock.findEarliestTime(53_000, 3200)).to.be.within(2990, 2997);
  });

  it('is loose some minutes after the last call that bounded it closely, until the next one', () => {
    const clock = new StoreClock();
    clock.receiveAnswer(50_000, 0, 4);
    clock.receiveAnswer(51_000, 5, 1000);
    expect(clock.isLoose(60_000)).to.equal(false);
    expect(clock.isLoose(HOUR_MS)).to.equal(true);
    clock.receiveAnswer(50_000 + HOUR_MS, HOUR_MS - 2, HOUR_MS + 2);
    expect(clock.isLoose(HOUR_MS + 100)).to.equal(false);
  });

  it('bounds nothing before a call', () => {
    expect(new StoreClock().findEarliestTime(1000, 50)).to.equal(undefined);
  });

  it('is known again after the first call since it jumped, and no time after the present is believed', () => {
    for (const jumpMs of [-40_000, -500, 500, 40_000]) {
      const clock = new StoreClock();
      clock.receiveAnswer(50_000, 0, 4);
      const shown = (at: number) => 50_000 + at + jumpMs;
      if (jumpMs > 0) expect(clock.findEarliestTime(shown(1000), 1010)).to.equal(undefined);
      clock.receiveAnswer(shown(2002), 2000, 2004);
      expect(clock.findEarliestTime(shown(2500), 2600)).to.be.within(2495, 2501);
    }
  });

  it('counts the time for which the machine was suspended', () => {
    const clock = new StoreClock();
    clock.receiveAnswer(50_000, 0, 4);
    clock.onMachineSuspended(7000);
    expect(clock.findEarliestTime(58_000, 1010)).to.be.within(995, 1001);
  });
});
