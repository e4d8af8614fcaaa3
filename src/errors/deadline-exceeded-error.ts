/** The failure `deadline-exceeded`, which `src/daemon` and `src/routing` raise. */
import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';
import { STATUS_GATEWAY_TIMEOUT } from '../shared/http-status.js';

/** The deadline of the request passed before its answer was complete. */
export class DeadlineExceededError extends PulleyledgeError {
  constructor(requestId: string, notRun: NotRun) {
    super(`the deadline of request ${requestId} passed`, {
      code: 'deadline-exceeded',
      status: STATUS_GATEWAY_TIMEOUT,
      notRun: notRun,
      context: { requestId },
    });
  }
}
