/**
 * A region that is cut off while requests are in progress there, and recovers: each request ends once, and none
 * waits beyond its deadline.
 */
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import { findCutOffRegions } from '../src/forwarding/backends/region-contact.js';
import type { BackendRecord, EngineStage, RequestKind } from '../src/forwarding/routes/route.js';
import { makeEngine, ForwardingHarness, makePrompt } from './forwarding-harness.js';

const REGIONS = { 'zone-a': 'r1', 'zone-c': 'r2' };
const SLACK_MS = 50;
const LONG_PROMPT = makePrompt(2000, 8000);
const DEADLINE_MS = 5000;

function createBackend(zone: string, id: string, stage?: EngineStage): BackendRecord {
  const record = stage ? makeEngine(id, stage) : makeLabBackend(id, '');
  return { ...record, zone, address: `10.0.0.1:${id}` };
}

function createSite(kind: RequestKind, ...backends: BackendRecord[]): ForwardingHarness {
  const route = makeLabRoute({ kind, timeoutMs: DEADLINE_MS, targetLatencyMs: 500 });
  return new ForwardingHarness([route], backends, SLACK_MS, REGIONS);
}

/** A site whose local back end is so busy that the request goes to the other region. */
function createSiteWithRemoteRequest(kind: RequestKind): ForwardingHarness {
  const site = createSite(
    kind,
    createBackend('zone-a', 'near'),
    createBackend('zone-c', 'f1'),
    createBackend('zone-c', 'f2'),
  );
  for (let count = 0; count < 60; count += 1) site.directory.get('near')?.addAttempt(`x${count}`, 0, 0);
  site.begin({ callerDeadlineMs: DEADLINE_MS });
  expect(site.getStarts()[0].backend.id).to.match(/^f/);
  for (let count = 0; count < 60; count += 1) site.directory.get('near')?.removeAttempt(`x${count}`);
  return site;
}

/** Makes all back ends of the other region unreachable. */
function cutOffRegion(site: ForwardingHarness, now: number): void {
  for (const view of site.directory.all()) if (view.record.zone === 'zone-c') view.health.onUnreachable(now);
  updateCutOffRegions(site, now);
}

function updateCutOffRegions(site: ForwardingHarness, now: number): void {
  site.distance.setCutOff(findCutOffRegions(site.directory.all(), site.distance, now));
}

describe('a region that is cut off with requests in progress there', () => {
  it('an idempotent request is retried in the local region, and a late answer from the other one has no effect', () => {
    const site = createSiteWithRemoteRequest('idempotent');
    const [first] = site.getStarts();
    cutOffRegion(site, 100);
    site.event({ kind: 'broken', reason: 'reset' }, 110);
    expect(site.getStarts().map(({ backend }) => backend.id)[1]).to.equal('near');
    site.manager.receiveAttemptEvent(first.requestId, first.attemptId, { kind: 'whole', status: 200 }, 120);
    expect(site.getEffects('replyWhole'), 'the answer of an abandoned attempt').to.have.length(0);
    site.event({ kind: 'whole', status: 200 }, 150);
    expect(site.getEffects('replyWhole')).to.have.length(1);
    expect(site.manager.getActiveCount()).to.equal(0);
  });

  it('a non-idempotent request is not retried', () => {
    const site = createSiteWithRemoteRequest('nonIdempotent');
    cutOffRegion(site, 100);
    site.event({ kind: 'broken', reason: 'reset' }, 110);
    expect(site.getStarts()).to.have.length(1);
    expect(site.getFailures()).to.deep.equal([502]);
  });

  it('a request without an answer ends at its deadline at the latest', () => {
    const site = createSiteWithRemoteRequest('nonIdempotent');
    cutOffRegion(site, 100);
    site.manager.tick(DEADLINE_MS + 1);
    expect(site.getFailures()).to.deep.equal([504]);
    expect(site.manager.getActiveCount()).to.equal(0);
  });

  it('a KV cache in that region is abandoned, and the prompt computed in the local region', () => {
    const remote = [createBackend('zone-c', 'fp', 'prefill'), createBackend('zone-c', 'fd', 'decode')];
    const site = createSite('stream', createBackend('zone-a', 'd', 'decode'), ...remote);
    site.begin({ prompt: LONG_PROMPT, callerDeadlineMs: DEADLINE_MS });
    expect(site.getStarts()[0].backend.id).to.equal('fp');
    cutOffRegion(site, 50);
    site.event({ kind: 'prefilled', handle: 'h' }, 100);
    expect(site.getStarts()[1]).to.deep.include({ kvSource: { address: '10.0.0.1:fp', handle: 'h' } });
    expect(site.getStarts()[1].backend.id, 'not an engine of the region that is cut off').to.equal('d');
    site.event({ kind: 'notExecuted', status: 503, wrongIncarnation: false }, 200);
    expect(site.getEffects('freeKv')).to.have.length(1);
    expect(site.manager.getActiveCount() + site.getFailures().length, 'in progress or answered').to.equal(1);
    site.manager.tick(DEADLINE_MS + 1);
    expect(site.manager.getActiveCount()).to.equal(0);
  });

  it('recovers: its back ends get requests again once one of them answers a probe', () => {
    const site = createSiteWithRemoteRequest('idempotent');
    cutOffRegion(site, 100);
    site.event({ kind: 'broken', reason: 'reset' }, 110);
    for (const id of ['f1', 'f2']) site.directory.get(id)?.health.onProbeAnswered(3000);
    updateCutOffRegions(site, 3000);
    expect(site.distance.isCutOff(site.directory.get('f1')!)).to.equal(false);
    for (let count = 0; count < 60; count += 1) site.directory.get('near')?.addAttempt(`y${count}`, 0, 3000);
    site.begin({ id: 'r2', callerDeadlineMs: DEADLINE_MS }, 3100);
    expect(site.getStarts().at(-1)?.backend.id).to.match(/^f/);
  });
});
