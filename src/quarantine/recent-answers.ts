/// Requests that were answered recently, and the number of answers of each caller, in bounded memory: two
/// generations, the older of which is dropped as a whole.
import {getCallerOfKey, getContentOfKey} from "./request-key.js"

interface Generation {
  /// When each request was last answered, and each content to any caller. Monotonic milliseconds.
  readonly answeredAt: Map<string, number>
  readonly countByCaller: Map<string, number>
}

/// Recent answers, by request, content and caller. Times are monotonic milliseconds.
export class RecentAnswers {
  private current = createGeneration()
  private previous = createGeneration()
  private rotatedAt = -Infinity

  /// Each generation lasts `memoryMs` milliseconds and holds half of `maximum` requests and contents.
  constructor(
    private readonly memoryMs: number,
    private readonly maximum: number
  ) {}

  /// Adds an answer to a request.
  add(key: string, at: number, now: number): void {
    this.rotateIfDue(now)
    const {answeredAt, countByCaller} = this.current
    const caller = getCallerOfKey(key)
    for (const subject of [key, getContentOfKey(key)])
      answeredAt.set(subject, Math.max(at, this.getAnsweredAt(subject)))
    countByCaller.set(caller, (countByCaller.get(caller) ?? 0) + 1)
  }

  /// When a request, or a content, was last answered; -Infinity when that is not known.
  getAnsweredAt(subject: string): number {
    return this.current.answeredAt.get(subject) ?? this.previous.answeredAt.get(subject) ?? -Infinity
  }

  /// Answers to a caller within the last one to two generations.
  countAnswers(caller: string): number {
    return (this.current.countByCaller.get(caller) ?? 0) + (this.previous.countByCaller.get(caller) ?? 0)
  }

  private rotateIfDue(now: number): void {
    const isFull = this.current.answeredAt.size >= this.maximum / 2
    if (!isFull && now - this.rotatedAt <= this.memoryMs) return
    this.previous = this.current
    this.current = createGeneration()
    this.rotatedAt = now
  }
}

function createGeneration(): Generation {
  return {answeredAt: new Map(), countByCaller: new Map()}
}
