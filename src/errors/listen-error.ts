/** The failure `listen-failed`, which `src/adapters` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_INTERNAL_ERROR } from '../shared/http-status.js';

/** The process cannot listen on an address of its settings. */
export class ListenError extends PulleyledgeError {
  constructor(address: string, reason: string) {
    super(`cannot listen on ${address}: ${reason}`, {
      code: 'listen-failed',
      status: STATUS_INTERNAL_ERROR,
      notRun: 'true',
      context: { address, reason },
    });
  }
}
