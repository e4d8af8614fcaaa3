/// Detects whether a back end crashed when attempts at it broke. A broken connection alone proves nothing:
/// connections are reset, and back ends abort single answers. A back end has crashed when it can no longer
/// be reached and no older attempt of this daemon is in flight there, or when its record shows it: the
/// record is gone, or was written by a later start.
///
/// A back end that restarts under its id may take requests before its new record arrives. So a process that
/// listens when it is checked may be a successor, and attempts after a crash may have been executed by one:
/// both kinds wait for the new record, which decides.
///
/// Owns the broken attempts that are still unexplained, and the schedule of the checks of their back ends.
/// Relies on its caller to run the checks and to report records that are gone.
import type {EffectSink} from "../shared/effect-sink.js"
import type {BackendCrash} from "./crash-history.js"

/// A crash with the parts of prompts that may have caused it.
export interface DetectedCrash extends BackendCrash {
  readonly parts: readonly string[]
}

/// One start of a back end.
export interface BackendIncarnation {
  readonly id: string
  readonly incarnation: string
  readonly address: string
}

/// An attempt whose connection broke. Monotonic milliseconds.
interface BrokenAttempt {
  readonly key: string
  /// The shared parts of its prompt, if its answer was only beginning.
  readonly parts: readonly string[]
  readonly startedAt: number
  readonly at: number
  /// When its answer began; undefined if it had not.
  readonly answeringSince?: number | undefined
}

/// The outcome of a check of a back end.
export type BackendCheck =
  /// A process listens at the address.
  | "answered"
  /// No process listens there.
  | "ended"
  /// A connection was closed at once, or was not established.
  | "unclear"
  /// This daemon's own path may be lost: proves nothing.
  | "unknown"

/// Asks for a check of a back end.
export interface CheckBackend {
  readonly kind: "checkBackend"
  readonly backend: BackendIncarnation
}

/// Delay before a back end is checked again: one with too many connections may refuse new ones for a
/// moment. Milliseconds.
const RECHECK_DELAY_MS = 100
/// Consecutive unclear checks that count as a crash if no older attempt is in flight. With the delay above
/// they take some 0.2 s.
const MAXIMUM_UNCLEAR_CHECKS = 3
/// How long a broken attempt waits for the record of its back end to disappear, or to be written by a
/// later start. Milliseconds; a record disappears after three heartbeats of 1.2 s.
const RECORD_TIMEOUT_MS = 5000
/// Attempts of one incarnation that wait for the record of a successor; the oldest are dropped.
const MAXIMUM_WAITING = 256
/// Minimum delay before a back end that answered is checked again for attempts that break later: it may
/// abort many of its answers. Milliseconds.
const ANSWERED_RECHECK_DELAY_MS = 200

/// State of one incarnation at which attempts broke.
interface DetectorState {
  readonly backend: BackendIncarnation
  attempts: BrokenAttempt[]
  /// Attempts that broke before a process was found to listen: this incarnation, or a successor.
  outlived: BrokenAttempt[]
  /// Attempts that a successor may have executed.
  successorAttempts: BrokenAttempt[]
  checking: boolean
  /// Whether an attempt broke since the last check was started, or that check did not settle the matter.
  isCheckDue: boolean
  unclearChecks: number
  nextCheckAt: number
  /// When it was found to have crashed; undefined before.
  crashedAt: number | undefined
  /// When the first attempt broke since the back end was last found to listen.
  firstBrokenAt: number | undefined
  lastBrokenAt: number
}

/// The crash detector of one daemon. Times are monotonic milliseconds.
export class CrashDetector {
  private readonly states = new Map<string, DetectorState>()

  constructor(
    /// Whether an attempt that started before the given time is in flight at a back end.
    private readonly hasOlderAttempt: (backend: BackendIncarnation, before: number) => boolean,
    private readonly emit: EffectSink<CheckBackend>
  ) {}

  /// Adds a broken attempt. Returns its crash if the back end is known to have crashed. An attempt that
  /// started after the first one had broken does not count: the back end may have been gone already, and a
  /// proxy in front of it may accept connections and close them.
  addBrokenAttempt(backend: BackendIncarnation, attempt: BrokenAttempt): DetectedCrash[] {
    const state = this.states.get(backend.incarnation) ?? this.addState(backend, attempt.at)
    state.firstBrokenAt ??= attempt.at
    if (attempt.startedAt > state.firstBrokenAt) {
      if (mayBeOfSuccessor(state, attempt)) {
        state.lastBrokenAt = attempt.at
        addWaiting(state.successorAttempts, [attempt])
      }
      return []
    }
    state.lastBrokenAt = attempt.at
    if (state.crashedAt !== undefined) return [makeCrash(attempt, backend)]
    state.attempts.push(attempt)
    state.isCheckDue = true
    this.checkIfDue(state, attempt.at)
    return []
  }

  /// Receives the outcome of a check. Returns the crashes that it proves.
  receiveCheck({incarnation}: BackendIncarnation, check: BackendCheck, now: number): DetectedCrash[] {
    const state = this.states.get(incarnation)
    if (!state || state.crashedAt !== undefined) return []
    state.checking = false
    state.nextCheckAt = now + (check === "answered" ? ANSWERED_RECHECK_DELAY_MS : RECHECK_DELAY_MS)
    if (check === "unclear") state.unclearChecks += 1
    else if (check !== "unknown") state.unclearChecks = 0
    if (check === "answered") {
      addWaiting(state.outlived, state.attempts)
      state.attempts = []
      state.firstBrokenAt = undefined
    } else state.isCheckDue = true
    const seemsCrashed =
      check === "ended" || (check === "unclear" && state.unclearChecks >= MAXIMUM_UNCLEAR_CHECKS)
    if (!seemsCrashed) return []
    // A back end that refuses new connections but still serves is checked again while any older attempt is in
    // flight.
    if (this.hasOlderAttempt(state.backend, state.firstBrokenAt ?? now)) return []
    state.outlived = []
    return this.setCrashed(state, now)
  }

  /// The record of a back end disappeared although the back end had not announced that it leaves, or was
  /// written by a later start. Returns the crashes that this proves.
  onBackendGone(incarnation: string, now: number): DetectedCrash[] {
    const state = this.states.get(incarnation)
    return state && state.crashedAt === undefined ? this.setCrashed(state, now) : []
  }

  /// The back end left as it had announced: its successor proves no crash.
  onBackendLeft(incarnation: string): void {
    const state = this.states.get(incarnation)
    if (!state) return
    state.outlived = []
    state.successorAttempts = []
  }

  /// A back end has a record that was written by a later start. Returns the crashes that this proves, beside those
  /// of `onBackendGone`.
  onBackendRestarted(successor: BackendIncarnation, now: number): DetectedCrash[] {
    const previous = [...this.states.values()].filter(
      ({backend}) => backend.id === successor.id && backend.incarnation !== successor.incarnation
    )
    return previous.flatMap(state => {
      const isRecent = ({at}: BrokenAttempt) => now - at <= RECORD_TIMEOUT_MS
      const outlived = state.outlived.filter(isRecent)
      const attempts = state.successorAttempts.filter(isRecent)
      state.outlived = []
      state.successorAttempts = []
      return [
        ...outlived.map(attempt => makeCrash(attempt, state.backend)),
        ...attempts.flatMap(attempt => this.addBrokenAttempt(successor, attempt))
      ]
    })
  }

  /// Starts checks that are due, and drops attempts that stayed unexplained.
  tick(now: number): void {
    for (const [incarnation, state] of this.states) {
      if (now - state.lastBrokenAt > RECORD_TIMEOUT_MS) this.states.delete(incarnation)
      else this.checkIfDue(state, now)
    }
  }

  private addState(backend: BackendIncarnation, now: number): DetectorState {
    const state: DetectorState = {
      backend,
      attempts: [],
      outlived: [],
      successorAttempts: [],
      checking: false,
      isCheckDue: false,
      unclearChecks: 0,
      nextCheckAt: -Infinity,
      crashedAt: undefined,
      firstBrokenAt: undefined,
      lastBrokenAt: now
    }
    this.states.set(backend.incarnation, state)
    return state
  }

  private checkIfDue(state: DetectorState, now: number): void {
    if (state.crashedAt !== undefined || state.checking || !state.isCheckDue || now < state.nextCheckAt)
      return
    state.checking = true
    state.isCheckDue = false
    this.emit({kind: "checkBackend", backend: state.backend})
  }

  private setCrashed(state: DetectorState, now: number): DetectedCrash[] {
    state.crashedAt ??= now
    const crashes = state.attempts.map(attempt => makeCrash(attempt, state.backend))
    state.attempts = []
    return crashes
  }
}

/// Whether a successor may have executed an attempt that started after another had broken: its answer had begun, or the
/// back end was in use again although it was known to have crashed.
function mayBeOfSuccessor({crashedAt}: DetectorState, {answeringSince, startedAt}: BrokenAttempt): boolean {
  return answeringSince !== undefined || (crashedAt !== undefined && startedAt > crashedAt)
}

function addWaiting(waiting: BrokenAttempt[], added: readonly BrokenAttempt[]): void {
  waiting.push(...added)
  waiting.splice(0, waiting.length - MAXIMUM_WAITING)
}

function makeCrash({key, parts, at}: BrokenAttempt, {incarnation}: BackendIncarnation): DetectedCrash {
  return {key, parts, incarnation, at}
}
