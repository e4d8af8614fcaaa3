/// Settings of a daemon's replica of the configuration and of the list of back ends. Those that decide how late a
/// change may be known are derived in change-times.ts.
import {ANSWER_TIMEOUT_MS, BACKOFF_MS, createChangeTimes, type ChangeTimes} from "./change-times.js"

/// Settings of the replica.
export interface FleetReplicaSettings extends ChangeTimes {
  /// A read fails when there is no answer this long after its wait. Milliseconds. Default 800; a store answers
  /// in about 4, a slow one in about 200.
  readonly answerTimeoutMs: number
  /// Added for each further rank, up to the longest standby delay. Milliseconds. Default 100.
  readonly standbyDelayStepMs: number
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
  /// After an outage of the store of this length, records of healthy back ends may have expired.
  /// Milliseconds. Default 2000.
  readonly expiryOutageMs: number
  /// How long a ready back end whose record was missing after an outage keeps its work. Milliseconds. Default
  /// 1800.
  readonly expiryGraceMs: number
}

/// Time in which a change is known by default. Milliseconds.
const DEFAULT_BOUND_MS = 2000

/// Default settings.
export const DEFAULT_FLEET_REPLICA_SETTINGS: FleetReplicaSettings = {
  ...createChangeTimes(DEFAULT_BOUND_MS, DEFAULT_BOUND_MS),
  answerTimeoutMs: ANSWER_TIMEOUT_MS,
  standbyDelayStepMs: 100,
  batchDelayMs: 150,
  backoffMs: BACKOFF_MS,
  maximumBackoffMs: 800,
  emptyBackoffMs: 200,
  expiryOutageMs: 2000,
  expiryGraceMs: 1800
}
