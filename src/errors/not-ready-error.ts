/** The failure `not-ready`, which `src/daemon` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** The daemon has not received a configuration yet, or is stopping. */
export class NotReadyError extends PulleyledgeError {
  constructor(reason: string, retryAfterMs: number) {
    super(`this daemon cannot admit requests: ${reason}`, {
      code: 'not-ready',
      status: STATUS_UNAVAILABLE,
      notRun: 'true',
      context: { reason },
      retryAfterMs,
    });
  }
}
