/// When a request is taken to end the back ends that run it, and how long that is remembered.

/// Settings of the quarantine.
export interface QuarantineSettings {
  /// Back ends that must have ended under a request of which no run was ever answered. Default 3: one or two
  /// end beside a harmless one by chance, and three is what the platform forgives.
  readonly maximumCrashes: number
  /// The same of a request that was answered lately. Default 6: where several of the back ends that run a
  /// popular request end at once, its answers by the others come too late to speak for it.
  readonly maximumCrashesIfAnswered: number
  /// Back ends that must have ended lately under whichever requests of one caller, more than were answered to
  /// it, for the others of its requests to be judged by their first end and to run at one back end only.
  /// Default 6.
  readonly maximumCrashesPerCaller: number
  /// How long such an end counts, and how old a process must be to judge callers so. Milliseconds. Default
  /// 10,000.
  readonly callerMemoryMs: number
  /// How long an end counts. Milliseconds. Default 30 minutes: then the request may end one back end more.
  readonly crashMemoryMs: number
  /// The same for a request that was answered lately. Milliseconds. Default 10,000.
  readonly crashMemoryIfAnsweredMs: number
  /// How long an answer speaks for a request. Milliseconds. Default 30,000.
  readonly answerMemoryMs: number
  /// Requests under which back ends have ended and what they ask for, together at most; those with one end
  /// give way. Default 4096, some 2 MB.
  readonly maximumSuspects: number
  /// Answered requests and contents remembered at most. Default 8192, some 1 MB.
  readonly maximumAnswers: number
  /// Interval between comparisons with one other daemon. Milliseconds. Default 400: a daemon that was cut off
  /// or has just started hears of every request in quarantine some seven times within the 3 s in which
  /// contact must be found again.
  readonly compareIntervalMs: number
  /// In a fleet with more peers than this news go from daemon to daemon, and not from one to all. Default 12.
  readonly maximumDirectPeers: number
  /// Peers that each daemon passes news on to there. Default 4: the comparisons reach the few that hear
  /// nothing.
  readonly relayFanout: number
}

/// Default settings.
export const DEFAULT_QUARANTINE_SETTINGS: QuarantineSettings = {
  maximumCrashes: 3,
  maximumCrashesIfAnswered: 6,
  maximumCrashesPerCaller: 6,
  callerMemoryMs: 10_000,
  crashMemoryMs: 1_800_000,
  crashMemoryIfAnsweredMs: 10_000,
  answerMemoryMs: 30_000,
  maximumSuspects: 4096,
  maximumAnswers: 8192,
  compareIntervalMs: 400,
  maximumDirectPeers: 12,
  relayFanout: 4
}
