/// Signals about a back end's own state that it sends in the headers of any answer.

/// The signals of one answer.
export interface BackendSignals {
  /// Requests a second that the back end accepts from all daemons together; undefined when the answer carries
  /// no limit.
  readonly requestsPerSecond: number | "unreadable" | undefined
  /// It is leaving: it finishes the requests it has and accepts no new ones.
  readonly isLeaving: boolean
  /// It rejected the request and asks this daemon to back off for this time. Milliseconds; undefined when it
  /// gives no time.
  readonly retryAfterMs: number | undefined
  /// Raw text of the signals whose values cannot be parsed; these are ignored.
  readonly unreadable: readonly string[]
}

/// The signals of an answer, with what is needed to decide which of them apply.
export interface SignalReport {
  readonly signals: BackendSignals
  /// When the request was sent that the back end answered. Monotonic milliseconds.
  readonly sentAt: number
  /// Whether an answer without a limit means that there is none. An error answer may omit the limit.
  readonly isConclusive: boolean
}
