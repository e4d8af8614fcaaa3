import { PulleyledgeError } from './pulleyledge-error.js';

/** The body of a call is over the configured size. */
export class PayloadTooLargeError extends PulleyledgeError {
  constructor(limitBytes: number) {
    super(`the body is over ${limitBytes} bytes`, {
      code: 'payload-too-large',
      status: 413,
      notRun: 'true',
      context: { limitBytes },
    });
  }
}
