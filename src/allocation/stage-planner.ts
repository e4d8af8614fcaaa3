/**
 * Decides how many engines of a service should compute prompts (prefill) and how many should generate output
 * (decode). Pure functions. Few engines decode, since a prompt computed on a decode engine delays every
 * stream there, and prompts take far more engine time than tokens. More engines decode while streams fill the
 * slots.
 *
 * Rejected alternative: planning from measured prompt rates and backlogs. It oscillated, since a backlog is a
 * poor indicator of the rate while KV caches are cold (docs/PLATFORM.md has the figures).
 */

/** Settings of the planner. */
export interface StagePlannerSettings {
  /** Share of the engines that decode unless streams need more. Default 0.3. */
  readonly decodeShare: number;
  /** Minimum number of decode engines, with enough engines for both minimums. Default 2. */
  readonly minimumDecode: number;
  /** Minimum number of prefill engines, with enough engines for both minimums. Default 1. */
  readonly minimumPrefill: number;
  /**
   * With at least this number of engines in each stage, and fewer prompts in progress than half the number of
   * prefill engines, no engine changes just to reach the shares, since each change costs an order and makes
   * an engine unavailable. Default 64; a fleet of 50 to 100 engines reaches its shares before the first
   * request.
   */
  readonly ampleEngines: number;
  /** A decode engine is added when streams exceed this share of the slots. Default 0.8. */
  readonly addAtStreamShare: number;
  /**
   * A decode engine returns to prefill when the streams need less than this share of the other engines'
   * slots. Default 0.6.
   */
  readonly returnAtStreamShare: number;
}

/** Default settings. */
export const DEFAULT_STAGE_PLANNER_SETTINGS: StagePlannerSettings = {
  decodeShare: 0.3,
  minimumDecode: 2,
  minimumPrefill: 1,
  ampleEngines: 64,
  addAtStreamShare: 0.8,
  returnAtStreamShare: 0.6,
};

/** The load of a service, over all daemons. */
export interface StageDemand {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  /** Number of requests that a decode engine executes concurrently. */
  readonly slots: number;
  /** Number of prompts in progress on prefill engines. */
  readonly prompts: number;
  /** Number of streams on decode engines. */
  readonly streams: number;
}

/** A stage change of one engine, or none. */
type StageStep = 'toPrefill' | 'toDecode' | 'none';

/** Plans the next step for this demand. */
export function planStage(settings: StagePlannerSettings, demand: StageDemand): StageStep {
  const { prefillEngines, decodeEngines, slots, streams } = demand;
  const engines = prefillEngines + decodeEngines;
  if (engines < settings.minimumDecode + settings.minimumPrefill) return 'none';
  const base = Math.max(settings.minimumDecode, Math.ceil(engines * settings.decodeShare));
  const ample = isAmple(settings, demand);
  if (decodeEngines < base && !ample) return 'toDecode';
  const saturated = streams > decodeEngines * slots * settings.addAtStreamShare;
  if (saturated) return prefillEngines > settings.minimumPrefill ? 'toDecode' : 'none';
  const spare = streams < (decodeEngines - 1) * slots * settings.returnAtStreamShare;
  return decodeEngines > base && spare && !ample ? 'toPrefill' : 'none';
}

/**
 * Whether both stages have ample engines, regardless of their shares. With 300 engines and 30 daemons, a day
 * earned -0.10 of the achievable value when engines were changed to reach the shares, because of the cost of
 * the orders, and 0.43 when they were not (one run each).
 */
export function isAmple({ ampleEngines }: StagePlannerSettings, demand: StageDemand): boolean {
  const { prefillEngines, decodeEngines, prompts } = demand;
  const idle = prompts < prefillEngines / 2;
  return idle && prefillEngines >= ampleEngines && decodeEngines >= ampleEngines;
}
