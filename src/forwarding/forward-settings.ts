/// Settings of the forwarding machine.

/// Settings of forwarding.
export interface ForwardSettings {
  /// A repeatable request whose answer has not begun is moved to another back end after this multiple of its
  /// latency target, if its back end has stopped answering other requests too. Default 1.5.
  readonly stallTargetShare: number
  /// Lower bound of that time. Milliseconds. Default 400.
  readonly minimumStallMs: number
  /// A resumable stream is moved after this multiple of its target gap without an event. Default 6.
  readonly stallGaps: number
  /// Maximum number of sends of one request, including separate computations of its prompt. Default 6.
  readonly maximumSends: number
  /// Minimum Retry-After of a refused request. Milliseconds. Default 100.
  readonly retryAfterMs: number
  /// Maximum Retry-After for outages and overload. While the store does not answer a daemon without a
  /// configuration, the Retry-After is the duration of the outage so far, clamped to these two bounds.
  /// Milliseconds. Default 3000.
  readonly maximumRetryAfterMs: number
  /// A prompt with more tokens than this to compute yields to shorter ones of the same priority. Default
  /// 12000.
  readonly longPromptTokens: number
  /// Share of a back end's connections that the daemons use. Default 0.9.
  readonly connectionUse: number
  /// Retry-After while this daemon is stopping: others can take the request immediately. Milliseconds. Default
  /// 10.
  readonly stoppingRetryAfterMs: number
  /// Maximum number of requests at a plain back end, which is not a model engine, as a multiple of its slots;
  /// more are refused. Default 4.
  readonly plainSlotShare: number
}

/// Default settings.
export const DEFAULT_FORWARD_SETTINGS: ForwardSettings = {
  stallTargetShare: 1.5,
  minimumStallMs: 400,
  stallGaps: 6,
  maximumSends: 6,
  retryAfterMs: 100,
  maximumRetryAfterMs: 3000,
  longPromptTokens: 12_000,
  connectionUse: 0.9,
  stoppingRetryAfterMs: 10,
  plainSlotShare: 4
}
