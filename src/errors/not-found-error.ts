import { PulleyledgeError } from './pulleyledge-error.js';

/** No route of the daemon has this path. */
export class NotFoundError extends PulleyledgeError {
  constructor(path: string) {
    super(`nothing is served at ${path}`, {
      code: 'not-found',
      status: 404,
      notRun: 'true',
      context: { path },
    });
  }
}
