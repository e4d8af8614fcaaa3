/**
 * Model checking of the core protocol: runs spin exhaustively over each specification in this folder, sound
 * and broken. Fails when a sound one has an error or when a broken one is not caught.
 */
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { availableParallelism, tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { formatTable } from '../src/shared/table.js';

/** One specification with the macros that make it sound or break it. */
interface Check {
  readonly file: string;
  readonly defines: readonly string[];
  readonly expect: 'sound' | 'caught';
  /** The property or the broken part, in words. */
  readonly what: string;
}

const CHECKS: readonly Check[] = [
  { file: 'lease.pml', defines: [], expect: 'sound', what: 'orders only with authority' },
  {
    file: 'lease.pml',
    defines: ['CHECK_CONFLICT', 'NO_EXPIRY'],
    expect: 'sound',
    what: 'no conflicting orders, by the fence alone (clocks may be wrong)',
  },
  {
    file: 'lease.pml',
    defines: ['NO_EXPIRY'],
    expect: 'caught',
    what: 'order without expiry: sleep between check and send',
  },
  {
    file: 'lease.pml',
    defines: ['CHECK_CONFLICT', 'NO_EXPIRY', 'NO_FENCE'],
    expect: 'caught',
    what: 'fence off',
  },
  { file: 'lease.pml', defines: ['GUESS_SUCCESS'], expect: 'caught', what: 'lost answer taken as success' },
  {
    file: 'lease.pml',
    defines: ['VALID_FROM_ANSWER'],
    expect: 'caught',
    what: 'lease counted from the answer, not from the sending',
  },
  {
    file: 'lease.pml',
    defines: ['RELEASE_EARLY'],
    expect: 'caught',
    what: 'lease given back while an order is on its way',
  },
  {
    file: 'drain.pml',
    defines: [],
    expect: 'sound',
    what: 'a planned change cuts nothing; refusals are true',
  },
  { file: 'drain.pml', defines: ['SKIP_DRAIN'], expect: 'caught', what: 'drain skipped' },
  { file: 'drain.pml', defines: ['LATE_REFUSAL'], expect: 'caught', what: 'refusal after the work began' },
  { file: 'drain.pml', defines: ['NO_SEQUENCE'], expect: 'caught', what: 'sequence numbers not compared' },
  { file: 'configuration.pml', defines: [], expect: 'sound', what: 'never reverts, in force in time' },
  { file: 'configuration.pml', defines: ['NO_COMPARE'], expect: 'caught', what: 'revision compare off' },
  {
    file: 'configuration.pml',
    defines: ['AGE_FROM_ARRIVAL'],
    expect: 'caught',
    what: 'age counted from the arrival of a late answer',
  },
  {
    file: 'configuration.pml',
    defines: ['CONFIRM_AT_ANSWER'],
    expect: 'caught',
    what: 'table answer counted from its arrival',
  },
  {
    file: 'configuration.pml',
    defines: ['READY_AT_START'],
    expect: 'caught',
    what: 'admits after a restart before it has learnt',
  },
  { file: 'once.pml', defines: [], expect: 'sound', what: 'at most once' },
  {
    file: 'once.pml',
    defines: ['GUESS_SUCCESS'],
    expect: 'caught',
    what: 'lost answer of a claim taken as success',
  },
  {
    file: 'once.pml',
    defines: ['RESEND_BROKEN'],
    expect: 'caught',
    what: 'sent again after a broken connection',
  },
  {
    file: 'once.pml',
    defines: ['RELEASE_BROKEN'],
    expect: 'caught',
    what: 'claim given back after a broken connection',
  },
  { file: 'stage-order.pml', defines: [], expect: 'sound', what: 'orders on the platform' },
  {
    file: 'stage-order.pml',
    defines: ['NO_FENCE'],
    expect: 'sound',
    what: 'orders on the platform, by the count alone',
  },
  {
    file: 'stage-order.pml',
    defines: ['NO_COUNT'],
    expect: 'caught',
    what: 'late order undoes a newer one: count not compared',
  },
  {
    file: 'stage-order.pml',
    defines: ['NO_COUNT', 'NO_FENCE'],
    expect: 'caught',
    what: 'older holder after a newer one: neither fence nor count',
  },
  {
    file: 'stage-order.pml',
    defines: ['NO_INCARNATION'],
    expect: 'caught',
    what: 'order reaches the next incarnation',
  },
  { file: 'usage-report.pml', defines: [], expect: 'sound', what: 'reports of one window never differ' },
  {
    file: 'usage-report.pml',
    defines: ['NO_WRITE'],
    expect: 'caught',
    what: 'sent without being written first',
  },
  {
    file: 'usage-report.pml',
    defines: ['IGNORE_CONFLICT'],
    expect: 'caught',
    what: 'own counts sent though others stand in the store',
  },
  {
    file: 'usage-report.pml',
    defines: ['GUESS_SUCCESS'],
    expect: 'caught',
    what: 'lost answer taken as success',
  },
  {
    file: 'usage-report.pml',
    defines: ['KEEP_COUNTS'],
    expect: 'caught',
    what: 'later counts sent after an earlier write of its own',
  },
  { file: 'quota.pml', defines: [], expect: 'sound', what: 'no more than the limit, whoever grants' },
  {
    file: 'quota.pml',
    defines: ['FULL_START'],
    expect: 'caught',
    what: 'a new owner begins with a full bucket',
  },
  {
    file: 'quota.pml',
    defines: ['KEEP_HANDED'],
    expect: 'caught',
    what: 'bucket kept after it was handed over',
  },
  { file: 'quota.pml', defines: ['NO_CUT'], expect: 'caught', what: 'bucket not cut by a lower limit' },
  { file: 'quota.pml', defines: ['SPEND_LATE'], expect: 'caught', what: 'answer spent after its time-out' },
  {
    file: 'quota.pml',
    defines: ['CREDIT_TWICE'],
    expect: 'caught',
    what: 'tokens given back told again when no answer came',
  },
  { file: 'records.pml', defines: [], expect: 'sound', what: 'complete up to a revision, by word of a peer' },
  {
    file: 'records.pml',
    defines: ['NO_GAP_CHECK'],
    expect: 'caught',
    what: 'changes taken for whole though some before them are missing',
  },
  {
    file: 'records.pml',
    defines: ['NO_CHANGED_CHECK'],
    expect: 'caught',
    what: "a peer's word taken though a change that it knows is missing",
  },
  {
    file: 'records.pml',
    defines: ['OWN_NEWEST'],
    expect: 'caught',
    what: 'complete up to the newest change, though one before it is missing',
  },
  {
    file: 'records.pml',
    defines: ['REMOVALS'],
    expect: 'sound',
    what: 'the same with removals, which snapshots do not show',
  },
  {
    file: 'records.pml',
    defines: ['REMOVALS', 'NO_SINCE'],
    expect: 'caught',
    what: "a peer's word taken though its copy began later and may lack removals",
  },
];

const SPEC_FOLDER = join(process.cwd(), 'spec');
const MEMORY_MEGABYTES = 2048;
const MAXIMUM_DEPTH = 1_000_000;
const OUTPUT_BYTES = 64 * 1024 * 1024;
/** A check that takes this long is reported as a failure; the bounds of its specification are too wide. */
const CHECK_TIMEOUT_MS = 120_000;
/** Checks at once; each may take gigabytes. */
const PARALLEL_CHECKS = 4;

interface Outcome {
  readonly errors: number;
  readonly states: string;
  readonly complete: boolean;
}

const execute = promisify(execFile);

async function check(entry: Check): Promise<Outcome> {
  const folder = mkdtempSync(join(tmpdir(), 'pulleyledge-spec-'));
  const run = async (command: string, args: readonly string[]): Promise<string> => {
    const { stdout } = await execute(command, [...args], {
      cwd: folder,
      maxBuffer: OUTPUT_BYTES,
      timeout: CHECK_TIMEOUT_MS,
    });
    return stdout;
  };
  try {
    await run('spin', [...entry.defines.map((name) => `-D${name}`), '-a', join(SPEC_FOLDER, entry.file)]);
    await run('gcc', [
      '-O2',
      '-w',
      '-DSAFETY',
      '-DNOCLAIM',
      `-DMEMLIM=${MEMORY_MEGABYTES}`,
      '-DCOLLAPSE',
      '-o',
      'pan',
      'pan.c',
    ]);
    const output = await run(join(folder, 'pan'), [`-m${MAXIMUM_DEPTH}`, '-E']);
    return {
      errors: Number(/errors:\s*(\d+)/.exec(output)?.[1] ?? Number.NaN),
      states: /([\d.e+]+)\s+states, stored/.exec(output)?.[1] ?? '?',
      complete: !/max search depth too small|Search not completed|out of memory/.test(output),
    };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

function isExpected(entry: Check, outcome: Outcome): boolean {
  if (entry.expect === 'caught') return outcome.errors > 0;
  return outcome.errors === 0 && outcome.complete;
}

async function runAll(): Promise<(Outcome | Error)[]> {
  const outcomes: (Outcome | Error)[] = [];
  let next = 0;
  const worker = async (): Promise<void> => {
    while (next < CHECKS.length) {
      const index = next;
      next += 1;
      outcomes[index] = await check(CHECKS[index]).catch((error: unknown) => error as Error);
    }
  };
  await Promise.all(Array.from({ length: Math.min(PARALLEL_CHECKS, availableParallelism()) }, worker));
  return outcomes;
}

function describeOutcome(outcome: Outcome): string {
  if (outcome.errors > 0) return 'error found';
  return outcome.complete ? 'no error, exhaustive' : 'no error, NOT exhaustive';
}

async function main(): Promise<void> {
  const outcomes = await runAll();
  let failed = 0;
  const rows = CHECKS.map((entry, index) => {
    const outcome = outcomes[index];
    const ran = !(outcome instanceof Error);
    const passed = ran && isExpected(entry, outcome);
    if (!passed) failed += 1;
    const found = ran ? describeOutcome(outcome) : `did not run: ${outcome.message.split('\n')[0]}`;
    const defines = entry.defines.join(' ');
    return [
      entry.file,
      entry.what,
      defines,
      entry.expect,
      found,
      ran ? outcome.states : '?',
      passed ? 'ok' : 'FAILED',
    ];
  });
  process.stdout.write(
    `${formatTable(['specification', 'what', 'variant', 'expected', 'found', 'states', 'verdict'], rows)}\n`,
  );
  process.stdout.write(`model-check: ${CHECKS.length - failed} passed, ${failed} failed\n`);
  process.exitCode = failed === 0 ? 0 : 1;
}

await main();
