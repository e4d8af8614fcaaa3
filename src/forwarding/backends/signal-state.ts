/// The signals that one incarnation of a back end has sent, as far as this daemon knows. They outlive the
/// back end's view: a record may expire and be added again while its back end keeps running.
import {AdvertisedLimit} from "./advertised-limit.js"

/// The signals of one incarnation.
export class SignalState {
  /// The request rate that it advertises.
  readonly limit = new AdvertisedLimit()

  /// Whether it has signalled that it is leaving; never revoked.
  isLeaving = false
  private backOffUntil = -Infinity

  /// It asks this daemon to back off until `until`. An earlier back-off that lasts longer stays in force.
  addBackOff(until: number): void {
    this.backOffUntil = Math.max(this.backOffUntil, until)
  }

  /// End of its latest back-off; -Infinity when it never asked for one. Monotonic milliseconds.
  getBackOffEnd(): number {
    return this.backOffUntil
  }

  /// Whether it has sent any signal that has to be kept.
  hasSignals(): boolean {
    return this.isLeaving || this.backOffUntil > -Infinity || this.limit.getChangedAt() > -Infinity
  }
}
