/** The time that engines take for prompts, learned from samples. */
import { expect } from 'chai';
import fc from 'fast-check';
import { DEFAULT_PACE_LINE_SETTINGS, PaceLine } from '../src/forwarding/pace/pace-line.js';

const SEED = 20261205;

describe('pace of prompts', () => {
  it('learns the fixed time and the time per token of engines with 30 to 400 tokens a millisecond', () => {
    for (const tokensPerMs of [30, 60, 300, 400]) {
      const pace = new PaceLine(DEFAULT_PACE_LINE_SETTINGS);
      for (let count = 1; count <= 60; count += 1) {
        const tokens = 500 * (1 + (count % 20));
        pace.addSample(tokens, 5 + tokens / tokensPerMs);
      }
      expect(pace.getExpectedMs(8000)).to.be.closeTo(5 + 8000 / tokensPerMs, 0.5);
    }
  });

  it('predicts nothing before it has the minimum number of samples', () => {
    const pace = new PaceLine(DEFAULT_PACE_LINE_SETTINGS);
    for (let count = 1; count < DEFAULT_PACE_LINE_SETTINGS.minimumSamples; count += 1)
      pace.addSample(100, 10);
    expect(pace.getExpectedMs(100)).to.equal(undefined);
    pace.addSample(100, 10);
    expect(pace.getExpectedMs(100)).to.equal(10);
  });

  it('follows engines that become slower', () => {
    const pace = new PaceLine(DEFAULT_PACE_LINE_SETTINGS);
    const feed = (factor: number) => {
      for (let count = 0; count < 300; count += 1) {
        const tokens = 1000 * (1 + (count % 8));
        pace.addSample(tokens, (tokens / 100) * factor);
      }
    };
    feed(1);
    feed(5);
    expect(pace.getExpectedMs(4000)).to.be.closeTo(200, 10);
  });

  it('is finite, not negative and does not decrease with more tokens, whatever is measured', () => {
    const figure = fc.oneof(fc.double(), fc.integer({ min: -10, max: 100_000 }), fc.constant(0));
    fc.assert(
      fc.property(fc.array(fc.tuple(figure, figure), { maxLength: 60 }), (samples) => {
        const pace = new PaceLine(DEFAULT_PACE_LINE_SETTINGS);
        for (const [tokens, ms] of samples) pace.addSample(tokens, ms);
        const few = pace.getExpectedMs(100);
        const many = pace.getExpectedMs(50_000);
        if (few === undefined || many === undefined) return;
        expect(few).to.be.at.least(0);
        expect(many).to.be.at.least(few);
        expect(Number.isFinite(many)).to.equal(true);
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
