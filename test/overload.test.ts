/** What is done with prompts that cannot be in time, and with shared parts that another engine keeps. */
import { expect } from 'chai';
import { labRoute } from '../lab/forwarding-site.js';
import type { Route } from '../src/forwarding/routes/route.js';
import { ENGINES, Forwarding, prompt } from './forwarding-harness.js';

const STREAM: Partial<Route> = { kind: 'stream', resumable: true, maximumAttempts: 2, targetLatencyMs: 200 };
const LAST_RANK = 9;
const CALLER_MS = 2000;

/** A site whose engines were seen to read 100 tokens a millisecond, and where nothing is under way. */
function learnedSite(): Forwarding {
  const site = new Forwarding([labRoute(STREAM)], ENGINES);
  for (let count = 0; count < 20; count += 1) {
    const tokens = 1000 * (1 + (count % 4));
    const now = count * 1000;
    site.begin(
      { id: `learn${count}`, prompt: prompt(tokens, 0, `k${count}`), callerDeadlineMs: CALLER_MS },
      now,
    );
    site.event({ kind: 'prefilled', handle: 'h' }, now + tokens / 100);
    site.event({ kind: 'streamStarted' }, now + tokens / 100 + 1);
    site.event({ kind: 'whole', status: 200 }, now + tokens / 100 + 2);
  }
  site.effects.length = 0;
  return site;
}

/** Begins so many prompts of 4,000 tokens at once. */
function beginMany(site: Forwarding, count: number, now: number, callerDeadlineMs = CALLER_MS): void {
  for (let index = 0; index < count; index += 1)
    site.begin({ id: `b${now}-${index}`, prompt: prompt(4000, 0, `s${index}`), callerDeadlineMs }, now);
}

function refusals(site: Forwarding): (number | undefined)[] {
  return site.effects.flatMap((effect) =>
    effect.kind === 'replyFailure' && effect.status === 503 ? [effect.retryAfterMs] : [],
  );
}

describe('prompts that cannot be in time', () => {
  it('give way to those that can: both engines get what fits into the target first', () => {
    const site = learnedSite();
    beginMany(site, 10, 30_000);
    const ranks = site.starts().map((start) => start.urgency);
    expect(ranks.filter((rank) => rank < LAST_RANK)).to.have.length(6);
    expect(ranks.slice(6).every((rank) => rank === LAST_RANK)).to.equal(true);
  });

  it('do not make a later prompt late', () => {
    const site = learnedSite();
    beginMany(site, 10, 30_000);
    const urgent = site.starts().filter((start) => start.urgency < LAST_RANK);
    for (const { requestId, attemptId } of urgent)
      site.manager.receiveAttemptEvent(requestId, attemptId, { kind: 'prefilled', handle: 'h' }, 30_120);
    site.begin({ id: 'later', prompt: prompt(4000, 0, 'later'), callerDeadlineMs: CALLER_MS }, 30_130);
    expect(site.starts().at(-1)).to.include({ requestId: 'later', prefillOnly: true });
    expect(site.starts().at(-1)?.urgency).to.be.lessThan(LAST_RANK);
  });

  it('are never put on decode engines, where they would hold up every stream', () => {
    const site = learnedSite();
    beginMany(site, 300, 30_000);
    expect(site.starts().filter((start) => start.backend.stage === 'decode')).to.have.length(0);
  });

  it('are refused at once when engines have no room for them, and told when the backlog is worked off', () => {
    const site = learnedSite();
    beginMany(site, 100, 30_000);
    const told = refusals(site);
    expect(told).to.have.length(100 - site.starts().length);
    expect(Math.min(...told.map((ms) => ms ?? 0))).to.be.greaterThan(500);
  });

  it('are not refused again after the caller has come back', () => {
    const site = learnedSite();
    beginMany(site, 100, 30_000);
    const before = refusals(site).length;
    site.begin({ id: 'back', prompt: prompt(4000, 0, 'back'), callerDeadlineMs: 1400 }, 30_600);
    expect(refusals(site)).to.have.length(before);
    expect(site.starts().at(-1)).to.include({ requestId: 'back', urgency: LAST_RANK });
  });
});

describe('shared parts that another engine keeps', () => {
  it('are copied from there when the keeper is busy, and not read again', () => {
    const site = learnedSite();
    const shared = prompt(1000, 13_000, 'subject');
    site.kvIndex.addComputedPrompt('p1', shared, 440_000);
    site.begin({ id: 'r1', prompt: shared, callerDeadlineMs: CALLER_MS }, 30_000);
    site.begin({ id: 'r2', prompt: shared, callerDeadlineMs: CALLER_MS }, 30_000);
    const [first, second] = site.starts();
    expect(first).to.include({ copyFrom: undefined });
    expect(first.backend.id).to.equal('p1');
    expect(second.backend.id).to.equal('p2');
    expect(second.copyFrom).to.equal(first.backend.address);
    expect(site.directory.get('p2')?.pendingTokens()).to.equal(1000);
  });

  it('are not copied from an engine that cannot be reached', () => {
    const site = learnedSite();
    const shared = prompt(1000, 13_000, 'subject');
    site.kvIndex.addComputedPrompt('p1', shared, 440_000);
    site.directory.get('p1')?.health.onUnreachable(30_000);
    site.begin({ id: 'r1', prompt: shared, callerDeadlineMs: CALLER_MS }, 30_000);
    expect(site.starts()[0]).to.include({ copyFrom: undefined });
    expect(site.starts()[0].backend.id).to.equal('p2');
  });
});
