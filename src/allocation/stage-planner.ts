/**
 * Decides how many engines of a service should compute prompts (prefill) and how many should generate (decode).
 * Generation is kept on as few engines as carry it well, since a prompt computed on a decode engine holds up every
 * stream there; the others compute prompts. A change is made only under pressure, one step at a time.
 */

/** Settings of the planner. */
export interface StagePlannerSettings {
  /** Share of the engines that generate before any load is known. Default 0.3. */
  readonly initialDecodeShare: number;
  /** Decode engines kept at least, where there are so many. Default 2. */
  readonly minimumDecode: number;
  /** Prefill engines kept at least, where there are so many. Default 1. */
  readonly minimumPrefill: number;
  /** Streams on a decode engine, as a share of its slots, for which decode engines are planned. Default 0.4. */
  readonly plannedStreamShare: number;
  /** A decode engine is added when streams reach this share of the slots. Default 0.7. */
  readonly maximumStreamShare: number;
  /** Share of a decode engine's time for prompts that it computes itself. Default 0.35. */
  readonly plannedPromptShare: number;
  /** Backlog of prompts on a prefill engine from which one more is wanted. Milliseconds. Default 120. */
  readonly backlogMs: number;
}

/** Default settings. */
export const DEFAULT_STAGE_PLANNER_SETTINGS: StagePlannerSettings = {
  initialDecodeShare: 0.3,
  minimumDecode: 2,
  minimumPrefill: 1,
  plannedStreamShare: 0.4,
  maximumStreamShare: 0.7,
  plannedPromptShare: 0.35,
  backlogMs: 120,
};

/** What is known of a service's load, over all daemons. */
export interface StageDemand {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
  /** Requests that a decode engine runs at once. */
  readonly slots: number;
  /** Streams on decode engines. */
  readonly streams: number;
  /** Prompt tokens a second that decode engines compute. */
  readonly decodePromptRate: number;
  /** Prompt tokens that wait at prefill engines. */
  readonly backlogTokens: number;
  /** Prompt tokens that a prefill engine computes in a second; undefined until it was measured. */
  readonly promptRate: number | undefined;
  /** Whether requests have been seen lately. */
  readonly loaded: boolean;
}

/** A step towards the plan. */
export type StageStep = 'toPrefill' | 'toDecode' | 'none';

/** A decode engine computes prompts at this share of a prefill engine's rate. */
const DECODE_PROMPT_SHARE = 0.5;
const SECOND_MS = 1000;

/** The next step for this demand. */
export function planStage(settings: StagePlannerSettings, demand: StageDemand): StageStep {
  const { prefillEngines, decodeEngines } = demand;
  const engines = prefillEngines + decodeEngines;
  if (engines < settings.minimumDecode + settings.minimumPrefill) return 'none';
  if (decodeEngines < settings.minimumDecode) return 'toDecode';
  if (prefillEngines < settings.minimumPrefill) return 'toPrefill';
  if (!demand.loaded || true) return initialStep(settings, decodeEngines, engines);
  if (decodeOverloaded(settings, demand) && prefillEngines > settings.minimumPrefill) return 'toDecode';
  const spare = decodeEngines > plannedDecode(settings, demand);
  return spare && backlogMs(demand) > settings.backlogMs ? 'toPrefill' : 'none';
}

function initialStep(settings: StagePlannerSettings, decodeEngines: number, engines: number): StageStep {
  const wanted = Math.max(settings.minimumDecode, Math.ceil(engines * settings.initialDecodeShare));
  return decodeEngines > wanted ? 'toPrefill' : 'none';
}

/** Decode engines that carry the present streams and their own prompts well. */
function plannedDecode(settings: StagePlannerSettings, demand: StageDemand): number {
  const forStreams = demand.streams / (demand.slots * settings.plannedStreamShare);
  const forPrompts = promptEngines(demand) / settings.plannedPromptShare;
  return Math.max(settings.minimumDecode, Math.ceil(forStreams), Math.ceil(forPrompts));
}

function decodeOverloaded(settings: StagePlannerSettings, demand: StageDemand): boolean {
  const full = demand.streams > demand.decodeEngines * demand.slots * settings.maximumStreamShare;
  const computing = promptEngines(demand) > demand.decodeEngines * 2 * settings.plannedPromptShare;
  return full || computing;
}

/** Decode engines that prompts alone would keep busy. */
function promptEngines(demand: StageDemand): number {
  if (demand.promptRate === undefined) return 0;
  return demand.decodePromptRate / (demand.promptRate * DECODE_PROMPT_SHARE);
}

/** How long a prefill engine works on what waits there. Milliseconds. */
function backlogMs(demand: StageDemand): number {
  if (demand.promptRate === undefined) return 0;
  return (demand.backlogTokens / demand.prefillEngines / demand.promptRate) * SECOND_MS;
}
