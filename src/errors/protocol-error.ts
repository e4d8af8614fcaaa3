/** The failure `backend-protocol`, which `src/cli` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_BAD_GATEWAY } from '../shared/http-status.js';

/** The answer of a back end or of the platform violates its protocol. */
export class ProtocolError extends PulleyledgeError {
  constructor(peer: string, problem: string) {
    super(`the answer of ${peer} violates its protocol: ${problem}`, {
      code: 'backend-protocol',
      status: STATUS_BAD_GATEWAY,
      notRun: 'unknown',
      context: { peer, problem },
    });
  }
}
