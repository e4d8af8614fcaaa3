import { PulleyledgeError } from './pulleyledge-error.js';

/** The waiting limit of the service is reached. */
export class WaitingLimitError extends PulleyledgeError {
  constructor(service: string, limit: number, retryAfterMs: number) {
    super(`service "${service}" already has ${limit} waiting requests`, {
      code: 'waiting-limit',
      status: 429,
      notRun: 'true',
      context: { service, limit },
      retryAfterMs,
    });
  }
}
