/// When a request counts as crashing the back ends that execute it, and how long the evidence is kept.

/// Settings of the quarantine.
export interface QuarantineSettings {
  /// Number of crashed back ends that puts a request in quarantine of which no attempt was ever answered.
  /// Default 3: one or two crash by chance while they execute a harmless request, and the platform
  /// tolerates three.
  readonly maximumCrashes: number
  /// The same for a request that was answered recently. Default 6: where several of the back ends that
  /// execute a popular request crash at once, answers of the others arrive too late to clear it.
  readonly maximumCrashesIfAnswered: number
  /// The same for a part of prompts with which a request was answered recently; crashes at the same moment count
  /// once. Default 5, the number after which the platform counts further arrivals.
  readonly maximumCrashesPerAnsweredPart: number
  /// Number of back ends that must have crashed recently while they executed any requests of one caller, and
  /// that must exceed the number of answers to it. Its other requests are then quarantined after their first
  /// crash and executed at one back end only. Default 6.
  readonly maximumCrashesPerCaller: number
  /// How long a crash counts for its caller, and how old a process must be to judge callers by crashes.
  /// Milliseconds. Default 10,000.
  readonly callerMemoryMs: number
  /// How long a crash counts. Milliseconds. Default 30 minutes: then the request may crash one more back
  /// end.
  readonly crashMemoryMs: number
  /// The same for a request that was answered recently. Milliseconds. Default 10,000.
  readonly crashMemoryIfAnsweredMs: number
  /// How long an answer counts in favor of a request. Milliseconds. Default 30,000.
  readonly answerMemoryMs: number
  /// Maximum number of requests with crashes and of their contents, together, and of parts of prompts with crashes; those with one crash are
  /// evicted first. Default 4096, some 2 MB.
  readonly maximumSuspects: number
  /// Maximum number of answered requests and contents in memory, and of answered parts of prompts. Default 8192, some 1 MB.
  readonly maximumAnswers: number
  /// Interval between comparisons with one peer. Milliseconds. Default 400: a daemon that was partitioned
  /// or has just started receives every request in quarantine some seven times within the 3 s in which
  /// contact must be regained.
  readonly compareIntervalMs: number
  /// In a fleet with more peers than this, new facts are relayed from daemon to daemon instead of sent to
  /// all peers. Default 12.
  readonly maximumDirectPeers: number
  /// Number of peers to which each daemon relays a new fact there. Default 4: the comparisons reach the
  /// few peers that do not receive it.
  readonly relayFanout: number
}

/// Default settings.
export const DEFAULT_QUARANTINE_SETTINGS: QuarantineSettings = {
  maximumCrashes: 3,
  maximumCrashesIfAnswered: 6,
  maximumCrashesPerAnsweredPart: 5,
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
