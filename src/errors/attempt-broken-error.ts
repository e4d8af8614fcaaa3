import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';

/** The back ends broke off and no attempt was left or allowed. */
export class AttemptBrokenError extends PulleyledgeError {
  constructor(requestId: string, attempts: number, notRun: NotRun) {
    super(`request ${requestId} broke after ${attempts} attempts`, {
      code: 'attempt-broken',
      status: 502,
      notRun: notRun,
      context: { requestId, attempts },
    });
  }
}
