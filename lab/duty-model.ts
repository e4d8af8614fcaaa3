/**
 * The platform's side of the duties as a pure state machine: what it accepts, what it rejects, and which
 * promises the calls that arrive break. It knows nothing of the daemons' inside.
 */
import type { DutyAuthority, DutyCall, DutyResult } from '../src/duties/duty-messages.js';

interface Arrival {
  readonly machine: string;
  readonly at: number;
}

/** The platform. Times are monotonic milliseconds. */
export class DutyModel {
  /** The counts that were accepted, as text, by window. */
  readonly reports = new Map<number, string>();
  /** Calls that arrived, repeats and refused ones included. */
  calls = 0;
  readonly violations: string[] = [];
  private highestFence = 0;
  private readonly holders = new Map<number, string>();
  private readonly arrivals: Arrival[] = [];

  /** `fenced`: whether calls with a lower fence than was seen are rejected. */
  constructor(
    private readonly fenced: boolean,
    private readonly leaseMs: number,
  ) {}

  /** Takes a call that arrives from a machine. */
  apply(machine: string, call: DutyCall, { fence }: DutyAuthority, now: number): DutyResult {
    this.calls += 1;
    this.checkHolder(machine, fence);
    if (fence < this.highestFence) {
      if (this.fenced) return { kind: 'superseded' };
      this.violations.push(`fence ${fence} after ${this.highestFence}, by ${machine}`);
    }
    this.highestFence = Math.max(this.highestFence, fence);
    this.checkTurns(machine, now);
    if (call.kind === 'reportUsage') this.report(call);
    return { kind: 'accepted' };
  }

  private report({ window, counts }: Extract<DutyCall, { kind: 'reportUsage' }>): void {
    const text = JSON.stringify(counts);
    const known = this.reports.get(window);
    if (known === undefined) this.reports.set(window, text);
    else if (known !== text)
      this.violations.push(`two reports of window ${window}: ${known} and then ${text}`);
  }

  private checkHolder(machine: string, fence: number): void {
    const holder = this.holders.get(fence);
    if (holder === undefined) this.holders.set(fence, machine);
    else if (holder !== machine) this.violations.push(`fence ${fence} of both ${holder} and ${machine}`);
  }

  /** One machine, then another, then the first again within a lease. */
  private checkTurns(machine: string, now: number): void {
    this.arrivals.push({ machine, at: now });
    const recent = this.arrivals.filter(({ at }) => now - at < this.leaseMs);
    const first = recent.findIndex((arrival) => arrival.machine === machine);
    if (recent.slice(first).some((arrival) => arrival.machine !== machine))
      this.violations.push(`${machine} acts again within a lease of another's call, at ${Math.round(now)}`);
  }
}
