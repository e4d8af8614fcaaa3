/** Back ends that signal in their answers that they are leaving, whatever their records in the store say. */
import { expect } from 'chai';
import { SignalSite } from '../simulation/signal-site.js';

const SEED = 20261203;
const LOAD = { '/a/x': 120 };
/** All daemons act on a leaving signal that one of them received within this time. Milliseconds. */
const PROPAGATION_MS = 1500;

function startSite(daemons = 9, backends = 6, engines = false): SignalSite {
  return new SignalSite({ daemons, backends, seed: SEED, engines });
}

describe('back ends that signal that they are leaving', () => {
  it('get no more requests although their records say that they are ready', () => {
    const site = startSite();
    site.startLoad(LOAD, 20_000);
    site.run(2000);
    for (const id of ['b0', 'b1']) site.setLeaving(id);
    site.run(PROPAGATION_MS);
    const since = site.fleet.time.now();
    site.run(10_000);
    for (const id of ['b0', 'b1']) expect(site.countSince(id, since), id).to.equal(0);
    expect(site.findRefusals()).to.deep.equal([]);
  });

  it('get none when their records are written again, or expire and are added again', () => {
    const site = startSite();
    site.startLoad(LOAD, 30_000);
    site.run(2000);
    for (const id of ['b0', 'b1']) site.setLeaving(id);
    site.run(PROPAGATION_MS);
    site.writeBackend(0, 'ready');
    site.writeBackend(1, 'gone');
    site.fleet.time.after(1500, () => site.writeBackend(1, 'ready'));
    site.run(10_000);
    expect(site.findSentAfterLeaving()).to.deep.equal([]);
  });

  it('get none from daemons that cannot read the store', () => {
    const site = startSite();
    site.startLoad(LOAD, 30_000);
    site.run(2000);
    for (const node of site.fleet.nodes) node.access = 'refuses';
    site.run(1000);
    for (const id of ['b0', 'b1']) site.setLeaving(id);
    site.run(20_000);
    expect(site.findSentAfterLeaving()).to.deep.equal([]);
    expect(site.countSince('b0', site.fleet.time.now() - 15_000)).to.equal(0);
  });

  it('get no computed prompts handed over', () => {
    const site = startSite(9, 8, true);
    const parts = [{ id: 'own', tokens: 2000 }];
    const prompt = { model: 'm', parts, promptTokens: 2000, maximumOutputTokens: 10 };
    site.startLoad(LOAD, 20_000, { prompt });
    site.run(2000);
    for (const id of ['b0', 'b1']) site.setLeaving(id);
    site.run(12_000);
    expect(site.findSentAfterLeaving()).to.deep.equal([]);
  });

  it('get requests again as another incarnation at the same address', () => {
    const site = startSite();
    site.startLoad(LOAD, 20_000);
    site.writeBackend(0, 'ready', 1);
    site.run(2000);
    site.setLeaving('b0');
    site.run(4000);
    site.setLeaving('b0', false);
    site.writeBackend(0, 'ready', 2);
    site.run(1000);
    const since = site.fleet.time.now();
    site.run(5000);
    expect(site.countSince('b0', since)).to.be.greaterThan(50);
  });
});
