/** The failure `not-found`, which `src/cli` and `src/gateway` raise. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_NOT_FOUND } from '../shared/http-status.js';

/** The daemon serves nothing at this path. */
export class NotFoundError extends PulleyledgeError {
  constructor(path: string) {
    super(`nothing is served at ${path}`, {
      code: 'not-found',
      status: STATUS_NOT_FOUND,
      notRun: 'true',
      context: { path },
    });
  }
}
