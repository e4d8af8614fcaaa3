/** Memory and processor time of real daemon processes without requests, by their number. */
import { request } from 'undici';
import { LocalSite } from '../lab/launcher.js';
import { siteProfile } from '../lab/site-profiles.js';

/** Figures of one size. */
export interface ProcessFigures {
  readonly daemons: number;
  /** Resident memory, mean and worst. Megabytes. */
  readonly memoryMean: number;
  readonly memoryWorst: number;
  /** Share of a core, mean. Percent. */
  readonly cpuPercent: number;
  /** Share of a core that the state machine's transitions take, mean. Percent. */
  readonly transitionPercent: number;
}

const SETTLE_MS = 8000;
const MEASURE_MS = 10_000;
const ENGINES = 4;

async function metricSums(address: string): Promise<Map<string, number>> {
  const { body } = await request(`http://${address}/metrics`);
  const sums = new Map<string, number>();
  for (const line of (await body.text()).split('\n')) {
    const match = /^([a-z_]+)(?:\{[^}]*\})? ([0-9.e+-]+)$/.exec(line);
    if (match) sums.set(match[1], (sums.get(match[1]) ?? 0) + Number(match[2]));
  }
  return sums;
}

const pause = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Starts this many daemons, lets them settle, and measures. */
export async function measureProcesses(daemons: number): Promise<ProcessFigures> {
  const site = new LocalSite(siteProfile('trust-tt-north'), { daemons, engines: ENGINES, applications: 1 });
  try {
    await site.start();
    await pause(SETTLE_MS);
    const addresses = site.daemons.map((daemon) => daemon.addresses.operator);
    const before = await Promise.all(addresses.map(metricSums));
    await pause(MEASURE_MS);
    const after = await Promise.all(addresses.map(metricSums));
    const seconds = MEASURE_MS / 1000;
    const memory = after.map((sums) => (sums.get('process_resident_memory_bytes') ?? 0) / 1e6);
    const rate = (name: string): number => {
      const total = after.reduce(
        (sum, sums, index) => sum + (sums.get(name) ?? 0) - (before[index].get(name) ?? 0),
        0,
      );
      return (total / daemons / seconds) * 100;
    };
    return {
      daemons,
      memoryMean: memory.reduce((sum, value) => sum + value, 0) / daemons,
      memoryWorst: Math.max(...memory),
      cpuPercent: rate('process_cpu_seconds_total'),
      transitionPercent: rate('pulleyledge_transition_seconds_total'),
    };
  } finally {
    await site.stop();
  }
}
