/** A region that is cut off while work is under way there, and heals: each request ends once, and nothing waits beyond its time. */
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import { findCutOffRegions } from '../src/forwarding/backends/region-contact.js';
import type { BackendRecord, EngineStage, RequestKind } from '../src/forwarding/routes/route.js';
import { engine, Forwarding, prompt } from './forwarding-harness.js';

const REGIONS = { 'zone-a': 'r1', 'zone-c': 'r2' };
const SLACK = 50;
const LONG = prompt(2000, 8000);
const DEADLINE_MS = 5000;

function at(zone: string, id: string, stage?: EngineStage): BackendRecord {
  const record = stage ? engine(id, stage) : makeLabBackend(id, '');
  return { ...record, zone, address: `10.0.0.1:${id}` };
}

function makeSite(kind: RequestKind, ...backends: BackendRecord[]): Forwarding {
  const route = makeLabRoute({ kind, timeoutMs: DEADLINE_MS, targetLatencyMs: 500 });
  return new Forwarding([route], backends, SLACK, REGIONS);
}

/** A site whose own back end is so busy that the request goes to the other region. */
function makeAway(kind: RequestKind): Forwarding {
  const site = makeSite(kind, at('zone-a', 'near'), at('zone-c', 'f1'), at('zone-c', 'f2'));
  for (let count = 0; count < 60; count += 1) site.directory.get('near')?.addAttempt(`x${count}`, 0, 0);
  site.begin({ callerDeadlineMs: DEADLINE_MS });
  expect(site.starts()[0].backend.id).to.match(/^f/);
  for (let count = 0; count < 60; count += 1) site.directory.get('near')?.removeAttempt(`x${count}`);
  return site;
}

function loseRegion(site: Forwarding, now: number): void {
  for (const view of site.directory.all()) if (view.record.zone === 'zone-c') view.health.onUnreachable(now);
  look(site, now);
}

function look(site: Forwarding, now: number): void {
  site.distance.setCutOff(findCutOffRegions(site.directory.all(), site.distance, now));
}

describe('a region that is cut off with work under way there', () => {
  it('what may be repeated is, at home, and a late answer from there changes nothing', () => {
    const site = makeAway('idempotent');
    const [first] = site.starts();
    loseRegion(site, 100);
    site.event({ kind: 'broken', reason: 'reset' }, 110);
    expect(site.starts().map(({ backend }) => backend.id)[1]).to.equal('near');
    site.manager.receiveAttemptEvent(first.requestId, first.attemptId, { kind: 'whole', status: 200 }, 120);
    expect(site.getEffects('replyWhole'), 'the answer of an attempt that was given up').to.have.length(0);
    site.event({ kind: 'whole', status: 200 }, 150);
    expect(site.getEffects('replyWhole')).to.have.length(1);
    expect(site.manager.getActiveCount()).to.equal(0);
  });

  it('what may run once is not sent again', () => {
    const site = makeAway('nonIdempotent');
    loseRegion(site, 100);
    site.event({ kind: 'broken', reason: 'reset' }, 110);
    expect(site.starts()).to.have.length(1);
    expect(site.failures()).to.deep.equal([502]);
  });

  it('silence ends at the deadline at the latest', () => {
    const site = makeAway('nonIdempotent');
    loseRegion(site, 100);
    site.manager.tick(DEADLINE_MS + 1);
    expect(site.failures()).to.deep.equal([504]);
    expect(site.manager.getActiveCount()).to.equal(0);
  });

  it('a KV cache that lies there is given up, and the prompt computed at home', () => {
    const far = [at('zone-c', 'fp', 'prefill'), at('zone-c', 'fd', 'decode')];
    const site = makeSite('stream', at('zone-a', 'd', 'decode'), ...far);
    site.begin({ prompt: LONG, callerDeadlineMs: DEADLINE_MS });
    expect(site.starts()[0].backend.id).to.equal('fp');
    loseRegion(site, 50);
    site.event({ kind: 'prefilled', handle: 'h' }, 100);
    expect(site.starts()[1]).to.deep.include({ kvSource: { address: '10.0.0.1:fp', handle: 'h' } });
    expect(site.starts()[1].backend.id, 'not an engine of the lost region').to.equal('d');
    site.event({ kind: 'notExecuted', status: 503, wrongIncarnation: false }, 200);
    expect(site.getEffects('freeKv')).to.have.length(1);
    expect(site.manager.getActiveCount() + site.failures().length, 'under way or answered').to.equal(1);
    site.manager.tick(DEADLINE_MS + 1);
    expect(site.manager.getActiveCount()).to.equal(0);
  });

  it('heals: its back ends take work again once one of them answers a probe', () => {
    const site = makeAway('idempotent');
    loseRegion(site, 100);
    site.event({ kind: 'broken', reason: 'reset' }, 110);
    for (const id of ['f1', 'f2']) site.directory.get(id)?.health.onProbeAnswered(3000);
    look(site, 3000);
    expect(site.distance.isCutOff(site.directory.get('f1')!)).to.equal(false);
    for (let count = 0; count < 60; count += 1) site.directory.get('near')?.addAttempt(`y${count}`, 0, 3000);
    site.begin({ id: 'r2', callerDeadlineMs: DEADLINE_MS }, 3100);
    expect(site.starts().at(-1)?.backend.id).to.match(/^f/);
  });
});
