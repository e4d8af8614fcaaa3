import { PulleyledgeError } from './pulleyledge-error.js';

/** The expected wait is over the wait that the service allows. */
export class OverloadedError extends PulleyledgeError {
  constructor(service: string, expectedWaitMs: number, retryAfterMs: number) {
    super(`service "${service}" would wait ${Math.round(expectedWaitMs)} ms, over its limit`, {
      code: 'overloaded',
      status: 503,
      notRun: 'true',
      context: { service, expectedWaitMs },
      retryAfterMs,
    });
  }
}
