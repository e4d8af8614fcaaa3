/** The interface by which the managers of completions and calls report their runs and ask before each. */

/** A back end as a manager knows it. */
export interface AttemptBackend {
  readonly id: string;
  readonly address: string;
}

/** Hears of runs. Times are monotonic milliseconds. */
export abstract class AttemptListener {
  /** How long a request is still to be kept from back ends; undefined when it may run. Milliseconds. */
  abstract getQuarantineMs(key: string | undefined, now: number): number | undefined;
  /** The connection of a run ended before the answer was whole. */
  abstract addBrokenAttempt(
    key: string | undefined,
    backend: AttemptBackend,
    startedAt: number,
    now: number,
  ): void;
  /** A back end gave a whole answer. */
  abstract addAnswer(key: string | undefined, now: number): void;
}

/** Hears nothing and keeps nothing away. */
export class NoAttemptListener extends AttemptListener {
  override getQuarantineMs(): undefined {
    return undefined;
  }
  override addBrokenAttempt(): void {}
  override addAnswer(): void {}
}
