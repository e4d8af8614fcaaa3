/**
 * The ledger of requests that may not be repeated. A request runs only after its key was claimed in the
 * platform's table; the outcome is recorded under the same key. Claims of many requests share one commit.
 * One commit is on its way at a time and is sent again under the same write id until the table answers,
 * so a lost answer is resolved and never guessed.
 */
import { LEDGER_RETRY_AFTER_MS } from '../routing/retry-after.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { TableRequest, TableResult, TableWrite } from '../contracts/table-service.js';

/** The recorded answer of an application call. */
export interface RecordedOutcome {
  readonly status: number;
  readonly contentType: string;
  /** The body, base64. */
  readonly body: string;
}

/** What a claim row holds. */
interface ClaimValue {
  readonly claimId: string;
  readonly state: 'claimed' | 'done';
  readonly outcome?: RecordedOutcome;
}

/** Durations and counts of the ledger. */
export interface LedgerSettings {
  /** A claim that the table has not confirmed for this long is refused. Milliseconds. Default 3000. */
  readonly claimTimeoutMs: number;
  /** Claims and outcomes that share a commit at most. Default 128. */
  readonly writesPerCommit: number;
  /** Interval between repeats of a commit without an answer. Milliseconds. Default 500. */
  readonly repeatIntervalMs: number;
}

/** Default settings. */
export const DEFAULT_LEDGER_SETTINGS: LedgerSettings = {
  claimTimeoutMs: 3000,
  writesPerCommit: 128,
  repeatIntervalMs: 500,
};

/** What the ledger asks its runner to do. */
export type LedgerEffect =
  | { readonly kind: 'ledgerTable'; readonly request: TableRequest }
  /** The claim is in the table: the request may be sent, once. */
  | { readonly kind: 'claimGranted'; readonly requestId: string }
  /** The key was used before. Without an outcome nobody knows whether it ran. */
  | { readonly kind: 'claimTaken'; readonly requestId: string; readonly outcome: RecordedOutcome | undefined }
  /** The table does not confirm claims now. */
  | { readonly kind: 'claimUnavailable'; readonly requestId: string; readonly retryAfterMs: number };

interface Entry {
  readonly requestId: string;
  readonly key: string;
  readonly claimId: string;
  readonly queuedAt: number;
  readonly action: 'claim' | 'record' | 'remove';
  /** False once the request was refused; a claim that lands later is removed again. */
  isAwaited: boolean;
  expectedRevision: number;
  value: ClaimValue | null;
}

interface Batch {
  readonly writeId: string;
  readonly entries: readonly Entry[];
  awaiting: boolean;
  repeatAt: number;
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

  /** Claims not yet answered. */
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

  /** Takes a claim back. Allowed only when no byte of the request can have reached a back end. */
  releaseClaim(requestId: string, now: number): void {
    const claim = this.claimRevisions.get(requestId);
    if (!claim) return;
    this.claimRevisions.delete(requestId);
    this.enqueue(
      { requestId, ...claim, action: 'remove', expectedRevision: claim.revision, value: null },
      now,
    );
  }

  /** Forgets a claim whose outcome will never be known; the row stays and blocks repeats. */
  abandonClaim(requestId: string): void {
    this.claimRevisions.delete(requestId);
  }

  /** Starts or repeats the commit, and refuses claims that waited too long. */
  tick(now: number): void {
    this.refuseOverdue(now);
    if (this.batch) {
      if (!this.batch.awaiting && now >= this.batch.repeatAt) this.send(this.batch);
    } else if (this.queue.length > 0) {
      this.startBatch();
    }
  }

  /** Takes the answer to a `ledgerTable` effect. */
  receiveTableResult(result: TableResult, now: number): void {
    const batch = this.batch;
    if (!batch) return;
    batch.awaiting = false;
    switch (result.kind) {
      case 'committed':
        this.unavailableSince = undefined;
        this.batch = undefined;
        for (const entry of batch.entries) this.entryCommitted(entry, result.revision, now);
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
        batch.repeatAt = now + result.retryAfterMs;
        break;
      default:
        this.unavailableSince ??= now;
        batch.repeatAt = now + this.settings.repeatIntervalMs;
        break;
    }
    this.tick(now);
  }

  private enqueue(entry: Omit<Entry, 'queuedAt' | 'isAwaited'>, now: number): void {
    this.queue.push({ ...entry, queuedAt: now, isAwaited: true });
    this.tick(now);
  }

  private startBatch(): void {
    const taken: Entry[] = [];
    const keys = new Set<string>();
    const left: Entry[] = [];
    for (const entry of this.queue) {
      const fits = taken.length < this.settings.writesPerCommit && !keys.has(entry.key);
      if (fits) taken.push(entry);
      else left.push(entry);
      keys.add(entry.key);
    }
    this.queue = left;
    this.batchCount += 1;
    this.batch = {
      writeId: `ledger/${this.selfId}/${this.batchCount}`,
      entries: taken,
      awaiting: false,
      repeatAt: 0,
    };
    this.send(this.batch);
  }

  private send(batch: Batch): void {
    batch.awaiting = true;
    const writes: TableWrite[] = batch.entries.map((entry) => ({
      table: 'claims',
      key: entry.key,
      expectedRevision: entry.expectedRevision,
      value: entry.value,
    }));
    this.emit({ kind: 'ledgerTable', request: { kind: 'commit', writeId: batch.writeId, writes } });
  }

  private entryCommitted(entry: Entry, revision: number, now: number): void {
    if (entry.action !== 'claim') return;
    const { key, claimId } = entry;
    this.claimRevisions.set(entry.requestId, { key, claimId, revision });
    if (entry.isAwaited) this.emit({ kind: 'claimGranted', requestId: entry.requestId });
    else this.releaseClaim(entry.requestId, now);
  }

  /** Nothing of the batch was written: those in conflict are answered, the others go again. */
  private resolveConflict(
    batch: Batch,
    rows: readonly { key: string; value: ClaimValue | null; revision: number }[],
  ): void {
    const byKey = new Map(rows.map((row) => [row.key, row]));
    const again: Entry[] = [];
    for (const entry of batch.entries) {
      const row = byKey.get(entry.key);
      if (!row) {
        if (entry.isAwaited) again.push(entry);
      } else if (entry.action === 'claim' && row.value === null) {
        // The row was removed: claim over the tombstone.
        if (entry.isAwaited) again.push({ ...entry, expectedRevision: row.revision });
      } else if (entry.action === 'claim' && entry.isAwaited) {
        this.emit({ kind: 'claimTaken', requestId: entry.requestId, outcome: row.value?.outcome });
      }
    }
    this.queue = [...again, ...this.queue];
  }

  private refuseOverdue(now: number): void {
    const overdue = (entry: Entry): boolean =>
      entry.action === 'claim' && entry.isAwaited && now - entry.queuedAt > this.settings.claimTimeoutMs;
    for (const entry of [...this.queue, ...(this.batch?.entries ?? [])]) {
      if (!overdue(entry)) continue;
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
