/** The pace of each back end relative to its group, learned from samples with decaying weights. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  DEFAULT_PACE_TRACKER_SETTINGS,
  PaceTracker,
  type PaceTrackerSettings,
} from '../src/forwarding/pace/pace-tracker.js';
import { SeededRandom, type RandomSource } from '../src/shared/random.js';

const SEED = 20261202;
const GROUP = 'model/prefill/prompt';
const TOKENS_PER_MS = 112;
const FIXED_MS = 5;

/** Engines whose answer times deviate by about half of their mean. */
class Engines {
  /** Factor by which each engine is slower, by id. */
  readonly slowdowns = new Map<string, number>();
  private now = 0;

  constructor(
    readonly tracker: PaceTracker,
    private readonly random: RandomSource,
  ) {}

  /** Each engine answers once per round, `intervalMs` apart. */
  answer(rounds: number, intervalMs: number, ids: Iterable<string> = [...this.slowdowns.keys()]): void {
    const answering = [...ids];
    for (let round = 0; round < rounds; round += 1) {
      this.now += intervalMs;
      this.tracker.tick(this.now);
      for (const id of answering) this.answerOnce(id);
    }
  }

  /** Lets time pass without answers. */
  wait(ms: number): void {
    this.now += ms;
    this.tracker.tick(this.now);
  }

  /** `count` samples of `ratio` times the time that the group takes, which the group's line does not learn. */
  answerSlowly(id: string, ratio: number, count: number): void {
    const groupMs = this.tracker.getGroupMs(GROUP, 10_000) as number;
    for (let sample = 0; sample < count; sample += 1)
      this.tracker.get(id).addUnanswered(GROUP, 10_000, groupMs * ratio);
  }

  factor(id: string): number {
    return this.tracker.get(id).factor();
  }

  private answerOnce(id: string): void {
    const tokens = 1000 + this.random.below(20_000);
    const noise = 0.2 + 1.6 * this.random.next();
    const ms = (FIXED_MS + tokens / TOKENS_PER_MS) * (this.slowdowns.get(id) ?? 1) * noise;
    this.tracker.get(id).addSample(GROUP, tokens, ms);
  }
}

function makeEngines(
  slowdowns: readonly number[],
  settings: PaceTrackerSettings = DEFAULT_PACE_TRACKER_SETTINGS,
): Engines {
  const engines = new Engines(new PaceTracker(settings), new SeededRandom(SEED));
  slowdowns.forEach((slowdown, index) => engines.slowdowns.set(`engine-${index}`, slowdown));
  return engines;
}

const TWO_SLOWDOWNS = Array.from({ length: 27 }, (_, index) => (index % 3 === 2 ? 1.3 : 1));

describe('paces of back ends', () => {
  it('separates two speeds that differ by a factor of 1.3 after twenty samples an engine, 400 ms apart', () => {
    const engines = makeEngines(TWO_SLOWDOWNS);
    engines.answer(20, 400);
    const mean = (slowdown: number) => {
      const ids = [...engines.slowdowns].filter(([, other]) => other === slowdown).map(([id]) => id);
      return ids.reduce((sum, id) => sum + engines.factor(id), 0) / ids.length;
    };
    expect(mean(1.3) / mean(1)).to.be.within(1.12, 1.35);
  });

  it('estimates engines of one speed as nearly equal although their answer times vary widely', () => {
    const engines = makeEngines(Array<number>(27).fill(1));
    for (let step = 0; step < 20; step += 1) {
      engines.answer(5, 400);
      for (const id of engines.slowdowns.keys()) expect(engines.factor(id)).to.be.within(0.65, 1.45);
    }
    expect(engines.tracker.takeChanges()).to.deep.equal([]);
  });

  it('detects an engine that becomes five times slower within six samples, and its recovery within eight', () => {
    const engines = makeEngines(Array<number>(27).fill(1));
    engines.answer(40, 400);
    engines.slowdowns.set('engine-3', 5);
    engines.answer(6, 400);
    expect(engines.factor('engine-3')).to.be.at.least(2);
    expect(engines.tracker.takeChanges().map(({ id, slow }) => ({ id, slow }))).to.deep.equal([
      { id: 'engine-3', slow: true },
    ]);
    engines.slowdowns.set('engine-3', 1);
    engines.answer(8, 400);
    expect(engines.factor('engine-3')).to.be.below(1.5);
    expect(engines.tracker.takeChanges().map(({ id, slow }) => ({ id, slow }))).to.deep.equal([
      { id: 'engine-3', slow: false },
    ]);
  });

  it('reports no engine as slow when all take longer than before', () => {
    const engines = makeEngines(Array<number>(9).fill(1));
    engines.answer(40, 400);
    for (const id of engines.slowdowns.keys()) engines.answerSlowly(id, 2.4, 60);
    for (const id of engines.slowdowns.keys()) expect(engines.factor(id)).to.be.at.least(2);
    expect(engines.tracker.takeChanges()).to.deep.equal([]);
    engines.answerSlowly('engine-3', 5, 60);
    engines.answerSlowly('engine-3', 8, 100);
    expect(engines.tracker.takeChanges().map(({ id }) => id)).to.deep.equal(['engine-3']);
  });

  it('does not estimate the others as more than twice as fast when 4 of 28 engines become slow', () => {
    const engines = makeEngines(Array<number>(28).fill(1));
    engines.answer(40, 400);
    for (const index of [1, 8, 15, 22]) engines.slowdowns.set(`engine-${index}`, 5);
    engines.answer(12, 400);
    expect(engines.factor('engine-1') / engines.factor('engine-0')).to.be.at.least(2.5);
    expect(engines.factor('engine-0')).to.be.within(0.5, 1.2);
  });

  it('returns a slow engine that gets no work to nearly average within 20 s, so that it is tried again', () => {
    const engines = makeEngines(Array<number>(27).fill(1));
    engines.slowdowns.set('engine-3', 5);
    engines.answer(40, 400);
    const slow = engines.factor('engine-3');
    engines.wait(20_000);
    expect(slow).to.be.at.least(2.5);
    expect(engines.factor('engine-3')).to.be.below(1.5);
  });

  it('adds a sample for an engine that had not answered when its work was aborted', () => {
    const engines = makeEngines(Array<number>(5).fill(1));
    engines.answer(20, 400);
    for (let count = 0; count < 4; count += 1)
      engines.tracker.get('engine-0').addUnanswered(GROUP, 10_000, 800);
    expect(engines.factor('engine-0')).to.be.at.least(2);
    const before = engines.factor('engine-1');
    engines.tracker.get('engine-1').addUnanswered(GROUP, 10_000, 5);
    expect(engines.factor('engine-1')).to.equal(before);
  });

  it('starts a replaced engine from the prior', () => {
    const engines = makeEngines(Array<number>(5).fill(1));
    engines.slowdowns.set('engine-3', 5);
    engines.answer(40, 400);
    engines.tracker.remove('engine-3');
    expect(engines.factor('engine-3')).to.equal(1);
  });

  it('is finite, positive and bounded whatever is measured', () => {
    const { maximumRatio } = DEFAULT_PACE_TRACKER_SETTINGS;
    const figure = fc.oneof(
      fc.double(),
      fc.integer({ min: -10, max: 100_000 }),
      fc.constantFrom(0, NaN, Infinity, -Infinity, 1e300),
    );
    /** From so many on the line of the group has an expectation. */
    const KNOWN_SAMPLES = DEFAULT_PACE_TRACKER_SETTINGS.line.minimumSamples;
    const step = fc.tuple(fc.constantFrom('sample', 'unanswered', 'tick'), figure, figure);
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const tracker = new PaceTracker(DEFAULT_PACE_TRACKER_SETTINGS);
        const pace = tracker.get('engine');
        for (let sample = 0; sample < KNOWN_SAMPLES; sample += 1)
          tracker.get('other').addSample(GROUP, 1000 + sample, 10);
        for (const [kind, left, right] of steps) {
          if (kind === 'sample') pace.addSample(GROUP, left, right);
          else if (kind === 'unanswered') pace.addUnanswered(GROUP, left, right);
          else tracker.tick(left);
          expect(pace.factor()).to.be.within(1 / maximumRatio, maximumRatio);
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('ignores invalid values', () => {
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
      engines.tracker.get('engine-0').addSample(GROUP, load, ms);
    expect(engines.factor('engine-0')).to.equal(before);
  });
});
