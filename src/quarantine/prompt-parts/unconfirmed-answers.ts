/// Answers that a back end has completed so soon after it began them that it may still crash because of them. Owns
/// these answers, and the incarnations that crashed lately; relies on its caller for crashes and the passage of time.
import {RecentTimes} from "./recent-times.js"

/// An answer to a request with shared parts. Monotonic milliseconds.
export interface PartAnswer {
  readonly parts: readonly string[]
  /// The incarnation of the back end that gave it.
  readonly incarnation: string
  readonly beganAt: number
  readonly endedAt: number
}

/// A back end that still serves this long after it began an answer did not crash because of it. Milliseconds; several
/// times what back ends take, and short, as answers discard crashes of sound parts only after it.
const CONFIRMATION_MS = 400
/// Beyond this number the oldest answers are confirmed early.
const MAXIMUM_ANSWERS = 4096
/// Answers that are read this long after the crash of their back end was found were sent before it. Milliseconds;
/// short, as a back end may be restarted under the same name.
const LATE_ANSWER_MS = 1000
/// Number of crashed incarnations that are known.
const MAXIMUM_CRASHES = 1024

/// Whether a back end that crashes now may do so because of an answer that it began at a time and completed since.
export function isUnconfirmed({beganAt}: PartAnswer, now: number): boolean {
  return now - beganAt < CONFIRMATION_MS
}

/// The unconfirmed answers of one daemon. Times are monotonic milliseconds.
export class UnconfirmedAnswers {
  private answers: PartAnswer[] = []
  private readonly crashes = new RecentTimes(LATE_ANSWER_MS, MAXIMUM_CRASHES)

  /// Adds an answer.
  add(answer: PartAnswer): void {
    this.answers.push(answer)
  }

  /// Whether the incarnation was found to have crashed just now.
  hasCrashed(incarnation: string, now: number): boolean {
    return now - this.crashes.get(incarnation) < LATE_ANSWER_MS
  }

  /// An incarnation has crashed. Returns its answers, which may have caused that.
  takeCrashed(incarnation: string, now: number): PartAnswer[] {
    this.crashes.add(incarnation, now, now)
    return this.take(answer => answer.incarnation === incarnation)
  }

  /// Removes and returns the answers that their back ends have outlived.
  takeConfirmed(now: number): PartAnswer[] {
    const excess = this.answers.length - MAXIMUM_ANSWERS
    return this.take((answer, i) => i < excess || !isUnconfirmed(answer, now))
  }

  private take(isTaken: (answer: PartAnswer, i: number) => boolean): PartAnswer[] {
    const taken = this.answers.filter(isTaken)
    if (taken.length > 0) this.answers = this.answers.filter((answer, i) => !isTaken(answer, i))
    return taken
  }
}
