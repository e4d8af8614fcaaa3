import { PulleyledgeError } from './pulleyledge-error.js';

/** A table row has a value outside the allowed range. */
export class RowInvalidError extends PulleyledgeError {
  constructor(row: string, column: string, value: unknown, allowed: string) {
    super(`row "${row}", column "${column}": ${JSON.stringify(value)} is not ${allowed}`, {
      code: 'row-invalid',
      status: 422,
      notRun: 'true',
      context: { row, column, value, allowed },
    });
  }
}
