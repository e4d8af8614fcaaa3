/// The time of the latest event of each subject, in bounded memory: two generations, the older of which is dropped as
/// a whole.

/// Latest times by subject. Monotonic milliseconds.
export class RecentTimes {
  private current = new Map<string, number>()
  private previous: ReadonlyMap<string, number> = new Map()
  private rotatedAt = -Infinity

  /// Each generation lasts `memoryMs` milliseconds and holds half of `maximum` subjects.
  constructor(
    private readonly memoryMs: number,
    private readonly maximum: number
  ) {}

  /// Adds an event.
  add(subject: string, at: number, now: number): void {
    this.rotateIfDue(now)
    this.current.set(subject, Math.max(at, this.get(subject)))
  }

  /// When the last event of a subject was; -Infinity when that is not known.
  get(subject: string): number {
    return this.current.get(subject) ?? this.previous.get(subject) ?? -Infinity
  }

  private rotateIfDue(now: number): void {
    const isFull = this.current.size >= this.maximum / 2
    if (!isFull && now - this.rotatedAt <= this.memoryMs) return
    this.previous = this.current
    this.current = new Map()
    this.rotatedAt = now
  }
}
