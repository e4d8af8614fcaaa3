/// When a request with a held part may be sent nevertheless, alone and to one back end, to find out whether the part
/// still crashes back ends. Owns no state.
import type {HeldPart} from "./part-history.js"

/// Delay of each trial after the last crash or trial under the part. Milliseconds. The first comes soon, for sound
/// parts that are held beside the one at fault; there is none after the last until the crashes expire.
const TRIAL_DELAYS_MS: readonly number[] = [500, 30_000, 300_000]
/// The same after a trial in which no back end crashed and none answered. Milliseconds.
const UNDECIDED_DELAY_MS = 5000
/// Delay by the daemon's rank for the part, so that one trial is known to the others before they would begin another.
/// Milliseconds; many times the latency between two daemons.
const RANK_DELAY_MS = 100

/// The same after a trial for which no back end could be connected, which does not count. Milliseconds.
const UNCONNECTED_DELAY_MS = 1000

/// A connection that was not refused within this time has reached a back end. Milliseconds; many round trips.
export const CONNECTION_MS = 250

/// How long until a daemon of this rank may begin a trial; undefined if there is none before the crashes expire.
/// Milliseconds, at most 0 if it may begin now.
export function getTrialDelayMs(held: HeldPart, rank: number, now: number): number | undefined {
  const {crashedAt, trials, triedAt, trialBegunAt} = held
  if (trials >= TRIAL_DELAYS_MS.length) return undefined
  const isUndecided = triedAt > crashedAt
  const delayMs = isUndecided ? UNDECIDED_DELAY_MS : TRIAL_DELAYS_MS[trials]
  const dueAt = Math.max(Math.max(crashedAt, triedAt) + delayMs, trialBegunAt + UNCONNECTED_DELAY_MS)
  return dueAt + rank * RANK_DELAY_MS - now
}
