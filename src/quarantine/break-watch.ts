/// Finds out whether a back end ended when runs at it broke off. A broken connection alone says nothing:
/// connections are reset, and back ends break off single answers. It has ended when it cannot be reached any
/// more while no older run of this daemon goes on there, or when its record says so: it is gone, or was
/// written by a later start.
import type {EffectSink} from "../shared/effect-sink.js"
import type {BackendCrash} from "./end-record.js"

/// A back end as the watch knows it: one incarnation.
export interface BackendIncarnation {
  readonly id: string
  readonly incarnation: string
  readonly address: string
}

/// A run that broke off. Monotonic milliseconds.
interface BrokenAttempt {
  readonly key: string
  readonly startedAt: number
  readonly at: number
}

/// What a check of a back end found.
export type BackendCheck =
  /// Somebody listens at its address.
  | "answered"
  /// Nobody does.
  | "ended"
  /// A connection was closed at once, or did not come up.
  | "unclear"

/// The watch asks to have a back end checked.
export interface CheckBackend {
  readonly kind: "checkBackend"
  readonly backend: BackendIncarnation
}

/// A back end may refuse connections for a moment, when it has too many: it is checked again after this time.
/// Milliseconds.
const CHECK_AGAIN_MS = 100
/// Unclear checks in a row that are taken for an end, if no older run goes on. With the pause above some 0.2
/// s.
const UNCLEAR_CHECKS = 3
/// A broken run waits so long for its back end's record to go or to be written by a later start.
/// Milliseconds; a record goes after three heartbeats of 1.2 s.
const WAIT_FOR_RECORD_MS = 5000
/// A back end that answered is checked again for runs that break off later, but not sooner than this: it may
/// spoil many of its answers. Milliseconds.
const ANSWERED_PAUSE_MS = 200

interface Watched {
  readonly backend: BackendIncarnation
  runs: BrokenAttempt[]
  checking: boolean
  /// Something has happened since the last check that it may not have shown.
  isCheckDue: boolean
  unclear: number
  nextCheckAt: number
  ended: boolean
  /// The first break since the back end was last found to listen.
  firstBreakAt: number | undefined
  lastBreakAt: number
}

/// The watch of one daemon. Times are monotonic milliseconds.
export class CrashDetector {
  private readonly watched = new Map<string, Watched>()

  constructor(
    /// Whether a run that began before a moment still goes on at a back end.
    private readonly hasOlderAttempt: (backend: BackendIncarnation, before: number) => boolean,
    private readonly emit: EffectSink<CheckBackend>
  ) {}

  /// A run broke off. Returns its end if the back end is known to have ended. One that began after the first
  /// had broken off was sent to a back end that may have been gone already: something before it, such as a
  /// proxy, takes connections and closes them.
  addBrokenAttempt(backend: BackendIncarnation, run: BrokenAttempt): BackendCrash[] {
    const watched = this.watched.get(backend.incarnation) ?? this.addWatched(backend, run.at)
    watched.firstBreakAt ??= run.at
    if (run.startedAt > watched.firstBreakAt) return []
    watched.lastBreakAt = run.at
    if (watched.ended) return [toEnd(run, backend)]
    watched.runs.push(run)
    watched.isCheckDue = true
    this.checkIfDue(watched, run.at)
    return []
  }

  /// Takes the outcome of a check. Returns the ends that it proves.
  receiveCheck({incarnation}: BackendIncarnation, check: BackendCheck, now: number): BackendCrash[] {
    const watched = this.watched.get(incarnation)
    if (!watched || watched.ended) return []
    watched.checking = false
    watched.nextCheckAt = now + (check === "answered" ? ANSWERED_PAUSE_MS : CHECK_AGAIN_MS)
    watched.unclear = check === "unclear" ? watched.unclear + 1 : 0
    if (check === "answered") {
      // It has outlived them all.
      watched.runs = []
      watched.firstBreakAt = undefined
    } else watched.isCheckDue = true
    const seemsEnded = check === "ended" || watched.unclear >= UNCLEAR_CHECKS
    if (!seemsEnded) return []
    // One that refuses new connections and serves on is checked again while any of the older runs goes on.
    return this.hasOlderAttempt(watched.backend, watched.firstBreakAt ?? now) ? [] : this.end(watched)
  }

  /// The record of a back end went without its leave, or was written by a later start. Returns the ends that
  /// this proves.
  onBackendGone(incarnation: string): BackendCrash[] {
    const watched = this.watched.get(incarnation)
    return watched && !watched.ended ? this.end(watched) : []
  }

  /// Checks again, and forgets what nothing was found out about.
  tick(now: number): void {
    for (const [incarnation, watched] of this.watched) {
      if (now - watched.lastBreakAt > WAIT_FOR_RECORD_MS) this.watched.delete(incarnation)
      else this.checkIfDue(watched, now)
    }
  }

  private addWatched(backend: BackendIncarnation, now: number): Watched {
    const watched: Watched = {
      backend,
      runs: [],
      checking: false,
      isCheckDue: false,
      unclear: 0,
      nextCheckAt: -Infinity,
      ended: false,
      firstBreakAt: undefined,
      lastBreakAt: now
    }
    this.watched.set(backend.incarnation, watched)
    return watched
  }

  private checkIfDue(watched: Watched, now: number): void {
    if (watched.ended || watched.checking || !watched.isCheckDue || now < watched.nextCheckAt) return
    watched.checking = true
    watched.isCheckDue = false
    this.emit({kind: "checkBackend", backend: watched.backend})
  }

  private end(watched: Watched): BackendCrash[] {
    watched.ended = true
    const ends = watched.runs.map(run => toEnd(run, watched.backend))
    watched.runs = []
    return ends
  }
}

function toEnd({key, at}: BrokenAttempt, {incarnation}: BackendIncarnation): BackendCrash {
  return {key, incarnation, at}
}
