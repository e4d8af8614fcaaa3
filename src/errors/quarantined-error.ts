/** The failure `quarantined`, which `src/routing` raises. */
import { PulleyledgeError, type NotRun } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** Back ends crashed while they executed this request, so it is quarantined. */
export class QuarantinedError extends PulleyledgeError {
  constructor(service: string, retryAfterMs: number, notRun: NotRun = 'true') {
    super(`back ends of service "${service}" crashed while they executed this request`, {
      code: 'quarantined',
      status: STATUS_UNAVAILABLE,
      notRun,
      context: { service },
      retryAfterMs,
    });
  }
}
