/**
 * The retry budget of a whole fleet, counted at the back ends, where it must hold.
 *
 * Guards against more retries than the budget's ratio and slack allow while daemons are restarted; users saw this
 * on one service.
 * The back ends reject every request as busy, so every daemon retries as much as it may; then daemons are
 * stopped or killed one after another within one window.
 */
import { expect } from 'chai';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { FLEET_SETTINGS, ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import { SeededRandom } from '../src/shared/random.js';

const BUDGET = FLEET_SETTINGS.retries;
const DAEMONS = 9;
const SETTLED_MS = 15_000;
/** Daemons are stopped or killed after this time, when they have retried for a whole window. */
const FAULTS_FROM_MS = 27_000;
const END_MS = 52_000;
const STEP_MS = 5;
const SEED = 1;
/** With few requests most of the budget is slack, with many it comes from the ratio. Requests per second. */
const LOADS = [8, 140];

/** Callers of a fleet whose back ends reject every request, and the arrivals at the back ends. */
class BusySite {
  readonly fleet: ForwardingFleet;
  readonly requestsAt: number[] = [];
  readonly retriesAt: number[] = [];
  private readonly seen = new Set<string>();
  private handled = 0;
  private sent = 0;

  constructor(
    readonly random: SeededRandom,
    seed: number,
    private readonly perSecond: number,
    daemons = DAEMONS,
  ) {
    this.fleet = new ForwardingFleet(daemons, seed);
    const value = makeLabConfiguration(1, [makeLabRoute({ timeoutMs: 8000 })]);
    this.fleet.write({ collection: 'configuration', revision: 0, value });
    for (let i = 0; i < 12; i += 1) {
      const backend = makeLabBackend(`b${i}`, `10.1.0.${i}:80`);
      this.fleet.write({ collection: 'backends', id: `b${i}`, revision: 0, value: backend });
    }
  }

  /** Sends requests until `until`, spread over the daemons that are up. */
  runUntil(until: number): void {
    for (let at = this.fleet.time.now(); at < until; at += STEP_MS) {
      this.fleet.time.runUntil(at);
      this.rejectAll(at);
      if (this.random.next() < (this.perSecond * STEP_MS) / 1000) this.send(at);
      this.rejectAll(at);
    }
  }

  private send(at: number): void {
    const running = this.fleet.nodes.filter((node) => !node.down);
    if (running.length === 0) return;
    this.requestsAt.push(at);
    this.sent += 1;
    this.fleet.submit(running[Math.floor(this.random.next() * running.length)], `r${this.sent}`);
  }

  /** Rejects every attempt as busy. */
  private rejectAll(at: number): void {
    for (; this.handled < this.fleet.attempts.length; this.handled += 1) {
      const attempt = this.fleet.attempts[this.handled];
      const key = `${attempt.node.id}/${attempt.requestId}`;
      if (this.seen.has(key)) this.retriesAt.push(at);
      this.seen.add(key);
      this.fleet.sendAttemptEvent(attempt, { kind: 'notExecuted', status: 503, wrongIncarnation: false });
    }
  }

  /** Returns the window in which the retries exceed the allowed number the most. */
  findWorstWindow(): { from: number; retries: number; allowed: number } {
    const { ratio, slack, windowMs } = BUDGET;
    const windows = this.retriesAt.map((from) => {
      const requests = Math.max(
        ...[0, windowMs / 2, windowMs].map((back) =>
          countWithin(this.requestsAt, from - back, from - back + windowMs),
        ),
      );
      const retries = countWithin(this.retriesAt, from, from + windowMs);
      return { from, retries, allowed: Math.floor(ratio * requests + slack) };
    });
    windows.sort((left, right) => right.retries - right.allowed - (left.retries - left.allowed));
    return windows[0];
  }
}

/** Number of times at or after `from` and before `until`. */
function countWithin(times: readonly number[], from: number, until: number): number {
  return times.filter((at) => at >= from && at < until).length;
}

type Faults = (site: BusySite) => void;

/** Injects faults and expects the budget to hold in every window. */
function checkBudget(addFaults: Faults): void {
  for (const perSecond of LOADS) {
    const site = new BusySite(new SeededRandom(SEED), SEED, perSecond);
    site.fleet.time.runUntil(SETTLED_MS);
    site.runUntil(FAULTS_FROM_MS);
    addFaults(site);
    site.runUntil(END_MS);
    const { from, retries, allowed } = site.findWorstWindow();
    const what = `${perSecond} requests per second, window from ${from} ms`;
    expect(retries, what).to.be.at.most(allowed);
  }
}

/** Stops one daemon after another: each serves for another `stopMs` and is restarted `downMs` later. */
function stopInSeries(
  { fleet }: BusySite,
  gapMs: number,
  stopMs: number,
  downMs: number,
  count = DAEMONS,
): void {
  fleet.nodes
    .slice(0, count)
    .forEach((node, i) => fleet.time.after(i * gapMs, () => fleet.restart(node, stopMs, downMs)));
}

/** Kills one daemon after another, for a number of rounds. */
function killInSeries({ fleet }: BusySite, gapMs: number, downMs: number, rounds: number): void {
  const series = Array.from({ length: rounds }, () => fleet.nodes).flat();
  series.forEach((node, i) => fleet.time.after(i * gapMs, () => fleet.kill(node, downMs)));
}

describe('retry budget of a whole fleet', () => {
  it('holds while no daemon is restarted', () => checkBudget(() => undefined));

  it('holds while daemons are killed one after another, once and twice in a window', () => {
    checkBudget((site) => killInSeries(site, 900, 500, 1));
    checkBudget((site) => killInSeries(site, 500, 300, 2));
  });

  it('holds while all daemons are killed at once, repeatedly', () => {
    checkBudget((site) => killInSeries(site, 0, 400, 1));
    checkBudget((site) => {
      for (const at of [0, 2500, 5000, 7500]) site.fleet.time.after(at, () => killInSeries(site, 0, 400, 1));
    });
  });

  it('holds in a partitioned fleet while each side in turn is restarted', () => {
    for (const sideSize of [3, 4])
      checkBudget((site) => {
        const { fleet } = site;
        // One of the three seed daemons is on the far side, so that both sides form a group.
        const far = fleet.nodes.slice(2, 2 + sideSize);
        const isFar = (node: FleetNode): boolean => far.includes(node);
        fleet.isLinked = (from, to) => isFar(from) === isFar(to);
        far.forEach((node) => fleet.kill(node, 500));
        fleet.time.after(3000, () =>
          fleet.nodes.filter((node) => !isFar(node)).forEach((node) => fleet.kill(node, 500)),
        );
      });
  });

  it('holds while daemons stop one after another and serve until they exit', () => {
    checkBudget((site) => stopInSeries(site, 1000, 6000, 500));
    checkBudget((site) => stopInSeries(site, 1000, 6000, END_MS, DAEMONS - 3));
  });
});
