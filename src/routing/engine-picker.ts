/**
 * Chooses engines for a request. Owns no state; reads engine views and sends nothing. The rule, from the top:
 * 1. only engines that take work and serve the model and the adapter count; those without room for a stream
 *    are left out;
 * 2. one engine for all, or one for the prompt and one for the output, whichever is expected to give the
 *    first token sooner (`pick`); a short prompt may be computed on a decode engine;
 * 3. within a stage the cheaper of two drawn at random (Mitzenmacher, 2001), unless the engine that holds the
 *    prompt's prefix is not much dearer and within its bound of streams (`betterOfTwo`);
 * 4. an engine costs the expected time to the first token, more the more of its streams are taken, and more
 *    in another zone (`cost`).
 */
import { pickByRendezvous } from '../shared/rendezvous-hash.js';
import type { RandomSource } from '../shared/random.js';
import type { EngineView } from './engine-directory.js';

/** What the picker needs of a request. */
export interface PickRequest {
  readonly model: string;
  readonly version: number;
  readonly adapter: string;
  readonly promptTokens: number;
  /** Identifies the prompt's prefix; requests with the same one gain from the same engine. */
  readonly prefixKey: string;
  /** Engines that rejected this request just now. */
  readonly excluded: ReadonlySet<string>;
  /** Looks at every engine instead of two; for a request that the better of two would keep waiting. */
  readonly exhaustive: boolean;
}

/** Where a request goes: one engine for everything, or one for the prompt and one for the output. */
export interface EngineChoice {
  readonly prefill: EngineView | undefined;
  readonly generate: EngineView;
  /** Expected time until the first token. Milliseconds. */
  readonly expectedFirstTokenMs: number;
}

/** Settings of the picker. */
export interface PickerSettings {
  /**
   * The engine with the prefix may be expected to take this much longer than the better of two. Milliseconds.
   * Default 150.
   */
  readonly affinitySlackMs: number;
  /** The engine with the prefix may carry this many times the mean streams of its kind. Default 1.25. */
  readonly affinityLoadFactor: number;
  /**
   * An engine gets new streams only up to this share of its maximum; reports are old and others send too.
   * Default 0.9.
   */
  readonly streamShare: number;
  /**
   * What an engine with all its streams taken costs against an empty one, for the time between tokens.
   * Milliseconds. Default 100.
   */
  readonly fullEngineCostMs: number;
  /**
   * Prompts up to this length are computed on a decode engine itself when that is quicker. Tokens. Default
   * 256.
   */
  readonly decodePrefillTokens: number;
  /** Time to move the KV cache of a prompt, per token. Milliseconds. Default 0.02. */
  readonly kvTransferMsPerToken: number;
  /** Preference for the own zone. Milliseconds that an engine of another zone costs more. Default 5. */
  readonly otherZoneCostMs: number;
}

/** Default settings. */
export const DEFAULT_PICKER_SETTINGS: PickerSettings = {
  affinitySlackMs: 150,
  affinityLoadFactor: 1.25,
  streamShare: 0.9,
  fullEngineCostMs: 100,
  decodePrefillTokens: 256,
  kvTransferMsPerToken: 0.02,
  otherZoneCostMs: 5,
};

/** Streams that an engine may have beyond the load bound, so that it does not bind on an idle fleet. */
const AFFINITY_FREE_STREAMS = 4;

/** Whether engines of the model are known at all, for the right refusal. */
export type PickOutcome =
  | { readonly kind: 'chosen'; readonly choice: EngineChoice }
  /** Engines serve the model but none takes a stream now. */
  | { readonly kind: 'busy' }
  /** No engine that takes work serves the model. */
  | { readonly kind: 'none' };

/** Chooses engines. */
export class EnginePicker {
  constructor(
    private readonly settings: PickerSettings,
    private readonly ownZone: string,
    private readonly random: RandomSource,
  ) {}

  /** The best choice among `engines` at time `now`. */
  pick(request: PickRequest, engines: Iterable<EngineView>, now: number): PickOutcome {
    const serving = [...engines].filter((engine) => serves(engine, request) && engine.takesWork(now));
    if (serving.length === 0) return { kind: 'none' };
    const open = serving.filter((engine) => this.hasRoom(engine));
    const whole = this.pickWhole(request, open, now);
    const split = this.pickSplit(request, open, now);
    const choice =
      !whole || (split && split.expectedFirstTokenMs < whole.expectedFirstTokenMs) ? (split ?? whole) : whole;
    return choice ? { kind: 'chosen', choice } : { kind: 'busy' };
  }

  /** The best engine for the output of a request whose KV cache is ready elsewhere. */
  pickGenerate(request: PickRequest, engines: Iterable<EngineView>, now: number): PickOutcome {
    const able = [...engines].filter((engine) => engine.assignment?.role !== 'prefill');
    const serving = able.filter((engine) => serves(engine, request) && engine.takesWork(now));
    if (serving.length === 0) return { kind: 'none' };
    const open = serving.filter((engine) => this.hasRoom(engine));
    const decodes = open.filter((engine) => engine.assignment?.role === 'decode');
    const cost = (engine: EngineView): number => this.cost(engine, 0, now);
    const generate = this.betterOfTwo(
      { ...request, prefixKey: '' },
      decodes.length > 0 ? decodes : open,
      cost,
    );
    if (!generate) return { kind: 'busy' };
    return { kind: 'chosen', choice: { prefill: undefined, generate, expectedFirstTokenMs: 0 } };
  }

  private pickWhole(
    request: PickRequest,
    open: readonly EngineView[],
    now: number,
  ): EngineChoice | undefined {
    const mixed = open.filter((engine) => engine.assignment?.role === 'mixed');
    const short = request.promptTokens <= this.settings.decodePrefillTokens;
    const candidates = short ? open.filter((engine) => engine.assignment?.role !== 'prefill') : mixed;
    const cost = (engine: EngineView): number => this.cost(engine, request.promptTokens, now);
    const engine = this.betterOfTwo(request, candidates, cost);
    const expectedFirstTokenMs = engine?.expectedFirstTokenMs(request.promptTokens, now) ?? 0;
    return engine && { prefill: undefined, generate: engine, expectedFirstTokenMs };
  }

  private pickSplit(
    request: PickRequest,
    open: readonly EngineView[],
    now: number,
  ): EngineChoice | undefined {
    const prefills = open.filter((engine) => engine.assignment?.role === 'prefill');
    const decodes = open.filter((engine) => engine.assignment?.role === 'decode');
    const mixed = open.filter((engine) => engine.assignment?.role === 'mixed');
    const prefillCost = (engine: EngineView): number => this.cost(engine, request.promptTokens, now);
    const decodeCost = (engine: EngineView): number => this.cost(engine, 0, now);
    const prefill = this.betterOfTwo(request, prefills, prefillCost);
    const generate = this.betterOfTwo(
      { ...request, prefixKey: '' },
      decodes.length > 0 ? decodes : mixed,
      decodeCost,
    );
    if (!prefill || !generate) return undefined;
    const transferMs = request.promptTokens * this.settings.kvTransferMsPerToken;
    const expectedFirstTokenMs = prefill.expectedFirstTokenMs(request.promptTokens, now) + transferMs;
    return { prefill, generate, expectedFirstTokenMs };
  }

  private cost(engine: EngineView, promptTokens: number, now: number): number {
    const fullness = engine.streams() / Math.max(1, engine.maximumStreams);
    const far = engine.zone === this.ownZone ? 0 : this.settings.otherZoneCostMs;
    return engine.expectedFirstTokenMs(promptTokens, now) + fullness * this.settings.fullEngineCostMs + far;
  }

  private betterOfTwo(
    request: PickRequest,
    candidates: readonly EngineView[],
    cost: (engine: EngineView) => number,
  ): EngineView | undefined {
    if (candidates.length <= 1) return candidates[0];
    if (request.exhaustive) return leastCost(candidates, cost);
    const first = candidates[this.random.below(candidates.length)];
    const second = candidates[this.random.below(candidates.length)];
    const better = cost(second) < cost(first) ? second : first;
    if (request.prefixKey === '') return better;
    const affineId = pickByRendezvous(
      request.prefixKey,
      candidates.map((engine) => engine.id),
    );
    const affine = candidates.find((engine) => engine.id === affineId);
    if (!affine) return better;
    const near = cost(affine) <= cost(better) + this.settings.affinitySlackMs;
    return near && this.withinLoadBound(affine, candidates) ? affine : better;
  }

  private hasRoom(engine: EngineView): boolean {
    return engine.streams() < engine.maximumStreams * this.settings.streamShare;
  }

  private withinLoadBound(engine: EngineView, candidates: readonly EngineView[]): boolean {
    let total = 0;
    for (const candidate of candidates) total += candidate.streams();
    const bound = (total / candidates.length) * this.settings.affinityLoadFactor;
    return engine.streams() <= bound + AFFINITY_FREE_STREAMS;
  }
}

function leastCost(candidates: readonly EngineView[], cost: (engine: EngineView) => number): EngineView {
  let best = candidates[0];
  for (const candidate of candidates) if (cost(candidate) < cost(best)) best = candidate;
  return best;
}

function serves(engine: EngineView, request: PickRequest): boolean {
  const { assignment } = engine;
  if (!assignment || request.excluded.has(engine.id)) return false;
  if (assignment.model !== request.model || assignment.version !== request.version) return false;
  return request.adapter === '' || assignment.adapters.includes(request.adapter);
}
