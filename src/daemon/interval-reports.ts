/**
 * Log lines that aggregate an interval, where one line per occurrence would be too many: newly found members
 * and the use of the retry budget. Owns the counts and the times of the last lines.
 */
import type { RetryAllowance } from '../forwarding/retry/retry-allowance.js';
import type { ChangeEvent } from './change-log.js';

/**
 * Interval between lines on found members. Milliseconds. A starting daemon finds hundreds of members within a
 * second.
 */
const MEMBERS_FOUND_INTERVAL_MS = 1000;
/** Interval between lines on retries, if any were requested. Milliseconds. */
const RETRIES_USED_INTERVAL_MS = 1000;

/** What the reports read, and where they are written. */
interface IntervalReportsContext {
  readonly retries: RetryAllowance;
  /** Number of active members, including this daemon. */
  getMemberCount(): number;
  /** Number of daemons that share the retry budget. */
  getDaemonCount(): number;
  logChange(event: ChangeEvent, fields: Readonly<Record<string, unknown>>): void;
}

/** The interval reports of one daemon. Times are monotonic milliseconds. */
export class IntervalReports {
  private membersFound = 0;
  private membersLoggedAt: number;
  private retriesLoggedAt: number;

  constructor(
    private readonly context: IntervalReportsContext,
    now: number,
  ) {
    this.membersLoggedAt = now;
    this.retriesLoggedAt = now;
  }

  /** Counts a newly found member. */
  addMember(): void {
    this.membersFound += 1;
  }

  /** Writes the log lines that are due. */
  tick(now: number): void {
    this.logMembers(now);
    this.logRetries(now);
  }

  private logMembers(now: number): void {
    if (this.membersFound === 0 || now - this.membersLoggedAt < MEMBERS_FOUND_INTERVAL_MS) return;
    this.context.logChange('members.found', {
      found: this.membersFound,
      members: this.context.getMemberCount(),
    });
    this.membersFound = 0;
    this.membersLoggedAt = now;
  }

  private logRetries(now: number): void {
    if (now - this.retriesLoggedAt < RETRIES_USED_INTERVAL_MS) return;
    this.retriesLoggedAt = now;
    const uses = this.context.retries.takeUsage(this.context.getDaemonCount(), now);
    for (const use of uses) this.context.logChange('retries.used', { ...use });
  }
}
