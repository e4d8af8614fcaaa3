/**
 * Retry-After times of a daemon that serves completions, except those of quarantined requests
 * (src/quarantine). Owns the constants and the two functions that compute a time; relies on nothing.
 *
 * All times are milliseconds; the header rounds them up to whole seconds.
 */

/**
 * The daemon has no configuration yet, holds a stale one, or is stopping. Milliseconds; callers may use
 * another daemon in the meantime.
 */
export const NOT_READY_RETRY_AFTER_MS = 1000;

/**
 * The owner of the service's limits did not answer, or no slot became free within the request's allowed wait.
 * Milliseconds.
 */
export const SLOT_RETRY_AFTER_MS = 1000;

/** The table does not confirm claims, so a call that must be executed at most once was not sent. Milliseconds. */
export const LEDGER_RETRY_AFTER_MS = 1000;

/** No application server is available for the call. Milliseconds. */
export const NO_SERVER_RETRY_AFTER_MS = 1000;

/**
 * An operator's edit was not accepted: too few daemons are reachable, or the table did not answer.
 * Milliseconds.
 */
export const EDIT_RETRY_AFTER_MS = 2000;

/** Minimum time after a refusal due to engine load. Milliseconds. */
export const MINIMUM_OVERLOAD_RETRY_AFTER_MS = 250;

/** Minimum time after a refusal due to a full queue for slots. Milliseconds. */
const MINIMUM_SLOT_QUEUE_RETRY_AFTER_MS = 200;

/** Maximum of that time, also used when the owner does not know the service. Milliseconds. */
export const MAXIMUM_SLOT_QUEUE_RETRY_AFTER_MS = 30_000;

/**
 * Time after a refusal due to load until the backlog will have shrunk to the allowed wait. Milliseconds.
 */
export function getOverloadRetryAfterMs(expectedWaitMs: number, allowedWaitMs: number): number {
  return Math.max(MINIMUM_OVERLOAD_RETRY_AFTER_MS, expectedWaitMs - allowedWaitMs);
}

/**
 * Time after a refusal due to a full queue for a service's slots until the queue and one more request will
 * have completed at the recent completion rate. Milliseconds.
 * @param waiting requests in the queue
 * @param completed requests that ended within `elapsedMs`; none counts as one
 */
export function getSlotQueueRetryAfterMs(waiting: number, completed: number, elapsedMs: number): number {
  const perMs = Math.max(completed, 1) / Math.max(1, elapsedMs);
  const delay = (waiting + 1) / perMs;
  return Math.round(
    Math.min(MAXIMUM_SLOT_QUEUE_RETRY_AFTER_MS, Math.max(MINIMUM_SLOT_QUEUE_RETRY_AFTER_MS, delay)),
  );
}
