/**
 * Costs and sizes of emulated engines, and the rates that follow from them.
 *
 * The shape is that of step times under continuous batching: a step has a fixed cost, a small one per output
 * sequence and one per prompt token. The numbers are round assumptions for a 13-billion-parameter model on
 * one server accelerator, not a claim about any product.
 */
import type { EngineCapability, EngineRole } from '../src/contracts/engine-protocol.js';

/** Costs and sizes of an emulated engine. Times in milliseconds. */
export interface EngineModelSettings {
  readonly stepBaseMs: number;
  readonly stepPerStreamMs: number;
  readonly stepPerPromptTokenMs: number;
  /** Prompt tokens computed in a step at most, by role. */
  readonly prefillChunk: Readonly<Record<EngineRole, number>>;
  /** Streams at once, by role. */
  readonly maximumStreams: Readonly<Record<EngineRole, number>>;
  readonly kvTransferMsPerToken: number;
  readonly roleChangeMs: number;
  readonly modelLoadMs: number;
  readonly adapterLoadMs: number;
  /** Load figures of a report are this old. */
  readonly reportLagMs: number;
  /** Prefixes kept. */
  readonly cachedPrefixes: number;
  /** Share of a prompt that a cached prefix saves. */
  readonly cachedShare: number;
  readonly kvRetentionMs: number;
}

/** Default costs and sizes. */
export const DEFAULT_ENGINE_MODEL_SETTINGS: EngineModelSettings = {
  stepBaseMs: 18,
  stepPerStreamMs: 0.12,
  stepPerPromptTokenMs: 0.09,
  prefillChunk: { prefill: 2048, mixed: 512, decode: 128 },
  maximumStreams: { prefill: 64, mixed: 64, decode: 96 },
  kvTransferMsPerToken: 0.02,
  roleChangeMs: 6000,
  modelLoadMs: 20_000,
  adapterLoadMs: 1000,
  reportLagMs: 300,
  cachedPrefixes: 64,
  cachedShare: 0.3,
  kvRetentionMs: 10_000,
};

/** The rates that follow from the settings, as the engine reports them. */
export function getCapability(settings: EngineModelSettings): EngineCapability {
  const { stepBaseMs, stepPerStreamMs, stepPerPromptTokenMs, prefillChunk, maximumStreams } = settings;
  const prefillStep = stepBaseMs + prefillChunk.prefill * stepPerPromptTokenMs;
  const decodeStep = stepBaseMs + maximumStreams.decode * stepPerStreamMs;
  const mixedStep =
    stepBaseMs + prefillChunk.mixed * stepPerPromptTokenMs + maximumStreams.mixed * stepPerStreamMs;
  const outputOnlyStep = stepBaseMs + maximumStreams.mixed * stepPerStreamMs;
  return {
    prefillRate: (prefillChunk.prefill / prefillStep) * 1000,
    decodeRate: (maximumStreams.decode / decodeStep) * 1000,
    mixedPrefillRate: (prefillChunk.mixed / mixedStep) * 1000,
    mixedDecodeRate: (maximumStreams.mixed / mixedStep) * 1000,
    mixedPromptOnlyRate:
      (prefillChunk.mixed / (stepBaseMs + prefillChunk.mixed * stepPerPromptTokenMs)) * 1000,
    mixedOutputOnlyRate: (maximumStreams.mixed / outputOnlyStep) * 1000,
    roleChangeMs: settings.roleChangeMs,
  };
}
