/** `npm run recovery`: how long goodput stays below 95% after each kind of fault, against the same run without it. */
import { formatTable } from '../src/shared/table.js';
import { FAULT_KINDS, type FaultKind } from '../simulation/fault-plan.js';
import { runFaults, type FaultRunResult } from '../simulation/fault-run.js';

const SITE = 'cundinamarca';
const SEEDS = [1, 2, 3, 4, 5];
const FAULT_AT_MS = 30_000;
const FAULT_MS = 10_000;
const LOAD_UNTIL_MS = 100_000;
const WINDOW_SECONDS = 5;
const RECOVERED_SHARE = 0.95;

function sum(values: readonly (number | undefined)[], from: number, count: number): number {
  let total = 0;
  for (let index = from; index < from + count; index += 1) total += values[index] ?? 0;
  return total;
}

/** Share of the requests that arrived in a window and were answered within their targets. */
function goodShare(run: FaultRunResult, second: number): number {
  return (
    sum(run.goodArrivals, second, WINDOW_SECONDS) / Math.max(1, sum(run.offered, second, WINDOW_SECONDS))
  );
}

/** Seconds from the fault until the share of good arrivals stays at 95% of the run without it, in windows of 5 s. */
function recoverySeconds(faulty: FaultRunResult, sound: FaultRunResult): number {
  const first = FAULT_AT_MS / 1000;
  const last = LOAD_UNTIL_MS / 1000 - WINDOW_SECONDS;
  let recoveredAt = first;
  for (let second = first; second <= last; second += 1) {
    if (goodShare(faulty, second) < RECOVERED_SHARE * goodShare(sound, second))
      recoveredAt = second + WINDOW_SECONDS;
  }
  return recoveredAt - first;
}

function measure(kind: FaultKind): (string | number)[] {
  const runs = SEEDS.map((seed) => {
    const base = { site: SITE, seed, loadUntilMs: LOAD_UNTIL_MS };
    const sound = runFaults({ ...base, plan: [] });
    const faulty = runFaults({
      ...base,
      plan: [{ kind, atMs: FAULT_AT_MS, durationMs: FAULT_MS, target: 3 }],
    });
    const lost = 1 - faulty.counts.withinTargets / faulty.counts.sent;
    return { seconds: recoverySeconds(faulty, sound), lost, violations: faulty.violations.length };
  });
  const times = runs.map((run) => run.seconds).sort((left, right) => left - right);
  const lost = runs.reduce((total, run) => total + run.lost, 0) / runs.length;
  const violations = runs.reduce((total, run) => total + run.violations, 0);
  return [
    kind,
    times[Math.floor(times.length / 2)],
    times[times.length - 1],
    `${(lost * 100).toFixed(1)}%`,
    violations,
  ];
}

const header = [
  'fault of 10 s',
  's to 95%, median',
  's to 95%, worst',
  'requests not in target',
  'promises broken',
];
process.stdout.write(`${formatTable(header, FAULT_KINDS.map(measure))}\n`);
