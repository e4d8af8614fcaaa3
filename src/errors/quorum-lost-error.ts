/** The failure `quorum-lost`, which `src/daemon` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_UNAVAILABLE } from '../shared/http-status.js';

/** The daemon is not in contact with a majority of the daemons. */
export class QuorumLostError extends PulleyledgeError {
  constructor(alive: number, known: number, retryAfterMs: number) {
    super(`only ${alive} of ${known} daemons are in contact; an edit needs a majority`, {
      code: 'quorum-lost',
      status: STATUS_UNAVAILABLE,
      notRun: 'true',
      context: { alive, known },
      retryAfterMs,
    });
  }
}
