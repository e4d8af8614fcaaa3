/** `npm run demo`: a small Trust site of separate processes under a shifting mix, and a report. */
import { runStatusCommand } from '../src/cli/status-command.js';
import { SeededRandom } from '../src/shared/random.js';
import { LocalSite } from './launcher.js';
import { LoadGenerator, type LoadClass, type LoadPhase } from './load-generator.js';
import { formatLoadReport } from './load-report.js';
import { getSiteProfile, type SiteProfile, type WorkloadClass } from './site-profiles.js';

const ENGINES = 5;
const PHASE_SECONDS = 9;
const DEMO_SEED = 7;

function loadClass(profile: SiteProfile, work: WorkloadClass, perSecond: number): LoadClass {
  const row = profile.services.find((service) => service.name === work.service);
  return {
    ...work,
    perSecond,
    firstTokenTargetMs: row?.firstTokenTargetMs ?? 1000,
    betweenTokensTargetMs: row?.betweenTokensTargetMs ?? 79,
  };
}

/** Two phases: mostly long work, then mostly short work. */
function shiftingPhases(profile: SiteProfile, engines: number, seconds: number): LoadPhase[] {
  const calls = profile.services
    .filter((row) => row.kind === 'application')
    .map((row) => ({ service: row.name, perSecond: 4 }));
  const phase = (longPerEngine: number, shortPerEngine: number): LoadPhase => ({
    seconds,
    calls,
    classes: [
      loadClass(profile, profile.longWork, longPerEngine * engines),
      loadClass(profile, profile.shortWork, shortPerEngine * engines),
    ],
  });
  return [phase(0.7, 0.5), phase(0.1, 4)];
}

/** Runs the demo. Returns the process's exit code. */
export async function runDemo(): Promise<number> {
  const profile = getSiteProfile('trust-tt-north');
  const site = new LocalSite(profile, { engines: ENGINES, settings: { logLevel: 'info' } });
  const say = (text: string): void => void process.stdout.write(`${text}\n`);
  try {
    say(
      `starting ${profile.zones.length} daemons, ${ENGINES} engines, ${profile.applications} application servers and the platform`,
    );
    await site.start();
    const load = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(DEMO_SEED));
    say(`sending ${PHASE_SECONDS} s of mostly long reviews, then ${PHASE_SECONDS} s of mostly short checks`);
    await load.run(shiftingPhases(profile, ENGINES, PHASE_SECONDS));
    say('');
    say(formatLoadReport(load));
    say('');
    say(
      await runStatusCommand(
        site.daemons.map((daemon) => daemon.addresses.operator),
        false,
      ),
    );
    return verdict(load, say);
  } finally {
    await site.stop();
  }
}

function verdict(load: LoadGenerator, say: (text: string) => void): number {
  let failures = 0;
  for (const [service, result] of load.results) {
    const lost = result.broken + result.wrong + result.unanswered;
    if (lost > 0 || result.complete === 0) {
      failures += 1;
      say(`FAILED ${service}: ${lost} answers not whole, ${result.complete} whole`);
    }
  }
  say(
    failures === 0
      ? '\ndemo passed: every request has a whole answer or a typed refusal'
      : `\ndemo failed for ${failures} services`,
  );
  return failures === 0 ? 0 : 1;
}
