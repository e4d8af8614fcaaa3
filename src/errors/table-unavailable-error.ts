/** The failure `table-unavailable`, which `src/cli` and `src/daemon` raise. */
import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** The table service is down, does not answer in time, or limits the rate of requests. */
export class TableUnavailableError extends PulleyledgeError {
  constructor(reason: string, notRun: NotRun, retryAfterMs: number) {
    super(`the table service did not answer: ${reason}`, {
      code: 'table-unavailable',
      status: STATUS_UNAVAILABLE,
      notRun: notRun,
      context: { reason },
      retryAfterMs,
    });
  }
}
