/** The Retry-After header (RFC 9110, 10.2.3). */
import { parseDecimal } from '../shared/decimal.js';
import { STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE } from '../shared/http-status.js';
import { SECOND_MS } from '../shared/units.js';

/** Statuses of a rejected request whose Retry-After is read. */
export const RETRY_AFTER_STATUSES: ReadonlySet<number> = new Set([
  STATUS_TOO_MANY_REQUESTS,
  STATUS_UNAVAILABLE,
]);

/** The format in which HTTP dates are generated; `Date.parse` accepts many others. */
const HTTP_DATE = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * Parses a Retry-After value into milliseconds from the answer on: a decimal number of seconds, or a date, which is
 * compared with the date of the answer itself. Undefined for anything else.
 */
export function parseRetryAfterMs(text: string, answerDate: string | undefined): number | undefined {
  const seconds = parseDecimal(text);
  if (seconds !== undefined) return seconds * SECOND_MS;
  if (!HTTP_DATE.test(text.trim()) || answerDate === undefined) return undefined;
  const ms = Date.parse(text) - Date.parse(answerDate);
  return Number.isFinite(ms) ? Math.max(0, ms) : undefined;
}

/** Receives the text of a Retry-After that can't be parsed and is ignored. */
export type UnreadableRetryAfterListener = (text: string) => void;

/**
 * Reads the Retry-After of an answer, in milliseconds; undefined also where the answer is no rejection or has no
 * such header.
 */
export function readRetryAfterMs(
  status: number,
  { 'retry-after': text, date }: Readonly<Record<string, string | string[] | undefined>>,
  onUnreadable: UnreadableRetryAfterListener,
): number | undefined {
  if (!RETRY_AFTER_STATUSES.has(status) || typeof text !== 'string') return undefined;
  const ms = parseRetryAfterMs(text, typeof date === 'string' ? date : undefined);
  if (ms === undefined) onUnreadable(text);
  return ms;
}
