/** The failure `caller-cancelled`, which `src/daemon` and `src/routing` raise. */
import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';
import { STATUS_CALLER_CLOSED } from '../shared/http-status.js';

/** The caller closed its connection before the answer was complete. */
export class CallerCancelledError extends PulleyledgeError {
  constructor(requestId: string, notRun: NotRun) {
    super(`the caller of request ${requestId} disconnected`, {
      code: 'caller-cancelled',
      status: STATUS_CALLER_CLOSED,
      notRun: notRun,
      context: { requestId },
    });
  }
}
