/**
 * The soak's checks of signals from back ends find the requests that violate them, and leave out daemons that were
 * disturbed or had not received the signal.
 */
import { expect } from 'chai';
import {
  findBackOffViolations,
  findLateRequestsToLeaving,
  findLimitWindows,
  type DaemonArrival,
} from '../lab/soak/signal-check.js';

const CONTACT_MS = 3000;
const SPAN = { backend: 'b', perSecond: 2, from: 1000, until: 20_000 };
/** A request to the limited back end every 100 ms: 40 in 4 s, where 17 are allowed. */
const ARRIVALS: readonly DaemonArrival[] = Array.from({ length: 100 }, (_, index) => ({
  backend: 'b',
  daemon: 'd',
  at: 5000 + 100 * index,
  sentAt: 4990 + 100 * index,
}));

function countInWorstWindow(receivedAt: number, undisturbed = true, arrivals = ARRIVALS): number {
  const signals = [{ backend: 'b', daemon: 'd', at: receivedAt }];
  const [window] = findLimitWindows([SPAN], arrivals, signals, () => undisturbed, CONTACT_MS);
  expect(window.allowed).to.equal(17);
  return window.seen;
}

describe('check of limits', () => {
  it('counts the worst window of a daemon that has received the limit', () => {
    expect(countInWorstWindow(1500)).to.equal(40);
  });

  it('leaves out daemons that have not received the limit, or only just, and those that were disturbed', () => {
    expect(countInWorstWindow(19_000)).to.equal(0);
    expect(countInWorstWindow(14_000)).to.equal(5);
    expect(countInWorstWindow(1500, false)).to.equal(0);
  });

  it('counts after the contact time, while the limit is announced', () => {
    const early = ARRIVALS.map((arrival) => ({ ...arrival, at: arrival.at - 4000 }));
    expect(countInWorstWindow(1000, true, early)).to.be.within(39, 40);
    const late = ARRIVALS.map((arrival) => ({ ...arrival, at: arrival.at + 14_000 }));
    expect(countInWorstWindow(1500, true, late)).to.equal(11);
  });
});

describe('checks of leaving signals and back-offs', () => {
  const signals = [{ backend: 'b', daemon: 'd', at: 6000 }];

  it('find requests that were sent too late to a back end that is leaving', () => {
    expect(findLateRequestsToLeaving(signals, ARRIVALS, () => true, 2000)).to.have.length(69);
    expect(findLateRequestsToLeaving(signals, ARRIVALS, () => false, 2000)).to.deep.equal([]);
    expect(findLateRequestsToLeaving([], ARRIVALS, () => true, 2000)).to.deep.equal([]);
  });

  it('find back-offs with more than two requests', () => {
    const backOff = { ...signals[0], until: 7000 };
    expect(findBackOffViolations([backOff], ARRIVALS, () => true)).to.deep.equal([
      { span: backOff, seen: 5 },
    ]);
    expect(findBackOffViolations([{ ...backOff, until: 6700 }], ARRIVALS, () => true)).to.deep.equal([]);
    expect(findBackOffViolations([backOff], ARRIVALS, () => false)).to.deep.equal([]);
  });
});
