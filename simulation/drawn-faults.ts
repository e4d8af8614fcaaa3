/** Generators of faults for property-based tests. */
import fc from 'fast-check';
import { FAULT_KINDS, type Fault } from './simulated-faults.js';

/** Faults start after the site is up and under load, and before the load ends. Milliseconds. */
const EARLIEST_START_MS = 7000;
const LATEST_START_MS = 45_000;
/** Delay after which the first fault of a plan is repeated. Milliseconds. */
const REPEAT_AFTER_MS = 9000;

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  atMs: fc.integer({ min: EARLIEST_START_MS, max: LATEST_START_MS }),
  durationMs: fc.integer({ min: 1000, max: 20_000 }),
  target: fc.nat({ max: 12 }),
});

/** Plans of two to five faults, which may overlap, with the first of them repeated later. */
export const faultsArbitrary: fc.Arbitrary<Fault[]> = fc
  .array(fault, { minLength: 2, maxLength: 5 })
  .map((faults) => [...faults, { ...faults[0], atMs: faults[0].atMs + REPEAT_AFTER_MS }]);
