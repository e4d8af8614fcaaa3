/** The failure `ledger-unavailable`, which `src/routing` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** The table does not confirm claims at present, so a request that must be executed at most once is refused. */
export class LedgerUnavailableError extends PulleyledgeError {
  constructor(service: string, retryAfterMs: number) {
    super(`the table cannot record that a request of "${service}" runs once`, {
      code: 'ledger-unavailable',
      status: STATUS_UNAVAILABLE,
      notRun: 'true',
      context: { service },
      retryAfterMs,
    });
  }
}
