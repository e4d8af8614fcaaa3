/// Back ends that have signalled in an answer, to this daemon or to another one, that they are leaving. Their
/// records may still say that they are ready while the store cannot be written or read. The signal holds for
/// the incarnation and is never revoked. Owns the set of these back ends; the flag itself is in each view's
/// signals.
import type {BackendDirectory} from "./backend-directory.js"
import type {BackendView} from "./backend-view.js"

/// A leaving back end in messages between daemons: its id and the start of its incarnation, 0 where the
/// platform does not report it.
export type SharedLeaving = [id: string, bornMs: number]

/// Leaving back ends in one message at most.
const MAXIMUM_SHARED = 256

/// Called for each back end that is newly known to be leaving.
type LeavingListener = (view: BackendView, now: number) => void

/// The leaving back ends that one daemon knows. Times are monotonic milliseconds.
export class LeavingBackends {
  private readonly views = new Set<BackendView>()

  constructor(
    private readonly directory: BackendDirectory,
    private readonly onLeaving: LeavingListener
  ) {}

  /// Marks a back end as leaving.
  add(view: BackendView, now: number): void {
    if (view.signals.isLeaving) return
    view.signals.isLeaving = true
    this.views.add(view)
    this.onLeaving(view, now)
  }

  /// The record of a back end was added, or added again after it had expired.
  applyRecord(view: BackendView): void {
    if (view.signals.isLeaving) this.views.add(view)
    else this.views.delete(view)
  }

  /// Applies the report of a peer. Back ends that are not known here yet are skipped; the peer reports them
  /// again.
  applyFromPeer(shared: readonly SharedLeaving[], now: number): void {
    for (const [id, bornMs] of shared) {
      const view = this.directory.get(id)
      if (view && (view.record.bornMs ?? 0) === bornMs) this.add(view, now)
    }
  }

  /// The leaving back ends to report to peers, the most recent ones.
  getForPeers(): SharedLeaving[] {
    const shared = [...this.views].map(({record}): SharedLeaving => [record.id, record.bornMs ?? 0])
    return shared.slice(-MAXIMUM_SHARED)
  }

  /// The record of a back end was removed.
  remove(id: string): void {
    for (const view of this.views) if (view.record.id === id) this.views.delete(view)
  }
}
