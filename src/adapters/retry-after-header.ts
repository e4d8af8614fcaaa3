/** The header with which a server says when it wants to be asked again (RFC 9110, 10.2.3). */
import { parseDecimal } from '../shared/decimal.js';
import { STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE } from '../shared/http-status.js';
import { SECOND_MS } from '../shared/units.js';

/** Statuses with which a server turns a request away and may say until when it wants none. */
export const RETRY_AFTER_STATUSES: ReadonlySet<number> = new Set([
  STATUS_TOO_MANY_REQUESTS,
  STATUS_UNAVAILABLE,
]);

/** The one form of dates that is sent; `Date.parse` takes much else for one. */
const HTTP_DATE = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * The time that a Retry-After names, in milliseconds from the answer on: a decimal number of seconds, or a date, which is
 * taken against the date of the answer itself. Undefined for anything else.
 */
export function parseRetryAfterMs(text: string, answerDate: string | undefined): number | undefined {
  const seconds = parseDecimal(text);
  if (seconds !== undefined) return seconds * SECOND_MS;
  if (!HTTP_DATE.test(text.trim()) || answerDate === undefined) return undefined;
  const ms = Date.parse(text) - Date.parse(answerDate);
  return Number.isFinite(ms) ? Math.max(0, ms) : undefined;
}

/** Hears of a Retry-After that cannot be read, as it came. It counts as none. */
export type UnreadableRetryAfterListener = (text: string) => void;

/** The same from the head of an answer; undefined also for one that is no refusal, or says nothing. */
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
