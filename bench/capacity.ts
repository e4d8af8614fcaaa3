/**
 * `npm run capacity`: measures control traffic, work, memory and recovery at several sizes, fits lines, and
 * rewrites the tables of docs/CAPACITY.md. Hollow daemons share this process; a few dozen real ones give
 * memory and processor time.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import meow from 'meow';
import { measureFleet, type FleetFigures } from './fleet-measurements.js';
import { fitLine, formatFit } from './linear-fit.js';
import { measureProcesses, type ProcessFigures } from './process-measurements.js';
import { progress } from './progress.js';

const PAGE = 'docs/CAPACITY.md';
const BUDGET = { bytesPerSecond: 10_000, cpuPercent: 2.4, memoryMegabytes: 128 } as const;
const TARGET_DAEMONS = 380;

const cli = meow(
  'Usage: npm run capacity -- [--sizes 24,48,95,190,380] [--processes 2,4,8,16,24] [--seed 1]',
  {
    importMeta: import.meta,
    flags: {
      sizes: { type: 'string', default: '24,48,95,190,380' },
      processes: { type: 'string', default: '2,4,8,16,24' },
      seed: { type: 'number', default: 1 },
    },
  },
);

function numbers(list: string): number[] {
  return list
    .split(',')
    .filter((text) => text !== '')
    .map(Number);
}

function table(header: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`;
  return [line(header), line(header.map(() => '---')), ...rows.map(line)].join('\n');
}

const seconds = (milliseconds: number | undefined): string =>
  milliseconds === undefined ? 'not within 120 s' : (milliseconds / 1000).toFixed(1);
const kilobytes = (bytes: number): string => (bytes / 1000).toFixed(2);

function fleetTable(fleets: readonly FleetFigures[]): string {
  const rows = fleets.map((fleet) => [
    fleet.daemons,
    fleet.servers,
    fleet.tenants,
    `${kilobytes(fleet.idleBytesMean)} / ${kilobytes(fleet.idleBytesWorst)}`,
    `${kilobytes(fleet.loadedBytesMean)} / ${kilobytes(fleet.loadedBytesWorst)}`,
    (fleet.cpuMsPerSecond / 10).toFixed(3),
    fleet.heapKilobytes.toFixed(0),
    fleet.tablePerSecond.toFixed(1),
    seconds(fleet.convergenceMs),
    seconds(fleet.editInForceMs),
  ]);
  const header = [
    'daemons',
    'servers',
    'tenants',
    'KB/s without requests, mean / worst',
    'KB/s with requests, mean / worst',
    '% of a core, hollow',
    'heap KB a daemon, with engines',
    'table requests a second',
    's until all know all, cold start',
    's until an edit is in force everywhere',
  ];
  return table(header, rows);
}

function kindTable(fleets: readonly FleetFigures[]): string {
  const kinds = [...new Set(fleets.flatMap((fleet) => Object.keys(fleet.byKind)))].sort();
  const rows = kinds.map((kind) => [kind, ...fleets.map((fleet) => (fleet.byKind[kind] ?? 0).toFixed(0))]);
  return table(
    ['message, bytes sent a second and daemon', ...fleets.map((fleet) => `${fleet.daemons} daemons`)],
    rows,
  );
}

function recoveryTable(fleets: readonly FleetFigures[]): string {
  const rows = fleets.flatMap((fleet) =>
    fleet.recoveries.map((recovery) => [
      fleet.daemons,
      recovery.failure,
      seconds(recovery.membersRightMs),
      seconds(recovery.leasesHeldMs),
      `${kilobytes(recovery.bytesMean)} / ${kilobytes(recovery.bytesWorst)}`,
    ]),
  );
  return table(
    [
      'daemons',
      'failure',
      's until members right',
      's until every cell has a holder',
      'KB/s meanwhile, mean / worst',
    ],
    rows,
  );
}

function processTable(figures: readonly ProcessFigures[]): string {
  const rows = figures.map((figure) => [
    figure.daemons,
    `${figure.memoryMean.toFixed(0)} / ${figure.memoryWorst.toFixed(0)}`,
    figure.cpuPercent.toFixed(2),
    figure.transitionPercent.toFixed(3),
  ]);
  return table(
    ['real daemons', 'MB resident, mean / worst', '% of a core, process', '% of a core, state machine'],
    rows,
  );
}

function fitTable(fleets: readonly FleetFigures[], processes: readonly ProcessFigures[]): string {
  const fleet = (pick: (figures: FleetFigures) => number) =>
    fitLine(fleets.map((figures) => [figures.daemons, pick(figures)]));
  const real = (pick: (figures: ProcessFigures) => number) =>
    fitLine(processes.map((figures) => [figures.daemons, pick(figures)]));
  const last = fleets[fleets.length - 1];
  const memory = real((figures) => figures.memoryMean);
  const cpu = real((figures) => figures.cpuPercent);
  const hollowCpu = fleet((figures) => figures.cpuMsPerSecond / 10);
  const lastReal = processes[processes.length - 1];
  const memoryAtTarget = memory.intercept + memory.slope * TARGET_DAEMONS;
  const loaded = fleet((figures) => figures.loadedBytesMean / 1000);
  const rows = [
    budgetRow(
      'bytes, mean with requests',
      formatFit(loaded, 'KB/s', 'daemons'),
      last.loadedBytesMean / 1000,
      BUDGET.bytesPerSecond / 1000,
      'KB/s',
    ),
    budgetRow(
      'bytes, worst daemon with requests',
      `measured at ${last.daemons}`,
      last.loadedBytesWorst / 1000,
      BUDGET.bytesPerSecond / 1000,
      'KB/s',
    ),
    budgetRow(
      'processor, hollow, with simulator and engines',
      formatFit(hollowCpu, '%', 'daemons'),
      last.cpuMsPerSecond / 10,
      BUDGET.cpuPercent,
      '%',
    ),
    budgetRow(
      `processor, process, measured at ${lastReal.daemons} daemons`,
      formatFit(cpu, '%', 'daemons'),
      lastReal.cpuPercent,
      BUDGET.cpuPercent,
      '%',
    ),
    budgetRow(
      `memory, process, measured at ${lastReal.daemons} daemons`,
      formatFit(memory, 'MB', 'daemons'),
      lastReal.memoryMean,
      BUDGET.memoryMegabytes,
      'MB',
    ),
    budgetRow(
      'memory, process, the line extrapolated',
      formatFit(memory, 'MB', 'daemons'),
      memoryAtTarget,
      BUDGET.memoryMegabytes,
      'MB',
    ),
    budgetRow(
      'edit in force everywhere',
      `measured at ${last.daemons}`,
      (last.editInForceMs ?? Infinity) / 1000,
      10,
      's',
    ),
  ];
  return table(
    ['budget of a daemon', 'fit', `at ${TARGET_DAEMONS} daemons, or as named`, 'allowed', 'verdict'],
    rows,
  );
}

function budgetRow(what: string, fit: string, value: number, allowed: number, unit: string): string[] {
  const factor = value / allowed;
  const verdict =
    factor <= 1
      ? `met, ${(1 / factor).toFixed(1)} times over`
      : `NOT met, by a factor of ${factor.toFixed(2)}`;
  return [what, fit, `${value.toFixed(2)} ${unit}`, `${allowed} ${unit}`, verdict];
}

function replaceSection(page: string, name: string, text: string): string {
  const start = `<!-- measured:${name} -->`;
  const end = `<!-- /measured:${name} -->`;
  const from = page.indexOf(start);
  const to = page.indexOf(end);
  if (from < 0 || to < 0) throw new RangeError(`${PAGE} has no section ${name}`);
  return `${page.slice(0, from + start.length)}\n\n${text}\n\n${page.slice(to)}`;
}

async function main(): Promise<void> {
  setFlagsFromString('--expose-gc');
  (globalThis as { gc?: () => void }).gc = runInNewContext('gc') as () => void;
  const fleets: FleetFigures[] = [];
  for (const size of numbers(cli.flags.sizes)) {
    progress(`hollow fleet of ${size} daemons`);
    fleets.push(measureFleet(size, cli.flags.seed));
  }
  const processes: ProcessFigures[] = [];
  for (const count of numbers(cli.flags.processes)) {
    progress(`${count} real daemons`);
    processes.push(await measureProcesses(count));
  }
  const sections: Record<string, string> = {
    budgets: fitTable(fleets, processes),
    fleets: fleetTable(fleets),
    kinds: kindTable(fleets),
    recoveries: recoveryTable(fleets),
    processes: processTable(processes),
  };
  let page = readFileSync(PAGE, 'utf8');
  for (const [name, text] of Object.entries(sections)) {
    page = replaceSection(page, name, text);
    process.stdout.write(`\n${text}\n`);
  }
  writeFileSync(PAGE, page);
}

await main();
