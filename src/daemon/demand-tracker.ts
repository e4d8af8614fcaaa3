/**
 * Tracks the demand for each model version at this daemon, including refused requests. Owns smoothed rates by
 * model version and the mean output length by service. Cell coordinators assign engines by this demand.
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

/** Weight of the newest answer in the moving average of a service's output length. */
const OUTPUT_LENGTH_WEIGHT = 0.05;

/** Estimates demand in tokens per second, with output lengths learned per service. */
export class DemandTracker {
  private readonly rates = new Map<string, ModelRates>();
  private readonly outputTokens = new Map<string, number>();

  constructor(private readonly timeConstantMs: number) {}

  /** Adds the expected tokens of a request that arrived. */
  addArrival(row: ServiceRow, promptTokens: number, maximumTokens: number, now: number): void {
    const rates = this.getRates(row);
    rates.prefill.add(promptTokens, now);
    rates.decode.add(Math.min(maximumTokens, this.outputTokens.get(row.name) ?? maximumTokens), now);
  }

  /** Adds the output length of a finished answer, in tokens. */
  addOutput(service: string, outputTokens: number): void {
    if (outputTokens === 0) return;
    const known = this.outputTokens.get(service);
    const next = known === undefined ? outputTokens : known + OUTPUT_LENGTH_WEIGHT * (outputTokens - known);
    this.outputTokens.set(service, next);
  }

  /** The current demand, scaled by `share`. */
  getEntries(now: number, share: number): DemandEntry[] {
    return [...this.rates.values()].map((rates) => [
      rates.model,
      rates.version,
      Math.round(rates.prefill.perSecond(now) * share),
      Math.round(rates.decode.perSecond(now) * share),
    ]);
  }

  private getRates(row: ServiceRow): ModelRates {
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
