/**
 * Chooses engines for a request. Policy only: it sees engine views and answers a plan; it sends nothing.
 * Within a stage it takes the better of two random engines (Mitzenmacher, 2001) unless the engine that
 * holds the prompt's prefix is not much busier than they are (bounded load).
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
  /** Engines that turned this request away just now. */
  readonly excluded: ReadonlySet<string>;
}

/** Where a request goes: one engine for everything, or one for the prompt and one for the output. */
export interface RoutePlan {
  readonly prefill: EngineView | undefined;
  readonly generate: EngineView;
  /** Expected time until the first token. Milliseconds. */
  readonly expectedFirstTokenMs: number;
}

/** Settings of the picker. */
export interface PickerSettings {
  /** The engine with the prefix may be expected to take this much longer than the better of two. Milliseconds. Default 150. */
  readonly affinitySlackMs: number;
  /** Prompts up to this length are computed on a decode engine itself when that is quicker. Tokens. Default 256. */
  readonly decodePrefillTokens: number;
  /** Time to move the KV cache of a prompt, per token. Milliseconds. Default 0.02. */
  readonly kvTransferMsPerToken: number;
  /** Preference for the own zone. Milliseconds taken off its engines' expected time. Default 5. */
  readonly ownZoneBonusMs: number;
}

/** Default settings. */
export const DEFAULT_PICKER_SETTINGS: PickerSettings = {
  affinitySlackMs: 150,
  decodePrefillTokens: 256,
  kvTransferMsPerToken: 0.02,
  ownZoneBonusMs: 5,
};

/** Whether engines of the model are known at all, for the right refusal. */
export type PickOutcome =
  | { readonly kind: 'plan'; readonly plan: RoutePlan }
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

  /** The best plan among `engines` at time `now`. */
  pick(request: PickRequest, engines: Iterable<EngineView>, now: number): PickOutcome {
    const serving = [...engines].filter((engine) => serves(engine, request) && engine.takesWork(now));
    if (serving.length === 0) return { kind: 'none' };
    const open = serving.filter((engine) => engine.streams() < engine.maximumStreams);
    const direct = this.directPlan(request, open, now);
    const split = this.splitPlan(request, open, now);
    const plan =
      !direct || (split && split.expectedFirstTokenMs < direct.expectedFirstTokenMs)
        ? (split ?? direct)
        : direct;
    return plan ? { kind: 'plan', plan } : { kind: 'busy' };
  }

  private directPlan(request: PickRequest, open: readonly EngineView[], now: number): RoutePlan | undefined {
    const mixed = open.filter((engine) => engine.assignment?.role === 'mixed');
    const short = request.promptTokens <= this.settings.decodePrefillTokens;
    const candidates = short ? open.filter((engine) => engine.assignment?.role !== 'prefill') : mixed;
    const cost = (engine: EngineView): number =>
      this.zoned(engine, engine.expectedFirstTokenMs(request.promptTokens, now));
    const engine = this.betterOfTwo(request, candidates, cost);
    return engine && { prefill: undefined, generate: engine, expectedFirstTokenMs: cost(engine) };
  }

  private splitPlan(request: PickRequest, open: readonly EngineView[], now: number): RoutePlan | undefined {
    const prefills = open.filter((engine) => engine.assignment?.role === 'prefill');
    const decodes = open.filter((engine) => engine.assignment?.role === 'decode');
    const mixed = open.filter((engine) => engine.assignment?.role === 'mixed');
    const prefillCost = (engine: EngineView): number =>
      this.zoned(engine, engine.expectedFirstTokenMs(request.promptTokens, now));
    const decodeCost = (engine: EngineView): number => this.zoned(engine, engine.streams());
    const prefill = this.betterOfTwo(request, prefills, prefillCost);
    const generate = this.betterOfTwo(
      { ...request, prefixKey: '' },
      decodes.length > 0 ? decodes : mixed,
      decodeCost,
    );
    if (!prefill || !generate) return undefined;
    const expectedFirstTokenMs =
      prefillCost(prefill) + request.promptTokens * this.settings.kvTransferMsPerToken;
    return { prefill, generate, expectedFirstTokenMs };
  }

  private zoned(engine: EngineView, cost: number): number {
    return engine.zone === this.ownZone ? cost - this.settings.ownZoneBonusMs : cost;
  }

  private betterOfTwo(
    request: PickRequest,
    candidates: readonly EngineView[],
    cost: (engine: EngineView) => number,
  ): EngineView | undefined {
    if (candidates.length <= 1) return candidates[0];
    const first = candidates[this.random.below(candidates.length)];
    const second = candidates[this.random.below(candidates.length)];
    const better = cost(second) < cost(first) ? second : first;
    if (request.prefixKey === '') return better;
    const affineId = pickByRendezvous(
      request.prefixKey,
      candidates.map((engine) => engine.id),
    );
    const affine = candidates.find((engine) => engine.id === affineId);
    const near = affine !== undefined && cost(affine) <= cost(better) + this.settings.affinitySlackMs;
    return near ? affine : better;
  }
}

function serves(engine: EngineView, request: PickRequest): boolean {
  const { assignment } = engine;
  if (!assignment || request.excluded.has(engine.id)) return false;
  if (assignment.model !== request.model || assignment.version !== request.version) return false;
  return request.adapter === '' || assignment.adapters.includes(request.adapter);
}
