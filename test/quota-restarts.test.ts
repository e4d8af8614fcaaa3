/**
 * Quotas in complete daemons, with the real membership: restarts of all daemons, tenants that are removed and added
 * again, and requests too large for any bucket.
 */
import { expect } from 'chai';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { FLEET_SETTINGS, ForwardingFleet } from '../simulation/forwarding-fleet.js';
import { QuotaManager } from '../src/quotas/quota-manager.js';
import { OwnedBucket } from '../src/quotas/owned-bucket.js';
import type { QuotaLimit } from '../src/quotas/quota-settings.js';
import { SeededRandom } from '../src/shared/random.js';

const SETTINGS = { windowMs: 8000, overage: 0.1, slackTokens: 190_000 };
const LIMIT: QuotaLimit = { ratePerSecond: 62_000, burst: 62_000 };
const ALLOWED_TOKENS = (LIMIT.ratePerSecond * 8 + LIMIT.burst) * 1.1 + SETTINGS.slackTokens;
const DAEMONS = 72;
const TOKENS = 390;
const SETTLED_MS = 15_000;
const END_MS = 27_000;

/** Creates a fleet of complete daemons with a single tenant that has the limit. */
function makeFleet(seed: number): ForwardingFleet {
  const fleet = new ForwardingFleet(DAEMONS, seed, { ...FLEET_SETTINGS, quotas: SETTINGS });
  const quota = { ...LIMIT, countsTokens: true, plainCost: TOKENS };
  const configuration = makeLabConfiguration(1, [makeLabRoute({ kind: 'nonIdempotent', timeoutMs: 8000 })]);
  const value = { ...configuration, tenants: [{ name: 't', keyDigests: ['k'], quota }] };
  fleet.write({ collection: 'configuration', revision: 0, value });
  for (let i = 0; i < 40; i += 1) {
    const backend = makeLabBackend(`b${i}`, `10.1.0.${i}:80`);
    fleet.write({ collection: 'backends', id: `b${i}`, revision: 0, value: backend });
  }
  return fleet;
}

/** Sends two requests a millisecond, far above the limit. Returns the times at which attempts were started, in order. */
function runOverload(fleet: ForwardingFleet, random: SeededRandom): number[] {
  const sentAt: number[] = [];
  let handledAttempts = fleet.attempts.length;
  for (let at = SETTLED_MS; at < END_MS; at += 1) {
    fleet.time.runUntil(at);
    const node = fleet.nodes[Math.floor(random.next() * DAEMONS)];
    for (let i = 0; i < 2 && !node.down; i += 1)
      fleet.submit(node, `r${at}-${i}`, '/a/x', { keyDigest: 'k' });
    for (const attempt of fleet.attempts.slice(handledAttempts)) {
      sentAt.push(at);
      fleet.sendAttemptEvent(attempt, { kind: 'whole', status: 200 });
    }
    handledAttempts = fleet.attempts.length;
  }
  return sentAt;
}

/** The maximum number of tokens in any window. `sentAt` is in order. */
function findWorstWindow(sentAt: readonly number[]): number {
  let first = 0;
  let maximum = 0;
  sentAt.forEach((at, last) => {
    while (sentAt[first] <= at - SETTINGS.windowMs) first += 1;
    maximum = Math.max(maximum, last - first + 1);
  });
  return maximum * TOKENS;
}

describe('quotas of complete daemons', () => {
  for (const seed of [3, 11])
    it(`hold after all daemons lost power, while they rejoin (seed ${seed})`, () => {
      const fleet = makeFleet(seed);
      fleet.time.runUntil(SETTLED_MS);
      const random = new SeededRandom(seed);
      for (const node of fleet.nodes) fleet.restart(node, 0, 200 + random.next() * 1000);
      const worst = findWorstWindow(runOverload(fleet, random));
      expect(worst).to.be.greaterThan(LIMIT.ratePerSecond);
      expect(worst).to.be.at.most(ALLOWED_TOKENS);
    });

  it('hold while daemons stop one after another and serve until they exit', () => {
    const fleet = makeFleet(5);
    fleet.time.runUntil(SETTLED_MS);
    for (const [i, node] of fleet.nodes.slice(0, DAEMONS - 6).entries())
      fleet.time.after(i * 40, () => fleet.restart(node, 7000, END_MS));
    const worst = findWorstWindow(runOverload(fleet, new SeededRandom(5)));
    expect(worst).to.be.greaterThan(LIMIT.ratePerSecond);
    expect(worst).to.be.at.most(ALLOWED_TOKENS);
  });

  it('add no tokens to the bucket when a tenant is removed and added again', () => {
    const description = { address: 'a:1', zone: 'z', region: 'r', incarnation: 1, state: 'alive' as const };
    const view = { members: [{ id: 'd.1', ...description }], knownCount: 1, joined: true };
    const manager = new QuotaManager(
      'd.1',
      SETTINGS,
      () => view,
      new SeededRandom(1),
      () => undefined,
    );
    const limits = new Map([['t', LIMIT]]);
    manager.setLimits(limits, 0);
    for (let now = 0; now <= 20_000; now += 40) manager.tick(now);
    let requestCount = 0;
    const drain = (): number => {
      let granted = 0;
      while (
        manager.take('t', { requestId: `r${(requestCount += 1)}`, tokens: 1000, decideBy: 20_060 }, 20_000)
          ?.kind === 'granted'
      )
        granted += 1000;
      return granted;
    };
    expect(drain()).to.be.greaterThan(LIMIT.burst);
    manager.setLimits(new Map(), 20_000);
    manager.setLimits(limits, 20_000);
    expect(drain()).to.equal(0);
  });

  it('never grant a request that alone would break the guarantee', () => {
    const limit = { ratePerSecond: 1000, burst: 1000 };
    const bucket = new OwnedBucket(limit, 38_000, 0, 0);
    const decide = (tokens: number) =>
      bucket.receiveAsk('d.1', { needs: [tokens], spent: 0 }, 600_000).granted;
    expect(decide(300_000)).to.deep.equal([]);
    expect(decide(30_000)).to.deep.equal([0]);
  });
});
