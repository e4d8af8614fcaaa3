/** The failure `invalid-input`, raised wherever input of callers or operators is parsed. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_BAD_REQUEST } from '../shared/http-status.js';

/** Input of a caller or operator is invalid; `field` names the field. */
export class ValidationError extends PulleyledgeError {
  constructor(
    readonly field: string,
    problem: string,
  ) {
    super(`${field}: ${problem}`, {
      code: 'invalid-input',
      status: STATUS_BAD_REQUEST,
      notRun: 'true',
      context: { field, problem },
    });
  }
}
