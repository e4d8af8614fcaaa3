/** The failure `row-invalid`, which `src/configuration` raises. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_UNPROCESSABLE } from '../shared/http-status.js';

/** A table row has a value outside the allowed range. */
export class RowInvalidError extends PulleyledgeError {
  constructor(row: string, column: string, value: unknown, allowed: string) {
    super(`row "${row}", column "${column}": ${JSON.stringify(value)} is not ${allowed}`, {
      code: 'row-invalid',
      status: STATUS_UNPROCESSABLE,
      notRun: 'true',
      context: { row, column, value, allowed },
    });
  }
}
