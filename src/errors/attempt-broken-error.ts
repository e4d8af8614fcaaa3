/** The failure `attempt-broken`, which `src/routing` raises. */
import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';
import { STATUS_BAD_GATEWAY } from '../shared/http-status.js';

/** The attempts broke off and no further attempt was left or allowed. */
export class AttemptBrokenError extends PulleyledgeError {
  constructor(requestId: string, attempts: number, notRun: NotRun) {
    super(`request ${requestId} failed: ${attempts} attempts broke off`, {
      code: 'attempt-broken',
      status: STATUS_BAD_GATEWAY,
      notRun: notRun,
      context: { requestId, attempts },
    });
  }
}
