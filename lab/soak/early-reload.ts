/// Daemon processes that a reload terminated before they could handle the signal, as a soak records them.

/// Why a process was started. After `invalidSettings` and `earlyReload` the previous process exited unexpectedly.
export type StartReason = "firstStart" | "kill" | "stop" | "invalidSettings" | "earlyReload"

/// A process that a reload ended before it could handle the signal, and the restart after it. Milliseconds.
export interface EarlyReload {
  readonly daemon: string
  /// Monotonic time of the signal.
  readonly at: number
  /// Age of the process at the signal.
  readonly ageMs: number
  readonly startReason: StartReason
  /// From the last kill or stop by the soak to the signal; undefined when there was none.
  readonly sinceStopMs: number | undefined
  /// From the soak's last start of the process to the signal; restarts after an unexpected exit don't count.
  readonly sinceSoakStartMs: number
  /// Reload signals after this one, until the restarted daemon serves.
  laterSignals: number
  /// From the signal until the address for callers accepts connections; undefined when the soak stopped or killed
  /// the daemon before.
  servesAfterMs: number | undefined
}
