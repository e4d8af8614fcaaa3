import { PulleyledgeError } from './pulleyledge-error.js';

/** The request names a service that the configuration in force does not have. */
export class UnknownServiceError extends PulleyledgeError {
  constructor(service: string) {
    super(`no service is named "${service}"`, {
      code: 'unknown-service',
      status: 404,
      notRun: 'true',
      context: { service },
    });
  }
}
