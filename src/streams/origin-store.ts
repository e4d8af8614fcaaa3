/// The origins of streams that this daemon holds, by their callers' attempt ids. Each is kept for a time in
/// which its caller may take the stream up; beyond the maximum number the oldest are dropped first.
import type {StreamOrigin} from "./stream-origin.js"

/// Maximum number of origins.
const MAXIMUM_ORIGINS = 50_000

interface StoredOrigin {
  readonly origin: StreamOrigin
  readonly expiresAt: number
}

/// The origins of one daemon. Times are monotonic milliseconds.
export class OriginStore {
  /// Oldest first.
  private readonly origins = new Map<string, StoredOrigin>()

  /// @param onRemoved called with the id of an origin that has expired or was dropped.
  constructor(private readonly onRemoved: (attemptId: string) => void = () => undefined) {}

  /// Number of origins, expired ones that are not removed yet included.
  get size(): number {
    return this.origins.size
  }

  /// Adds an origin. If another one is known for the same id, it is not known which of them is true.
  put(attemptId: string, origin: StreamOrigin, lifetimeMs: number, now: number): void {
    const known = this.find(attemptId, now)
    const isSame = !known || (known.service === origin.service && known.version === origin.version)
    this.origins.delete(attemptId)
    this.origins.set(attemptId, {
      origin: isSame ? origin : {...origin, version: null},
      expiresAt: now + lifetimeMs
    })
    if (this.origins.size > MAXIMUM_ORIGINS) this.removeOldest()
  }

  /// Ids of the origins, oldest first.
  ids(): IterableIterator<string> {
    return this.origins.keys()
  }

  /// Whether an origin is held, expired or not.
  has(attemptId: string): boolean {
    return this.origins.has(attemptId)
  }

  /// An origin that is held, expired or not.
  get(attemptId: string): StreamOrigin | undefined {
    return this.origins.get(attemptId)?.origin
  }

  /// Finds an origin.
  find(attemptId: string, now: number): StreamOrigin | undefined {
    const stored = this.origins.get(attemptId)
    return stored && now < stored.expiresAt ? stored.origin : undefined
  }

  /// Removes the origins that have expired.
  tick(now: number): void {
    for (const [attemptId, {expiresAt}] of this.origins) {
      if (now < expiresAt) return
      this.remove(attemptId)
    }
  }

  private removeOldest(): void {
    const [oldest] = this.origins.keys()
    this.remove(oldest)
  }

  private remove(attemptId: string): void {
    this.origins.delete(attemptId)
    this.onRemoved(attemptId)
  }
}
