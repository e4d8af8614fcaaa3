/**
 * The lease on a cell, kept as one row of the platform's table. Its epoch is the fencing token of orders. The
 * rules:
 * - a daemon takes the lease when the row says that it is free, or has shown the same holder for its duration
 *   (`mayAcquire`), always under the next epoch;
 * - it holds the lease until `durationMs` less `marginMs` after it sent the write that the table took
 *   (`writeSucceeded`);
 * - an epoch that lapsed is never taken up again (`lapsedThrough`). No clocks are compared: a holder counts
 *   from before it sent its write, a contender from after it first saw the row unchanged, so that the holder
 *   always stops first.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import type { TableRequest, TableResult, TableRow } from '../contracts/table-service.js';

/** Durations of a lease. */
export interface LeaseSettings {
  /** How long a lease lasts after the write that renewed it. Milliseconds. Default 6000. */
  readonly durationMs: number;
  /** Interval of renewals and of a contender's reads. Milliseconds. Default 2000. */
  readonly renewIntervalMs: number;
  /**
   * The holder stops this long before the end, for clocks that run at different speeds. Milliseconds. Default
   * 600.
   */
  readonly marginMs: number;
}

/** Default settings. */
export const DEFAULT_LEASE_SETTINGS: LeaseSettings = {
  durationMs: 6000,
  renewIntervalMs: 2000,
  marginMs: 600,
};

/** What the lease row holds. */
export interface LeaseValue {
  /** The daemon that holds the lease; empty after a release. */
  readonly holder: string;
  readonly epoch: number;
  readonly durationMs: number;
}

/** Authority over a cell. It ends at `validUntil`, whatever happens. */
export interface HeldLease {
  readonly epoch: number;
  readonly validUntil: number;
}

/** What the lease machine asks its runner to do. */
export type LeaseEffect =
  | { readonly kind: 'leaseTable'; readonly cell: string; readonly request: TableRequest }
  | { readonly kind: 'leaseAcquired'; readonly cell: string; readonly epoch: number }
  | { readonly kind: 'leaseLost'; readonly cell: string; readonly epoch: number };

interface Write {
  readonly writeId: string;
  readonly expectedRevision: number;
  readonly value: LeaseValue;
  /** The first time this write was sent: its effect cannot be earlier. */
  readonly firstSentAt: number;
}

/** Revision of a row that was never written. */
const FIRST_REVISION = 0;
/** A write without an answer is sent again after this share of `renewIntervalMs`. */
const REPEAT_SHARE = 0.25;

/** The lease state machine of one daemon and one cell. */
export class CellLease {
  private held: HeldLease | undefined;
  private observed: { revision: number; value: LeaseValue | undefined; since: number } | undefined;
  private pendingWrite: Write | undefined;
  private requestInFlight = false;
  private nextActionAt: number;
  private writeCount = 0;
  /** Epochs up to this one lapsed here: they are never taken up again, a new epoch is written instead. */
  private lapsedThrough = 0;
  private readonly startedAt: number;

  constructor(
    private readonly cell: string,
    private readonly selfId: string,
    private readonly settings: LeaseSettings,
    private readonly emit: EffectSink<LeaseEffect>,
    now: number,
  ) {
    this.nextActionAt = now;
    this.startedAt = now;
  }

  /** The authority at time `now`, if any. Callers must ask before each order and must not keep the answer. */
  getHeldLease(now: number): HeldLease | undefined {
    if (this.held && now >= this.held.validUntil) this.lose();
    return this.held;
  }

  /** The holder that the table last showed, for status pages. */
  getLastObserved(): LeaseValue | undefined {
    return this.observed?.value;
  }

  /**
   * Advances timers. `shouldHold` says whether this daemon should hold the lease. It leaves one that has
   * become free to others for `patienceMs`.
   */
  tick(now: number, shouldHold: boolean, patienceMs = 0): void {
    this.getHeldLease(now);
    if (this.requestInFlight || now < this.nextActionAt) return;
    this.nextActionAt = now + this.settings.renewIntervalMs;
    if (this.pendingWrite) this.sendWrite(this.pendingWrite);
    else if (this.held) this.renew(now);
    else if (shouldHold && this.mayAcquire(now, patienceMs)) this.acquire(now);
    else if (shouldHold) this.read();
  }

  /** Gives the lease back, so that a successor need not wait. */
  release(now: number): void {
    if (!this.held || !this.observed || this.pendingWrite) return;
    const value: LeaseValue = { holder: '', epoch: this.held.epoch, durationMs: this.settings.durationMs };
    this.lose();
    this.write(now, value);
  }

  /** Ends the authority here at once: somebody else was seen to have a later one. */
  onSuperseded(): void {
    this.lose();
  }

  /**
   * This process's clock stood still for a time that nobody here has counted: what was held may have gone to
   * another, and a write on its way counts from a moment that lies further back than it seems.
   */
  onMachineSuspended(): void {
    this.lose();
    this.lapsedThrough = Math.max(this.lapsedThrough, this.pendingWrite?.value.epoch ?? 0);
  }

  /** Takes the answer to a `leaseTable` effect. */
  receiveTableResult(result: TableResult, now: number): void {
    this.requestInFlight = false;
    switch (result.kind) {
      case 'committed':
        this.writeSucceeded(result.revision, now);
        break;
      case 'conflict':
        this.pendingWrite = undefined;
        this.lose();
        this.observe(result.rows.find((row) => row.key === this.cell) ?? null, now);
        break;
      case 'row':
        this.observe(result.row, now);
        break;
      case 'rateLimited':
        this.nextActionAt = Math.min(this.nextActionAt, now + result.retryAfterMs);
        break;
      case 'noAnswer':
        // The write may have taken effect; the same write id is sent again until the table answers.
        this.nextActionAt = Math.min(this.nextActionAt, now + this.settings.renewIntervalMs * REPEAT_SHARE);
        break;
      case 'changes':
        break;
    }
  }

  private writeSucceeded(revision: number, now: number): void {
    const write = this.pendingWrite;
    if (!write) return;
    this.pendingWrite = undefined;
    this.observed = { revision, value: write.value, since: now };
    if (write.value.holder !== this.selfId) return;
    const validUntil = write.firstSentAt + this.settings.durationMs - this.settings.marginMs;
    const renewed = this.held?.epoch === write.value.epoch;
    const stillCounts = this.held !== undefined || write.value.epoch > this.lapsedThrough;
    if (now >= validUntil || !stillCounts) {
      this.lapsedThrough = Math.max(this.lapsedThrough, write.value.epoch);
      this.nextActionAt = now;
      return;
    }
    this.held = { epoch: write.value.epoch, validUntil };
    if (!renewed) this.emit({ kind: 'leaseAcquired', cell: this.cell, epoch: write.value.epoch });
  }

  private observe(row: TableRow | null, now: number): void {
    const revision = row?.revision ?? FIRST_REVISION;
    const value = (row?.value ?? undefined) as LeaseValue | undefined;
    if (this.observed?.revision === revision) return;
    this.observed = { revision, value, since: now };
    if (!value || value.holder === '' || value.holder === this.selfId) this.nextActionAt = now;
  }

  private mayAcquire(now: number, patienceMs: number): boolean {
    if (!this.observed) return false;
    const { value, since } = this.observed;
    if (!value || value.holder === this.selfId) return true;
    const freeFrom = value.holder === '' ? since : since + value.durationMs;
    return now >= freeFrom + patienceMs;
  }

  private acquire(now: number): void {
    const epoch = (this.observed?.value?.epoch ?? 0) + 1;
    this.write(now, { holder: this.selfId, epoch, durationMs: this.settings.durationMs });
  }

  private renew(now: number): void {
    if (!this.held) return;
    this.write(now, { holder: this.selfId, epoch: this.held.epoch, durationMs: this.settings.durationMs });
  }

  private write(now: number, value: LeaseValue): void {
    this.writeCount += 1;
    // The start time keeps ids apart when a daemon leaves a cell and comes back to it.
    const writeId = `lease/${this.cell}/${this.selfId}/${this.startedAt}/${this.writeCount}`;
    const expectedRevision = this.observed?.revision ?? FIRST_REVISION;
    this.pendingWrite = { writeId, expectedRevision, value, firstSentAt: now };
    this.sendWrite(this.pendingWrite);
  }

  private sendWrite(write: Write): void {
    this.requestInFlight = true;
    const { writeId, expectedRevision, value } = write;
    const writes = [{ table: 'leases' as const, key: this.cell, expectedRevision, value }];
    this.emit({ kind: 'leaseTable', cell: this.cell, request: { kind: 'commit', writeId, writes } });
  }

  private read(): void {
    this.requestInFlight = true;
    this.emit({
      kind: 'leaseTable',
      cell: this.cell,
      request: { kind: 'read', table: 'leases', key: this.cell },
    });
  }

  private lose(): void {
    if (!this.held) return;
    const { epoch } = this.held;
    this.held = undefined;
    this.lapsedThrough = Math.max(this.lapsedThrough, epoch);
    this.emit({ kind: 'leaseLost', cell: this.cell, epoch });
  }
}
