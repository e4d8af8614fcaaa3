/// What one incarnation of a back end says of itself, as far as this daemon knows. It outlives the back end's
/// view: a record may lapse and come back while its back end runs on.
import {AdvertisedLimit} from "./advertised-limit.js"

/// The state of one incarnation.
export class SignalState {
  /// How many requests a second it takes.
  readonly limit = new AdvertisedLimit()

  /// It has said that it leaves; it cannot take that back.
  isLeaving = false
  private backOffUntil = -Infinity

  /// It wants nothing from this daemon until then. What it has said before stays in force.
  addBackOff(until: number): void {
    this.backOffUntil = Math.max(this.backOffUntil, until)
  }

  /// Until when it wants nothing from this daemon. Monotonic milliseconds.
  getBackOffEnd(): number {
    return this.backOffUntil
  }

  /// Whether it has said anything that still counts.
  hasSignals(): boolean {
    return this.isLeaving || this.backOffUntil > -Infinity || this.limit.getChangedAt() > -Infinity
  }
}
