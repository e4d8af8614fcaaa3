import { PulleyledgeError } from './pulleyledge-error.js';

/** The settings file or a flag is wrong; `key` names the place. */
export class SettingsError extends PulleyledgeError {
  constructor(key: string, problem: string) {
    super(`settings key "${key}": ${problem}`, {
      code: 'settings-invalid',
      status: 400,
      notRun: 'true',
      context: { key, problem },
    });
  }
}
