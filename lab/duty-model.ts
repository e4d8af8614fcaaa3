/**
 * The platform's side of the duties as a pure state machine: accepts or rejects the calls of daemons and records
 * which promises they break. Relies on nothing inside the daemons.
 */
import type { DutyAuthority, DutyCall, DutyResult } from '../src/duties/duty-messages.js';

interface Arrival {
  readonly machine: string;
  readonly at: number;
}

/** The platform's state: fences, holders and reports. Times are monotonic milliseconds. */
export class DutyModel {
  /** The accepted counts, as JSON text, by window. */
  readonly reports = new Map<number, string>();
  /** Number of calls, retries and rejected ones included. */
  calls = 0;
  readonly violations: string[] = [];
  private highestFence = 0;
  private readonly holders = new Map<number, string>();
  private readonly arrivals: Arrival[] = [];

  /** `fenced`: calls with a fence below the highest so far are rejected; without it they are recorded as violations. */
  constructor(
    private readonly fenced: boolean,
    private readonly leaseMs: number,
  ) {}

  /** Applies a call from a machine. */
  apply(machine: string, call: DutyCall, { fence }: DutyAuthority, now: number): DutyResult {
    this.calls += 1;
    this.checkHolder(machine, fence);
    if (fence < this.highestFence) {
      if (this.fenced) return { kind: 'superseded' };
      this.violations.push(`fence ${fence} after ${this.highestFence}, by ${machine}`);
    }
    this.highestFence = Math.max(this.highestFence, fence);
    this.checkTurns(machine, now);
    if (call.kind === 'reportUsage') this.addReport(call);
    return { kind: 'accepted' };
  }

  private addReport({ window, counts }: Extract<DutyCall, { kind: 'reportUsage' }>): void {
    const text = JSON.stringify(counts);
    const previous = this.reports.get(window);
    if (previous === undefined) this.reports.set(window, text);
    else if (previous !== text)
      this.violations.push(`two reports of window ${window}: ${previous} and then ${text}`);
  }

  private checkHolder(machine: string, fence: number): void {
    const holder = this.holders.get(fence);
    if (holder === undefined) this.holders.set(fence, machine);
    else if (holder !== machine) this.violations.push(`fence ${fence} of both ${holder} and ${machine}`);
  }

  /** Finds calls of one machine, then another, then the first again within the duration of a lease. */
  private checkTurns(machine: string, now: number): void {
    this.arrivals.push({ machine, at: now });
    const recent = this.arrivals.filter(({ at }) => now - at < this.leaseMs);
    const first = recent.findIndex((arrival) => arrival.machine === machine);
    if (recent.slice(first).some((arrival) => arrival.machine !== machine))
      this.violations.push(`${machine} acts again within a lease of another's call, at ${Math.round(now)}`);
  }
}
