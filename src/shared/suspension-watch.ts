/**
 * Finds out whether the machine was suspended. A suspended machine's steady clock stands still, so whoever
 * measures a lease by it believes that time has not passed; the time of day has gone on. A time of day that
 * is set forward looks the same, and is taken for a suspension: authority given up for nothing costs a new
 * lease, authority kept too long breaks the promise that two never act at once.
 */

/**
 * The time of day gets ahead of the steady clock by so much only when the machine stood still or was set.
 * Milliseconds.
 */
const NOTICEABLE_MS = 250;

/** The watch of one process. */
export class SuspensionDetector {
  private offsetMs: number | undefined;

  /**
   * Compares the clocks. Returns how long the machine was suspended since the last call, 0 when it was not.
   * All in milliseconds.
   */
  observe(steadyMs: number, wallMs: number): number {
    const offsetMs = wallMs - steadyMs;
    const gainedMs = offsetMs - (this.offsetMs ?? offsetMs);
    this.offsetMs = offsetMs;
    return gainedMs > NOTICEABLE_MS ? gainedMs : 0;
  }
}
