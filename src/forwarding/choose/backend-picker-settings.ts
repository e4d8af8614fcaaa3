/// Settings of the choice of back ends.
import {DEFAULT_PACE_TRACKER_SETTINGS, type PaceTrackerSettings} from "../pace/pace-book.js"

/// Settings of the choice.
export interface BackendPickerSettings {
  /// Back ends drawn for a choice among many. Default 3.
  readonly draws: number
  /// Shared prompts of at least so many tokens have a home. Default 1000.
  readonly minimumAffinityTokens: number
  /// How much slower a decode engine computes prompts than a prefill engine. Default 2.
  readonly decodePromptFactor: number
  /// Shared parts read again delay others too: they weigh so much more than their tokens. Default 4.
  readonly recomputeFactor: number
  /// What a token costs that is copied from another engine's KV cache, in tokens that are computed. Default
  /// 0.05.
  readonly copyFactor: number
  /// A copy is asked for when it saves so many tokens. Default 256.
  readonly minimumCopyTokens: number
  /// Whether shared prompts have a home in each region, or one in the whole fleet. Default true. No matter in
  /// one region.
  readonly homesByRegion: boolean
  /// What one request on an engine costs another, in prompt tokens. Default 60.
  readonly requestCostTokens: number
  /// Longer prompts are computed by prefill engines while there is one: on a decode engine they would hold up
  /// the tokens of every other stream. Default 300.
  readonly decodePromptTokens: number
  /// A prompt is expected to be in time when it is expected within this share of the time left. Default 0.6.
  readonly onTimeShare: number
  /// Part of an engine's KV cache and slots that prompts may take before overdue ones find no room. An engine
  /// that runs out of memory puts back what it has begun to read. Default 0.7.
  readonly overdueCapacityShare: number
  /// How the back ends' pace is learned.
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
