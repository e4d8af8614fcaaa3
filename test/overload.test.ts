/** How overdue prompts are handled, and shared parts that another engine keeps. */
import { expect } from 'chai';
import { makeLabRoute } from '../lab/forwarding-site.js';
import type { Route } from '../src/forwarding/routes/route.js';
import { ENGINES, ForwardingHarness, makePrompt } from './forwarding-harness.js';

const STREAM: Partial<Route> = { kind: 'stream', resumable: true, maximumAttempts: 2, targetLatencyMs: 200 };
const OVERDUE_RANK = 9;
const CALLER_MS = 2000;

/** A site without requests in flight, whose engines have been measured to compute 100 prompt tokens per millisecond. */
function makeMeasuredSite(): ForwardingHarness {
  const site = new ForwardingHarness([makeLabRoute(STREAM)], ENGINES);
  for (let count = 0; count < 20; count += 1) {
    const tokens = 1000 * (1 + (count % 4));
    const now = count * 1000;
    site.begin(
      { id: `measured${count}`, prompt: makePrompt(tokens, 0, `k${count}`), callerDeadlineMs: CALLER_MS },
      now,
    );
    site.event({ kind: 'prefilled', handle: 'h' }, now + tokens / 100);
    site.event({ kind: 'streamStarted' }, now + tokens / 100 + 1);
    site.event({ kind: 'whole', status: 200 }, now + tokens / 100 + 2);
  }
  site.effects.length = 0;
  return site;
}

/** Sends `count` prompts of 4,000 tokens at the same time. */
function sendMany(site: ForwardingHarness, count: number, now: number, callerDeadlineMs = CALLER_MS): void {
  for (let index = 0; index < count; index += 1)
    site.begin({ id: `b${now}-${index}`, prompt: makePrompt(4000, 0, `s${index}`), callerDeadlineMs }, now);
}

function getRefusalDelays(site: ForwardingHarness): (number | undefined)[] {
  return site.effects.flatMap((effect) =>
    effect.kind === 'replyFailure' && effect.status === 503 ? [effect.retryAfterMs] : [],
  );
}

describe('overdue prompts', () => {
  it('yield to others: both engines first get the prompts that meet the target', () => {
    const site = makeMeasuredSite();
    sendMany(site, 10, 30_000);
    const ranks = site.getStarts().map((start) => start.urgency);
    expect(ranks.filter((rank) => rank < OVERDUE_RANK)).to.have.length(6);
    expect(ranks.slice(6).every((rank) => rank === OVERDUE_RANK)).to.equal(true);
  });

  it('do not make a later prompt overdue', () => {
    const site = makeMeasuredSite();
    sendMany(site, 10, 30_000);
    const urgent = site.getStarts().filter((start) => start.urgency < OVERDUE_RANK);
    for (const { requestId, attemptId } of urgent)
      site.manager.receiveAttemptEvent(requestId, attemptId, { kind: 'prefilled', handle: 'h' }, 30_120);
    site.begin({ id: 'later', prompt: makePrompt(4000, 0, 'later'), callerDeadlineMs: CALLER_MS }, 30_130);
    expect(site.getStarts().at(-1)).to.include({ requestId: 'later', prefillOnly: true });
    expect(site.getStarts().at(-1)?.urgency).to.be.lessThan(OVERDUE_RANK);
  });

  it('are never sent to decode engines, where they would delay every stream', () => {
    const site = makeMeasuredSite();
    sendMany(site, 300, 30_000);
    expect(site.getStarts().filter((start) => start.backend.stage === 'decode')).to.have.length(0);
  });

  it('are refused immediately if engines have no capacity, with the time until the backlog is worked off', () => {
    const site = makeMeasuredSite();
    sendMany(site, 100, 30_000);
    const delays = getRefusalDelays(site);
    expect(delays).to.have.length(100 - site.getStarts().length);
    expect(Math.min(...delays.map((ms) => ms ?? 0))).to.be.greaterThan(500);
  });

  it('are not refused again when the caller retries', () => {
    const site = makeMeasuredSite();
    sendMany(site, 100, 30_000);
    const before = getRefusalDelays(site).length;
    site.begin({ id: 'back', prompt: makePrompt(4000, 0, 'back'), callerDeadlineMs: 1400 }, 30_600);
    expect(getRefusalDelays(site)).to.have.length(before);
    expect(site.getStarts().at(-1)).to.include({ requestId: 'back', urgency: OVERDUE_RANK });
  });
});

describe('shared parts that another engine keeps', () => {
  it('are copied from there if that engine is busy, and not computed again', () => {
    const site = makeMeasuredSite();
    const shared = makePrompt(1000, 13_000, 'subject');
    site.kvIndex.addComputedPrompt('p1', shared, 440_000);
    site.begin({ id: 'r1', prompt: shared, callerDeadlineMs: CALLER_MS }, 30_000);
    site.begin({ id: 'r2', prompt: shared, callerDeadlineMs: CALLER_MS }, 30_000);
    const [first, second] = site.getStarts();
    expect(first).to.include({ copyFrom: undefined });
    expect(first.backend.id).to.equal('p1');
    expect(second.backend.id).to.equal('p2');
    expect(second.copyFrom).to.equal(first.backend.address);
    expect(site.directory.get('p2')?.pendingTokens()).to.equal(1000);
  });

  it('are not copied from an unreachable engine', () => {
    const site = makeMeasuredSite();
    const shared = makePrompt(1000, 13_000, 'subject');
    site.kvIndex.addComputedPrompt('p1', shared, 440_000);
    site.directory.get('p1')?.health.onUnreachable(30_000);
    site.begin({ id: 'r1', prompt: shared, callerDeadlineMs: CALLER_MS }, 30_000);
    expect(site.getStarts()[0]).to.include({ copyFrom: undefined });
    expect(site.getStarts()[0].backend.id).to.equal('p2');
  });
});
