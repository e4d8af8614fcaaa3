/// Back ends that have said themselves that they leave, to this daemon or to another one. Their records may
/// go on saying that they are ready, for as long as the store cannot be written or read. That one leaves
/// stands with its incarnation and is never taken back.
import type {BackendDirectory} from "./backend-directory.js"
import type {BackendView} from "./backend-view.js"

/// A leaving as daemons tell it: the back end's id and the start of its incarnation, 0 where the platform does
/// not tell.
export type SharedLeaving = [id: string, bornMs: number]

/// Told in one message at most.
const MAXIMUM_TOLD = 256

/// Hears of each back end that is newly known to leave.
type LeavingListener = (view: BackendView, now: number) => void

/// The leaving back ends that one daemon knows. Times are monotonic milliseconds.
export class LeavingBackends {
  private readonly views = new Set<BackendView>()

  constructor(
    private readonly directory: BackendDirectory,
    private readonly onLeaving: LeavingListener
  ) {}

  /// A back end has said that it leaves.
  add(view: BackendView, now: number): void {
    if (view.signals.isLeaving) return
    view.signals.isLeaving = true
    this.views.add(view)
    this.onLeaving(view, now)
  }

  /// The record of a back end is there, or has come back after a lapse.
  applyRecord(view: BackendView): void {
    if (view.signals.isLeaving) this.views.add(view)
    else this.views.delete(view)
  }

  /// Takes what another daemon knows. What it says of back ends that are not known here yet it says again.
  applyFromPeer(told: readonly SharedLeaving[], now: number): void {
    for (const [id, bornMs] of told) {
      const view = this.directory.get(id)
      if (view && (view.record.bornMs ?? 0) === bornMs) this.add(view, now)
    }
  }

  /// What this daemon tells others.
  getForPeers(): SharedLeaving[] {
    const told = [...this.views].map(({record}): SharedLeaving => [record.id, record.bornMs ?? 0])
    return told.slice(-MAXIMUM_TOLD)
  }

  /// The record of a back end is gone.
  remove(id: string): void {
    for (const view of this.views) if (view.record.id === id) this.views.delete(view)
  }
}
