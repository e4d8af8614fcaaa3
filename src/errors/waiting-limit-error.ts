/** The failure `waiting-limit`, which `src/daemon` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_TOO_MANY_REQUESTS } from '../shared/http-status.js';

/** The waiting limit of the service is reached. */
export class WaitingLimitError extends PulleyledgeError {
  constructor(service: string, limit: number, retryAfterMs: number) {
    super(`service "${service}" already has ${limit} waiting requests`, {
      code: 'waiting-limit',
      status: STATUS_TOO_MANY_REQUESTS,
      notRun: 'true',
      context: { service, limit },
      retryAfterMs,
    });
  }
}
