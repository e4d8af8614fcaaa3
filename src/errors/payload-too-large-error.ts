/** The failure `payload-too-large`, which `src/gateway` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_TOO_LARGE } from '../shared/http-status.js';

/** The body of a request exceeds the configured size. */
export class PayloadTooLargeError extends PulleyledgeError {
  constructor(limitBytes: number) {
    super(`the body is over ${limitBytes} bytes`, {
      code: 'payload-too-large',
      status: STATUS_TOO_LARGE,
      notRun: 'true',
      context: { limitBytes },
    });
  }
}
