import { PulleyledgeError } from './pulleyledge-error.js';

/** The process cannot listen on an address that its settings name. */
export class ListenError extends PulleyledgeError {
  constructor(address: string, reason: string) {
    super(`cannot listen on ${address}: ${reason}`, {
      code: 'listen-failed',
      status: 500,
      notRun: 'true',
      context: { address, reason },
    });
  }
}
