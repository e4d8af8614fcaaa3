/** The failure `stale-configuration`, which `src/daemon` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** The daemon cannot confirm that its configuration is current, so it must not admit requests on it. */
export class StaleConfigurationError extends PulleyledgeError {
  constructor(ageMs: number, retryAfterMs: number) {
    super(`the configuration was last confirmed ${Math.round(ageMs)} ms ago`, {
      code: 'stale-configuration',
      status: STATUS_UNAVAILABLE,
      notRun: 'true',
      context: { ageMs },
      retryAfterMs,
    });
  }
}
