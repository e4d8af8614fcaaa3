/**
 * `npm run validate`: the same small scenario on real processes and in virtual time. The simulator is trusted
 * as far as their goodput agrees.
 */
import { LocalSite } from '../lab/launcher.js';
import { LoadGenerator, type LoadClass } from '../lab/load-generator.js';
import { siteProfile, type SiteProfile, type WorkloadClass } from '../lab/site-profiles.js';
import { formatTable } from '../src/shared/table.js';
import { SeededRandom } from '../src/shared/random.js';
import { optionsForSite } from '../simulation/site-options.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { Workload } from '../simulation/workload.js';
import { progress } from './progress.js';

const SECONDS = 30;
const WARM_UP_MS = 8000;
const DRAIN_MS = 20_000;
const SEED = 3;

/** Requests a second of long and short work. */
interface Rates {
  readonly long: number;
  readonly short: number;
}

const LOADS: readonly { name: string; rates: Rates }[] = [
  { name: 'moderate', rates: { long: 5, short: 20 } },
  { name: 'overload', rates: { long: 14, short: 20 } },
];

function loadClass(profile: SiteProfile, work: WorkloadClass, perSecond: number): LoadClass {
  const row = profile.services.find((service) => service.name === work.service);
  const { firstTokenTargetMs = 0, betweenTokensTargetMs = 0 } = row ?? {};
  return { ...work, perSecond, firstTokenTargetMs, betweenTokensTargetMs };
}

async function real(profile: SiteProfile, rates: Rates): Promise<{ sent: number; good: number }> {
  const site = new LocalSite(profile);
  try {
    await site.start();
    const load = new LoadGenerator(site.callers(), new SeededRandom(SEED));
    const classes = [
      loadClass(profile, profile.longWork, rates.long),
      loadClass(profile, profile.shortWork, rates.short),
    ];
    await load.run([{ seconds: SECONDS, classes, calls: [] }]);
    const results = [...load.results.values()];
    return {
      sent: results.reduce((sum, result) => sum + result.sent, 0),
      good: results.reduce((sum, result) => sum + result.withinTargets, 0),
    };
  } finally {
    await site.stop();
  }
}

function virtual(profile: SiteProfile, rates: Rates): { sent: number; good: number } {
  const site = new SimulatedSite(optionsForSite(profile, SEED));
  const workload = new Workload(site, profile.services, SEED);
  site.time.runUntil(WARM_UP_MS);
  workload.addCompletions({ ...profile.longWork, perSecond: () => rates.long, lengthSpread: 0 });
  workload.addCompletions({ ...profile.shortWork, perSecond: () => rates.short, lengthSpread: 0 });
  site.time.runUntil(WARM_UP_MS + SECONDS * 1000);
  workload.stop();
  site.time.runUntil(WARM_UP_MS + SECONDS * 1000 + DRAIN_MS);
  return { sent: workload.counts.sent, good: workload.counts.withinTargets };
}

const profile = siteProfile('cundinamarca');
const rows: (string | number)[][] = [];
for (const { name, rates } of LOADS) {
  progress(`real processes, ${name}`);
  const measured = await real(profile, rates);
  const simulated = virtual(profile, rates);
  const share = ({ sent, good }: { sent: number; good: number }): number => (good / sent) * 100;
  const difference = (share(simulated) / share(measured) - 1) * 100;
  rows.push([
    name,
    `${measured.good} of ${measured.sent} (${share(measured).toFixed(1)}%)`,
    `${simulated.good} of ${simulated.sent} (${share(simulated).toFixed(1)}%)`,
    `${difference.toFixed(1)}%`,
  ]);
}
process.stdout.write(
  `${formatTable(['load', 'real: in target', 'virtual: in target', 'difference of shares'], rows)}\n`,
);
