/**
 * The retry budget of a whole fleet, counted where it binds: at the back ends.
 *
 * What users saw: one service got more arrivals past the first of their requests than ratio and slack of the budget allow, on days on which
 * daemons were restarted. Order of events: back ends answer busy, so every daemon repeats as much as it may; then daemons are stopped or killed one
 * after another within one window.
 */
import { expect } from 'chai';
import { labBackend, labConfiguration, labRoute } from '../lab/forwarding-site.js';
import { FLEET_SETTINGS, ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import { SeededRandom } from '../src/shared/random.js';

const BUDGET = FLEET_SETTINGS.retries;
const DAEMONS = 9;
const SETTLED_MS = 15_000;
/** Daemons are disturbed from here on, after a window of repeats. */
const TROUBLE_MS = 27_000;
const END_MS = 52_000;
const STEP_MS = 5;
const SEED = 1;
/** With few requests the slack is most of the budget, with many the ratio. Requests a second. */
const LOADS = [8, 140];

/** Callers before a fleet whose back ends turn everything away, and what the back ends saw. */
class BusySite {
  readonly fleet: ForwardingFleet;
  readonly requestsAt: number[] = [];
  readonly repeatsAt: number[] = [];
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
    const value = labConfiguration(1, [labRoute({ timeoutMs: 8000 })]);
    this.fleet.write({ collection: 'configuration', revision: 0, value });
    for (let i = 0; i < 12; i += 1) {
      const backend = labBackend(`b${i}`, `10.1.0.${i}:80`);
      this.fleet.write({ collection: 'backends', id: `b${i}`, revision: 0, value: backend });
    }
  }

  /** Lets callers send until `until`; those of a daemon that is down go to the others. */
  runUntil(until: number): void {
    for (let at = this.fleet.time.now(); at < until; at += STEP_MS) {
      this.fleet.time.runUntil(at);
      this.answerAll(at);
      if (this.random.next() < (this.perSecond * STEP_MS) / 1000) this.send(at);
      this.answerAll(at);
    }
  }

  private send(at: number): void {
    const running = this.fleet.nodes.filter((node) => !node.down);
    if (running.length === 0) return;
    this.requestsAt.push(at);
    this.sent += 1;
    this.fleet.submit(running[Math.floor(this.random.next() * running.length)], `r${this.sent}`);
  }

  /** Every back end is busy. */
  private answerAll(at: number): void {
    for (; this.handled < this.fleet.attempts.length; this.handled += 1) {
      const attempt = this.fleet.attempts[this.handled];
      const key = `${attempt.node.id}/${attempt.requestId}`;
      if (this.seen.has(key)) this.repeatsAt.push(at);
      this.seen.add(key);
      this.fleet.endAttempt(attempt, { kind: 'notExecuted', status: 503, wrongIncarnation: false });
    }
  }

  /** The window in which most repeats came beyond what is allowed. */
  findWorst(): { from: number; repeats: number; allowed: number } {
    const { ratio, slack, windowMs } = BUDGET;
    const windows = this.repeatsAt.map((from) => {
      const requests = Math.max(
        ...[0, windowMs / 2, windowMs].map((back) =>
          countWithin(this.requestsAt, from - back, from - back + windowMs),
        ),
      );
      const repeats = countWithin(this.repeatsAt, from, from + windowMs);
      return { from, repeats, allowed: Math.floor(ratio * requests + slack) };
    });
    windows.sort((left, right) => right.repeats - right.allowed - (left.repeats - left.allowed));
    return windows[0];
  }
}

/** How many moments lie in a span; they are in order. */
function countWithin(moments: readonly number[], from: number, until: number): number {
  return moments.filter((at) => at >= from && at < until).length;
}

type Trouble = (site: BusySite) => void;

/** Runs the site through trouble and expects the budget to hold in every window. */
function checkBudget(trouble: Trouble): void {
  for (const perSecond of LOADS) {
    const site = new BusySite(new SeededRandom(SEED), SEED, perSecond);
    site.fleet.time.runUntil(SETTLED_MS);
    site.runUntil(TROUBLE_MS);
    trouble(site);
    site.runUntil(END_MS);
    const { from, repeats, allowed } = site.findWorst();
    const what = `${perSecond} requests a second, window from ${from} ms`;
    expect(repeats, what).to.be.at.most(allowed);
  }
}

/** Each daemon is asked to stop, serves on for `stopMs` and is started again `downMs` later. */
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

/** Each daemon is killed, round after round. */
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

  it('holds while all daemons are killed, again and again', () => {
    checkBudget((site) => killInSeries(site, 0, 400, 1));
    checkBudget((site) => {
      for (const at of [0, 2500, 5000, 7500]) site.fleet.time.after(at, () => killInSeries(site, 0, 400, 1));
    });
  });

  it('holds in a fleet that is cut in two while each side in turn is restarted', () => {
    for (const sideSize of [3, 4])
      checkBudget((site) => {
        const { fleet } = site;
        // One of the three seeds is on the far side, so that both sides form a group.
        const far = fleet.nodes.slice(2, 2 + sideSize);
        const isFar = (node: FleetNode): boolean => far.includes(node);
        fleet.isLinked = (from, to) => isFar(from) === isFar(to);
        far.forEach((node) => fleet.kill(node, 500));
        fleet.time.after(3000, () =>
          fleet.nodes.filter((node) => !isFar(node)).forEach((node) => fleet.kill(node, 500)),
        );
      });
  });

  it('holds while daemons stop one after another and serve until they are gone', () => {
    checkBudget((site) => stopInSeries(site, 1000, 6000, 500));
    checkBudget((site) => stopInSeries(site, 1000, 6000, END_MS, DAEMONS - 3));
  });
});
