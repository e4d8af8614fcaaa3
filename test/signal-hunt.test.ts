/**
 * Sends random signals from a seed, sequential and overlapping, to the daemons of the completions interface while
 * callers keep using their persistent connections: planned stops, reloads of the settings, and process pauses. Every
 * request must get an answer, and no answer may be cut off. `SIGNAL_HUNT_SEEDS=50 npm run unit -- --grep "drawn
 * signals"` runs more seeds, and `SIGNAL_HUNT_FROM` sets the first one.
 */
import { expect } from 'chai';
import { once } from 'node:events';
import { LocalSite } from '../lab/launcher.js';
import { LoadGenerator, type LoadPhase } from '../lab/load-generator.js';
import { getSiteProfile } from '../lab/site-profiles.js';
import { delay } from '../src/shared/delay.js';
import { exponential, SeededRandom } from '../src/shared/random.js';

const FIRST_SEED = Number(process.env.SIGNAL_HUNT_FROM ?? 5200);
const SEEDS = Number(process.env.SIGNAL_HUNT_SEEDS ?? 1);
const DAEMONS = 4;
/** Minimum number of daemons in service at any time; callers skip one that refuses connections. */
const MINIMUM_SERVING = 2;
const SECONDS = 22;
/** Mean interval between signals to one daemon. Milliseconds. */
const SIGNAL_INTERVAL_MS = 900;
/** Maximum process pause, shorter than the time after which peers declare a daemon lost. Milliseconds. */
const MAXIMUM_PAUSE_MS = 900;

/** Short and long answers in bursts, so that connections are idle in between, up to their maximum idle time. */
function makePhases(random: SeededRandom): LoadPhase[] {
  const targets = { firstTokenTargetMs: 30_000, betweenTokensTargetMs: 1000 };
  const eligibility = { service: 'eligibility', promptTokens: 100, ...targets };
  const review = { service: 'policy-review', promptTokens: 600, outputTokens: 220, ...targets };
  return Array.from({ length: SECONDS / 2 }, () => ({
    seconds: 2,
    classes: [
      { ...eligibility, outputTokens: 10, perSecond: 1 + random.below(20) },
      { ...review, perSecond: 1 + random.below(3) },
    ],
    calls: [{ service: 'confirmation', perSecond: 3 }],
  }));
}

/** A site whose daemons receive random signals. */
class SignalledSite {
  readonly site = new LocalSite(getSiteProfile('trust-tt-north'), {
    engines: 4,
    daemons: DAEMONS,
    applications: 2,
  });
  /** Exit codes or signals of stopped daemons. */
  readonly exits: (number | string | null)[] = [];
  private stoppingCount = 0;
  private finished = false;

  constructor(private readonly random: SeededRandom) {}

  /** Sends signals to one daemon until `finish`. */
  async sendSignals(index: number): Promise<void> {
    for (;;) {
      await delay(exponential(this.random, SIGNAL_INTERVAL_MS));
      if (this.finished) return;
      const kind = this.random.below(4);
      if (kind === 0) this.site.daemons[index].child.kill('SIGHUP');
      else if (kind === 1) await this.pause(index);
      else if (kind === 2 && this.stoppingCount < DAEMONS - MINIMUM_SERVING) await this.restart(index);
    }
  }

  finish(): void {
    this.finished = true;
  }

  private async pause(index: number): Promise<void> {
    const { child } = this.site.daemons[index];
    child.kill('SIGSTOP');
    await delay(this.random.below(MAXIMUM_PAUSE_MS));
    child.kill('SIGCONT');
  }

  /** A planned stop, interrupted by further signals, and a restart. */
  private async restart(index: number): Promise<void> {
    this.stoppingCount += 1;
    const { child } = this.site.daemons[index];
    const exited = once(child, 'exit') as Promise<[number | null, string | null]>;
    child.kill('SIGTERM');
    await delay(this.random.below(2500));
    if (this.random.below(2) === 0) await this.pause(index);
    child.kill(this.random.below(2) === 0 ? 'SIGHUP' : 'SIGTERM');
    const [code, signal] = await exited;
    this.exits.push(signal ?? code);
    await this.site.waitReady([this.site.restartDaemon(index)]);
    this.stoppingCount -= 1;
  }
}

describe('drawn signals', function () {
  this.timeout(120_000);
  let signalled: SignalledSite;

  afterEach(() => signalled.site.stop());

  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1)
    it(`leave no request without an answer (seed ${seed})`, async () => {
      const random = new SeededRandom(seed);
      signalled = new SignalledSite(random);
      await signalled.site.start();
      const load = new LoadGenerator(signalled.site.getCallerAddresses(), new SeededRandom(seed + 1));
      const running = load.run(makePhases(new SeededRandom(seed + 2)));
      const signalling = signalled.site.daemons.map((_daemon, index) => signalled.sendSignals(index));
      await running;
      signalled.finish();
      await Promise.all(signalling);
      const results = [...load.results.values()];
      const count = (key: 'unanswered' | 'broken' | 'wrong' | 'sent' | 'whole'): number =>
        results.reduce((sum, result) => sum + result[key], 0);
      const failures = {
        unanswered: count('unanswered'),
        broken: count('broken'),
        wrong: count('wrong'),
      };
      expect(failures).to.deep.equal({ unanswered: 0, broken: 0, wrong: 0 });
      expect(new Set(signalled.exits)).to.deep.equal(new Set([0]));
      const unexpectedExits = signalled.site.daemons.map(({ child }) => child.signalCode ?? child.exitCode);
      expect(new Set(unexpectedExits)).to.deep.equal(new Set([null]));
      expect(count('whole')).to.be.greaterThan(count('sent') / 2);
    });
});
