/** The failure `overloaded`, which `src/routing` raises. */
import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** The expected wait is longer than the maximum wait of the service. */
export class OverloadedError extends PulleyledgeError {
  constructor(service: string, expectedWaitMs: number, retryAfterMs: number, notRun: NotRun = 'true') {
    super(`a request of "${service}" would wait ${Math.round(expectedWaitMs)} ms, over its limit`, {
      code: 'overloaded',
      status: STATUS_UNAVAILABLE,
      notRun,
      context: { service, expectedWaitMs },
      retryAfterMs,
    });
  }
}
