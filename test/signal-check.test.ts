/** The soak's checks of what back ends say find what breaks it, and excuse daemons that were disturbed or not told. */
import { expect } from 'chai';
import {
  findBackOffViolations,
  findLateRequestsToLeaving,
  findLimitWindows,
  type DaemonArrival,
} from '../lab/soak/signal-check.js';

const CONTACT_MS = 3000;
const SPAN = { backend: 'b', perSecond: 2, from: 1000, until: 20_000 };
/** A request to the limited back end each 100 ms: 40 in 4 s, of 17 that are allowed. */
const ARRIVALS: readonly DaemonArrival[] = Array.from({ length: 100 }, (_, index) => ({
  backend: 'b',
  daemon: 'd',
  at: 5000 + 100 * index,
  sentAt: 4990 + 100 * index,
}));

function count(toldAt: number, undisturbed = true, arrivals = ARRIVALS): number {
  const told = [{ backend: 'b', daemon: 'd', at: toldAt }];
  const [window] = findLimitWindows([SPAN], arrivals, told, () => undisturbed, CONTACT_MS);
  expect(window.allowed).to.equal(17);
  return window.seen;
}

describe('check of limits', () => {
  it('counts the worst window of a daemon that was told', () => {
    expect(count(1500)).to.equal(40);
  });

  it('leaves out daemons that were not told, or only just, and those that were disturbed', () => {
    expect(count(19_000)).to.equal(0);
    expect(count(14_000)).to.equal(5);
    expect(count(1500, false)).to.equal(0);
  });

  it('counts from the contact time on, while the limit is named', () => {
    const early = ARRIVALS.map((arrival) => ({ ...arrival, at: arrival.at - 4000 }));
    expect(count(1000, true, early)).to.be.within(39, 40);
    const late = ARRIVALS.map((arrival) => ({ ...arrival, at: arrival.at + 14_000 }));
    expect(count(1500, true, late)).to.equal(11);
  });
});

describe('checks of leavings and back-offs', () => {
  const told = [{ backend: 'b', daemon: 'd', at: 6000 }];

  it('find requests that were sent too late to a back end that leaves', () => {
    expect(findLateRequestsToLeaving(told, ARRIVALS, () => true, 2000)).to.have.length(69);
    expect(findLateRequestsToLeaving(told, ARRIVALS, () => false, 2000)).to.deep.equal([]);
    expect(findLateRequestsToLeaving([], ARRIVALS, () => true, 2000)).to.deep.equal([]);
  });

  it('find back-offs with more than two requests', () => {
    const backOff = { ...told[0], until: 7000 };
    expect(findBackOffViolations([backOff], ARRIVALS, () => true)).to.deep.equal([
      { span: backOff, seen: 5 },
    ]);
    expect(findBackOffViolations([{ ...backOff, until: 6700 }], ARRIVALS, () => true)).to.deep.equal([]);
    expect(findBackOffViolations([backOff], ARRIVALS, () => false)).to.deep.equal([]);
  });
});
