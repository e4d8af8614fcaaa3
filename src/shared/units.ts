/** Conversion factors between units. */

/** Milliseconds per second. */
export const SECOND_MS = 1000;
