/// What one incarnation of a back end says of itself, as far as this daemon knows. It outlives the back end's
/// view: a record may lapse and come back while its back end runs on.
import {AdvertisedLimit} from "./advertised-limit.js"

/// The state of one incarnation.
export class SignalState {
  /// How many requests a second it takes.
  readonly limit = new AdvertisedLimit()

  /// Whether it has said anything that still counts.
  hasSaidAnything(): boolean {
    return this.limit.getChangedAt() > -Infinity
  }
}
