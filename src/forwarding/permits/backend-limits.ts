/// The request rates that back ends advertise to the fleet, from answers to this daemon and from reports of
/// peers. Owns the set of back ends that have advertised one; the limit itself is in each back end's view.
import type {SignalReport} from "../backends/backend-signals.js"
import type {BackendDirectory} from "../backends/backend-directory.js"
import type {BackendView} from "../backends/backend-view.js"

/// A limit in messages between daemons: the back end's id and the start of its incarnation, 0 where the
/// platform does not report it; requests a second, `NO_LIMIT` once it advertises none any more; and the time
/// since that last changed, in milliseconds.
export type SharedLimit = [id: string, bornMs: number, perSecond: number, ageMs: number]

/// Published instead of a limit that has ended.
const NO_LIMIT = -1
/// The end of a limit is published for this time, enough for all running daemons to receive it. Milliseconds.
const END_PUBLISH_MS = 30_000
/// Limits in one message at most; each takes some 30 bytes.
const MAXIMUM_SHARED = 256

/// Called for each change of a limit; `perSecond` is undefined when it has ended.
type LimitListener = (view: BackendView, perSecond: number | undefined, now: number) => void

/// The limits that one daemon knows. Times are monotonic milliseconds.
export class BackendLimits {
  /// Back ends that have advertised a limit, with the services for which the listener was told.
  private readonly views = new Map<BackendView, string>()

  constructor(
    private readonly directory: BackendDirectory,
    private readonly onChange: LimitListener
  ) {}

  /// The back ends that advertise a limit now.
  getLimited(): BackendView[] {
    return [...this.views.keys()].filter(view => !view.removed && view.limit.get() !== undefined)
  }

  /// The record of a back end was added, or added again after it had expired, or names another service.
  applyRecord(view: BackendView, now: number): void {
    const isTold = this.views.get(view) === view.record.service
    if (view.limit.get() !== undefined && !isTold) this.setChanged(view, now)
  }

  /// Applies the signals of an answer. Ignores a limit that cannot be read, and a missing one unless the
  /// answer is conclusive.
  apply(view: BackendView, {signals, sentAt, isConclusive}: SignalReport, now: number): void {
    const {requestsPerSecond} = signals
    if (requestsPerSecond === "unreadable" || (requestsPerSecond === undefined && !isConclusive)) return
    if (view.limit.apply(requestsPerSecond, sentAt, now)) this.setChanged(view, now)
  }

  /// Applies the report of a peer. Back ends that are not known here yet are skipped; the peer reports them
  /// again.
  applyFromPeer(shared: readonly SharedLimit[], now: number): void {
    for (const [id, bornMs, perSecond, ageMs] of shared) {
      const view = this.directory.get(id)
      if (!view || (view.record.bornMs ?? 0) !== bornMs) continue
      const limit = perSecond === NO_LIMIT ? undefined : perSecond
      if (view.limit.applyFromPeer(limit, now - ageMs)) this.setChanged(view, now)
    }
  }

  /// The limits to report to peers.
  getForPeers(now: number): SharedLimit[] {
    const shared: SharedLimit[] = []
    for (const {record, limit} of this.views.keys()) {
      const ageMs = Math.round(now - limit.getChangedAt())
      const perSecond = limit.get()
      if (perSecond === undefined && ageMs > END_PUBLISH_MS) continue
      shared.push([record.id, record.bornMs ?? 0, perSecond ?? NO_LIMIT, ageMs])
    }
    return shared.slice(0, MAXIMUM_SHARED)
  }

  /// The machine was suspended for `forMs`, which the monotonic clock did not count.
  onMachineSuspended(forMs: number): void {
    for (const {limit} of this.views.keys()) limit.onMachineSuspended(forMs)
  }

  /// Drops back ends that were removed.
  tick(): void {
    for (const view of this.views.keys()) if (view.removed) this.views.delete(view)
  }

  private setChanged(view: BackendView, now: number): void {
    this.views.set(view, view.record.service)
    this.onChange(view, view.limit.get(), now)
  }
}
