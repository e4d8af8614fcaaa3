/** The failure `unknown-service`, which `src/cli` and `src/daemon` raise. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_NOT_FOUND } from '../shared/http-status.js';

/** The request names a service that is not in the configuration in force. */
export class UnknownServiceError extends PulleyledgeError {
  constructor(service: string) {
    super(`no service is named "${service}"`, {
      code: 'unknown-service',
      status: STATUS_NOT_FOUND,
      notRun: 'true',
      context: { service },
    });
  }
}
