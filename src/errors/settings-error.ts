/** The failure `settings-invalid`, which `platform` and `src/settings` raise. */
import { PulleyledgeError } from './pulleyledge-error.js';
import { STATUS_BAD_REQUEST } from '../shared/http-status.js';

/** The settings file or a flag is invalid; `key` names the key or flag. */
export class SettingsError extends PulleyledgeError {
  constructor(key: string, problem: string) {
    super(`settings key "${key}": ${problem}`, {
      code: 'settings-invalid',
      status: STATUS_BAD_REQUEST,
      notRun: 'true',
      context: { key, problem },
    });
  }
}
