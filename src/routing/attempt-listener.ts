/**
 * The interface through which the completion and application-call managers report the outcomes of attempts,
 * and check before each attempt whether the request is quarantined. Owns no state.
 */

/** The back end of an attempt. */
export interface AttemptBackend {
  readonly id: string;
  readonly address: string;
}

/** Receives the outcomes of attempts. Times are monotonic milliseconds. */
export abstract class AttemptListener {
  /** Remaining quarantine of a request; undefined when it may be sent. Milliseconds. */
  abstract getQuarantineMs(key: string | undefined, now: number): number | undefined;
  /** The connection of an attempt closed before the response was complete. */
  abstract addBrokenAttempt(
    key: string | undefined,
    backend: AttemptBackend,
    startedAt: number,
    now: number,
  ): void;
  /** A back end sent a complete response. */
  abstract addAnswer(key: string | undefined, now: number): void;
}

/** A listener that ignores outcomes and quarantines nothing. */
export class NoAttemptListener extends AttemptListener {
  override getQuarantineMs(): undefined {
    return undefined;
  }
  override addBrokenAttempt(): void {}
  override addAnswer(): void {}
}
