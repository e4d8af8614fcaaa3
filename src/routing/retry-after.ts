/**
 * Every time that a daemon which serves completions names in a Retry-After, but for those that a quarantine
 * computes (src/quarantine). Owns the constants and the two rules that compute a time; relies on nothing.
 *
 * All times are milliseconds; the header rounds them up to whole seconds.
 */

/**
 * The daemon has no configuration yet, holds a stale one, or is stopping. Milliseconds; callers may go to
 * another daemon meanwhile.
 */
export const NOT_READY_RETRY_AFTER_MS = 1000;

/**
 * The owner of the service's limits gave no answer, or no slot came free while the request was allowed to
 * wait. Milliseconds.
 */
export const SLOT_RETRY_AFTER_MS = 1000;

/** The table does not confirm claims, so a call that may run once at most was not sent. Milliseconds. */
export const LEDGER_RETRY_AFTER_MS = 1000;

/** No application server takes the call. Milliseconds. */
export const NO_SERVER_RETRY_AFTER_MS = 1000;

/**
 * An operator's edit was not accepted: too few daemons are in contact, or the table gave no answer.
 * Milliseconds.
 */
export const EDIT_RETRY_AFTER_MS = 2000;

/** Least time after a refusal for load at the engines. Milliseconds. */
export const MINIMUM_OVERLOAD_RETRY_AFTER_MS = 250;

/** Least time after a refusal for a full line of requests that wait for slots. Milliseconds. */
const MINIMUM_SLOT_LINE_RETRY_AFTER_MS = 200;

/** Longest such time, and the one where the owner does not know the service. Milliseconds. */
export const MAXIMUM_SLOT_QUEUE_RETRY_AFTER_MS = 30_000;

/**
 * After a refusal for load: when the backlog will have shrunk to what the request may wait for. Milliseconds.
 */
export function getOverloadRetryAfterMs(expectedWaitMs: number, allowedWaitMs: number): number {
  return Math.max(MINIMUM_OVERLOAD_RETRY_AFTER_MS, expectedWaitMs - allowedWaitMs);
}

/**
 * After a refusal for a full line before a service's slots: when the line and one more request will have gone
 * through at the pace of those that ended lately. Milliseconds.
 * @param waiting requests in the line
 * @param completed requests that ended within `elapsedMs`; none counts as one
 */
export function getSlotQueueRetryAfterMs(waiting: number, completed: number, elapsedMs: number): number {
  const perMs = Math.max(completed, 1) / Math.max(1, elapsedMs);
  const delay = (waiting + 1) / perMs;
  return Math.round(
    Math.min(MAXIMUM_SLOT_QUEUE_RETRY_AFTER_MS, Math.max(MINIMUM_SLOT_LINE_RETRY_AFTER_MS, delay)),
  );
}
