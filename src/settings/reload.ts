/** Handles a reload signal: checks the settings file again and reports whether it is valid. */
import { PulleyledgeError } from '../errors/index.js';

/** Fields of the log line for a reload. */
export type ReloadFields = Readonly<Record<string, unknown>>;

/**
 * Reads the settings again and returns whether they are valid, with the fields of `describe`. Neither valid nor
 * invalid settings change the running daemon: valid ones take effect at the next start.
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
