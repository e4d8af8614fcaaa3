/// Settings of the cost of distance.
import type {DistanceClass} from "./places.js"

/// A value for each class of distance.
type ByDistance = Readonly<Record<DistanceClass, number>>

/// Settings of the cost of distance, each with its unit and default.
export interface DistanceSettings {
  /// Round trip in addition to that within a zone, until probes have measured it. Milliseconds. Default 0, 2,
  /// 16: the machines of a zone share a building, the zones of a region a city; 16 is the round trip of light
  /// in fiber over 1,600 km.
  readonly roundTripMs: ByDistance
  /// Price of a megabyte of requests and answers, as waiting time. Milliseconds. Default 0, 500, 2000: carriers
  /// charge about four times as much between regions as between zones; the 17 KB of a long prompt then cost
  /// 8 ms and 34 ms.
  readonly callMsPerMegabyte: ByDistance
  /// Factor by which a copy of a KV cache takes longer than within a zone. Default 1, 2, 10.
  readonly copyTimeFactor: ByDistance
  /// Price of copying a gigabyte of KV cache, as waiting time. Milliseconds. Default 60, 120, 180.
  readonly copyMsPerGigabyte: ByDistance
  /// Prompt tokens that an engine is assumed to compute per millisecond until its speed is known. Default 90.
  readonly initialTokensPerMs: number
  /// Time that a back end is assumed to need for a request until some have been answered. Milliseconds.
  /// Default 20.
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
