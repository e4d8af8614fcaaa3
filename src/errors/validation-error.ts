import { PulleyledgeError } from './pulleyledge-error.js';

/** A caller's or operator's input is wrong; `field` names the place. */
export class ValidationError extends PulleyledgeError {
  constructor(
    readonly field: string,
    problem: string,
  ) {
    super(`${field}: ${problem}`, {
      code: 'invalid-input',
      status: 400,
      notRun: 'true',
      context: { field, problem },
    });
  }
}
