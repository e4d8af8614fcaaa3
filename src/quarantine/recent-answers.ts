/// Which requests were answered lately, and how often each caller was, in bounded memory: two generations,
/// the older of which is dropped as a whole.
import {getCallerOfKey, getContentOfKey} from "./request-key.js"

interface Generation {
  /// When each request was last answered, and each content to any caller. Monotonic milliseconds.
  readonly answeredAt: Map<string, number>
  readonly countByCaller: Map<string, number>
}

/// The answers of the last moments. Times are monotonic milliseconds.
export class RecentAnswers {
  private young = createGeneration()
  private old = createGeneration()
  private turnedAt = -Infinity

  /// Each generation lasts `memoryMs` and holds half of `maximum` requests and contents.
  constructor(
    private readonly memoryMs: number,
    private readonly maximum: number
  ) {}

  /// The request was answered.
  add(key: string, at: number, now: number): void {
    this.turn(now)
    const {answeredAt, countByCaller} = this.young
    const caller = getCallerOfKey(key)
    for (const subject of [key, getContentOfKey(key)])
      answeredAt.set(subject, Math.max(at, this.getAnsweredAt(subject)))
    countByCaller.set(caller, (countByCaller.get(caller) ?? 0) + 1)
  }

  /// When a request, or a content, was last answered; -Infinity when that is not known.
  getAnsweredAt(subject: string): number {
    return this.young.answeredAt.get(subject) ?? this.old.answeredAt.get(subject) ?? -Infinity
  }

  /// Answers that a caller got in one to two generations.
  countAnswers(caller: string): number {
    return (this.young.countByCaller.get(caller) ?? 0) + (this.old.countByCaller.get(caller) ?? 0)
  }

  private turn(now: number): void {
    const isFull = this.young.answeredAt.size >= this.maximum / 2
    if (!isFull && now - this.turnedAt <= this.memoryMs) return
    this.old = this.young
    this.young = createGeneration()
    this.turnedAt = now
  }
}

function createGeneration(): Generation {
  return {answeredAt: new Map(), countByCaller: new Map()}
}
