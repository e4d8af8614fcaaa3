/**
 * Decides whether work that a back end may have started is sent again, for completions and application calls
 * alike. Owns the retry budget of one of the two. Work that was certainly not executed is sent to another back
 * end without consulting this rule.
 */
import { RetryBudget } from './retry-budget.js';

/** The input of the rule. */
export interface BrokenWork {
  /** Whether the service allows its requests to be executed more than once. */
  readonly repeatable: boolean;
  /** Number of broken attempts of the request, including the last one. */
  readonly brokenAttempts: number;
}

/** Settings of the rule. */
export interface RetryRuleSettings {
  /** Maximum number of attempts of one request that may have been executed. */
  readonly maximumAttempts: number;
  /** Retries allowed per request, averaged over time. */
  readonly retryRatio: number;
}

/** The retry rule and its budget. */
export class RetryRule {
  private readonly budget: RetryBudget;

  constructor(private readonly settings: RetryRuleSettings) {
    this.budget = new RetryBudget(settings.retryRatio);
  }

  /** Counts a request, which adds to the budget. */
  addRequest(): void {
    this.budget.addRequest();
  }

  /** Whether the work may be sent again now. Takes nothing from the budget. */
  mayRetry(work: BrokenWork): boolean {
    return this.isAllowed(work) && this.budget.hasRetry();
  }

  /** Whether the work is sent again. If so, takes a retry from the budget. */
  takeRetry(work: BrokenWork): boolean {
    return this.isAllowed(work) && this.budget.tryRetry();
  }

  private isAllowed({ repeatable, brokenAttempts }: BrokenWork): boolean {
    return repeatable && brokenAttempts < this.settings.maximumAttempts;
  }
}
