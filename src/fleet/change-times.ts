/// How late a daemon may know a change in the store. The delays that add up to it are all stated here.
///
/// A daemon whose copy is not confirmed reads the store itself, and once more if that read is lost:
///
///     standby delay + tick + first read + back-off + tick + second read <= bound
///
/// A daemon denies requests by a copy whose age is below `staleMs`. That age is counted from the store's answer, so it
/// contains every delay of the messages that confirmed the copy, and nothing is to be added:
///
///     age of the copy + reserve <= bound
///
/// While nothing fails, confirmations come before a standby reads:
///
///     wait at the store + read + three digests <= standby delay
import {IDLE_TICK_MS} from "../shared/tick-interval.js"

/// Duration of one long poll, as a share of the bound.
const LONG_POLL_SHARE = 0.33
/// Age at which the second daemon in rank reads the store itself, as the same share: a read and three digests of
/// 250 ms are 0.71 of 2 s (a small fleet needs less), 0.58 of 3 s and 0.52 of 4 s.
const STANDBY_DELAY_SHARE = 0.6
/// Age at which every daemon does, as the same share.
const MAXIMUM_STANDBY_DELAY_SHARE = 0.65
/// Age up to which a copy proves that a record does not exist, as the same share; the rest is for what two clocks
/// drift apart and for sending the answer.
const DENIAL_SHARE = 0.9

/// Time in which the information that the store has answered one daemon reaches all others: three digests of a large
/// fleet, 250 ms each, and the read. Milliseconds.
const PROPAGATION_MS = 800
/// A read that is answered, and applying its result. Milliseconds; the store answers in about 4.
const ANSWERED_READ_MS = 50
/// A back-off is drawn between a half and one and a half of its setting.
const LONGEST_BACKOFF_FACTOR = 1.5
/// Lower bound of a read's timeout. Milliseconds; a shorter timeout would not distinguish a lost read from a slow one.
const MINIMUM_ANSWER_MS = 100

/// Default back-off after the first failed read, and timeout of a read. Milliseconds.
export const BACKOFF_MS = 100
export const ANSWER_TIMEOUT_MS = 800

/// The settings of a replica that follow from the bounds.
export interface ChangeTimes {
  /// How long a read waits at the store for a change. It is also the delay after which peers learn that there
  /// was none. Milliseconds. Default 660.
  readonly waitMs: number
  /// The timeout of the first read of a daemon that has had no recent confirmation of its copy. If that read
  /// is lost, the next one is still early enough to apply a change within the bound. Milliseconds. Default 300.
  readonly firstAnswerTimeoutMs: number
  /// The daemon that is second in rank reads the store when its copy has not been confirmed as complete for
  /// this duration. Milliseconds. Default 1200.
  readonly standbyDelayMs: number
  /// The longest standby delay: after it every daemon reads the store. Milliseconds. Default 1300.
  readonly maximumStandbyDelayMs: number
  /// If the store answered any daemon, a peer's confirmation arrives within this time: the longest standby
  /// delay, a read and three digests. Milliseconds. Default 2100.
  readonly peerConfirmationMs: number
  /// A copy that was last confirmed longer ago than this does not prove that a record is absent: by now a newer
  /// configuration may have to be in force. Milliseconds. Default 1800, which is less than a change may take.
  readonly staleMs: number
}

/// What comes after a lost first read, until the answer to the second one is applied. Milliseconds.
const SECOND_READ_MS = LONGEST_BACKOFF_FACTOR * BACKOFF_MS + IDLE_TICK_MS + ANSWERED_READ_MS

/// Creates the times for a configuration that must be in force within `configurationMs`, and a change of the back ends
/// that must be known within `backendsMs`. Milliseconds.
export function createChangeTimes(configurationMs: number, backendsMs: number): ChangeTimes {
  const boundMs = Math.min(configurationMs, backendsMs)
  const maximumStandbyDelayMs = boundMs * MAXIMUM_STANDBY_DELAY_SHARE
  const leftForReadMs = boundMs - maximumStandbyDelayMs - IDLE_TICK_MS - SECOND_READ_MS
  return {
    waitMs: boundMs * LONG_POLL_SHARE,
    firstAnswerTimeoutMs: Math.min(ANSWER_TIMEOUT_MS, Math.max(MINIMUM_ANSWER_MS, leftForReadMs)),
    standbyDelayMs: boundMs * STANDBY_DELAY_SHARE,
    maximumStandbyDelayMs,
    peerConfirmationMs: maximumStandbyDelayMs + PROPAGATION_MS,
    staleMs: configurationMs * DENIAL_SHARE
  }
}

/// How late a change is known by a daemon that no peer tells of it and whose first read is lost. Milliseconds.
export function getLatestMs({maximumStandbyDelayMs, firstAnswerTimeoutMs}: ChangeTimes): number {
  return maximumStandbyDelayMs + IDLE_TICK_MS + firstAnswerTimeoutMs + SECOND_READ_MS
}
