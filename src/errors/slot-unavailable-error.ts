/** The failure `slot-unavailable`, which `src/daemon` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** The owner of a service's limits did not grant a slot in time. */
export class SlotUnavailableError extends PulleyledgeError {
  constructor(service: string, retryAfterMs: number) {
    super(`the owner of the limits of "${service}" did not answer in time`, {
      code: 'slot-unavailable',
      status: STATUS_UNAVAILABLE,
      notRun: 'true',
      context: { service },
      retryAfterMs,
    });
  }
}
