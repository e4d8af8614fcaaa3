/** The speed of each back end beside its group's, learned from samples that fade. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  DEFAULT_PACE_TRACKER_SETTINGS,
  PaceTracker,
  type PaceTrackerSettings,
} from '../src/forwarding/pace/pace-book.js';
import { SeededRandom, type RandomSource } from '../src/shared/random.js';

const SEED = 20261202;
const GROUP = 'model/prefill/prompt';
const TOKENS_PER_MS = 112;
const FIXED_MS = 5;

/** Engines whose answers spread by about half of their mean. */
class Engines {
  readonly speeds = new Map<string, number>();
  private now = 0;

  constructor(
    readonly book: PaceTracker,
    private readonly random: RandomSource,
  ) {}

  /** Each engine answers so many times, one round an interval. */
  answer(rounds: number, intervalMs: number, ids: Iterable<string> = [...this.speeds.keys()]): void {
    const among = [...ids];
    for (let round = 0; round < rounds; round += 1) {
      this.now += intervalMs;
      this.book.tick(this.now);
      for (const id of among) this.answerOnce(id);
    }
  }

  /** Time passes without answers. */
  wait(ms: number): void {
    this.now += ms;
    this.book.tick(this.now);
  }

  factor(id: string): number {
    return this.book.get(id).factor();
  }

  private answerOnce(id: string): void {
    const tokens = 1000 + this.random.below(20_000);
    const noise = 0.2 + 1.6 * this.random.next();
    const ms = (FIXED_MS + tokens / TOKENS_PER_MS) * (this.speeds.get(id) ?? 1) * noise;
    this.book.get(id).addSample(GROUP, tokens, ms);
  }
}

function makeEngines(
  speeds: readonly number[],
  settings: PaceTrackerSettings = DEFAULT_PACE_TRACKER_SETTINGS,
): Engines {
  const engines = new Engines(new PaceTracker(settings), new SeededRandom(SEED));
  speeds.forEach((speed, index) => engines.speeds.set(`engine-${index}`, speed));
  return engines;
}

const TWO_THIRDS_AVERAGE = Array.from({ length: 27 }, (_, index) => (index % 3 === 2 ? 1.3 : 1));

describe('paces of back ends', () => {
  it('tells two groups 1.3 apart after twenty samples an engine, 400 ms apart', () => {
    const engines = makeEngines(TWO_THIRDS_AVERAGE);
    engines.answer(20, 400);
    const mean = (speed: number) => {
      const ids = [...engines.speeds].filter(([, own]) => own === speed).map(([id]) => id);
      return ids.reduce((sum, id) => sum + engines.factor(id), 0) / ids.length;
    };
    expect(mean(1.3) / mean(1)).to.be.within(1.12, 1.35);
  });

  it('takes engines of one speed for nearly equal, however much their answers spread', () => {
    const engines = makeEngines(Array<number>(27).fill(1));
    for (let step = 0; step < 20; step += 1) {
      engines.answer(5, 400);
      for (const id of engines.speeds.keys()) expect(engines.factor(id)).to.be.within(0.65, 1.45);
    }
    expect(engines.book.takeChanges()).to.deep.equal([]);
  });

  it('finds an engine that turns five times slower within six samples, and sound again within eight', () => {
    const engines = makeEngines(Array<number>(27).fill(1));
    engines.answer(40, 400);
    engines.speeds.set('engine-3', 5);
    engines.answer(6, 400);
    expect(engines.factor('engine-3')).to.be.at.least(2);
    expect(engines.book.takeChanges().map(({ id, slow }) => ({ id, slow }))).to.deep.equal([
      { id: 'engine-3', slow: true },
    ]);
    engines.speeds.set('engine-3', 1);
    engines.answer(8, 400);
    expect(engines.factor('engine-3')).to.be.below(1.5);
    expect(engines.book.takeChanges().map(({ id, slow }) => ({ id, slow }))).to.deep.equal([
      { id: 'engine-3', slow: false },
    ]);
  });

  it('tells no engine as slow when all take longer than before', () => {
    const engines = makeEngines(Array<number>(9).fill(1));
    engines.answer(40, 400);
    for (let step = 0; step < 5; step += 1)
      for (const id of engines.speeds.keys()) engines.book.get(id).applySamples(12, 3);
    for (const id of engines.speeds.keys()) expect(engines.factor(id)).to.be.at.least(2);
    expect(engines.book.takeChanges()).to.deep.equal([]);
    engines.book.get('engine-3').applySamples(800, 100);
    expect(engines.book.takeChanges().map(({ id }) => id)).to.deep.equal(['engine-3']);
  });

  it('lets a sixth of the engines turn slow without taking the others for faster than twice', () => {
    const engines = makeEngines(Array<number>(28).fill(1));
    engines.answer(40, 400);
    for (const index of [1, 8, 15, 22]) engines.speeds.set(`engine-${index}`, 5);
    engines.answer(12, 400);
    expect(engines.factor('engine-1') / engines.factor('engine-0')).to.be.at.least(2.5);
    expect(engines.factor('engine-0')).to.be.within(0.5, 1.2);
  });

  it('tries a slow engine again that gets no work: it counts as nearly average after 20 s', () => {
    const engines = makeEngines(Array<number>(27).fill(1));
    engines.speeds.set('engine-3', 5);
    engines.answer(40, 400);
    const slow = engines.factor('engine-3');
    engines.wait(20_000);
    expect(slow).to.be.at.least(2.5);
    expect(engines.factor('engine-3')).to.be.below(1.5);
  });

  it('counts an engine that has not answered when it was given up', () => {
    const engines = makeEngines(Array<number>(5).fill(1));
    engines.answer(20, 400);
    for (let count = 0; count < 4; count += 1) engines.book.get('engine-0').addUnanswered(GROUP, 10_000, 800);
    expect(engines.factor('engine-0')).to.be.at.least(2);
    const before = engines.factor('engine-1');
    engines.book.get('engine-1').addUnanswered(GROUP, 10_000, 5);
    expect(engines.factor('engine-1')).to.equal(before);
  });

  it('starts another engine from the prior', () => {
    const engines = makeEngines(Array<number>(5).fill(1));
    engines.speeds.set('engine-3', 5);
    engines.answer(40, 400);
    engines.book.remove('engine-3');
    expect(engines.factor('engine-3')).to.equal(1);
  });

  it('makes the same of samples that other daemons took', () => {
    const [teller, hearer] = [
      makeEngines(TWO_THIRDS_AVERAGE),
      new PaceTracker(DEFAULT_PACE_TRACKER_SETTINGS),
    ];
    for (const id of teller.speeds.keys()) hearer.get(id);
    for (let step = 0; step < 40; step += 1) {
      teller.answer(1, 400);
      hearer.applySamples(teller.book.takeSamples());
      hearer.tick((step + 1) * 400);
    }
    for (const id of teller.speeds.keys())
      expect(hearer.get(id).factor()).to.be.closeTo(teller.factor(id), 0.12);
    expect(teller.book.takeSamples()).to.deep.equal([]);
    hearer.applySamples([['unknown', 3, 1]]);
    expect(hearer.getFactors().map(({ id }) => id)).not.to.include('unknown');
  });

  it('is finite, positive and bounded whatever was measured or told', () => {
    const { maximumRatio } = DEFAULT_PACE_TRACKER_SETTINGS;
    const figure = fc.oneof(
      fc.double(),
      fc.integer({ min: -10, max: 100_000 }),
      fc.constantFrom(0, NaN, Infinity, -Infinity, 1e300),
    );
    const step = fc.tuple(fc.constantFrom('sample', 'unanswered', 'told', 'tick'), figure, figure);
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const book = new PaceTracker(DEFAULT_PACE_TRACKER_SETTINGS);
        const pace = book.get('engine');
        for (const [kind, left, right] of steps) {
          if (kind === 'sample') pace.addSample(GROUP, left, right);
          else if (kind === 'unanswered') pace.addUnanswered(GROUP, left, right);
          else if (kind === 'told') book.applySamples([['engine', left, right]]);
          else book.tick(left);
          expect(pace.factor()).to.be.within(1 / maximumRatio, maximumRatio);
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('ignores senseless figures', () => {
    const engines = makeEngines([1, 1]);
    engines.answer(20, 400);
    const before = engines.factor('engine-0');
    for (const [load, ms] of [
      [NaN, 10],
      [10, NaN],
      [-1, 10],
      [10, -1],
      [Infinity, 10],
      [10, Infinity],
    ])
      engines.book.get('engine-0').addSample(GROUP, load, ms);
    engines.book.applySamples([
      ['engine-0', NaN, 1],
      ['engine-0', 1, NaN],
      ['engine-0', 5, 0],
      ['engine-0', -1, 1],
    ]);
    expect(engines.factor('engine-0')).to.equal(before);
  });
});
