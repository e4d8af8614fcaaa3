import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';

/** The caller closed its connection before the answer was whole. */
export class CallerCancelledError extends PulleyledgeError {
  constructor(requestId: string, notRun: NotRun) {
    super(`the caller of request ${requestId} went away`, {
      code: 'caller-cancelled',
      status: 499,
      notRun: notRun,
      context: { requestId },
    });
  }
}
