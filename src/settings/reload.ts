/** What a daemon does when it hears that its settings have changed: it checks them, and says what it found. */
import { PulleyledgeError } from '../errors/index.js';

/** Fields of the log line of a reload. */
export type ReloadFields = Readonly<Record<string, unknown>>;

/**
 * Reads the settings anew and tells whether they are valid, with `describe`'s fields. Wrong ones change nothing;
 * valid ones come into force at the next start.
 */
export function checkReload<T>(
  read: () => T,
  describe: (settings: T) => ReloadFields = () => ({}),
): ReloadFields {
  try {
    return { valid: true, ...describe(read()) };
  } catch (error) {
    if (!(error instanceof PulleyledgeError)) throw error;
    return { valid: false, code: error.code, problem: error.message };
  }
}
