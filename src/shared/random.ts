/** Seeded random numbers, so that simulations and tests are reproducible. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** A source of random numbers. State machines get it as a parameter and use no other. */
export interface RandomSource {
  /** A uniformly distributed number in [0, 1). */
  next(): number;
  /** A uniformly distributed integer in [0, bound). `bound` is at least 1. */
  below(bound: number): number;
}

/** A deterministic source: the same seed gives the same sequence of numbers. */
export class SeededRandom implements RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(scramble(seed));
  }

  next(): number {
    return uniformFloat64(this.generator);
  }

  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}

/** Mixes the bits of a seed; without this, the first numbers of adjacent seeds are similar. */
function scramble(seed: number): number {
  const mixed = Math.imul(seed ^ (seed >>> 16), 0x45d9f3b);
  return Math.imul(mixed ^ (mixed >>> 16), 0x45d9f3b) ^ (mixed >>> 13);
}

/** An exponentially distributed interval with the given mean, in the unit of `mean`. */
export function exponential(random: RandomSource, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}
