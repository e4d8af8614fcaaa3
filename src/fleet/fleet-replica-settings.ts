/// Settings of a daemon's replica of the configuration and of the list of back ends.

/// Settings of the replica.
export interface FleetReplicaSettings {
  /// How long a read waits at the store for a change. It is also the delay after which peers learn that there
  /// was none. Milliseconds. Default 450.
  readonly waitMs: number
  /// A read fails when there is no answer this long after its wait. Milliseconds. Default 800; a store answers
  /// in about 4, a slow one in about 200.
  readonly answerTimeoutMs: number
  /// The timeout of the first read of a daemon that has had no recent confirmation of its copy. If that read
  /// is lost, the next one is still early enough to apply a change within the bound. Milliseconds. Default 350:
  /// with the longest standby delay and a back-off this is about 250 less than a change may take.
  readonly firstAnswerTimeoutMs: number
  /// The daemon that is second in rank reads the store when its copy has not been confirmed as complete for
  /// this duration. Milliseconds. Default 1200.
  readonly standbyDelayMs: number
  /// Added for each further rank, up to the longest standby delay. Milliseconds. Default 100.
  readonly standbyDelayStepMs: number
  /// The longest standby delay: after it every daemon reads the store. Milliseconds. Default 1400.
  readonly maximumStandbyDelayMs: number
  /// Pause after an answer with changes, so that the next answer contains a batch of changes. Milliseconds.
  /// Default 150.
  readonly batchDelayMs: number
  /// Back-off after the first failed read; doubled for each further failure. Milliseconds. Default 100.
  readonly backoffMs: number
  /// The longest back-off. Milliseconds. Default 800.
  readonly maximumBackoffMs: number
  /// The longest back-off of a daemon that has no records yet and so cannot serve requests. Milliseconds.
  /// Default 200.
  readonly emptyBackoffMs: number
  /// A copy that was last confirmed longer ago than this does not prove that a record is absent: by now a newer
  /// configuration may have to be in force. Milliseconds. Default 1800, which is less than a change may take.
  readonly staleMs: number
  /// After an outage of the store of this length, records of healthy back ends may have expired.
  /// Milliseconds. Default 2000.
  readonly expiryOutageMs: number
  /// If the store answered any daemon, a peer's confirmation arrives within this time: the longest standby
  /// delay, a read and three digests. Milliseconds. Default 2200.
  readonly peerConfirmationMs: number
  /// How long a ready back end whose record was missing after an outage keeps its work. Milliseconds. Default
  /// 1800.
  readonly expiryGraceMs: number
}

/// Default settings.
export const DEFAULT_FLEET_REPLICA_SETTINGS: FleetReplicaSettings = {
  waitMs: 450,
  answerTimeoutMs: 800,
  firstAnswerTimeoutMs: 350,
  standbyDelayMs: 1200,
  standbyDelayStepMs: 100,
  maximumStandbyDelayMs: 1400,
  batchDelayMs: 150,
  backoffMs: 100,
  maximumBackoffMs: 800,
  emptyBackoffMs: 200,
  staleMs: 1800,
  expiryOutageMs: 2000,
  peerConfirmationMs: 2200,
  expiryGraceMs: 1800
}
