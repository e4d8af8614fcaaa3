/** The rules that hold for a request hold for its attempts through peers: the daemon that took it decides. */
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import type { Member } from '../src/membership/membership-messages.js';
import type { Route } from '../src/forwarding/routes/route.js';
import { ENGINES, ForwardingHarness, makePrompt, PLAIN } from './forwarding-harness.js';

const NEAR = '10.0.0.2:1';
const OTHER = '10.0.0.3:1';
const FAR = '10.0.0.4:1';
const REFUSED = { kind: 'unreachable', reason: 'ECONNREFUSED' } as const;
const BEHIND = { kind: 'unreachable', reason: 'unreachable', tunnelFailure: 'backend' } as const;
const BUSY = { kind: 'unreachable', reason: 'busy', tunnelFailure: 'peer' } as const;
const BROKEN = { kind: 'broken', reason: 'ECONNRESET' } as const;
const DONE = { kind: 'whole', status: 200 } as const;

function makePeer(address: string, zone = 'zone-a'): Member {
  return { id: `daemon ${address}`, address, zone, region: 'main', incarnation: 0, state: 'alive' };
}

/** A daemon whose back ends have answered, and which knows these peers in its own zone. */
function createSite(route: Partial<Route> = {}, peers = [NEAR], slack = 50): ForwardingHarness {
  const site = new ForwardingHarness([makeLabRoute({ kind: 'idempotent', ...route })], PLAIN, slack);
  for (const address of peers) addPeer(site, makePeer(address));
  return site;
}

function addPeer(site: ForwardingHarness, peer: Member, now = 0): void {
  site.peers.push(peer);
  site.paths.applyOffer(peer.address, true, now);
}

function getVias(site: ForwardingHarness): (string | undefined)[] {
  return site.getStarts().map(({ via }) => via);
}

/** A direct connection to a back end is refused. */
function refuse(site: ForwardingHarness, backendId: string, startedAt = 0): void {
  const failed = { backendId, via: undefined, reason: 'ECONNREFUSED', startedAt, tunnelFailures: 0 };
  site.paths.onConnectionFailed(failed, undefined, startedAt + 1);
}

/** Loses the direct paths to all back ends by refusals, and advances until the daemon is cut off. */
function cutOff(site: ForwardingHarness, backends = PLAIN): void {
  for (const { id } of backends) refuse(site, id);
  site.paths.tick(400);
  expect(site.paths.isCutOff()).to.equal(true);
}

describe('a request whose connection is refused', () => {
  it('is sent again to the same back end through a peer, also if it may run only once', () => {
    const site = createSite({ kind: 'nonIdempotent' });
    site.begin();
    site.event(REFUSED, 2);
    const [direct, tunnelled] = site.getStarts();
    expect(direct.via).to.equal(undefined);
    expect(tunnelled).to.deep.include({ via: NEAR, backend: direct.backend, once: true });
    site.event(DONE, 30);
    expect(site.getEffects('replyWhole')).to.have.length(1);
    expect(site.directory.get(direct.backend.id)?.isEjected(31), 'a sound back end').to.equal(false);
  });

  it('is sent to another back end if a peer does not reach the first one either', () => {
    const site = createSite({ kind: 'nonIdempotent' });
    site.begin();
    site.event(REFUSED, 2);
    site.event(BEHIND, 6);
    const [first, , third] = site.getStarts();
    expect(third.via).to.equal(undefined);
    expect(third.backend.id).not.to.equal(first.backend.id);
    expect(site.directory.get(first.backend.id)?.health.hasLostContact()).to.equal(true);
  });

  it('is sent to another back end at once if no peer takes tunnels', () => {
    const site = createSite({}, []);
    site.begin();
    site.event(REFUSED, 2);
    const [first, second] = site.getStarts();
    expect(second.via).to.equal(undefined);
    expect(second.backend.id).not.to.equal(first.backend.id);
  });

  it('takes nothing from the retry budget until a back end was reached', () => {
    const site = createSite({ maximumAttempts: 6 }, [NEAR, OTHER], 2);
    cutOff(site);
    site.begin({}, 500);
    site.event(BUSY, 505);
    expect(site.getStarts()).to.have.length(2);
    site.event(BROKEN, 520);
    expect(site.getStarts(), 'the only repeat of the budget').to.have.length(3);
    site.event(BROKEN, 540);
    expect(site.getStarts()).to.have.length(3);
    expect(site.getFailures()).to.deep.equal([502]);
  });

  it('waits for a connection that times out no longer than before, unless peers succeeded meanwhile', () => {
    const site = createSite();
    site.begin({ callerDeadlineMs: 2000 });
    site.event(REFUSED, 500);
    expect(getVias(site)).to.deep.equal([undefined, undefined]);
    const [, second] = site.getStarts();
    site.paths.onPeerSuccess(second.backend.id, 900);
    site.event(REFUSED, 1000);
    expect(getVias(site)).to.deep.equal([undefined, undefined, NEAR]);
  });
});

describe('an attempt through a peer', () => {
  it('is never repeated after its connection broke if the request may run only once', () => {
    const site = createSite({ kind: 'nonIdempotent' });
    cutOff(site);
    site.begin({}, 500);
    expect(getVias(site)).to.deep.equal([NEAR]);
    site.event(BROKEN, 520);
    expect(site.getStarts()).to.have.length(1);
    expect(site.getFailures()).to.deep.equal([502]);
  });

  it('proves nothing against its back end when its connection breaks, neither for health nor for the quarantine', () => {
    const site = createSite({ maximumAttempts: 6 }, [NEAR, OTHER]);
    cutOff(site);
    site.begin({ contentDigest: 'content' }, 500);
    const [{ backend }] = site.getStarts();
    site.event(BROKEN, 520);
    expect(site.brokenAttempts).to.deep.equal([]);
    expect(site.directory.get(backend.id)?.health.takeOutcomes().failed).to.equal(0);
    expect(getVias(site), 'the peer may have ended').to.deep.equal([NEAR, OTHER].sort(byFirst(site)));
  });

  it('of a resumable stream is resumed after its last event, through another peer', () => {
    const route = { kind: 'stream', resumable: true, maximumAttempts: 6 } as const;
    const site = createSite(route, [NEAR, OTHER]);
    cutOff(site);
    site.begin({}, 500);
    site.event({ kind: 'streamStarted' }, 510);
    site.event({ kind: 'streamProgress', lastEventId: '7' }, 520);
    site.event(BROKEN, 530);
    const [first, second] = site.getStarts();
    expect(second).to.deep.include({ resumeAfter: '7', via: first.via === NEAR ? OTHER : NEAR });
    site.event({ kind: 'streamStarted' }, 540);
    site.event(DONE, 560);
    expect(site.getEffects('replyWhole')).to.have.length(1);
    expect(site.getFailures()).to.deep.equal([]);
  });

  it('of a stream that can not be resumed ends with its peer, and the answer does not look complete', () => {
    const site = createSite({ kind: 'stream' }, [NEAR, OTHER]);
    cutOff(site);
    site.begin({}, 500);
    site.event({ kind: 'streamStarted' }, 510);
    site.event(BROKEN, 530);
    expect(site.getStarts()).to.have.length(1);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('ends with its caller', () => {
    const site = createSite();
    cutOff(site);
    site.begin({}, 500);
    site.manager.cancel('r1', 510);
    expect(site.getEffects('abortAttempt')).to.have.length(1);
    expect(site.manager.getActiveCount()).to.equal(0);
  });

  it('says nothing about the direct path', () => {
    const site = createSite();
    cutOff(site);
    site.begin({}, 500);
    site.event(DONE, 520);
    expect(site.paths.isCutOff()).to.equal(true);
    site.paths.onProbeAnswered(PLAIN[0].id, 600);
    expect(site.paths.isCutOff()).to.equal(false);
  });

  it('goes on after the direct path works again, and the next one is direct', () => {
    const site = createSite();
    cutOff(site);
    site.begin({}, 500);
    for (const { id } of PLAIN) site.paths.onProbeAnswered(id, 510);
    site.event(DONE, 530);
    expect(site.getEffects('replyWhole')).to.have.length(1);
    site.begin({ id: 'r2' }, 540);
    expect(getVias(site)).to.deep.equal([NEAR, undefined]);
  });

  it('needs no second permit of a back end that names a limit', () => {
    const site = createSite();
    site.begin();
    const [{ backend }] = site.getStarts();
    const view = site.directory.get(backend.id)!;
    view.permits = 0;
    site.event(REFUSED, 2);
    expect(getVias(site)).to.deep.equal([undefined, NEAR]);
    expect(view.permits).to.equal(0);
  });

  it('goes through the nearest peer, and not through one that has just failed', () => {
    const site = createSite({}, []);
    addPeer(site, makePeer(FAR, 'zone-b'));
    addPeer(site, makePeer(NEAR));
    cutOff(site);
    site.begin({}, 500);
    site.event(BUSY, 505);
    expect(getVias(site)).to.deep.equal([NEAR, FAR]);
    site.event(DONE, 510);
    site.begin({ id: 'r2' }, 520);
    expect(getVias(site).at(-1)).to.equal(FAR);
    site.event(DONE, 530);
    site.paths.tick(1600);
    for (let count = 0; count < 20; count += 1) {
      site.begin({ id: `s${count}` }, 1700);
      site.event(DONE, 1710);
    }
    expect(getVias(site).slice(3), 'near again').to.include(NEAR);
  });

  it('counts a back end as lost only after two peers failed to reach it', () => {
    const site = createSite({}, [NEAR, OTHER]);
    cutOff(site);
    site.begin({}, 500);
    const [{ backend }] = site.getStarts();
    const { health } = site.directory.get(backend.id)!;
    site.event(BEHIND, 505);
    expect(health.hasLostContact()).to.equal(false);
    expect(new Set(getVias(site)).size).to.equal(2);
    site.event(BEHIND, 510);
    expect(health.hasLostContact()).to.equal(true);
  });
});

describe('a daemon finds itself cut off', () => {
  const [first, second, third] = PLAIN.map(({ id }) => id);

  it('not by one lost path, however long nothing answers', () => {
    const site = createSite();
    refuse(site, first);
    for (let at = 100; at < 9000; at += 100) site.paths.tick(at);
    expect(site.paths.isCutOff()).to.equal(false);
  });

  it('not by two, before a path that may work was checked in vain', () => {
    const site = createSite();
    refuse(site, first);
    refuse(site, second);
    for (let at = 100; at < 9000; at += 100) site.paths.tick(at);
    expect(site.paths.isCutOff(), 'unchecked').to.equal(false);
    expect(site.paths.getUncheckedIds(9000)).to.deep.equal([third]);
    site.paths.onProbeSent(third, 9000);
    site.paths.tick(9300);
    expect(site.paths.isCutOff(), 'not answered yet').to.equal(false);
    site.paths.tick(9500);
    expect(site.paths.isCutOff()).to.equal(true);
  });

  it('not by connections that were lost while its process was paused', () => {
    const site = createSite();
    site.paths.onProcessResumed(1000);
    for (const { id } of PLAIN) refuse(site, id, 0);
    site.paths.tick(5000);
    expect(site.paths.isCutOff()).to.equal(false);
  });

  it('not by back ends that no peer reaches, however often they fail a health check', () => {
    const site = createSite({ maximumAttempts: 6 });
    const [{ address }] = PLAIN;
    for (const backendId of [first, second, third]) {
      refuse(site, backendId, 10);
      const failed = { backendId, via: NEAR, reason: 'unreachable', startedAt: 12, tunnelFailures: 0 };
      site.paths.onConnectionFailed(failed, 'backend', 14);
      site.paths.onProbeSent(backendId, 500);
      site.paths.onProbeFailed(backendId, 501);
    }
    site.paths.tick(5000);
    expect(site.paths.isCutOff()).to.equal(false);
    expect(site.paths.offersTunnels(5000)).to.equal(false);
    expect(site.paths.checkTunnel(address, 0, 5000)).to.equal(undefined);
  });

  it('and moves the attempts that wait on lost connections to peers; they are no load of back ends', () => {
    const site = createSite();
    site.begin({ callerDeadlineMs: 2000 });
    const [{ backend }] = site.getStarts();
    expect(site.directory.get(backend.id)?.localInFlight()).to.equal(1);
    cutOff(site);
    expect(site.directory.get(backend.id)?.localInFlight()).to.equal(0);
    site.manager.tick(440);
    expect(site.getEffects('abortAttempt')).to.have.length(1);
    expect(getVias(site)).to.deep.equal([undefined, NEAR]);
    expect(site.directory.get(backend.id)?.health.takeOutcomes().failed, 'not its fault').to.equal(0);
  });

  it('and moves the prompts that wait at engines', () => {
    const route = makeLabRoute({ kind: 'stream', resumable: true, targetLatencyMs: 3000 });
    const site = new ForwardingHarness([route], ENGINES);
    addPeer(site, makePeer(NEAR));
    site.begin({ prompt: makePrompt(2000, 8000), callerDeadlineMs: 5000 });
    expect(getVias(site)).to.deep.equal([undefined]);
    cutOff(site, ENGINES);
    site.manager.tick(440);
    expect(getVias(site)).to.deep.equal([undefined, NEAR]);
  });

  it('and takes back the losses of contact that its own links caused', () => {
    const site = createSite({}, []);
    site.begin({ callerDeadlineMs: 2000 });
    site.event(REFUSED, 500);
    const [{ backend }] = site.getStarts();
    const { health } = site.directory.get(backend.id)!;
    expect(health.hasLostContact()).to.equal(true);
    for (const { id } of PLAIN) if (id !== backend.id) refuse(site, id, 500);
    site.paths.tick(1400);
    expect(site.paths.isCutOff()).to.equal(true);
    expect(health.isEjected(1400)).to.equal(false);
  });
});

describe('a daemon asked for a tunnel', () => {
  const [{ address, id }] = PLAIN;
  const reachable = (): ForwardingHarness => {
    const site = createSite();
    site.paths.onProbeAnswered(id, 0);
    return site;
  };

  it('takes it to a back end that it reaches', () => {
    const { paths } = reachable();
    expect(paths.checkTunnel(address, 0, 10)).to.equal(undefined);
    expect(paths.offersTunnels(10)).to.equal(true);
  });

  it('refuses to connect to anything but a back end', () => {
    expect(reachable().paths.checkTunnel('127.0.0.1:22', 0, 10)).to.equal('unknown-backend');
  });

  it('refuses while it carries as many as it may, and stops offering before', () => {
    const { paths } = reachable();
    expect(paths.checkTunnel(address, 500, 10)).to.equal('busy');
    expect(paths.checkTunnel(address, 450, 20)).to.equal(undefined);
    expect(paths.offersTunnels(30)).to.equal(false);
    expect(paths.offersTunnels(2000)).to.equal(true);
  });

  it('refuses while it is cut off, or has lost its path to this back end', () => {
    const site = reachable();
    refuse(site, id, 10);
    expect(site.paths.checkTunnel(address, 0, 12)).to.equal('cut-off');
    expect(site.paths.checkTunnel(PLAIN[1].address, 0, 12)).to.equal(undefined);
    cutOff(site);
    expect(site.paths.checkTunnel(PLAIN[1].address, 0, 500)).to.equal('cut-off');
    expect(site.paths.offersTunnels(500)).to.equal(false);
  });

  it('refuses once it is stopping', () => {
    const { paths } = reachable();
    paths.onStopping(10);
    expect(paths.checkTunnel(address, 0, 20)).to.equal('stopping');
    expect(paths.offersTunnels(20)).to.equal(false);
  });

  it('does not offer any before it has reached a back end', () => {
    expect(createSite().paths.offersTunnels(10)).to.equal(false);
  });

  it('knows a back end by its present address', () => {
    const site = reachable();
    site.directory.put(makeLabBackend(id, '10.0.9.9:9'));
    expect(site.paths.checkTunnel(address, 0, 10)).to.equal('unknown-backend');
    expect(site.paths.checkTunnel('10.0.9.9:9', 0, 10)).to.equal(undefined);
  });
});

/** Orders the peers so that the one used first comes first: it is drawn at random. */
function byFirst(site: ForwardingHarness): (one: string, other: string) => number {
  const [first] = getVias(site);
  return (one, other) => Number(other === first) - Number(one === first);
}
