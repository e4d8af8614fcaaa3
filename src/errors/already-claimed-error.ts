/** The failure `already-claimed`, which `src/routing` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_CONFLICT } from '../shared/http-status.js';

/** A request that must be executed at most once was claimed before; whether it was executed is not recorded. */
export class AlreadyClaimedError extends PulleyledgeError {
  constructor(service: string, idempotencyKey: string) {
    super(`key "${idempotencyKey}" of "${service}" was used before and its outcome is not recorded`, {
      code: 'already-claimed',
      status: STATUS_CONFLICT,
      notRun: 'unknown',
      context: { service, idempotencyKey },
    });
  }
}
