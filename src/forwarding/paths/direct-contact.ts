/// What this daemon's own connections show of the paths to back ends: which are lost, and whether all seem to
/// be. Contact through a peer proves nothing here. Owns these times; the caller reports events and passes the
/// time.

/// Paths to this number of back ends, or to all if there are fewer, have to be lost for a daemon to be cut
/// off. A single lost back end has more likely crashed.
const MINIMUM_LOST = 2

/// A failure within this time was a refusal, not a time-out. Milliseconds; many round trips.
const REFUSAL_MS = 250

/// Lost paths count against all after this time without any direct answer, if connections were refused.
/// Answers on connections that live on come more often under load. Milliseconds.
const REFUSED_QUIET_MS = 300

/// The same if connections timed out or answers are missing. Sound back ends may be silent for a second or
/// so. Milliseconds.
const SILENT_QUIET_MS = 1300

/// A path that was lost and has not been regained. Monotonic milliseconds.
interface LostPath {
  /// When the attempt or the health check that failed was sent.
  readonly sentAt: number
  readonly lostAt: number
  readonly refused: boolean
}

/// The direct paths of one daemon. Times are monotonic milliseconds.
export class DirectContact {
  private readonly lost = new Map<string, LostPath>()
  /// Back ends that a peer didn't reach either: that they don't answer says nothing about the paths.
  private readonly down = new Set<string>()
  private lastContactAt = -Infinity
  /// End of the last process pause: what was sent before proves no loss.
  private resumedAt = -Infinity

  /// Whether any back end has ever answered directly.
  hasHadContact(): boolean {
    return this.lastContactAt > -Infinity
  }

  /// When a back end last answered directly; -Infinity for never.
  getLastContactAt(): number {
    return this.lastContactAt
  }

  /// Whether a back end answers nobody: a peer doesn't reach it either.
  isDown(id: string): boolean {
    return this.down.has(id)
  }

  /// Whether the paths lost since the last direct answer, and `unanswered` more that may be, are enough to
  /// suspect that all are.
  hasEnoughLost(unanswered: number, backendCount: number): boolean {
    return this.getRecent(backendCount).length + unanswered >= this.getNeeded(backendCount)
  }

  /// Whether the path to a back end is lost.
  isLost(id: string): boolean {
    return this.lost.has(id)
  }

  /// When the path to a back end was lost; undefined if it was not.
  getLostAt(id: string): number | undefined {
    return this.lost.get(id)?.lostAt
  }

  /// Whether the last connection to a back end whose path is lost was refused, not timed out.
  isRefused(id: string): boolean {
    return this.lost.get(id)?.refused === true
  }

  /// Back ends whose paths are lost.
  getLostIds(): readonly string[] {
    return [...this.lost.keys()]
  }

  /// A back end has answered what was sent directly at `sentAt`. An answer on an older connection doesn't show
  /// that new ones can be made, and leaves a lost path lost.
  onContact(id: string, sentAt: number, now: number): void {
    this.lastContactAt = now
    this.down.delete(id)
    const lost = this.lost.get(id)
    if (lost && sentAt >= lost.lostAt) this.lost.delete(id)
  }

  /// A health check, which makes a connection of its own, was answered.
  onProbeAnswered(id: string, now: number): void {
    this.lastContactAt = now
    this.remove(id)
  }

  /// What was sent directly at `sentAt` found no connection or had no answer.
  onLost(id: string, sentAt: number, now: number): void {
    if (sentAt < this.resumedAt || this.down.has(id)) return
    const refused = now - sentAt < REFUSAL_MS
    // That a lost path is still lost is no news: others may have answered since.
    this.lost.set(id, {sentAt, lostAt: now, ...this.lost.get(id), refused})
  }

  /// A peer doesn't reach the back end either.
  setDown(id: string): void {
    this.lost.delete(id)
    this.down.add(id)
  }

  /// A peer reaches the back end.
  setUp(id: string): void {
    this.down.delete(id)
  }

  /// Forgets what is known of a back end.
  remove(id: string): void {
    this.lost.delete(id)
    this.down.delete(id)
  }

  /// Whether a path to one of `backendCount` back ends isn't known to be useless.
  hasPath(backendCount: number): boolean {
    return this.lost.size + this.down.size < backendCount
  }

  /// This process was paused until now.
  onProcessResumed(now: number): void {
    this.resumedAt = now
  }

  /// How long paths have been lost without any direct answer since; undefined while too few are, of
  /// `backendCount`. Milliseconds.
  getQuietMs(backendCount: number, now: number): number | undefined {
    const recent = this.getRecent(backendCount)
    if (recent.length === 0 || recent.length < this.getNeeded(backendCount)) return undefined
    const firstSentAt = Math.min(...recent.map(({sentAt}) => sentAt))
    return now - Math.max(this.lastContactAt, this.resumedAt, firstSentAt)
  }

  /// Whether the daemon reaches none of its `backendCount` back ends.
  isCutOff(backendCount: number, now: number): boolean {
    const quietMs = this.getQuietMs(backendCount, now)
    if (quietMs === undefined) return false
    const refused = this.getRecent(backendCount).filter(path => path.refused).length
    const isRefused = refused >= this.getNeeded(backendCount)
    return quietMs >= (isRefused ? REFUSED_QUIET_MS : SILENT_QUIET_MS)
  }

  /// Number of paths that have to be lost since the last direct answer: those that were lost before don't tell.
  private getNeeded(backendCount: number): number {
    const before = this.down.size + this.lost.size - this.getRecent(backendCount).length
    return Math.max(1, Math.min(MINIMUM_LOST, backendCount - before))
  }

  /// Paths lost since the last direct answer of any back end; all where none is left.
  private getRecent(backendCount: number): LostPath[] {
    const lost = [...this.lost.values()]
    if (!this.hasPath(backendCount)) return lost
    const since = Math.max(this.lastContactAt, this.resumedAt)
    return lost.filter(({lostAt}) => lostAt > since)
  }
}
