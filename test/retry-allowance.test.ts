/** One daemon's share of the retry budget, and the sum of the shares over all daemons and all their restarts. */
import { expect } from 'chai';
import fc from 'fast-check';
import { RetryAllowance } from '../src/forwarding/retry/retry-allowance.js';
import { SeededRandom } from '../src/shared/random.js';

const SEED = 20261202;

describe('retry allowance', () => {
  it('over all daemons no window has more retries than ratio and slack allow', () => {
    const steps = fc.array(
      fc.record({
        daemon: fc.integer({ min: 0, max: 3 }),
        waitMs: fc.integer({ min: 0, max: 400 }),
        retry: fc.boolean(),
      }),
      { minLength: 50, maxLength: 400 },
    );
    fc.assert(
      fc.property(steps, (plan) => {
        const settings = { ratio: 0.2, slack: 20, windowMs: 5000, firstStart: true };
        const daemons = [0, 1, 2, 3].map(() => new RetryAllowance(settings, 0));
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        for (const { daemon, waitMs, retry } of plan) {
          now += waitMs;
          if (!retry) {
            daemons[daemon].addRequest('s', now);
            requests.push(now);
          } else if (daemons[daemon].tryTakeRetry('s', daemons.length, now)) retries.push(now);
        }
        for (const end of retries) {
          const inside = (at: number): boolean => at > end - settings.windowMs && at <= end;
          const allowed = settings.ratio * requests.filter(inside).length + settings.slack;
          expect(retries.filter(inside).length).to.be.at.most(allowed + 1);
        }
      }),
      { seed: SEED, numRuns: 100 },
    );
  });
});

describe('retry allowance of daemons that are killed and restarted', () => {
  const WINDOW_MS = 10_000;
  const STEP_MS = 20;
  const END_MS = 45_000;
  const FAILURES_FROM_MS = 15_000;

  /** A fleet whose back ends fail from `FAILURES_FROM_MS` on; a daemon spends its whole allowance before it is killed. */
  interface Scenario {
    readonly daemons: number;
    readonly perSecond: number;
    readonly slack: number;
    readonly killGapMs: number;
    readonly downMs: number;
    readonly victims: 'next' | 'any' | 'half' | 'all';
    /** Whether back ends fail in bursts; otherwise they fail all the time. */
    readonly bursts: boolean;
    readonly seed: number;
  }

  function runScenario(scenario: Scenario): { requests: number[]; retries: number[] } {
    const { daemons, perSecond, slack, killGapMs, downMs, victims, bursts, seed } = scenario;
    const random = new SeededRandom(seed);
    const settings = { ratio: 0.2, slack, windowMs: WINDOW_MS, firstStart: false };
    const slots = Array.from({ length: daemons }, () => ({
      allowance: new RetryAllowance({ ...settings, firstStart: true }, 0) as RetryAllowance | undefined,
      downUntil: 0,
    }));
    const requests: number[] = [];
    const retries: number[] = [];
    let killAt = FAILURES_FROM_MS;
    let turn = 0;
    const pickVictims = () => {
      if (victims === 'all') return slots;
      if (victims === 'half') return slots.filter(() => random.next() < 0.5);
      turn = victims === 'next' ? turn + 1 : random.below(daemons);
      return [slots[turn % daemons]];
    };
    for (let now = 0; now < END_MS; now += STEP_MS) {
      if (now >= killAt) {
        killAt += killGapMs * (0.5 + random.next());
        for (const slot of pickVictims()) {
          while (slot.allowance?.tryTakeRetry('s', daemons, now)) retries.push(now);
          if (slot.allowance) slot.downUntil = now + downMs;
          slot.allowance = undefined;
        }
      }
      for (const slot of slots)
        if (!slot.allowance && slot.downUntil <= now) slot.allowance = new RetryAllowance(settings, now);
      const running = slots.flatMap(({ allowance }) => (allowance ? [allowance] : []));
      const failing = now > FAILURES_FROM_MS && (!bursts || Math.floor(now / 2500) % 3 === 0);
      for (
        let count = (perSecond * STEP_MS) / 1000;
        random.next() < count && running.length > 0;
        count -= 1
      ) {
        const allowance = running[random.below(running.length)];
        requests.push(now);
        allowance.addRequest('s', now);
        for (let attempt = 0; failing && attempt < 2; attempt += 1)
          if (allowance.tryTakeRetry('s', daemons, now)) retries.push(now);
      }
    }
    return { requests, retries };
  }

  it('keep the budget together in every window, whenever they are killed', () => {
    const scenarios: fc.Arbitrary<Scenario> = fc.record({
      daemons: fc.constantFrom(2, 5, 9, 30),
      perSecond: fc.constantFrom(5, 40, 140, 400),
      slack: fc.constantFrom(0, 20, 58, 184),
      killGapMs: fc.constantFrom(300, 700, 1000, 2000, 5000),
      downMs: fc.constantFrom(200, 500, 2000, 6000),
      victims: fc.constantFrom('next' as const, 'any' as const, 'half' as const, 'all' as const),
      bursts: fc.boolean(),
      seed: fc.nat(),
    });
    fc.assert(
      fc.property(scenarios, (scenario) => {
        const { requests, retries } = runScenario(scenario);
        const count = (times: number[], from: number): number =>
          times.filter((at) => at >= from && at < from + WINDOW_MS).length;
        for (const from of new Set(retries)) {
          const maximumRequests = Math.max(
            ...[0, 0.5, 1].map((back) => count(requests, from - back * WINDOW_MS)),
          );
          expect(count(retries, from)).to.be.at.most(0.2 * maximumRequests + scenario.slack);
        }
      }),
      { seed: SEED, numRuns: 60 },
    );
  });
});
