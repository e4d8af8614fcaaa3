/** `npm run demo`: runs a small Trust site of separate processes under a changing load and prints a report. */
import { runStatusCommand } from '../src/cli/status-command.js';
import { SeededRandom } from '../src/shared/random.js';
import { LocalSite } from './launcher.js';
import { LoadGenerator, type LoadClass, type LoadPhase } from './load-generator.js';
import { formatLoadReport } from './load-report.js';
import { getSiteProfile, type SiteProfile, type WorkloadClass } from './site-profiles.js';

const ENGINES = 5;
const PHASE_SECONDS = 9;
const DEMO_SEED = 7;

function makeLoadClass(profile: SiteProfile, work: WorkloadClass, perSecond: number): LoadClass {
  const row = profile.services.find((service) => service.name === work.service);
  return {
    ...work,
    perSecond,
    firstTokenTargetMs: row?.firstTokenTargetMs ?? 1000,
    betweenTokensTargetMs: row?.betweenTokensTargetMs ?? 79,
  };
}

/** Makes two phases of load: mostly long completions, then mostly short ones. */
function makeShiftingPhases(profile: SiteProfile, engines: number, seconds: number): LoadPhase[] {
  const calls = profile.services
    .filter((row) => row.kind === 'application')
    .map((row) => ({ service: row.name, perSecond: 4 }));
  const makePhase = (longPerEngine: number, shortPerEngine: number): LoadPhase => ({
    seconds,
    calls,
    classes: [
      makeLoadClass(profile, profile.longWork, longPerEngine * engines),
      makeLoadClass(profile, profile.shortWork, shortPerEngine * engines),
    ],
  });
  return [makePhase(0.7, 0.5), makePhase(0.1, 4)];
}

/** Runs the demo. Returns the exit code: 0 if every answer was complete or refused, otherwise 1. */
export async function runDemo(): Promise<number> {
  const profile = getSiteProfile('trust-tt-north');
  const site = new LocalSite(profile, { engines: ENGINES, settings: { logLevel: 'info' } });
  const writeLine = (text: string): void => void process.stdout.write(`${text}\n`);
  try {
    writeLine(
      `starting ${profile.zones.length} daemons, ${ENGINES} engines, ${profile.applications} application servers and the platform`,
    );
    await site.start();
    const load = new LoadGenerator(site.getCallerAddresses(), new SeededRandom(DEMO_SEED));
    writeLine(
      `sending ${PHASE_SECONDS} s of mostly long reviews, then ${PHASE_SECONDS} s of mostly short checks`,
    );
    await load.run(makeShiftingPhases(profile, ENGINES, PHASE_SECONDS));
    writeLine('');
    writeLine(formatLoadReport(load));
    writeLine('');
    writeLine(
      await runStatusCommand(
        site.daemons.map((daemon) => daemon.addresses.operator),
        false,
      ),
    );
    return checkResults(load, writeLine);
  } finally {
    await site.stop();
  }
}

function checkResults(load: LoadGenerator, writeLine: (text: string) => void): number {
  let failures = 0;
  for (const [service, result] of load.results) {
    const failed = result.broken + result.wrong + result.unanswered;
    if (failed > 0 || result.complete === 0) {
      failures += 1;
      writeLine(
        `FAILED ${service}: ${failed} answers incomplete, wrong or missing, ${result.complete} complete`,
      );
    }
  }
  writeLine(
    failures === 0
      ? '\ndemo passed: every request has a complete answer or a typed refusal'
      : `\ndemo failed for ${failures} services`,
  );
  return failures === 0 ? 0 : 1;
}
