/**
 * Operators' edits of the service table: a compare-and-set on each row's revision, applied to all rows of an
 * edit or none. An edit whose answer was lost is sent again with the same write ID until the table reports
 * its outcome. Owns the edits that are in progress.
 */
import {
  QuorumLostError,
  RevisionConflictError,
  TableUnavailableError,
  ValidationError,
  type PulleyledgeError,
} from '../errors/index.js';
import { EDIT_RETRY_AFTER_MS } from '../routing/retry-after.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { TableRequest, TableResult } from '../contracts/table-service.js';
import type { RowEdit } from './completion-messages.js';

/** Effects that the editor requests. */
export type EditorEffect =
  | { readonly kind: 'editTable'; readonly editId: string; readonly request: TableRequest }
  | { readonly kind: 'editAccepted'; readonly editId: string; readonly revision: number }
  | { readonly kind: 'editFailed'; readonly editId: string; readonly error: PulleyledgeError };

interface Edit {
  readonly editId: string;
  readonly edits: readonly RowEdit[];
  readonly startedAt: number;
  retryAt: number;
  isAwaitingAnswer: boolean;
  /** Whether an earlier write of this edit may have been applied. */
  mayHaveApplied: boolean;
}

/** Delay before an edit whose outcome is unknown is sent again. Milliseconds. */
const RETRY_INTERVAL_MS = 500;
/** An edit without a known outcome fails after this time. Milliseconds. */
const EDIT_TIMEOUT_MS = 10_000;

/** The service editor of one daemon. Times are monotonic milliseconds. */
export class ServiceEditor {
  private readonly pendingEdits = new Map<string, Edit>();

  constructor(private readonly emit: EffectSink<EditorEffect>) {}

  /**
   * Starts an edit. `editId` is used as the table's write ID, so an operator can safely repeat the edit.
   * `contact` is the number of daemons in contact and of known daemons.
   */
  begin(
    editId: string,
    edits: readonly RowEdit[],
    contact: { alive: number; known: number },
    now: number,
  ): void {
    if (edits.length === 0) {
      this.emit({
        kind: 'editFailed',
        editId,
        error: new ValidationError('edits', 'at least one row is needed'),
      });
      return;
    }
    // During a table outage, daemons in a majority continue with the configuration they know, so an accepted
    // edit must reach one of them.
    if (contact.alive * 2 <= contact.known) {
      const error = new QuorumLostError(contact.alive, contact.known, EDIT_RETRY_AFTER_MS);
      this.emit({ kind: 'editFailed', editId, error });
      return;
    }
    const edit: Edit = {
      editId,
      edits,
      startedAt: now,
      retryAt: now,
      isAwaitingAnswer: false,
      mayHaveApplied: false,
    };
    this.pendingEdits.set(editId, edit);
    this.send(edit);
  }

  /** Receives the answer to an `editTable` effect. Returns whether an edit was accepted. */
  receiveTableResult(editId: string, result: TableResult, now: number): boolean {
    const edit = this.pendingEdits.get(editId);
    if (!edit) return false;
    edit.isAwaitingAnswer = false;
    switch (result.kind) {
      case 'committed':
        this.pendingEdits.delete(editId);
        this.emit({ kind: 'editAccepted', editId, revision: result.revision });
        return true;
      case 'conflict':
        this.fail(edit, makeConflictError(edit, result));
        return false;
      case 'rateLimited':
        edit.retryAt = now + result.retryAfterMs;
        return false;
      default:
        edit.mayHaveApplied = true;
        edit.retryAt = now + RETRY_INTERVAL_MS;
        return false;
    }
  }

  /** Retries edits with unknown outcomes, and fails those that timed out as possibly applied. */
  tick(now: number): void {
    for (const edit of [...this.pendingEdits.values()]) {
      if (now - edit.startedAt > EDIT_TIMEOUT_MS) {
        const notExecuted = edit.mayHaveApplied || edit.isAwaitingAnswer ? 'unknown' : 'true';
        this.fail(edit, new TableUnavailableError('no answer to the edit', notExecuted, EDIT_RETRY_AFTER_MS));
      } else if (!edit.isAwaitingAnswer && now >= edit.retryAt) {
        this.send(edit);
      }
    }
  }

  private send(edit: Edit): void {
    edit.isAwaitingAnswer = true;
    const writes = edit.edits.map((row) => ({
      table: 'services' as const,
      key: row.name,
      expectedRevision: row.expectedRevision,
      value: row.row,
    }));
    this.emit({
      kind: 'editTable',
      editId: edit.editId,
      request: { kind: 'commit', writeId: edit.editId, writes },
    });
  }

  private fail(edit: Edit, error: PulleyledgeError): void {
    this.pendingEdits.delete(edit.editId);
    this.emit({ kind: 'editFailed', editId: edit.editId, error });
  }
}

function makeConflictError(
  edit: Edit,
  result: Extract<TableResult, { kind: 'conflict' }>,
): RevisionConflictError {
  const current = result.rows[0];
  const proposed = edit.edits.find((row) => row.name === current?.key) ?? edit.edits[0];
  const shown = current ? { revision: current.revision, row: current.value } : null;
  return new RevisionConflictError(proposed.name, proposed.expectedRevision, shown, proposed.row);
}
