/** Measures how many prompt tokens are computed where, and how fast a prefill engine computes them. */
import { SmoothedRate } from '../shared/smoothed-rate.js';

const TIME_CONSTANT_MS = 2000;
const SAMPLES = 15;
const MINIMUM_SAMPLES = 3;
/** Shorter prompts say more about the way there than about the engine. */
const MINIMUM_SAMPLE_TOKENS = 1000;
const SECOND_MS = 1000;

interface ServiceMeter {
  readonly decodePrompts: SmoothedRate;
  readonly requests: SmoothedRate;
  readonly promptRates: number[];
}

/** The meter of one daemon. Times are monotonic milliseconds. */
export class PromptMeter {
  private readonly services = new Map<string, ServiceMeter>();

  /** A request for the service. */
  request(service: string, now: number): void {
    this.of(service).requests.add(1, now);
  }

  /** A prompt went to a decode engine. */
  decodePrompt(service: string, tokens: number, now: number): void {
    this.of(service).decodePrompts.add(tokens, now);
  }

  /** A prefill engine on which nothing waited computed a prompt. */
  prefilled(service: string, tokens: number, elapsedMs: number): void {
    if (tokens < MINIMUM_SAMPLE_TOKENS || elapsedMs <= 0) return;
    const { promptRates } = this.of(service);
    promptRates.push((tokens / elapsedMs) * SECOND_MS);
    if (promptRates.length > SAMPLES) promptRates.shift();
  }

  /** Prompt tokens a second that this daemon sends to decode engines. */
  decodePromptRate(service: string, now: number): number {
    return this.of(service).decodePrompts.perSecond(now);
  }

  /** Requests a second. */
  requestRate(service: string, now: number): number {
    return this.of(service).requests.perSecond(now);
  }

  /** Prompt tokens a second of one prefill engine: the median of the last samples; undefined before there are some. */
  promptRate(service: string): number | undefined {
    const { promptRates } = this.of(service);
    if (promptRates.length < MINIMUM_SAMPLES) return undefined;
    const sorted = [...promptRates].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)];
  }

  private of(service: string): ServiceMeter {
    let meter = this.services.get(service);
    if (!meter) {
      meter = {
        decodePrompts: new SmoothedRate(TIME_CONSTANT_MS),
        requests: new SmoothedRate(TIME_CONSTANT_MS),
        promptRates: [],
      };
      this.services.set(service, meter);
    }
    return meter;
  }
}
