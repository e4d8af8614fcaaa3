/**
 * Estimates how much of a demand for prompt and output tokens a set of engines can serve. Pure functions; the
 * allocation policy uses them to compare sets of engines.
 */
import type { EngineCapability, EngineRole } from '../contracts/engine-protocol.js';

/** Demand on the engines of one model, in tokens per second. */
export interface TokenDemand {
  readonly prefillPerSecond: number;
  readonly decodePerSecond: number;
}

/** Number of engines in each role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Number of steps of the search for the best share, 5% each. */
const SHARE_STEPS = 20;
/** Minimum divisor, in place of zero demand. Tokens per second. */
const NO_DEMAND = 1e-9;

/**
 * The factor by which the demand could grow before the engines are saturated; below 1 they are overloaded.
 * Mixed engines spend a share of their time on batches that include prompts and the remaining time on output
 * only; the best share is searched in steps of 5%.
 */
export function servableFactor(
  counts: RoleCounts,
  demand: TokenDemand,
  capability: EngineCapability,
): number {
  let best = 0;
  for (let step = 0; step <= SHARE_STEPS; step += 1) {
    best = Math.max(best, factorAtShare(counts, demand, capability, step / SHARE_STEPS));
  }
  return best;
}

function factorAtShare(
  counts: RoleCounts,
  demand: TokenDemand,
  capability: EngineCapability,
  share: number,
): number {
  const outputOnly = (1 - share) * capability.mixedOutputOnlyRate;
  const mixedDecode = share * capability.mixedDecodeRate + outputOnly;
  const decode = counts.decode * capability.decodeRate + counts.mixed * mixedDecode;
  const decodeFactor = decode / Math.max(demand.decodePerSecond, NO_DEMAND);
  // Batches with prompts are faster while they include few outputs.
  const remainingDecode = Math.max(
    0,
    demand.decodePerSecond - counts.decode * capability.decodeRate - counts.mixed * outputOnly,
  );
  const decodeUtilization = Math.min(
    1,
    remainingDecode / Math.max(counts.mixed * share * capability.mixedDecodeRate, NO_DEMAND),
  );
  const mixedPrefill =
    capability.mixedPromptOnlyRate +
    (capability.mixedPrefillRate - capability.mixedPromptOnlyRate) * decodeUtilization;
  const prefill = counts.prefill * capability.prefillRate + counts.mixed * share * mixedPrefill;
  const prefillFactor = prefill / Math.max(demand.prefillPerSecond, NO_DEMAND);
  return Math.min(prefillFactor, decodeFactor);
}
