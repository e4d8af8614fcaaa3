/** Back ends that reject a request and ask that daemon to back off for a time. */
import { expect } from 'chai';
import { SignalSite } from '../simulation/signal-site.js';

const SEED = 20261203;
const LOAD = { '/a/x': 120 };
const BACK_OFF_MS = 3000;
/** Number of requests of one daemon that may still reach a back end during a back-off. */
const ALLOWED = 2;

function runFleet(
  backends: number,
  backingOff: readonly string[],
  share: number,
  engines = false,
): SignalSite {
  const site = new SignalSite({ daemons: 7, backends, seed: SEED, engines });
  const parts = [{ id: 'own', tokens: 2000 }];
  const prompt = { model: 'm', parts, promptTokens: 2000, maximumOutputTokens: 10 };
  site.startLoad(LOAD, 22_000, engines ? { prompt } : {});
  site.run(2000);
  for (const id of backingOff) site.setBackOff(id, share, BACK_OFF_MS);
  site.run(15_000);
  return site;
}

describe('back ends that ask a daemon to back off', () => {
  for (const share of [0.05, 0.4])
    it(`on ${share} of the requests, while others do not: get at most 2 more requests from it meanwhile`, () => {
      const site = runFleet(6, ['b0', 'b1'], share);
      expect(site.findMostDuringBackOff()).to.be.at.most(ALLOWED);
    });

  it('get at most 2 more requests from it meanwhile, computed prompts that are handed over included', () => {
    const site = runFleet(8, ['b1', 'b3'], 0.2, true);
    expect(site.findMostDuringBackOff()).to.be.at.most(ALLOWED);
  });

  it('all back ends of a service: requests are refused at once, with the time until the first back-off ends', () => {
    const site = runFleet(3, ['b0', 'b1', 'b2'], 0.3);
    expect(site.findMostDuringBackOff()).to.be.at.most(ALLOWED);
    const refusals = site.findRefusals();
    expect(refusals.length).to.be.greaterThan(100);
    for (const { status, heldMs, retryAfterMs } of refusals) {
      expect(status).to.equal(503);
      expect(heldMs).to.be.at.most(200);
      expect(retryAfterMs).to.be.within(1, BACK_OFF_MS);
    }
  });

  it('get requests again when the back-off has ended', () => {
    const site = runFleet(6, ['b0'], 0.4);
    site.setBackOff('b0', 0, BACK_OFF_MS);
    site.run(BACK_OFF_MS);
    const since = site.fleet.time.now();
    site.run(1500);
    expect(site.countSince('b0', since)).to.be.greaterThan(10);
  });
});
