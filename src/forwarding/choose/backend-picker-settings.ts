/// Settings of the choice of back ends.
import {DEFAULT_PACE_TRACKER_SETTINGS, type PaceTrackerSettings} from "../pace/pace-tracker.js"

/// Settings of the choice of back ends and their defaults.
export interface BackendPickerSettings {
  /// Back ends sampled at random for a choice among many. Default 3.
  readonly draws: number
  /// Shared parts of a prompt have a home engine from this size on. Tokens. Default 1000.
  readonly minimumAffinityTokens: number
  /// Time that a decode engine takes for a prompt, as a multiple of a prefill engine's. Default 2.
  readonly decodePromptFactor: number
  /// Cost of a token of shared parts that is computed outside their home, as a multiple of other tokens,
  /// because computing it again also delays other prompts. Default 4.
  readonly recomputeFactor: number
  /// Cost of a token that is copied from another engine's KV cache, in computed tokens. Default 0.05.
  readonly copyFactor: number
  /// Least number of tokens that a copy has to save. Default 256.
  readonly minimumCopyTokens: number
  /// Whether shared parts have a home in each region, rather than one in the whole fleet. Without effect in a
  /// fleet of one region. Default true.
  readonly homesByRegion: boolean
  /// Cost of one request in flight at an engine to another one there, in prompt tokens. Default 60.
  readonly requestCostTokens: number
  /// Longer prompts are computed by prefill engines if there is one: on a decode engine they would delay the
  /// tokens of all other streams. Tokens. Default 300.
  readonly decodePromptTokens: number
  /// A prompt counts as overdue unless it is expected within this share of the time left. Default 0.6.
  readonly onTimeShare: number
  /// An overdue prompt is accepted while, with it, at most this share of the engine's KV cache and slots is
  /// in use: an engine that runs out of memory requeues prompts that it has begun to compute. Default 0.7.
  readonly overdueCapacityShare: number
  /// Settings of the pace tracker.
  readonly pace: PaceTrackerSettings
}

/// Default settings.
export const DEFAULT_BACKEND_PICKER_SETTINGS: BackendPickerSettings = {
  draws: 3,
  minimumAffinityTokens: 1000,
  decodePromptFactor: 2,
  recomputeFactor: 4,
  copyFactor: 0.05,
  minimumCopyTokens: 256,
  homesByRegion: true,
  requestCostTokens: 60,
  decodePromptTokens: 300,
  onTimeShare: 0.6,
  overdueCapacityShare: 0.7,
  pace: DEFAULT_PACE_TRACKER_SETTINGS
}
