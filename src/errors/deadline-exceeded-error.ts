import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';

/** The deadline of the request passed before its answer was whole. */
export class DeadlineExceededError extends PulleyledgeError {
  constructor(requestId: string, notRun: NotRun) {
    super(`the deadline of request ${requestId} passed`, {
      code: 'deadline-exceeded',
      status: 504,
      notRun: notRun,
      context: { requestId },
    });
  }
}
