/**
 * Admission and waiting rules of a daemon for completions: when a request is refused on arrival, held back in
 * the queue, given up, or paused after a rejection. Owns no state; reads the expected waits. Retries of
 * broken attempts are decided in retry-rule.ts, the engine in engine-picker.ts, and the Retry-After time of
 * an overload refusal in retry-after.ts.
 */
import type { ServiceRow } from '../configuration/service-row.js';
import { OverloadedError } from '../errors/index.js';
import type { CompletionSettings } from './completion-effects.js';
import type { CompletionRequest } from './completion-request.js';
import { getNotRun, type Session } from './completion-session.js';
import type { EngineChoice } from './engine-picker.js';
import { getOverloadRetryAfterMs, MINIMUM_OVERLOAD_RETRY_AFTER_MS } from './retry-after.js';
import type { WaitEstimator } from './wait-estimator.js';

/**
 * Pause of a request after rejections by engines, doubled with each, and its upper bound. Milliseconds; the
 * bound is well below the default maximum wait of a service, 5 s.
 */
const REJECTION_BACKOFF_MS = 50;
const MAXIMUM_REJECTION_BACKOFF_MS = 800;
/** Upper bound of the exponent; the maximum pause is reached before it. */
const MAXIMUM_DOUBLINGS = 6;
/** Consecutive rejections without a pause: other engines are tried immediately. */
const REJECTIONS_WITHOUT_PAUSE = 2;

/** The rules of one daemon. Times are monotonic milliseconds. */
export class CompletionRules {
  constructor(
    private readonly settings: CompletionSettings,
    private readonly waits: WaitEstimator,
  ) {}

  /**
   * The reason to refuse a request before it takes a slot; undefined to accept it. A request is refused when
   * its expected wait, from the work queued here and at the engines, exceeds its allowed wait or its
   * deadline. Without a known engine there is no estimate, and the request is accepted.
   */
  findRefusal(request: CompletionRequest, row: ServiceRow, now: number): OverloadedError | undefined {
    const expectedWaitMs = this.waits.expectedMs(row, now);
    if (expectedWaitMs === undefined) return undefined;
    const deadlineMs = request.timeoutMs ?? row.deadlineMs;
    const allowedMs = Math.min(this.waits.allowedMs(request, row), deadlineMs);
    if (expectedWaitMs <= allowedMs) return undefined;
    return new OverloadedError(row.name, expectedWaitMs, getOverloadRetryAfterMs(expectedWaitMs, allowedMs));
  }

  /**
   * The reason to give up a queued request; undefined to keep it. The caller of a request whose attempt broke
   * has already waited for it, so it may wait for at least the stall timeout of an attempt.
   */
  findExpiry(session: Session, now: number): OverloadedError | undefined {
    const waitedMs = now - session.queuedAt;
    const afterBreakMs = session.brokenAttempts > 0 ? this.settings.attemptStallMs : 0;
    const limitMs = Math.max(this.waits.allowedMs(session.request, session.row), afterBreakMs);
    if (waitedMs <= limitMs) return undefined;
    return new OverloadedError(
      session.row.name,
      waitedMs,
      MINIMUM_OVERLOAD_RETRY_AFTER_MS,
      getNotRun(session),
    );
  }

  /**
   * Whether a request waits in the fair queue of this daemon rather than in the first-come, first-served
   * queue of the engine. It does when the engine's other work would delay its first token by more than
   * `dispatchHorizonMs`. Short prompts are not held back.
   */
  isHeldBack(request: CompletionRequest, choice: EngineChoice): boolean {
    if (request.prompt.tokens <= this.settings.smallPromptTokens) return false;
    const engine = choice.prefill ?? choice.generate;
    const computed = request.prompt.tokens * (1 - engine.cachedShare);
    const requestMs = (computed / engine.prefillRate()) * 1000;
    return choice.expectedFirstTokenMs - requestMs > this.settings.dispatchHorizonMs;
  }

  /** Whether a request pauses after this number of consecutive rejections. */
  isPauseDue(rejections: number): boolean {
    return rejections > REJECTIONS_WITHOUT_PAUSE;
  }

  /** Duration of the pause after this number of consecutive rejections. Milliseconds. */
  getPauseMs(rejections: number): number {
    const doubled = REJECTION_BACKOFF_MS * 2 ** Math.min(rejections, MAXIMUM_DOUBLINGS);
    return Math.min(MAXIMUM_REJECTION_BACKOFF_MS, doubled);
  }
}
