/** Load scenarios of the goodput bench: how the mix of long and short work shifts. */
import { capabilityOf, DEFAULT_ENGINE_MODEL_SETTINGS } from '../lab/engine-model-settings.js';
import type { SiteProfile } from '../lab/site-profiles.js';
import { servableFactor, type RoleCounts, type TokenDemand } from '../src/allocation/throughput-model.js';
import { ValidationError } from '../src/errors/index.js';
import type { Fault } from '../simulation/fault-plan.js';

/** Requests a second of long and of short work. */
export interface Mix {
  readonly long: number;
  readonly short: number;
}

/** A scenario of the bench. */
export interface Scenario {
  readonly name: string;
  readonly seconds: number;
  /** The mix at a time since the load began. Milliseconds. */
  readonly mixAt: (atMs: number) => Mix;
  readonly faults: readonly Fault[];
}

/** Time before the load begins. Milliseconds. */
export const WARM_UP_MS = 8000;
const PHASE_MS = 60_000;
const FLAP_MS = 15_000;
const LONG_SECONDS = 240;
/** Long requests for each short one, while long files come in and during a burst of short checks. */
const FILES_RATIO = 2;
const BURST_RATIO = 1 / 12;
const DEFAULT_LOAD = 0.9;

/** The best split of the site's engines for a demand, by the throughput model. */
export function bestCounts(
  profile: SiteProfile,
  demand: TokenDemand,
): { counts: RoleCounts; factor: number } {
  const capability = capabilityOf(DEFAULT_ENGINE_MODEL_SETTINGS);
  let best = { counts: { prefill: 0, decode: 0, mixed: profile.engines } as RoleCounts, factor: 0 };
  for (let prefill = 0; prefill < profile.engines; prefill += 1) {
    for (let decode = 0; prefill + decode <= profile.engines; decode += 1) {
      const counts = { prefill, decode, mixed: profile.engines - prefill - decode };
      if ((prefill === 0) !== (decode === 0) && counts.mixed === 0) continue;
      const factor = servableFactor(counts, demand, capability);
      if (factor > best.factor + 1e-9) best = { counts, factor };
    }
  }
  return best;
}

/** Tokens a second of a mix. Cached prefixes save their share of the prompts. */
export function demandOf(profile: SiteProfile, mix: Mix): TokenDemand {
  const { longWork, shortWork } = profile;
  const computed = 1 - DEFAULT_ENGINE_MODEL_SETTINGS.cachedShare;
  return {
    prefillPerSecond: (mix.long * longWork.promptTokens + mix.short * shortWork.promptTokens) * computed,
    decodePerSecond: mix.long * longWork.outputTokens + mix.short * shortWork.outputTokens,
  };
}

/** The mix of this ratio that loads the best split of the site to `load`. */
function mixAtLoad(profile: SiteProfile, ratio: number, load: number): Mix {
  const unit: Mix = { long: ratio, short: 1 };
  const { factor } = bestCounts(profile, demandOf(profile, unit));
  return { long: ratio * factor * load, short: factor * load };
}

function alternating(profile: SiteProfile, load: number, phaseMs: number): (atMs: number) => Mix {
  const files = mixAtLoad(profile, FILES_RATIO, load);
  const burst = mixAtLoad(profile, BURST_RATIO, load);
  return (atMs) => (Math.floor(Math.max(0, atMs) / phaseMs) % 2 === 0 ? files : burst);
}

function drifting(profile: SiteProfile, load: number): (atMs: number) => Mix {
  const steps = 24;
  const mixes = Array.from({ length: steps + 1 }, (_, step) => {
    const ratio = FILES_RATIO * (BURST_RATIO / FILES_RATIO) ** (step / steps);
    return mixAtLoad(profile, ratio, load);
  });
  return (atMs) => mixes[Math.min(steps, Math.floor((Math.max(0, atMs) / (LONG_SECONDS * 1000)) * steps))];
}

/** In the middle of the second phase. */
const SHIFT_FAULT_MS = WARM_UP_MS + PHASE_MS + 4000;

/** Names of all scenarios. */
export const SCENARIO_NAMES = [
  'files-then-burst',
  'drift',
  'flapping',
  'engine-crash',
  'table-outage',
  'load-60',
  'load-90',
  'load-130',
];

/**
 * A scenario by name.
 * @throws ValidationError naming the known scenarios.
 */
export function scenario(name: string, profile: SiteProfile): Scenario {
  const base = { name, seconds: LONG_SECONDS, faults: [] };
  const crash: Fault = { kind: 'crash-engine', atMs: SHIFT_FAULT_MS, durationMs: 20_000, target: 1 };
  const outage: Fault = { kind: 'table-down', atMs: SHIFT_FAULT_MS, durationMs: 40_000, target: 0 };
  switch (name) {
    case 'files-then-burst':
    case 'load-90':
      return { ...base, mixAt: alternating(profile, DEFAULT_LOAD, PHASE_MS) };
    case 'drift':
      return { ...base, mixAt: drifting(profile, DEFAULT_LOAD) };
    case 'flapping':
      return { ...base, mixAt: alternating(profile, DEFAULT_LOAD, FLAP_MS) };
    case 'engine-crash':
      return { ...base, mixAt: alternating(profile, DEFAULT_LOAD, PHASE_MS), faults: [crash] };
    case 'table-outage':
      return { ...base, mixAt: alternating(profile, DEFAULT_LOAD, PHASE_MS), faults: [outage] };
    case 'load-60':
      return { ...base, mixAt: alternating(profile, 0.6, PHASE_MS) };
    case 'load-130':
      return { ...base, mixAt: alternating(profile, 1.3, PHASE_MS) };
    default:
      throw new ValidationError('scenario', `must be one of: ${SCENARIO_NAMES.join(', ')}`);
  }
}
