/**
 * The ledger of requests that must be executed at most once. A request is sent to a back end only after its
 * idempotency key was claimed in the platform's table; the outcome is recorded under the same key. Claims of
 * many requests share one commit. Only one commit is in flight at a time, and it is retried under the same
 * write id until the table answers, so that the effect of a commit whose answer was lost is never guessed.
 */
import { LEDGER_RETRY_AFTER_MS } from '../routing/retry-after.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { TableRequest, TableResult, TableWrite } from '../contracts/table-service.js';

/** The recorded response of an application call. */
export interface RecordedOutcome {
  readonly status: number;
  readonly contentType: string;
  /** The body in base64. */
  readonly body: string;
}

/** The value of a claim row. */
interface ClaimValue {
  readonly claimId: string;
  readonly state: 'claimed' | 'done';
  readonly outcome?: RecordedOutcome;
}

/** Settings of the ledger. */
export interface LedgerSettings {
  /** A claim that the table has not confirmed within this duration is refused. Milliseconds. Default 3000. */
  readonly claimTimeoutMs: number;
  /** Maximum number of claims and outcomes in one commit. Default 128. */
  readonly writesPerCommit: number;
  /** Retry interval of a commit without an answer. Milliseconds. Default 500. */
  readonly repeatIntervalMs: number;
}

/** Default settings. */
export const DEFAULT_LEDGER_SETTINGS: LedgerSettings = {
  claimTimeoutMs: 3000,
  writesPerCommit: 128,
  repeatIntervalMs: 500,
};

/** Effects of the ledger, for the caller to perform. */
export type LedgerEffect =
  | { readonly kind: 'ledgerTable'; readonly request: TableRequest }
  /** The claim was committed: the request may be sent once. */
  | { readonly kind: 'claimGranted'; readonly requestId: string }
  /** The key was claimed before. Without a recorded outcome it is unknown whether the request was executed. */
  | { readonly kind: 'claimTaken'; readonly requestId: string; readonly outcome: RecordedOutcome | undefined }
  /** The table does not confirm claims at present. */
  | { readonly kind: 'claimUnavailable'; readonly requestId: string; readonly retryAfterMs: number };

interface Entry {
  readonly requestId: string;
  readonly key: string;
  readonly claimId: string;
  readonly queuedAt: number;
  readonly action: 'claim' | 'record' | 'remove';
  /** False once the request was refused; a claim that is committed after that is removed again. */
  isAwaited: boolean;
  expectedRevision: number;
  value: ClaimValue | null;
}

interface Batch {
  readonly writeId: string;
  readonly entries: readonly Entry[];
  isInFlight: boolean;
  retryAt: number;
}

/** The ledger state machine of one daemon. Times are monotonic milliseconds. */
export class AtMostOnceLedger {
  private queue: Entry[] = [];
  private batch: Batch | undefined;
  private batchCount = 0;
  private unavailableSince: number | undefined;
  private readonly claimRevisions = new Map<string, { key: string; claimId: string; revision: number }>();

  constructor(
    private readonly selfId: string,
    private readonly settings: LedgerSettings,
    private readonly emit: EffectSink<LedgerEffect>,
  ) {}

  /** The number of claims, outcomes and removals that the table has not confirmed. */
  countPending(): number {
    return this.queue.length + (this.batch?.entries.length ?? 0);
  }

  /** Claims `key` for a request; the answer comes as an effect. */
  claim(requestId: string, key: string, now: number): void {
    if (this.unavailableSince !== undefined && now - this.unavailableSince > this.settings.repeatIntervalMs) {
      this.emit({ kind: 'claimUnavailable', requestId, retryAfterMs: LEDGER_RETRY_AFTER_MS });
      return;
    }
    const claimId = `${this.selfId}/${requestId}`;
    this.enqueue(
      { requestId, key, claimId, action: 'claim', expectedRevision: 0, value: { claimId, state: 'claimed' } },
      now,
    );
  }

  /** Records the outcome of a claimed request. */
  recordOutcome(requestId: string, outcome: RecordedOutcome, now: number): void {
    const claim = this.claimRevisions.get(requestId);
    if (!claim) return;
    this.claimRevisions.delete(requestId);
    const value: ClaimValue = { claimId: claim.claimId, state: 'done', outcome };
    this.enqueue({ requestId, ...claim, action: 'record', expectedRevision: claim.revision, value }, now);
  }

  /** Removes a claim. Allowed only when no back end can have executed the request. */
  releaseClaim(requestId: string, now: number): void {
    const claim = this.claimRevisions.get(requestId);
    if (!claim) return;
    this.claimRevisions.delete(requestId);
    this.enqueue(
      { requestId, ...claim, action: 'remove', expectedRevision: claim.revision, value: null },
      now,
    );
  }

  /** Drops the local state of a claim whose outcome stays unknown; its row stays and blocks later attempts. */
  abandonClaim(requestId: string): void {
    this.claimRevisions.delete(requestId);
  }

  /** Starts or retries the commit, and refuses claims older than `claimTimeoutMs`. */
  tick(now: number): void {
    this.refuseOverdue(now);
    if (this.batch) {
      if (!this.batch.isInFlight && now >= this.batch.retryAt) this.send(this.batch);
    } else if (this.queue.length > 0) {
      this.startBatch();
    }
  }

  /** Handles the result of a `ledgerTable` effect. */
  receiveTableResult(result: TableResult, now: number): void {
    const batch = this.batch;
    if (!batch) return;
    batch.isInFlight = false;
    switch (result.kind) {
      case 'committed':
        this.unavailableSince = undefined;
        this.batch = undefined;
        for (const entry of batch.entries) this.onEntryCommitted(entry, result.revision, now);
        break;
      case 'conflict':
        this.unavailableSince = undefined;
        this.batch = undefined;
        this.resolveConflict(
          batch,
          result.rows.map((row) => ({
            key: row.key,
            value: row.value as ClaimValue | null,
            revision: row.revision,
          })),
        );
        break;
      case 'rateLimited':
        batch.retryAt = now + result.retryAfterMs;
        break;
      default:
        this.unavailableSince ??= now;
        batch.retryAt = now + this.settings.repeatIntervalMs;
        break;
    }
    this.tick(now);
  }

  private enqueue(entry: Omit<Entry, 'queuedAt' | 'isAwaited'>, now: number): void {
    this.queue.push({ ...entry, queuedAt: now, isAwaited: true });
    this.tick(now);
  }

  private startBatch(): void {
    const selected: Entry[] = [];
    const keys = new Set<string>();
    const remaining: Entry[] = [];
    for (const entry of this.queue) {
      const fits = selected.length < this.settings.writesPerCommit && !keys.has(entry.key);
      if (fits) selected.push(entry);
      else remaining.push(entry);
      keys.add(entry.key);
    }
    this.queue = remaining;
    this.batchCount += 1;
    this.batch = {
      writeId: `ledger/${this.selfId}/${this.batchCount}`,
      entries: selected,
      isInFlight: false,
      retryAt: 0,
    };
    this.send(this.batch);
  }

  private send(batch: Batch): void {
    batch.isInFlight = true;
    const writes: TableWrite[] = batch.entries.map((entry) => ({
      table: 'claims',
      key: entry.key,
      expectedRevision: entry.expectedRevision,
      value: entry.value,
    }));
    this.emit({ kind: 'ledgerTable', request: { kind: 'commit', writeId: batch.writeId, writes } });
  }

  private onEntryCommitted(entry: Entry, revision: number, now: number): void {
    if (entry.action !== 'claim') return;
    const { key, claimId } = entry;
    this.claimRevisions.set(entry.requestId, { key, claimId, revision });
    if (entry.isAwaited) this.emit({ kind: 'claimGranted', requestId: entry.requestId });
    else this.releaseClaim(entry.requestId, now);
  }

  /** Nothing of the batch was written: claims in conflict are answered, the other entries are queued again. */
  private resolveConflict(
    batch: Batch,
    rows: readonly { key: string; value: ClaimValue | null; revision: number }[],
  ): void {
    const byKey = new Map(rows.map((row) => [row.key, row]));
    const retries: Entry[] = [];
    for (const entry of batch.entries) {
      const row = byKey.get(entry.key);
      if (!row) {
        if (entry.isAwaited) retries.push(entry);
      } else if (entry.action === 'claim' && row.value === null) {
        // The row was deleted: claim at the revision of its tombstone.
        if (entry.isAwaited) retries.push({ ...entry, expectedRevision: row.revision });
      } else if (entry.action === 'claim' && entry.isAwaited) {
        this.emit({ kind: 'claimTaken', requestId: entry.requestId, outcome: row.value?.outcome });
      }
    }
    this.queue = [...retries, ...this.queue];
  }

  private refuseOverdue(now: number): void {
    const isOverdue = (entry: Entry): boolean =>
      entry.action === 'claim' && entry.isAwaited && now - entry.queuedAt > this.settings.claimTimeoutMs;
    for (const entry of [...this.queue, ...(this.batch?.entries ?? [])]) {
      if (!isOverdue(entry)) continue;
      entry.isAwaited = false;
      this.emit({
        kind: 'claimUnavailable',
        requestId: entry.requestId,
        retryAfterMs: LEDGER_RETRY_AFTER_MS,
      });
    }
    this.queue = this.queue.filter((entry) => entry.isAwaited);
  }
}
