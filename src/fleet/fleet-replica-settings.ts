/// Settings of a daemon's copy of the configuration and of the back ends.

/// Settings of the replica.
export interface FleetReplicaSettings {
  /// How long a read waits for a change: peers hear so late that there was none. Milliseconds. Default 450.
  readonly waitMs: number
  /// An answer so much later than the wait that was asked for counts as lost. Milliseconds. Default 800; a
  /// store answers in some 4, a slow one in some 200.
  readonly answerTimeoutMs: number
  /// The same of the first read of a daemon that has heard nothing for long: if it is lost the next one goes
  /// out while a change still counts as in force in time. Milliseconds. Default 350, with the longest patience
  /// and a pause some 250 less than a change may take.
  readonly firstAnswerTimeoutMs: number
  /// The second daemon in rank asks the store when it has not heard for so long that its copy is complete.
  /// Milliseconds. Default 1200.
  readonly standbyDelayMs: number
  /// Each further rank waits so much longer, up to the longest patience. Milliseconds. Default 100.
  readonly standbyDelayStepMs: number
  /// Every daemon asks the store after this. Milliseconds. Default 1400.
  readonly maximumStandbyDelayMs: number
  /// Pause after an answer with changes, so that changes in a row come in one answer. Milliseconds. Default
  /// 150.
  readonly batchDelayMs: number
  /// First pause after a read that failed; doubled at each further one. Milliseconds. Default 100.
  readonly backoffMs: number
  /// The longest such pause. Milliseconds. Default 800.
  readonly maximumBackoffMs: number
  /// The longest pause of a daemon that knows nothing yet, and so serves nobody. Milliseconds. Default 200.
  readonly emptyBackoffMs: number
  /// A copy that was confirmed longer ago proves nothing about what it lacks: a newer one may have been bound
  /// to be in force by now. Milliseconds. Default 1800, which is less than a change may take.
  readonly staleMs: number
  /// An outage of the store that lasted so long may have cost back ends their records although they live.
  /// Milliseconds. Default 2000.
  readonly expiryOutageMs: number
  /// If the store answered any daemon, word of it is here after so long: the longest patience, a read and
  /// three digests. Milliseconds. Default 2200.
  readonly peerConfirmationMs: number
  /// How long a back end whose record was gone after an outage keeps its work, if it was ready. Milliseconds.
  /// Default 1800.
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
