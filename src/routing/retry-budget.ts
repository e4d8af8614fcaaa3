/**
 * Bounds retries of work that may have run to a share of the requests, so that failures do not multiply load.
 * Owns the tokens of one process for one kind of request; retry-rule.ts asks it.
 */

/**
 * Retries that a new process may take. One, so that the first failure of a quiet service is not passed on. A
 * process forgets what it has retried when it ends; with 10, twenty processes in turn with 25 requests each
 * retried 280 times where 100 were earned.
 */
const INITIAL_TOKENS = 1;
/** Retries saved up at most, which bounds a burst after a quiet time. */
const MAXIMUM_TOKENS = 100;

/** A retry budget: each request adds a part of a token, each retry takes a whole one. */
export class RetryBudget {
  private tokens = INITIAL_TOKENS;

  /** @param ratio retries allowed per request, in the long run */
  constructor(private readonly ratio: number) {}

  /** Counts a request. */
  addRequest(): void {
    this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + this.ratio);
  }

  /** Takes a retry if the budget allows one. */
  tryRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
