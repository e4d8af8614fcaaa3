/** The header with which a server says when it wants to be asked again (RFC 9110, 10.2.3). */
import { SECOND_MS } from '../shared/units.js';

/**
 * The time that a Retry-After names, in milliseconds from the answer on: a decimal number of seconds, or a date, which is
 * taken against the date of the answer itself. Undefined for anything else.
 */
export function parseRetryAfterMs(text: string, answerDate: string | undefined): number | undefined {
  if (/^\s*\d+(\.\d+)?\s*$/.test(text)) return Number(text) * SECOND_MS;
  const ms = Date.parse(text) - Date.parse(answerDate ?? '');
  return Number.isFinite(ms) ? Math.max(0, ms) : undefined;
}
