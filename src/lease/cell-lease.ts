/**
 * The lease on a cell, kept as one row of the platform's table. Its epoch is the fencing token of orders. The
 * rules:
 * - a daemon acquires the lease, always under the next epoch, when the row has no holder or was unchanged for
 *   the duration of the lease (`mayAcquire`);
 * - it holds the lease until `durationMs` minus `marginMs` after it sent the write that the table committed
 *   (`onWriteCommitted`);
 * - an epoch that expired is never used again (`lastExpiredEpoch`).
 * No clocks are compared: a holder counts from before it sent its write, a contender from after it first read
 * the row in its present revision, so that the holder always stops first.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import type { TableRequest, TableResult, TableRow } from '../contracts/table-service.js';

/** Durations of a lease. */
export interface LeaseSettings {
  /** Duration of a lease from the write that acquired or renewed it. Milliseconds. Default 6000. */
  readonly durationMs: number;
  /** Interval of renewals and of a contender's reads. Milliseconds. Default 2000. */
  readonly renewIntervalMs: number;
  /**
   * The holder stops acting this long before the lease expires, to allow for clock drift between daemons.
   * Milliseconds. Default 600.
   */
  readonly marginMs: number;
}

/** Default settings. */
export const DEFAULT_LEASE_SETTINGS: LeaseSettings = {
  durationMs: 6000,
  renewIntervalMs: 2000,
  marginMs: 600,
};

/** The value of a lease row. */
export interface LeaseValue {
  /** The daemon that holds the lease; empty after a release. */
  readonly holder: string;
  readonly epoch: number;
  readonly durationMs: number;
}

/** Authority over a cell. It expires unconditionally at `validUntil`, in monotonic milliseconds. */
export interface HeldLease {
  readonly epoch: number;
  readonly validUntil: number;
}

/** Effects of the lease, for the caller to perform. */
export type LeaseEffect =
  | { readonly kind: 'leaseTable'; readonly cell: string; readonly request: TableRequest }
  | { readonly kind: 'leaseAcquired'; readonly cell: string; readonly epoch: number }
  | { readonly kind: 'leaseLost'; readonly cell: string; readonly epoch: number };

interface Write {
  readonly writeId: string;
  readonly expectedRevision: number;
  readonly value: LeaseValue;
  /** When this write was first sent, which is the earliest time at which the table can have committed it. */
  readonly firstSentAt: number;
}

/** Revision that stands for a row that was never written. */
const FIRST_REVISION = 0;
/** A request without an answer is retried after this share of `renewIntervalMs`. */
const RETRY_INTERVAL_SHARE = 0.25;

/** The lease state machine of one daemon and one cell. Times are monotonic milliseconds. */
export class CellLease {
  private held: HeldLease | undefined;
  private observed: { revision: number; value: LeaseValue | undefined; since: number } | undefined;
  private pendingWrite: Write | undefined;
  private requestInFlight = false;
  private nextActionAt: number;
  private writeCount = 0;
  /** Epochs up to this one have expired here and are never used again; a new epoch is written instead. */
  private lastExpiredEpoch = 0;
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

  /** The lease held at time `now`, if any. Callers must check it before each order and must not cache the result. */
  getHeldLease(now: number): HeldLease | undefined {
    if (this.held && now >= this.held.validUntil) this.dropLease();
    return this.held;
  }

  /** The value of the lease row as last read or written, for the status document. */
  getLastObserved(): LeaseValue | undefined {
    return this.observed?.value;
  }

  /**
   * Advances timers. `shouldHold`: whether this daemon should hold the lease. It acquires a lease that
   * has become free only after `standbyDelayMs`, so that other daemons can acquire it first.
   */
  tick(now: number, shouldHold: boolean, standbyDelayMs = 0): void {
    this.getHeldLease(now);
    if (this.requestInFlight || now < this.nextActionAt) return;
    this.nextActionAt = now + this.settings.renewIntervalMs;
    if (this.pendingWrite) this.sendWrite(this.pendingWrite);
    else if (this.held) this.renew(now);
    else if (shouldHold && this.mayAcquire(now, standbyDelayMs)) this.acquire(now);
    else if (shouldHold) this.read();
  }

  /** Releases the lease, so that a successor need not wait for its expiry. */
  release(now: number): void {
    if (!this.held || !this.observed || this.pendingWrite) return;
    const value: LeaseValue = { holder: '', epoch: this.held.epoch, durationMs: this.settings.durationMs };
    this.dropLease();
    this.write(now, value);
  }

  /** Drops the lease at once: another daemon was seen to hold a higher epoch. */
  onSuperseded(): void {
    this.dropLease();
  }

  /**
   * The machine was suspended for a time that the monotonic clock did not count: another daemon may have
   * acquired the lease, and a write in flight was sent longer ago than the clock shows. Drops the lease and
   * counts the epoch of a pending write as expired.
   */
  onMachineSuspended(): void {
    this.dropLease();
    this.lastExpiredEpoch = Math.max(this.lastExpiredEpoch, this.pendingWrite?.value.epoch ?? 0);
  }

  /** Handles the result of a `leaseTable` effect. */
  receiveTableResult(result: TableResult, now: number): void {
    this.requestInFlight = false;
    switch (result.kind) {
      case 'committed':
        this.onWriteCommitted(result.revision, now);
        break;
      case 'conflict':
        this.pendingWrite = undefined;
        this.dropLease();
        this.observe(result.rows.find((row) => row.key === this.cell) ?? null, now);
        break;
      case 'row':
        this.observe(result.row, now);
        break;
      case 'rateLimited':
        this.nextActionAt = Math.min(this.nextActionAt, now + result.retryAfterMs);
        break;
      case 'noAnswer':
        // The write may have been committed; it is retried under the same write id until the table answers.
        this.nextActionAt = Math.min(
          this.nextActionAt,
          now + this.settings.renewIntervalMs * RETRY_INTERVAL_SHARE,
        );
        break;
      case 'changes':
        break;
    }
  }

  private onWriteCommitted(revision: number, now: number): void {
    const write = this.pendingWrite;
    if (!write) return;
    this.pendingWrite = undefined;
    this.observed = { revision, value: write.value, since: now };
    if (write.value.holder !== this.selfId) return;
    const validUntil = write.firstSentAt + this.settings.durationMs - this.settings.marginMs;
    const renewed = this.held?.epoch === write.value.epoch;
    const isStillValid = this.held !== undefined || write.value.epoch > this.lastExpiredEpoch;
    if (now >= validUntil || !isStillValid) {
      this.lastExpiredEpoch = Math.max(this.lastExpiredEpoch, write.value.epoch);
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

  private mayAcquire(now: number, standbyDelayMs: number): boolean {
    if (!this.observed) return false;
    const { value, since } = this.observed;
    if (!value || value.holder === this.selfId) return true;
    const freeFrom = value.holder === '' ? since : since + value.durationMs;
    return now >= freeFrom + standbyDelayMs;
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
    // The start time keeps write ids unique when a daemon leaves a cell and comes back to it.
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

  private dropLease(): void {
    if (!this.held) return;
    const { epoch } = this.held;
    this.held = undefined;
    this.lastExpiredEpoch = Math.max(this.lastExpiredEpoch, epoch);
    this.emit({ kind: 'leaseLost', cell: this.cell, epoch });
  }
}
