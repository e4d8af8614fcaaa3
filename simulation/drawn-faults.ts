/** Faults for property-based tests: how a generator draws them. */
import fc from 'fast-check';
import { FAULT_KINDS, type Fault } from './simulated-faults.js';

/** Faults begin once the site has come up and its load runs, and while load still comes. Milliseconds. */
const EARLIEST_MS = 7000;
const LATEST_MS = 45_000;
/** The first fault of a run comes again so much later. Milliseconds. */
const REPEAT_AFTER_MS = 9000;

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  atMs: fc.integer({ min: EARLIEST_MS, max: LATEST_MS }),
  durationMs: fc.integer({ min: 1000, max: 20_000 }),
  target: fc.nat({ max: 12 }),
});

/** Two to five faults, some at once, and the first of them again later. */
export const faultsArbitrary: fc.Arbitrary<Fault[]> = fc
  .array(fault, { minLength: 2, maxLength: 5 })
  .map((faults) => [...faults, { ...faults[0], atMs: faults[0].atMs + REPEAT_AFTER_MS }]);
