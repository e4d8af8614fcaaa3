/** Plans of faults for property-based tests and soaks. */
import fc from 'fast-check';
import { FAULT_KINDS, type Fault } from './fault-plan.js';

const EARLIEST_MS = 7000;
const LATEST_MS = 45_000;
const REPEAT_AFTER_MS = 9000;

const fault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  atMs: fc.integer({ min: EARLIEST_MS, max: LATEST_MS }),
  durationMs: fc.integer({ min: 1000, max: 20_000 }),
  target: fc.nat({ max: 12 }),
});

/** Two to five faults, some at once, and each plan's first fault again later. */
export const faultPlan: fc.Arbitrary<Fault[]> = fc
  .array(fault, { minLength: 2, maxLength: 5 })
  .map((plan) => [...plan, { ...plan[0], atMs: plan[0].atMs + REPEAT_AFTER_MS }]);
