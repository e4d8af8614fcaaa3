/**
 * What services ask of each model version here, refused requests included. Owns smoothed rates by model and
 * the mean length of answers by service; the coordinators of cells decide on it.
 */
import { SmoothedRate } from '../shared/smoothed-rate.js';
import type { ServiceRow } from '../configuration/service-row.js';
import type { DemandEntry } from './cell-messages.js';

interface ModelRates {
  readonly model: string;
  readonly version: number;
  readonly prefill: SmoothedRate;
  readonly decode: SmoothedRate;
}

/** Weight of the newest answer in the mean length of a service's answers. */
const OUTPUT_SMOOTHING = 0.05;

/** Estimates demand in tokens per second. Output lengths are learnt per service. */
export class DemandTracker {
  private readonly rates = new Map<string, ModelRates>();
  private readonly outputTokens = new Map<string, number>();

  constructor(private readonly timeConstantMs: number) {}

  /** A request arrived. */
  addArrival(row: ServiceRow, promptTokens: number, maximumTokens: number, now: number): void {
    const rates = this.ratesOf(row);
    rates.prefill.add(promptTokens, now);
    rates.decode.add(Math.min(maximumTokens, this.outputTokens.get(row.name) ?? maximumTokens), now);
  }

  /** An answer is over. */
  addOutput(service: string, outputTokens: number): void {
    if (outputTokens === 0) return;
    const known = this.outputTokens.get(service);
    const next = known === undefined ? outputTokens : known + OUTPUT_SMOOTHING * (outputTokens - known);
    this.outputTokens.set(service, next);
  }

  /** The present demand, scaled by `share`. */
  getEntries(now: number, share: number): DemandEntry[] {
    return [...this.rates.values()].map((rates) => [
      rates.model,
      rates.version,
      Math.round(rates.prefill.perSecond(now) * share),
      Math.round(rates.decode.perSecond(now) * share),
    ]);
  }

  private ratesOf(row: ServiceRow): ModelRates {
    const key = `${row.model}@${row.version}`;
    let rates = this.rates.get(key);
    if (!rates) {
      const { model, version } = row;
      rates = {
        model,
        version,
        prefill: new SmoothedRate(this.timeConstantMs),
        decode: new SmoothedRate(this.timeConstantMs),
      };
      this.rates.set(key, rates);
    }
    return rates;
  }
}
