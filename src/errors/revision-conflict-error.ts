/** The failure `revision-conflict`, which `src/daemon` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_CONFLICT } from '../shared/http-status.js';

/** An edit conflicts with a newer revision of its row. Carries the current and the proposed value. */
export class RevisionConflictError extends PulleyledgeError {
  constructor(
    row: string,
    expectedRevision: number,
    readonly current: unknown,
    readonly proposed: unknown,
  ) {
    super(`row "${row}" is no longer at revision ${expectedRevision}`, {
      code: 'revision-conflict',
      status: STATUS_CONFLICT,
      notRun: 'true',
      context: { row, expectedRevision, current, proposed },
    });
  }
}
