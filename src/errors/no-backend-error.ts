/** The failure `no-backend`, which `src/routing` raises. */
import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** No back end is available for the model or application of the service. */
export class NoBackendError extends PulleyledgeError {
  constructor(service: string, notRun: NotRun, retryAfterMs: number) {
    super(`no back end can take a request of "${service}" now`, {
      code: 'no-backend',
      status: STATUS_UNAVAILABLE,
      notRun: notRun,
      context: { service },
      retryAfterMs,
    });
  }
}
