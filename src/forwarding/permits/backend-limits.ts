/// The limits that back ends name, over the whole fleet: what answers to this daemon say, and what other
/// daemons have heard. Owns which back ends have named one; the limit itself stands in each back end's view.
import type {SignalReport} from "../backends/backend-signals.js"
import type {BackendDirectory} from "../backends/backend-directory.js"
import type {BackendView} from "../backends/backend-view.js"

/// A limit as daemons tell it: the back end's id and the start of its incarnation, 0 where the platform does
/// not tell; requests a second, `NO_LIMIT` where it names none any more; and for how long that has been so,
/// in milliseconds.
export type SharedLimit = [id: string, bornMs: number, perSecond: number, ageMs: number]

/// Told in place of a limit that has ended.
const NO_LIMIT = -1
/// That a limit has ended is told for so long, until all that run have heard. Milliseconds.
const END_TOLD_MS = 30_000
/// Limits in one message at most: each costs some 30 bytes.
const MAXIMUM_TOLD = 256

/// Hears of each change of a limit; `perSecond` is undefined when it has ended.
type LimitListener = (view: BackendView, perSecond: number | undefined, now: number) => void

/// The limits that one daemon knows. Times are monotonic milliseconds.
export class BackendLimits {
  /// Back ends that have named a limit.
  private readonly views = new Set<BackendView>()

  constructor(
    private readonly directory: BackendDirectory,
    private readonly onChange: LimitListener
  ) {}

  /// The back ends that name a limit now.
  getLimited(): BackendView[] {
    return [...this.views].filter(view => !view.removed && view.limit.get() !== undefined)
  }

  /// The record of a back end is there, or has come back after a lapse.
  applyRecord(view: BackendView, now: number): void {
    if (view.limit.get() !== undefined && !this.views.has(view)) this.setChanged(view, now)
  }

  /// Takes what an answer says.
  apply(view: BackendView, {signals, sentAt, isConclusive}: SignalReport, now: number): void {
    const {requestsPerSecond} = signals
    if (requestsPerSecond === "unreadable" || (requestsPerSecond === undefined && !isConclusive)) return
    if (view.limit.apply(requestsPerSecond, sentAt, now)) this.setChanged(view, now)
  }

  /// Takes what another daemon knows. What it says of back ends that are not known here yet it says again.
  applyFromPeer(told: readonly SharedLimit[], now: number): void {
    for (const [id, bornMs, perSecond, ageMs] of told) {
      const view = this.directory.get(id)
      if (!view || (view.record.bornMs ?? 0) !== bornMs) continue
      const limit = perSecond === NO_LIMIT ? undefined : perSecond
      if (view.limit.applyFromPeer(limit, now - ageMs)) this.setChanged(view, now)
    }
  }

  /// What this daemon tells others.
  getForPeers(now: number): SharedLimit[] {
    const told: SharedLimit[] = []
    for (const {record, limit} of this.views) {
      const ageMs = Math.round(now - limit.getChangedAt())
      const perSecond = limit.get()
      if (perSecond === undefined && ageMs > END_TOLD_MS) continue
      told.push([record.id, record.bornMs ?? 0, perSecond ?? NO_LIMIT, ageMs])
    }
    return told.slice(0, MAXIMUM_TOLD)
  }

  /// The clock has not counted so many milliseconds.
  onMachineSuspended(ms: number): void {
    for (const {limit} of this.views) limit.onMachineSuspended(ms)
  }

  /// Forgets back ends that are gone.
  tick(): void {
    for (const view of this.views) if (view.removed) this.views.delete(view)
  }

  private setChanged(view: BackendView, now: number): void {
    this.views.add(view)
    this.onChange(view, view.limit.get(), now)
  }
}
