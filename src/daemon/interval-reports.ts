/**
 * Lines of the log that sum up an interval, where one line for each occurrence would be too many: members
 * that were found, and use of the retry budget. Owns the counts and the times of the last lines.
 */
import type { RetryAllowance } from '../forwarding/retry/retry-allowance.js';
import type { ChangeEvent } from './change-log.js';

/**
 * A daemon that starts finds hundreds of members within a second: one line an interval says how many.
 * Milliseconds.
 */
const MEMBERS_FOUND_INTERVAL_MS = 1000;
/** Interval between lines on retries, if any were asked for. Milliseconds. */
const RETRIES_USED_INTERVAL_MS = 1000;

/** What the reports read, and where they go. */
interface IntervalReportsContext {
  readonly retries: RetryAllowance;
  /** Active members, this daemon included. */
  members(): number;
  /** Daemons that share what back ends bear. */
  daemons(): number;
  logChange(event: ChangeEvent, fields: Readonly<Record<string, unknown>>): void;
}

/** The reports of one daemon. Times are monotonic milliseconds. */
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

  /** Counts a member that was found. */
  addMember(): void {
    this.membersFound += 1;
  }

  /** Writes the lines that are due. */
  tick(now: number): void {
    this.logMembers(now);
    this.logRetries(now);
  }

  private logMembers(now: number): void {
    if (this.membersFound === 0 || now - this.membersLoggedAt < MEMBERS_FOUND_INTERVAL_MS) return;
    this.context.logChange('members.found', { found: this.membersFound, members: this.context.members() });
    this.membersFound = 0;
    this.membersLoggedAt = now;
  }

  private logRetries(now: number): void {
    if (now - this.retriesLoggedAt < RETRIES_USED_INTERVAL_MS) return;
    this.retriesLoggedAt = now;
    const uses = this.context.retries.takeUsage(this.context.daemons(), now);
    for (const use of uses) this.context.logChange('retries.used', { ...use });
  }
}
