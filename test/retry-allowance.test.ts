/** One daemon's part of the retry budget, and what the parts of all daemons and of all their restarts add up to. */
import { expect } from 'chai';
import fc from 'fast-check';
import { RetryAllowance } from '../src/forwarding/retry/retry-allowance.js';
import { SeededRandom } from '../src/shared/random.js';

const SEED = 20261202;

describe('retry allowance', () => {
  it('over all daemons no window has more repeats than ratio and slack allow', () => {
    const steps = fc.array(
      fc.record({
        daemon: fc.integer({ min: 0, max: 3 }),
        waitMs: fc.integer({ min: 0, max: 400 }),
        repeat: fc.boolean(),
      }),
      { minLength: 50, maxLength: 400 },
    );
    fc.assert(
      fc.property(steps, (plan) => {
        const settings = { ratio: 0.2, slack: 20, windowMs: 5000, firstStart: true };
        const daemons = [0, 1, 2, 3].map(() => new RetryAllowance(settings, 0));
        const requests: number[] = [];
        const repeats: number[] = [];
        let now = 0;
        for (const { daemon, waitMs, repeat } of plan) {
          now += waitMs;
          if (!repeat) {
            daemons[daemon].addRequest('s', now);
            requests.push(now);
          } else if (daemons[daemon].tryTakeRetry('s', daemons.length, now)) repeats.push(now);
        }
        for (const end of repeats) {
          const inside = (at: number): boolean => at > end - settings.windowMs && at <= end;
          const allowed = settings.ratio * requests.filter(inside).length + settings.slack;
          expect(repeats.filter(inside).length).to.be.at.most(allowed + 1);
        }
      }),
      { seed: SEED, numRuns: 100 },
    );
  });
});

describe('retry allowance of daemons that end and begin again', () => {
  const WINDOW_MS = 10_000;
  const STEP_MS = 20;
  const END_MS = 45_000;
  const TROUBLE_MS = 15_000;

  /** A fleet whose back ends fail from some time on; a daemon that is killed has just spent all it had. */
  interface History {
    readonly daemons: number;
    readonly perSecond: number;
    readonly slack: number;
    readonly killGapMs: number;
    readonly downMs: number;
    readonly victims: 'next' | 'any' | 'half' | 'all';
    /** Failures come in bursts, or all the time. */
    readonly bursts: boolean;
    readonly seed: number;
  }

  function play(history: History): { requests: number[]; repeats: number[] } {
    const { daemons, perSecond, slack, killGapMs, downMs, victims, bursts, seed } = history;
    const random = new SeededRandom(seed);
    const settings = { ratio: 0.2, slack, windowMs: WINDOW_MS, firstStart: false };
    const places = Array.from({ length: daemons }, () => ({
      life: new RetryAllowance({ ...settings, firstStart: true }, 0) as RetryAllowance | undefined,
      downUntil: 0,
    }));
    const requests: number[] = [];
    const repeats: number[] = [];
    let killAt = TROUBLE_MS;
    let turn = 0;
    const pickVictims = () => {
      if (victims === 'all') return places;
      if (victims === 'half') return places.filter(() => random.next() < 0.5);
      turn = victims === 'next' ? turn + 1 : random.below(daemons);
      return [places[turn % daemons]];
    };
    for (let now = 0; now < END_MS; now += STEP_MS) {
      if (now >= killAt) {
        killAt += killGapMs * (0.5 + random.next());
        for (const place of pickVictims()) {
          while (place.life?.tryTakeRetry('s', daemons, now)) repeats.push(now);
          if (place.life) place.downUntil = now + downMs;
          place.life = undefined;
        }
      }
      for (const place of places)
        if (!place.life && place.downUntil <= now) place.life = new RetryAllowance(settings, now);
      const lives = places.flatMap(({ life }) => (life ? [life] : []));
      const failing = now > TROUBLE_MS && (!bursts || Math.floor(now / 2500) % 3 === 0);
      for (let count = (perSecond * STEP_MS) / 1000; random.next() < count && lives.length > 0; count -= 1) {
        const life = lives[random.below(lives.length)];
        requests.push(now);
        life.addRequest('s', now);
        for (let wished = 0; failing && wished < 2; wished += 1)
          if (life.tryTakeRetry('s', daemons, now)) repeats.push(now);
      }
    }
    return { requests, repeats };
  }

  it('together keep the budget in every window, whenever they are killed', () => {
    const histories: fc.Arbitrary<History> = fc.record({
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
      fc.property(histories, (history) => {
        const { requests, repeats } = play(history);
        const count = (moments: number[], from: number): number =>
          moments.filter((at) => at >= from && at < from + WINDOW_MS).length;
        for (const from of new Set(repeats)) {
          const most = Math.max(...[0, 0.5, 1].map((back) => count(requests, from - back * WINDOW_MS)));
          expect(count(repeats, from)).to.be.at.most(0.2 * most + history.slack);
        }
      }),
      { seed: SEED, numRuns: 60 },
    );
  });
});
