/** How much of a mix of prompt and output tokens a set of engines can carry. */
import type { EngineCapability, EngineRole } from '../engine/engine-protocol.js';

/** Work asked of the engines of one model, in tokens per second. */
export interface TokenDemand {
  readonly prefillPerSecond: number;
  readonly decodePerSecond: number;
}

/** How many engines hold each role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

const SHARE_STEPS = 20;
const NO_DEMAND = 1e-9;

/**
 * The factor by which the demand could grow before the engines are full; below 1 they are overloaded.
 * Mixed engines spend a share of their time on batches with prompts in them and the rest on output alone;
 * the best share is searched in steps of 5%.
 */
export function servableFactor(
  counts: RoleCounts,
  demand: TokenDemand,
  capability: EngineCapability,
): number {
  let best = 0;
  for (let step = 0; step <= SHARE_STEPS; step += 1) {
    const share = step / SHARE_STEPS;
    const prefill =
      counts.prefill * capability.prefillRate + counts.mixed * share * capability.mixedPrefillRate;
    const mixedDecode = share * capability.mixedDecodeRate + (1 - share) * capability.decodeRate;
    const decode = counts.decode * capability.decodeRate + counts.mixed * mixedDecode;
    const prefillFactor = prefill / Math.max(demand.prefillPerSecond, NO_DEMAND);
    const decodeFactor = decode / Math.max(demand.decodePerSecond, NO_DEMAND);
    best = Math.max(best, Math.min(prefillFactor, decodeFactor));
  }
  return best;
}
