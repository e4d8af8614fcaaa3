/** Daemons that lose their own links to back ends serve their callers through peers that reach them. */
import { expect } from 'chai';
import type { FleetNode } from '../simulation/forwarding-fleet.js';
import { PathSite, STARTED_MS, type LinkState } from './path-site.js';

const SEED = 67;
const DAEMONS = 9;
const BACKENDS = 6;
/** Requests a second at each daemon: one at each back end. */
const RATE = BACKENDS;
const CUT_AT = STARTED_MS + 3000;
const CUT_MS = 12_000;
const HEALED_AT = CUT_AT + CUT_MS;
const END_AT = HEALED_AT + 4000;
/** All requests have ended this long after they were sent. Milliseconds. */
const DEADLINE_MS = 2100;
/** From here on callers of a daemon that is cut off are served. Milliseconds after the cut. */
const SERVED_AFTER_MS = 2000;

/** Two daemons of each of the three zones. */
function getCutNodes(site: PathSite): FleetNode[] {
  return site.fleet.nodes.filter((_, index) => index < 6);
}

function runCut(site: PathSite, state: LinkState, cut = getCutNodes(site), backends = site.backends): void {
  site.run(site.fleet.nodes, RATE, CUT_AT);
  site.setLinks(cut, state, backends);
  site.run(site.fleet.nodes, RATE, HEALED_AT);
  site.setLinks(cut, 'sound', backends);
  site.run(site.fleet.nodes, RATE, END_AT);
  site.fleet.time.runUntil(END_AT + DEADLINE_MS);
}

/** Nothing regards the daemons as cut off, and no attempt goes through a peer. */
function expectNothingSetOff(site: PathSite): void {
  expect(site.getChangeTimes(site.fleet.nodes, 'daemon.cut-off')).to.deep.equal([]);
  expect(site.getTunnelled()).to.deep.equal([]);
}

describe('a daemon that reaches no back end', () => {
  for (const state of ['silent', 'refused', 'newRefused'] as const)
    it(`serves its callers through peers that do, and directly again afterwards: links ${state}`, () => {
      const site = new PathSite(DAEMONS, BACKENDS, SEED);
      const cut = getCutNodes(site);
      runCut(site, state);
      expect(site.getServedShare(cut, CUT_AT + SERVED_AFTER_MS, HEALED_AT), 'cut off').to.be.greaterThan(
        0.99,
      );
      const others = site.fleet.nodes.filter((node) => !cut.includes(node));
      expect(site.getServedShare(others, STARTED_MS + 1000), 'the others').to.equal(1);
      expect(site.getServedShare(cut, HEALED_AT + 1000), 'afterwards').to.equal(1);
      expect(site.getTunnelled(HEALED_AT + 2500)).to.deep.equal([]);
    });

  it('is served in a large fleet, where few peers send it their loads', () => {
    const site = new PathSite(24, 12, SEED);
    const cut = site.fleet.nodes.slice(0, 16);
    runCut(site, 'refused', cut);
    expect(site.getServedShare(cut, CUT_AT + SERVED_AFTER_MS, HEALED_AT)).to.be.greaterThan(0.99);
  });

  it('is served by peers that reach the back ends, and by no other', () => {
    const site = new PathSite(DAEMONS, BACKENDS, SEED);
    const cut = getCutNodes(site);
    runCut(site, 'silent');
    const addresses = cut.map(({ address }) => address);
    const vias = site.getTunnelled(CUT_AT + SERVED_AFTER_MS).map(({ via }) => via);
    expect(vias.length).to.be.greaterThan(100);
    expect(vias.filter((via) => addresses.includes(via ?? ''))).to.deep.equal([]);
  });

  it('spreads its attempts over the peers of its zone', () => {
    const site = new PathSite(DAEMONS, 12, SEED);
    const [node] = site.fleet.nodes;
    runCut(site, 'silent', [node]);
    const used = new Set(site.getTunnelled(CUT_AT + SERVED_AFTER_MS).map(({ via }) => via));
    const ofZone = site.fleet.nodes.filter(({ zone }) => zone === node.zone && node.zone !== undefined);
    const peers = ofZone.filter((one) => one !== node).map(({ address }) => address);
    expect([...used].sort()).to.deep.equal([...peers].sort());
  });

  it('goes on through other peers while one stops and another is killed', () => {
    const site = new PathSite(DAEMONS, BACKENDS, SEED, { kind: 'nonIdempotent' });
    const [node, stopping, killed] = site.fleet.nodes.filter(({ zone }) => zone === site.fleet.nodes[0].zone);
    site.run(site.fleet.nodes, RATE, CUT_AT);
    site.setLinks([node], 'refused');
    site.run([node], RATE, CUT_AT + 3000);
    const vias = site.getTunnelled(CUT_AT + 1000).map(({ via }) => via);
    expect(new Set(vias)).to.deep.equal(new Set([stopping.address, killed.address]));
    site.fleet.restart(stopping, 3000, 1000);
    site.run([node], RATE, CUT_AT + 4000);
    site.fleet.kill(killed, 3000);
    site.run([node], RATE, CUT_AT + 9000);
    site.fleet.time.runUntil(CUT_AT + 9000 + DEADLINE_MS);
    expect(site.getServedShare([node], CUT_AT + 500)).to.equal(1);
    expect(
      site.getTunnelled(CUT_AT + 3100, CUT_AT + 6000).filter(({ via }) => via === stopping.address),
    ).to.deep.equal([]);
  });

  it('closes its tunnels when a back end answers directly', () => {
    const site = new PathSite(DAEMONS, BACKENDS, SEED);
    const [node] = site.fleet.nodes;
    runCut(site, 'silent', [node]);
    const used = new Set(site.getTunnelled().map(({ via }) => via));
    const closed = site.closedTunnels.filter((one) => one.node === node && one.at >= HEALED_AT);
    expect(new Set(closed.map(({ via }) => via))).to.deep.equal(used);
    expect(site.getChangeTimes([node], 'daemon.cut-off')).to.have.length(1);
    expect(site.getChangeTimes([node], 'daemon.contact-regained')).to.have.length(1);
  });

  it('sends no more than a few health checks a second meanwhile', () => {
    const site = new PathSite(DAEMONS, 30, SEED);
    const [node] = site.fleet.nodes;
    site.run(site.fleet.nodes, RATE, CUT_AT);
    site.setLinks([node], 'silent');
    site.run(site.fleet.nodes, RATE, CUT_AT + SERVED_AFTER_MS + 1000);
    const before = site.fleet.probes.filter((probe) => probe.node === node).length;
    site.run(site.fleet.nodes, RATE, CUT_AT + SERVED_AFTER_MS + 6000);
    const sent = site.fleet.probes.filter((probe) => probe.node === node).length - before;
    expect(sent).to.be.within(10, 25);
  });

  for (const state of ['silent', 'refused'] as const)
    it(`refuses at once with a time to come back where all daemons are cut off: links ${state}`, () => {
      const site = new PathSite(DAEMONS, BACKENDS, SEED);
      runCut(site, state, site.fleet.nodes);
      const late = site.getOutcomes(site.fleet.nodes, CUT_AT + 4000, HEALED_AT);
      expect(late.filter(({ status }) => status !== 503)).to.deep.equal([]);
      expect(late.filter(({ retryAfterMs }) => retryAfterMs === undefined)).to.deep.equal([]);
      expect(Math.max(...late.map(({ sentAt, endedAt = Infinity }) => endedAt - sentAt))).to.be.lessThan(50);
      expect(site.getServedShare(site.fleet.nodes, HEALED_AT + 1500), 'afterwards').to.equal(1);
    });

  it('has no peer to ask where all others are of an older build, and does as before', () => {
    const site = new PathSite(3, BACKENDS, SEED);
    const [node, ...others] = site.fleet.nodes;
    for (const other of others) site.refusesTunnels.add(other);
    runCut(site, 'refused', [node]);
    expect(site.getServedShare(others, STARTED_MS + 1000)).to.equal(1);
    expect(site.getServedShare([node], HEALED_AT + 1500)).to.equal(1);
  });
});

describe('a daemon that lost its links to some back ends', () => {
  for (const state of ['silent', 'refused', 'newRefused'] as const)
    it(`serves its callers, and is not cut off: links ${state}`, () => {
      const site = new PathSite(DAEMONS, BACKENDS, SEED);
      const [node] = site.fleet.nodes;
      runCut(site, state, [node], site.backends.slice(0, 3));
      expect(site.getServedShare([node], CUT_AT + SERVED_AFTER_MS, HEALED_AT)).to.be.greaterThan(0.99);
      expect(site.getChangeTimes(site.fleet.nodes, 'daemon.cut-off')).to.deep.equal([]);
      expect(site.getTunnelled(HEALED_AT + 2500)).to.deep.equal([]);
    });
});

describe('no daemon takes itself for cut off', () => {
  for (const how of ['silent', 'refused'] as const) {
    it(`while one back end is down: ${how}`, () => {
      const site = new PathSite(DAEMONS, BACKENDS, SEED);
      site.run(site.fleet.nodes, RATE, CUT_AT);
      site.stop(site.backends.slice(0, 1), how);
      site.run(site.fleet.nodes, RATE, HEALED_AT);
      expect(site.getChangeTimes(site.fleet.nodes, 'daemon.cut-off')).to.deep.equal([]);
      expect(site.getServedShare(site.fleet.nodes, CUT_AT + 3000, HEALED_AT - 3000)).to.equal(1);
    });

    it(`while the back ends of a zone are down: ${how}`, () => {
      const site = new PathSite(DAEMONS, BACKENDS, SEED);
      site.run(site.fleet.nodes, RATE, CUT_AT);
      site.stop(
        site.backends.filter(({ zone }) => zone === 'zone-0'),
        how,
      );
      site.run(site.fleet.nodes, RATE, HEALED_AT);
      expect(site.getChangeTimes(site.fleet.nodes, 'daemon.cut-off')).to.deep.equal([]);
      expect(site.getServedShare(site.fleet.nodes, CUT_AT + 3000, HEALED_AT - 3000)).to.equal(1);
    });
  }

  for (const how of ['silent', 'refused'] as const)
    it(`while the back ends of a zone are down and callers are rare: ${how}`, () => {
      const site = new PathSite(DAEMONS, BACKENDS, SEED);
      site.run(site.fleet.nodes, RATE, CUT_AT);
      site.stop(
        site.backends.filter(({ zone }) => zone === 'zone-0'),
        how,
      );
      site.run(site.fleet.nodes, 0.7, HEALED_AT);
      expect(site.getChangeTimes(site.fleet.nodes, 'daemon.cut-off')).to.deep.equal([]);
    });

  for (const rate of [RATE, 60])
    for (const [name, count] of [
      ['one back end is', 1],
      ['all back ends are', BACKENDS],
    ] as const)
      it(`while ${name} silent for a second, at ${rate} requests a second`, () => {
        const site = new PathSite(DAEMONS, BACKENDS, SEED);
        site.run(site.fleet.nodes, rate, CUT_AT);
        site.silence(site.backends.slice(0, count), 1000);
        site.run(site.fleet.nodes, rate, CUT_AT + 5000);
        expectNothingSetOff(site);
      });

  it('while its process was paused', () => {
    const site = new PathSite(DAEMONS, BACKENDS, SEED);
    const [node] = site.fleet.nodes;
    site.run(site.fleet.nodes, RATE, CUT_AT);
    node.paused = true;
    site.run(site.fleet.nodes, RATE, CUT_AT + 2500);
    node.paused = false;
    site.run(site.fleet.nodes, RATE, CUT_AT + 6000);
    expectNothingSetOff(site);
  });
});
