/**
 * `npm run bench`: goodput and role changes of the policies side by side, on the same arrivals.
 * Prints a table, writes JSON with the settings and the commit, and an SVG time line.
 */
import { execFileSync } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import meow from 'meow';
import { formatTable } from '../src/shared/table.js';
import { siteProfile } from '../lab/site-profiles.js';
import type { GoodputResult, GoodputRun, PolicyName } from './goodput-run.js';
import { writeTimeline } from './plot.js';
import { progress } from './progress.js';
import { SCENARIO_NAMES } from './scenarios.js';
import { runAll } from './worker-pool.js';

const cli = meow(
  `Usage: npm run bench -- [--site trust-tt-north] [--scenario files-then-burst,...|all] [--seeds 10] [--cost SECONDS] [--out FOLDER]`,
  {
    importMeta: import.meta,
    flags: {
      site: { type: 'string', default: 'trust-tt-north' },
      scenario: { type: 'string', default: 'files-then-burst' },
      seeds: { type: 'number', default: 10 },
      cost: { type: 'number' },
      out: { type: 'string', default: 'bench-results' },
    },
  },
);

/** Shares of prefill engines among which the best fixed split is sought in hindsight. */
const FIXED_SHARES = [0.15, 0.3, 0.45, 0.6, 0.75];

function policiesFor(engines: number): PolicyName[] {
  const fixed = [
    ...new Set(FIXED_SHARES.map((share) => Math.min(engines - 1, Math.max(1, Math.round(share * engines))))),
  ];
  return [
    'adaptive',
    'adaptive-from-split',
    'threshold',
    'all-mixed',
    'oracle',
    ...fixed.map((count) => `fixed-${count}` as const),
  ];
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
}

interface Summary {
  readonly policy: PolicyName;
  readonly goodput: number;
  readonly lowest: number;
  readonly highest: number;
  readonly changes: number;
  readonly changeSeconds: number;
  readonly share: number;
  readonly violations: number;
}

function summarise(policy: PolicyName, results: readonly GoodputResult[]): Summary {
  const own = results.filter((result) => result.policy === policy);
  const goodputs = own.map((result) => result.goodput);
  return {
    policy,
    goodput: median(goodputs),
    lowest: Math.min(...goodputs),
    highest: Math.max(...goodputs),
    changes: median(own.map((result) => result.roleChanges)),
    changeSeconds: median(own.map((result) => result.changeSeconds)),
    share: median(own.map((result) => result.withinTargets / result.sent)),
    violations: own.reduce((sum, result) => sum + result.violations, 0),
  };
}

function report(site: string, scenarioName: string, summaries: readonly Summary[]): string {
  const adaptive = summaries.find((summary) => summary.policy === 'adaptive') as Summary;
  const fixed = summaries.filter((summary) => summary.policy.startsWith('fixed-'));
  const bestFixed = fixed.reduce((best, summary) => (summary.goodput > best.goodput ? summary : best));
  const shown = summaries.filter((summary) => !summary.policy.startsWith('fixed-') || summary === bestFixed);
  const rows = shown.map((summary) => [
    summary === bestFixed ? `${summary.policy} (best fixed)` : summary.policy,
    `${summary.goodput.toFixed(2)} (${summary.lowest.toFixed(2)} to ${summary.highest.toFixed(2)})`,
    `${(summary.share * 100).toFixed(1)}%`,
    summary.changes,
    summary.changeSeconds.toFixed(0),
    (adaptive.goodput / summary.goodput).toFixed(2),
    summary.violations,
  ]);
  const header = [
    'policy',
    'goodput/s, median (range)',
    'of offered',
    'role changes',
    'engine s',
    'adaptive is × this',
    'promises broken',
  ];
  return `${site}, ${scenarioName}\n${formatTable(header, rows)}`;
}

async function runScenario(site: string, scenarioName: string): Promise<void> {
  const policies = policiesFor(siteProfile(site).engines);
  const runs: GoodputRun[] = [];
  for (const policy of policies) {
    for (let seed = 1; seed <= cli.flags.seeds; seed += 1) {
      runs.push({ site, scenario: scenarioName, policy, seed, roleChangeCostSeconds: cli.flags.cost });
    }
  }
  const results = await runAll(runs, (done) => {
    if (done % 10 === 0) progress(`${site} ${scenarioName}: ${done} of ${runs.length} runs`);
  });
  const summaries = policies.map((policy) => summarise(policy, results));
  process.stdout.write(`\n${report(site, scenarioName, summaries)}\n`);
  mkdirSync(cli.flags.out, { recursive: true });
  const commit = execFileSync('git', ['rev-parse', 'HEAD'], { encoding: 'utf8' }).trim();
  const base = `${cli.flags.out}/${site}-${scenarioName}`;
  writeFileSync(`${base}.json`, JSON.stringify({ commit, settings: cli.flags, summaries, results }, null, 1));
  for (const policy of ['adaptive', 'threshold'] as const) {
    const first = results.find((result) => result.policy === policy);
    if (first) await writeTimeline(first, `${base}-${policy}.svg`);
  }
}

const sites = cli.flags.site === 'all' ? ['cundinamarca', 'trust-tt-north'] : [cli.flags.site];
const scenarios = cli.flags.scenario === 'all' ? SCENARIO_NAMES : cli.flags.scenario.split(',');
for (const site of sites) for (const name of scenarios) await runScenario(site, name);
