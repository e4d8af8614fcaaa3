/** The failure `peer-protocol`, which `src/adapters` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_BAD_REQUEST } from '../shared/http-status.js';

/** A message from a peer does not match the schema of its kind. */
export class PeerProtocolError extends PulleyledgeError {
  constructor(problem: string) {
    super(`invalid message from a peer: ${problem}`, {
      code: 'peer-protocol',
      status: STATUS_BAD_REQUEST,
      notRun: 'true',
      context: { problem },
    });
  }
}
