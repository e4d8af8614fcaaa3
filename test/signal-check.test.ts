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
  incarnation: 'b@1',
  daemon: 'd',
  at: 5000 + 100 * index,
  sentAt: 4990 + 100 * index,
}));

function countInWorstWindow(receivedAt: number, undisturbed = true, arrivals = ARRIVALS): number {
  const signals = [{ backend: 'b', incarnation: 'b@1', daemon: 'd', at: receivedAt }];
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
  const signals = [{ backend: 'b', incarnation: 'b@1', daemon: 'd', at: 6000 }];

  it('find requests that were sent too late to a back end that is leaving', () => {
    expect(findLateRequestsToLeaving(signals, ARRIVALS, () => true, 2000)).to.have.length(69);
    expect(findLateRequestsToLeaving(signals, ARRIVALS, () => false, 2000)).to.deep.equal([]);
    expect(findLateRequestsToLeaving([], ARRIVALS, () => true, 2000)).to.deep.equal([]);
  });

  it('find back-offs with more than two requests', () => {
    const backOff = { incarnation: 'b@1', daemon: 'd', at: 6000, until: 7000 };
    expect(findBackOffViolations([backOff], ARRIVALS, () => true)).to.deep.equal([
      { span: backOff, seen: 5 },
    ]);
    expect(findBackOffViolations([{ ...backOff, until: 6700 }], ARRIVALS, () => true)).to.deep.equal([]);
    expect(findBackOffViolations([backOff], ARRIVALS, () => false)).to.deep.equal([]);
  });

  /*
   * Guards against taking a back end for the one before it: a crashed back end was restarted under the same id
   * and did not signal that it was leaving, and all requests to it counted as violations.
   */
  it('do not hold a back end that was restarted under the same id to what the one before it signalled', () => {
    const restartedAt = 8500;
    const arrivals = ARRIVALS.map((arrival) =>
      arrival.at < restartedAt ? arrival : { ...arrival, incarnation: 'b@2' },
    );
    const late = findLateRequestsToLeaving(signals, arrivals, () => true, 2000);
    expect(late).to.have.length(4);
    expect(late.every(({ at }) => at < restartedAt)).to.equal(true);
    const backOff = { incarnation: 'b@1', daemon: 'd', at: 6000, until: 10_000 };
    expect(findBackOffViolations([backOff], arrivals, () => true)).to.deep.equal([
      { span: backOff, seen: 20 },
    ]);
    const fromSecond = { ...backOff, incarnation: 'b@2' };
    expect(findBackOffViolations([fromSecond], arrivals, () => true)[0].seen).to.equal(15);
  });
});
