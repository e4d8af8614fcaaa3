/**
 * Guards against a daemon that is terminated by SIGHUP, the signal for a changed settings file. A completion
 * daemon had no handler for it, so the signal's default action terminated the process with all its open requests.
 * Seen with a ready daemon: one SIGHUP terminated it at once, without a log line.
 */
import { expect } from 'chai';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { LocalSite } from '../lab/launcher.js';
import { LoadGenerator } from '../lab/load-generator.js';
import { getSiteProfile } from '../lab/site-profiles.js';
import { delay } from '../src/shared/delay.js';
import { SeededRandom } from '../src/shared/random.js';

const MAIN_MODULE = fileURLToPath(new URL('../src/cli/main.js', import.meta.url));
const SIGNALS = 8;
const POLL_MS = 20;
/** Longer than the signals take: each is logged within half a second. Seconds. */
const LOAD_SECONDS = 6;
/** A module loader that reports when the commands start to load, and delays them to simulate a slow start. */
const SLOW_LOADER = `export async function load(url, context, next) {
  if (url.endsWith('/commands.js')) {
    process._rawDebug('loading');
    await new Promise((resolve) => setTimeout(resolve, 500));
  }
  return next(url, context);
}`;

function toDataUrl(source: string): string {
  return `data:text/javascript,${encodeURIComponent(source)}`;
}

function readReloads(site: LocalSite): Record<string, unknown>[] {
  return site.readLog(0).filter(({ event }) => event === 'process.reloaded');
}

describe('a daemon whose settings change', function () {
  this.timeout(60_000);

  let site: LocalSite | undefined;

  afterEach(() => site?.stop());

  it('keeps serving through a series of SIGHUP, with valid and with invalid settings', async () => {
    site = new LocalSite(getSiteProfile('trust-tt-north'), { engines: 2, daemons: 1, applications: 1 });
    await site.start();
    const targets = { firstTokenTargetMs: 30_000, betweenTokensTargetMs: 1000 };
    const reviews = {
      service: 'policy-review',
      perSecond: 10,
      promptTokens: 400,
      outputTokens: 40,
      ...targets,
    };
    const load = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(52));
    const running = load.run([{ seconds: LOAD_SECONDS, classes: [reviews], calls: [] }]);
    const { child } = site.daemons[0];
    const hasExited = (): boolean => child.exitCode !== null || child.signalCode !== null;
    for (let signal = 0; signal < SIGNALS; signal += 1) {
      if (signal === SIGNALS / 2) site.writeInvalidSettings(0);
      child.kill('SIGHUP');
      // A pending signal would be merged with the next one, and read settings that are changed after it.
      while (!hasExited() && readReloads(site).length <= signal) await delay(POLL_MS);
    }
    await running;
    expect({ code: child.exitCode, signal: child.signalCode }).to.deep.equal({ code: null, signal: null });
    const { sent, complete } = load.getResult('policy-review');
    expect(complete).to.equal(sent);
    expect(readReloads(site).map(({ valid }) => valid)).to.deep.equal([
      true,
      true,
      true,
      true,
      false,
      false,
      false,
      false,
    ]);
  });

  for (const [title, words] of [
    ['is not terminated by SIGHUP while it is loading', ['serve', '--settings', 'no-such-file']],
    [
      'is not terminated by SIGHUP while it is loading, with options before the command',
      ['--settings', 'no-such-file', 'serve'],
    ],
  ] as const)
    it(title, async () => {
      const register = `import { register } from 'node:module'; register(${JSON.stringify(toDataUrl(SLOW_LOADER))});`;
      const flags = ['--import', toDataUrl(register), MAIN_MODULE, ...words];
      const child = spawn(process.execPath, flags, { stdio: ['ignore', 'ignore', 'pipe'] });
      child.stderr.once('data', () => child.kill('SIGHUP'));
      const [code, signal] = (await once(child, 'exit')) as [number | null, string | null];
      expect({ code, signal }).to.deep.equal({ code: 1, signal: null });
    });
});
