/**
 * Picks engines for a request. Owns no state; reads engine views and sends nothing. The algorithm:
 * 1. candidates are the engines that take work, serve the model and the adapter, and have room for a stream;
 * 2. either one engine executes the complete request, or a prefill engine computes the prompt and another engine
 *    generates the output, whichever has the earlier expected first token (`pick`); a decode engine may also
 *    compute a short prompt;
 * 3. within a stage, the cheaper of two random candidates is picked (power of two choices; Mitzenmacher,
 *    2001), unless the engine that is expected to cache the prompt's prefix costs little more and is within
 *    its load bound (`pickOfTwo`);
 * 4. an engine's cost is the expected time to the first token, plus a penalty for the share of its streams in
 *    use, plus a penalty for another zone (`cost`).
 */
import { pickByRendezvous } from '../shared/rendezvous-hash.js';
import type { RandomSource } from '../shared/random.js';
import type { EngineView } from './engine-directory.js';

/** The properties of a request that the picker uses. */
export interface PickRequest {
  readonly model: string;
  readonly version: number;
  readonly adapter: string;
  readonly promptTokens: number;
  /** Identifies the prompt's prefix; requests with the same prefix share cache entries on an engine. */
  readonly prefixKey: string;
  /** Ids of engines that have rejected or broken this request. */
  readonly excluded: ReadonlySet<string>;
  /** Compares all engines instead of two; for a request that the better of two would keep waiting. */
  readonly exhaustive: boolean;
}

/** The picked engines: one for the complete request, or one for the prompt and one for the output. */
export interface EngineChoice {
  readonly prefill: EngineView | undefined;
  readonly generate: EngineView;
  /** Expected time until the first token. Milliseconds. */
  readonly expectedFirstTokenMs: number;
}

/** Settings of the picker. */
export interface PickerSettings {
  /**
   * Maximum additional cost of the engine with the prefix over the better of two. Milliseconds. Default 150.
   */
  readonly affinitySlackMs: number;
  /**
   * Load bound of the engine with the prefix, as a multiple of the candidates' mean streams. Default 1.25.
   */
  readonly affinityLoadFactor: number;
  /**
   * An engine gets new streams only up to this share of its maximum, since reports are delayed and other
   * daemons also send work. Default 0.9.
   */
  readonly streamShare: number;
  /**
   * Additional cost of an engine with all streams in use over an idle one, for its longer time between
   * tokens. Milliseconds. Default 100.
   */
  readonly fullEngineCostMs: number;
  /** Longest prompt that a decode engine may compute itself if that is faster. Tokens. Default 256. */
  readonly decodePrefillTokens: number;
  /** Transfer time of a prompt's KV cache, per token. Milliseconds. Default 0.02. */
  readonly kvTransferMsPerToken: number;
  /** Additional cost of an engine in another zone. Milliseconds. Default 5. */
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

/** Streams allowed beyond the load bound, so that the bound has no effect on an idle fleet. */
const AFFINITY_FREE_STREAMS = 4;

/** The outcome of a pick; busy and missing engines are distinguished, since they lead to different refusals. */
export type PickOutcome =
  | { readonly kind: 'chosen'; readonly choice: EngineChoice }
  /** Engines serve the model but none takes a stream now. */
  | { readonly kind: 'busy' }
  /** No engine that takes work serves the model. */
  | { readonly kind: 'none' };

/** Picks engines for requests. */
export class EnginePicker {
  constructor(
    private readonly settings: PickerSettings,
    private readonly ownZone: string,
    private readonly random: RandomSource,
  ) {}

  /** Picks engines for a request among `engines`. `now` is in monotonic milliseconds. */
  pick(request: PickRequest, engines: Iterable<EngineView>, now: number): PickOutcome {
    const serving = [...engines].filter((engine) => serves(engine, request) && engine.takesWork(now));
    if (serving.length === 0) return { kind: 'none' };
    const withRoom = serving.filter((engine) => this.hasRoom(engine));
    const single = this.pickSingle(request, withRoom, now);
    const split = this.pickSplit(request, withRoom, now);
    const choice =
      !single || (split && split.expectedFirstTokenMs < single.expectedFirstTokenMs)
        ? (split ?? single)
        : single;
    return choice ? { kind: 'chosen', choice } : { kind: 'busy' };
  }

  /** Picks an engine for the output of a request whose KV cache was computed on another engine. */
  pickGenerate(request: PickRequest, engines: Iterable<EngineView>, now: number): PickOutcome {
    const generating = [...engines].filter((engine) => engine.assignment?.role !== 'prefill');
    const serving = generating.filter((engine) => serves(engine, request) && engine.takesWork(now));
    if (serving.length === 0) return { kind: 'none' };
    const withRoom = serving.filter((engine) => this.hasRoom(engine));
    const decodes = withRoom.filter((engine) => engine.assignment?.role === 'decode');
    const cost = (engine: EngineView): number => this.cost(engine, 0, now);
    const generate = this.pickOfTwo(
      { ...request, prefixKey: '' },
      decodes.length > 0 ? decodes : withRoom,
      cost,
    );
    if (!generate) return { kind: 'busy' };
    return { kind: 'chosen', choice: { prefill: undefined, generate, expectedFirstTokenMs: 0 } };
  }

  private pickSingle(
    request: PickRequest,
    withRoom: readonly EngineView[],
    now: number,
  ): EngineChoice | undefined {
    const mixed = withRoom.filter((engine) => engine.assignment?.role === 'mixed');
    const short = request.promptTokens <= this.settings.decodePrefillTokens;
    const candidates = short ? withRoom.filter((engine) => engine.assignment?.role !== 'prefill') : mixed;
    const cost = (engine: EngineView): number => this.cost(engine, request.promptTokens, now);
    const engine = this.pickOfTwo(request, candidates, cost);
    const expectedFirstTokenMs = engine?.expectedFirstTokenMs(request.promptTokens, now) ?? 0;
    return engine && { prefill: undefined, generate: engine, expectedFirstTokenMs };
  }

  private pickSplit(
    request: PickRequest,
    withRoom: readonly EngineView[],
    now: number,
  ): EngineChoice | undefined {
    const prefills = withRoom.filter((engine) => engine.assignment?.role === 'prefill');
    const decodes = withRoom.filter((engine) => engine.assignment?.role === 'decode');
    const mixed = withRoom.filter((engine) => engine.assignment?.role === 'mixed');
    const prefillCost = (engine: EngineView): number => this.cost(engine, request.promptTokens, now);
    const decodeCost = (engine: EngineView): number => this.cost(engine, 0, now);
    const prefill = this.pickOfTwo(request, prefills, prefillCost);
    const generate = this.pickOfTwo(
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
    const zoneCostMs = engine.zone === this.ownZone ? 0 : this.settings.otherZoneCostMs;
    return (
      engine.expectedFirstTokenMs(promptTokens, now) + fullness * this.settings.fullEngineCostMs + zoneCostMs
    );
  }

  private pickOfTwo(
    request: PickRequest,
    candidates: readonly EngineView[],
    cost: (engine: EngineView) => number,
  ): EngineView | undefined {
    if (candidates.length <= 1) return candidates[0];
    if (request.exhaustive) return pickCheapest(candidates, cost);
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
    const isCloseEnough = cost(affine) <= cost(better) + this.settings.affinitySlackMs;
    return isCloseEnough && this.isWithinLoadBound(affine, candidates) ? affine : better;
  }

  private hasRoom(engine: EngineView): boolean {
    return engine.streams() < engine.maximumStreams * this.settings.streamShare;
  }

  private isWithinLoadBound(engine: EngineView, candidates: readonly EngineView[]): boolean {
    let total = 0;
    for (const candidate of candidates) total += candidate.streams();
    const bound = (total / candidates.length) * this.settings.affinityLoadFactor;
    return engine.streams() <= bound + AFFINITY_FREE_STREAMS;
  }
}

function pickCheapest(candidates: readonly EngineView[], cost: (engine: EngineView) => number): EngineView {
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
