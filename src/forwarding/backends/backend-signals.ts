/// What a back end says of itself in the head of an answer, whatever it answers.

/// The signals of one answer.
export interface BackendSignals {
  /// Requests a second that the back end takes from all daemons together; undefined when it names no limit.
  readonly requestsPerSecond: number | "unreadable" | undefined
  /// It leaves: it serves what it has and wants nothing new.
  readonly isLeaving: boolean
  /// It has turned the request away, and wants nothing from this daemon for so long. Milliseconds; undefined
  /// when it does not say.
  readonly retryAfterMs: number | undefined
  /// Signals whose values cannot be read, as they came. They count for nothing.
  readonly unreadable: readonly string[]
}

/// The signals of an answer, with what tells how far they count.
export interface SignalReport {
  readonly signals: BackendSignals
  /// When the request was sent that was so answered. Monotonic milliseconds.
  readonly sentAt: number
  /// Whether the answer would name a limit if there were one. One that a back end gives in trouble may not.
  readonly isConclusive: boolean
}
