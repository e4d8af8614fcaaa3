/**
 * Where a daemon's processor time goes, by function: the deployed program before stand-ins, without faults, under the runtime's own profiler.
 *
 *     npm run profile -- --daemons 5 --rate 300 --seconds 20
 */
import { mkdirSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import meow from 'meow';
import * as z from 'zod';
import { SeededRandom } from '../src/shared/random.js';
import { CallerLoad } from './soak/caller-load.js';
import { buildProgram } from './soak/soak.js';
import { SOAK_BOUNDS, SoakRecord } from './soak/soak-record.js';
import { SOAK_ROUTES } from './soak/soak-routes.js';
import { SoakSite } from './soak/soak-site.js';

const SEED = 1;
const START_MS = 3000;
const ROWS = 40;
const MICROSECONDS_PER_MS = 1000;
/** Samples of these are no processor time of the process. */
const NOT_WORK: ReadonlySet<string> = new Set(['(idle)', '(root)']);

const profileSchema = z.object({
  nodes: z.array(
    z.object({
      id: z.number(),
      callFrame: z.object({ functionName: z.string(), url: z.string(), lineNumber: z.number() }),
    }),
  ),
  samples: z.array(z.number()),
  timeDeltas: z.array(z.number()),
});

/** Processor time by function, of all profiles in a folder. Milliseconds. */
export function sumProfiles(folder: string): Map<string, number> {
  const sums = new Map<string, number>();
  for (const name of readdirSync(folder).filter((file) => file.endsWith('.cpuprofile'))) {
    const profile = profileSchema.parse(JSON.parse(readFileSync(join(folder, name), 'utf8')));
    const names = new Map(profile.nodes.map(({ id, callFrame }) => [id, formatFrame(callFrame)]));
    profile.samples.forEach((id, index) => {
      const frame = names.get(id) ?? '(unknown)';
      if (NOT_WORK.has(frame)) return;
      sums.set(frame, (sums.get(frame) ?? 0) + profile.timeDeltas[index] / MICROSECONDS_PER_MS);
    });
  }
  return sums;
}

/** The function, and for those outside the bundle the module that it is in. */
function formatFrame({ functionName, url }: { functionName: string; url: string }): string {
  const name = functionName === '' ? '(anonymous)' : functionName;
  return url.startsWith('node:') ? `${name} ${url}` : name;
}

async function main(): Promise<void> {
  const cli = meow('Usage: npm run profile -- [--daemons N] [--rate N] [--seconds S]', {
    importMeta: import.meta,
    flags: {
      daemons: { type: 'number', default: 5 },
      rate: { type: 'number', default: 300 },
      seconds: { type: 'number', default: 20 },
    },
  });
  const { daemons, rate, seconds } = cli.flags;
  const folder = join(process.cwd(), 'bench-results', 'profile');
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const program = buildProgram(join(process.cwd(), 'bench-results', 'program'));
  const generator = new SeededRandom(SEED);
  const random = (): number => generator.next();
  const record = new SoakRecord(SOAK_BOUNDS);
  const flags = ['--cpu-prof', `--cpu-prof-dir=${folder}`];
  const site = new SoakSite(record, SOAK_BOUNDS, folder, program, random, flags);
  await site.start(daemons);
  await wait(START_MS);
  const load = new CallerLoad(record, site.targets, SOAK_ROUTES, random);
  const loading = load.run(rate);
  await wait(seconds * 1000);
  load.stop();
  await loading;
  // A process writes its profile when it ends by itself.
  await Promise.all(site.daemons.map((daemon) => daemon.stop()));
  await site.close();
  printTable(sumProfiles(folder), record.requests.size);
}

function printTable(sums: ReadonlyMap<string, number>, requests: number): void {
  const total = [...sums.values()].reduce((sum, ms) => sum + ms, 0);
  const rows = [...sums].sort(([, left], [, right]) => right - left).slice(0, ROWS);
  const lines = rows.map(
    ([name, ms]) => `| ${name} | ${((100 * ms) / total).toFixed(1)}% | ${(ms / requests).toFixed(3)} |`,
  );
  const head = ['| function | share | ms a request |', '| --- | --- | --- |'];
  process.stdout.write(`${[...head, ...lines].join('\n')}\n`);
  process.stdout.write(`${requests} requests, ${(total / requests).toFixed(2)} ms each, starts included\n`);
}

if (process.argv[1]?.endsWith('lab/profile.js')) await main();
