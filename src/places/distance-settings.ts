/// Settings of what distance costs.
import type {DistanceClass} from "./places.js"

/// A figure for each class of distance.
type ByDistance = Readonly<Record<DistanceClass, number>>

/// Settings of distance.
export interface DistanceSettings {
  /// Round trip beyond that within a zone until probes have told it. Milliseconds. Default 0, 2, 16: machines
  /// of a zone share a building, zones of a region a town; 16 is light in glass over 1,600 km.
  readonly roundTripMs: ByDistance
  /// Waiting that a megabyte of requests and answers is worth. Milliseconds. Default 0, 500, 2000: carriers
  /// charge about four times as much between regions as between zones; 17 KB of a long prompt then weigh 8 ms
  /// and 34 ms.
  readonly callMsPerMegabyte: ByDistance
  /// How much longer a copy of a KV cache takes than within a zone. Default 1, 2, 10.
  readonly copyTimeFactor: ByDistance
  /// Waiting that a gigabyte of KV cache moved is worth. Milliseconds. Default 60, 120, 180.
  readonly copyMsPerGigabyte: ByDistance
  /// Prompt tokens that an engine computes in a millisecond until its pace is known. Default 90.
  readonly initialTokensPerMs: number
  /// Time that a back end takes over a request until some have been answered. Milliseconds. Default 20.
  readonly initialWorkMs: number
}

/// Default settings.
export const DEFAULT_DISTANCE_SETTINGS: DistanceSettings = {
  roundTripMs: {sameZone: 0, sameRegion: 2, otherRegion: 16},
  callMsPerMegabyte: {sameZone: 0, sameRegion: 500, otherRegion: 2000},
  copyTimeFactor: {sameZone: 1, sameRegion: 2, otherRegion: 10},
  copyMsPerGigabyte: {sameZone: 60, sameRegion: 120, otherRegion: 180},
  initialTokensPerMs: 90,
  initialWorkMs: 20
}
