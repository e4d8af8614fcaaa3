/**
 * What a daemon decides about a completion between its arrival and its answer: refused at once, held here,
 * given up, tried again after a rejection. Owns no state; reads the expected waits. Whether a broken attempt
 * is repeated is decided in retry-rule.ts, which engine is taken in engine-picker.ts, how a refusal for load
 * tells when to come back in retry-after.ts.
 */
import type { ServiceRow } from '../configuration/service-row.js';
import { OverloadedError } from '../errors/index.js';
import type { CompletionSettings } from './completion-effects.js';
import type { CompletionRequest } from './completion-request.js';
import { notRunOf, type Session } from './completion-session.js';
import type { EngineChoice } from './engine-picker.js';
import { getOverloadRetryAfterMs, MINIMUM_OVERLOAD_RETRY_AFTER_MS } from './retry-after.js';
import type { WaitEstimator } from './wait-estimator.js';

/**
 * Pause of a request after rejections by engines, doubled with each, and its upper bound. Milliseconds;
 * the bound is well below the 5 s that a service lets requests wait by default.
 */
const REJECTION_BACKOFF_MS = 50;
const MAXIMUM_REJECTION_BACKOFF_MS = 800;
/** Doublings after which the exponent grows no more; the longest backoff is reached before. */
const MAXIMUM_DOUBLINGS = 6;
/** Rejections in a row that a request meets without a pause: other engines are tried at once. */
const REJECTIONS_WITHOUT_PAUSE = 2;

/** The rules of one daemon. Times are monotonic milliseconds. */
export class CompletionRules {
  constructor(
    private readonly settings: CompletionSettings,
    private readonly waits: WaitEstimator,
  ) {}

  /**
   * Why a request is refused before it takes a slot; undefined to go on. It is refused when its expected
   * wait, from the work queued here and at the engines, is longer than it may wait or than its deadline.
   * Where no engine is known nothing is expected, and the request goes on.
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
   * Why a request that waits here is given up; undefined to go on. One whose attempt broke has a caller that
   * waited for it already, so it may wait for as long as an attempt may stall.
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
      notRunOf(session),
    );
  }

  /**
   * Whether a request waits here, in its fair order, rather than in the first-come queue of an engine: when
   * the engine's other work would delay its first token by more than `dispatchHorizonMs`. Short prompts are
   * not held back.
   */
  isHeldBack(request: CompletionRequest, choice: EngineChoice): boolean {
    if (request.prompt.tokens <= this.settings.smallPromptTokens) return false;
    const engine = choice.prefill ?? choice.generate;
    const computed = request.prompt.tokens * (1 - engine.cachedShare);
    const ownMs = (computed / engine.prefillRate()) * 1000;
    return choice.expectedFirstTokenMs - ownMs > this.settings.dispatchHorizonMs;
  }

  /** Whether a request pauses after so many rejections in a row. */
  isPaused(rejections: number): boolean {
    return rejections > REJECTIONS_WITHOUT_PAUSE;
  }

  /** How long a request pauses after so many rejections in a row. Milliseconds. */
  getPauseMs(rejections: number): number {
    const doubled = REJECTION_BACKOFF_MS * 2 ** Math.min(rejections, MAXIMUM_DOUBLINGS);
    return Math.min(MAXIMUM_REJECTION_BACKOFF_MS, doubled);
  }
}
