/**
 * `npm run latency`: what one daemon adds to a direct call of the same engine stand-in, and how many streamed
 * tokens a second one daemon passes on per core. Real processes on loopback, one run, calls in turn.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { LocalSite } from '../lab/launcher.js';
import { makePrompt } from '../lab/load-generator.js';
import { siteProfile } from '../lab/site-profiles.js';
import { formatTable } from '../src/shared/table.js';
import { progress } from './progress.js';

const CALLS = 1500;
const STREAMS = 60;
const STREAM_TOKENS = 2000;
const THROUGHPUT_ROUNDS = 3;
const MICROSECONDS = 1000;

const agent = new Agent({ connections: null });

/** Time to the first byte of the answer. Milliseconds. */
async function firstByte(url: string, body: unknown): Promise<number> {
  const startedAt = performance.now();
  const answer = await request(url, { method: 'POST', dispatcher: agent, body: JSON.stringify(body) });
  let firstAt: number | undefined;
  answer.body.once('data', () => (firstAt = performance.now()));
  await new Promise((resolve, reject) => answer.body.on('end', resolve).on('error', reject));
  return (firstAt ?? performance.now()) - startedAt;
}

function histogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

async function measureLatency(site: LocalSite): Promise<string> {
  const direct = histogram();
  const through = histogram();
  const [engine] = site.engines;
  const [caller] = site.callers();
  for (let call = 0; call < CALLS; call += 1) {
    const prompt = makePrompt('eligibility', 60, call);
    const work = {
      attemptId: `direct-${call}`,
      model: 'quoting',
      version: 1,
      adapter: '',
      prompt,
      maximumTokens: 1,
      priority: 5,
      offset: 0,
    };
    direct.recordValue(
      Math.round((await firstByte(`http://${engine.addresses.main}/v1/generate`, work)) * MICROSECONDS),
    );
    const body = { model: 'eligibility', prompt, max_tokens: 1, stream: true };
    through.recordValue(
      Math.round((await firstByte(`http://${caller}/v1/completions`, body)) * MICROSECONDS),
    );
  }
  const rows = [50, 95, 99].map((percentile) => {
    const one = direct.getValueAtPercentile(percentile) / MICROSECONDS;
    const two = through.getValueAtPercentile(percentile) / MICROSECONDS;
    return [`p${percentile}`, one.toFixed(2), two.toFixed(2), (two - one).toFixed(2), (two / one).toFixed(2)];
  });
  return formatTable(['first byte', 'direct ms', 'through a daemon ms', 'added ms', 'ratio'], rows);
}

async function processorSeconds(site: LocalSite): Promise<number> {
  const { body } = await request(`http://${site.daemons[0].addresses.operator}/metrics`);
  return Number(/process_cpu_seconds_total ([0-9.e+-]+)/.exec(await body.text())?.[1] ?? 0);
}

async function measureThroughput(site: LocalSite): Promise<string> {
  const [caller] = site.callers();
  const rows: (string | number)[][] = [];
  for (let round = 1; round <= THROUGHPUT_ROUNDS; round += 1) {
    const cpuBefore = await processorSeconds(site);
    const startedAt = performance.now();
    const streams = Array.from({ length: STREAMS }, (_, index) => {
      const body = {
        model: 'eligibility',
        prompt: makePrompt('eligibility', 60, index),
        max_tokens: STREAM_TOKENS,
        stream: true,
      };
      return firstByte(`http://${caller}/v1/completions`, body);
    });
    await Promise.all(streams);
    const seconds = (performance.now() - startedAt) / 1000;
    const cpu = (await processorSeconds(site)) - cpuBefore;
    const tokens = STREAMS * STREAM_TOKENS;
    rows.push([
      round,
      (tokens / seconds).toFixed(0),
      ((cpu / seconds) * 100).toFixed(0),
      (tokens / cpu).toFixed(0),
    ]);
  }
  return formatTable(['round', 'tokens/s through one daemon', '% of a core used', 'tokens/s per core'], rows);
}

async function main(): Promise<void> {
  const site = new LocalSite(siteProfile('trust-tt-north'), {
    daemons: 1,
    engines: 2,
    applications: 1,
    fastEngines: true,
  });
  try {
    await site.start();
    progress('latency: calls in turn, direct and through the daemon');
    process.stdout.write(`${await measureLatency(site)}\n\n`);
    progress('throughput: parallel streams');
    process.stdout.write(`${await measureThroughput(site)}\n`);
  } finally {
    await site.stop();
    await agent.close();
  }
}

await main();
