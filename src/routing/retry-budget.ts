/**
 * Limits retries of work that may have been executed to a share of the requests, so that failures do not
 * amplify load.
 * Owns the tokens of one process for one kind of request; used by retry-rule.ts.
 */

/**
 * Retries that a new process may use. One, so that the first failure of a service with little traffic is
 * retried rather than returned. The budget is lost when a process ends: with 10, twenty consecutive processes
 * with 25 requests each retried 280 times where their requests allowed 100.
 */
const INITIAL_TOKENS = 1;
/** Maximum accumulated retries, which bounds a burst of retries after an idle period. */
const MAXIMUM_TOKENS = 100;

/** A token bucket: each request adds `ratio` tokens, each retry takes one. */
export class RetryBudget {
  private tokens = INITIAL_TOKENS;

  /** @param ratio retries allowed per request, averaged over time */
  constructor(private readonly ratio: number) {}

  /** Counts a request. */
  addRequest(): void {
    this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + this.ratio);
  }

  /** Whether there is a token. Does not take it. */
  hasRetry(): boolean {
    return this.tokens >= 1;
  }

  /** Takes a token if there is one. Returns whether the retry is allowed. */
  tryRetry(): boolean {
    if (!this.hasRetry()) return false;
    this.tokens -= 1;
    return true;
  }
}
