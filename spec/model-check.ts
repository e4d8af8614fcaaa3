/**
 * Model checking of the core protocol: runs spin exhaustively on each specification in this folder, in the correct
 * variant and in broken ones. Fails if a correct variant has an error or a broken one has none. Needs spin and gcc.
 */
import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { availableParallelism, tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { formatTable } from '../src/shared/table.js';

/** A specification and the macros that select one of its variants. */
interface Check {
  readonly file: string;
  readonly defines: readonly string[];
  readonly expect: 'no error' | 'error';
  /** The property that holds, or the fault of the broken variant. */
  readonly what: string;
}

const CHECKS: readonly Check[] = [
  { file: 'lease.pml', defines: [], expect: 'no error', what: 'orders only with authority' },
  {
    file: 'lease.pml',
    defines: ['CHECK_CONFLICT', 'NO_EXPIRY'],
    expect: 'no error',
    what: 'no conflicting orders, by the fence alone (with wrong clocks)',
  },
  {
    file: 'lease.pml',
    defines: ['NO_EXPIRY'],
    expect: 'error',
    what: 'order without expiry: process pause between check and send',
  },
  {
    file: 'lease.pml',
    defines: ['CHECK_CONFLICT', 'NO_EXPIRY', 'NO_FENCE'],
    expect: 'error',
    what: 'no fence',
  },
  { file: 'lease.pml', defines: ['GUESS_SUCCESS'], expect: 'error', what: 'lost answer taken as success' },
  {
    file: 'lease.pml',
    defines: ['VALID_FROM_ANSWER'],
    expect: 'error',
    what: 'lease duration counted from the answer, not from the request',
  },
  {
    file: 'lease.pml',
    defines: ['RELEASE_EARLY'],
    expect: 'error',
    what: 'lease released while an order is in flight',
  },
  {
    file: 'drain.pml',
    defines: [],
    expect: 'no error',
    what: 'a planned change breaks no stream; rejected requests were not executed',
  },
  { file: 'drain.pml', defines: ['SKIP_DRAIN'], expect: 'error', what: 'drain skipped' },
  {
    file: 'drain.pml',
    defines: ['LATE_REFUSAL'],
    expect: 'error',
    what: 'rejection after the request was started',
  },
  { file: 'drain.pml', defines: ['NO_SEQUENCE'], expect: 'error', what: 'sequence numbers not compared' },
  {
    file: 'configuration.pml',
    defines: [],
    expect: 'no error',
    what: 'never reverts, in force within its time limit',
  },
  { file: 'configuration.pml', defines: ['NO_COMPARE'], expect: 'error', what: 'revisions not compared' },
  {
    file: 'configuration.pml',
    defines: ['AGE_FROM_ARRIVAL'],
    expect: 'error',
    what: 'age of a late answer counted from its arrival',
  },
  {
    file: 'configuration.pml',
    defines: ['CONFIRM_AT_ANSWER'],
    expect: 'error',
    what: 'table answer taken as current at its arrival',
  },
  {
    file: 'configuration.pml',
    defines: ['READY_AT_START'],
    expect: 'error',
    what: 'admits requests after a restart before it has a configuration',
  },
  { file: 'once.pml', defines: [], expect: 'no error', what: 'at most once' },
  {
    file: 'once.pml',
    defines: ['GUESS_SUCCESS'],
    expect: 'error',
    what: 'lost answer of a claim taken as success',
  },
  {
    file: 'once.pml',
    defines: ['RESEND_BROKEN'],
    expect: 'error',
    what: 'request sent again after a broken connection',
  },
  {
    file: 'once.pml',
    defines: ['RELEASE_BROKEN'],
    expect: 'error',
    what: 'claim released after a broken connection',
  },
  {
    file: 'stage-order.pml',
    defines: [],
    expect: 'no error',
    what: 'stage orders to engines of the platform',
  },
  {
    file: 'stage-order.pml',
    defines: ['NO_FENCE'],
    expect: 'no error',
    what: 'stage orders to engines of the platform, by the order count alone',
  },
  {
    file: 'stage-order.pml',
    defines: ['NO_COUNT'],
    expect: 'error',
    what: 'delayed order undoes a newer one: order count not compared',
  },
  {
    file: 'stage-order.pml',
    defines: ['NO_COUNT', 'NO_FENCE'],
    expect: 'error',
    what: 'order of an older lease holder after a newer one: neither fence nor count',
  },
  {
    file: 'stage-order.pml',
    defines: ['NO_INCARNATION'],
    expect: 'error',
    what: 'order executed by the next incarnation',
  },
  {
    file: 'usage-report.pml',
    defines: [],
    expect: 'no error',
    what: 'all reports of one window are the same',
  },
  {
    file: 'usage-report.pml',
    defines: ['NO_WRITE'],
    expect: 'error',
    what: 'report sent without being written to the store first',
  },
  {
    file: 'usage-report.pml',
    defines: ['IGNORE_CONFLICT'],
    expect: 'error',
    what: 'local counts sent although the store has others',
  },
  {
    file: 'usage-report.pml',
    defines: ['GUESS_SUCCESS'],
    expect: 'error',
    what: 'lost answer taken as success',
  },
  {
    file: 'usage-report.pml',
    defines: ['KEEP_COUNTS'],
    expect: 'error',
    what: 'newer counts sent after a conflict with its own earlier write',
  },
  {
    file: 'quota.pml',
    defines: [],
    expect: 'no error',
    what: 'no more than the limit, with any number of owners',
  },
  {
    file: 'quota.pml',
    defines: ['FULL_START'],
    expect: 'error',
    what: 'new owner starts with a full bucket',
  },
  {
    file: 'quota.pml',
    defines: ['KEEP_HANDED'],
    expect: 'error',
    what: 'bucket kept after its handover',
  },
  { file: 'quota.pml', defines: ['NO_CUT'], expect: 'error', what: 'bucket not reduced to a lower limit' },
  {
    file: 'quota.pml',
    defines: ['SPEND_LATE'],
    expect: 'error',
    what: 'tokens of an answer spent after its time-out',
  },
  {
    file: 'quota.pml',
    defines: ['CREDIT_TWICE'],
    expect: 'error',
    what: 'returned tokens reported again when no answer came',
  },
  {
    file: 'records.pml',
    defines: [],
    expect: 'no error',
    what: 'complete up to a revision, by the digest of a peer',
  },
  {
    file: 'records.pml',
    defines: ['NO_GAP_CHECK'],
    expect: 'error',
    what: 'changes taken as complete although earlier ones are missing',
  },
  {
    file: 'records.pml',
    defines: ['NO_CHANGED_CHECK'],
    expect: 'error',
    what: "a peer's digest accepted although a change that the peer has is missing",
  },
  {
    file: 'records.pml',
    defines: ['OWN_NEWEST'],
    expect: 'error',
    what: 'complete up to the newest change, although an earlier one is missing',
  },
  {
    file: 'records.pml',
    defines: ['REMOVALS'],
    expect: 'no error',
    what: 'the same with removals, which snapshots do not contain',
  },
  {
    file: 'records.pml',
    defines: ['REMOVALS', 'NO_SINCE'],
    expect: 'error',
    what: "a peer's digest accepted although its copy starts later and may lack removals",
  },
];

const SPEC_FOLDER = join(process.cwd(), 'spec');
const MEMORY_MEGABYTES = 2048;
const MAXIMUM_DEPTH = 1_000_000;
const OUTPUT_BYTES = 64 * 1024 * 1024;
/** A check that takes longer fails: the bounds of its specification are too wide. Milliseconds. */
const CHECK_TIMEOUT_MS = 120_000;
/** Maximum number of concurrent checks; each may need gigabytes of memory. */
const PARALLEL_CHECKS = 4;

/** The result of one run of spin. */
interface Outcome {
  readonly errors: number;
  /** Number of states stored, as spin prints it. */
  readonly states: string;
  /** The search was exhaustive. */
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
  if (entry.expect === 'error') return outcome.errors > 0;
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
