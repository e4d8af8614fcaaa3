/**
 * Detects that the machine was suspended. The monotonic clock does not count a suspension, so that a lease
 * measured by it seems valid for too long; the wall clock continues. A wall clock that is set forward looks the
 * same and is treated as a suspension: dropping a lease unnecessarily costs one new lease, but keeping it too
 * long allows two holders at once.
 */

/**
 * The wall clock gains more than this on the monotonic clock only through a suspension or by being set.
 * Milliseconds.
 */
const DETECTION_THRESHOLD_MS = 250;

/** The suspension detector of one process. */
export class SuspensionDetector {
  private offsetMs: number | undefined;

  /**
   * Compares the monotonic clock with the wall clock. Returns the time of suspension since the last call, 0 for
   * none. All in milliseconds.
   */
  observe(monotonicMs: number, wallMs: number): number {
    const offsetMs = wallMs - monotonicMs;
    const gainedMs = offsetMs - (this.offsetMs ?? offsetMs);
    this.offsetMs = offsetMs;
    return gainedMs > DETECTION_THRESHOLD_MS ? gainedMs : 0;
  }
}
