/// All back ends that this daemon knows, by id and by service. Owns their views; relies on the fleet's
/// replica for the records and on the digests of the peers for the load of other daemons.
import type {BackendRecord} from "../routes/route.js"
import {DEFAULT_PACE_TRACKER_SETTINGS, PaceTracker, type PaceTrackerSettings} from "../pace/pace-tracker.js"
import {STAGE_CHANGE_VOTES, PeerLoads, type BackendLoad} from "./peer-loads.js"
import type {BackendHealthSettings} from "./backend-health.js"
import {BackendView} from "./backend-view.js"
import {SignalState} from "./signal-state.js"
import {getIncarnation} from "../../quarantine/incarnation.js"
import {getSoftwareVersion, type StreamOrigin} from "../../streams/stream-origin.js"

/// Ejection votes in the digest (peer-loads.ts) of a daemon that ejects a back end.
const EJECTION_VOTES = 1

/// Signal states kept at most, one per incarnation; the oldest are dropped first. Several times the number of
/// back ends in a large fleet.
const MAXIMUM_SIGNAL_STATES = 4096

/// The directory of one daemon. Times are monotonic milliseconds.
export class BackendDirectory {
  private readonly views = new Map<string, BackendView>()
  private readonly byService = new Map<string, BackendView[]>()
  /// By incarnation, including those whose records were removed.
  private readonly signals = new Map<string, SignalState>()
  /// Load that the other daemons put on the back ends.
  readonly peers = new PeerLoads()

  /// Speed of the back ends relative to their groups.
  readonly paces: PaceTracker

  constructor(
    private readonly settings: BackendHealthSettings,
    paceSettings: PaceTrackerSettings = DEFAULT_PACE_TRACKER_SETTINGS
  ) {
    this.paces = new PaceTracker(paceSettings)
  }

  /// Adds a back end, or replaces its record.
  put(record: BackendRecord): void {
    const known = this.views.get(record.id)
    if (known) {
      if (known.record.address !== record.address) {
        known.pace.reset()
        known.removed = false
      }
      if (known.record.bornMs !== record.bornMs) known.signals = this.getSignals(record)
      const isMoved = known.record.service !== record.service
      if (isMoved) this.removeFromService(known)
      known.record = record
      if (isMoved) this.addToService(known)
      return
    }
    const view = new BackendView(
      record,
      this.settings,
      this.peers,
      this.paces.get(record.id),
      this.getSignals(record)
    )
    this.views.set(record.id, view)
    this.addToService(view)
  }

  /// Removes a back end whose record was removed. Attempts that are in flight there are left to finish.
  remove(id: string): BackendView | undefined {
    const view = this.views.get(id)
    if (!view) return undefined
    view.removed = true
    this.views.delete(id)
    if (!view.signals.hasSignals()) this.signals.delete(getIncarnation(view.record))
    this.paces.remove(id)
    this.removeFromService(view)
    return view
  }

  private addToService(view: BackendView): void {
    const {service} = view.record
    this.byService.set(service, [...this.ofService(service), view])
  }

  private removeFromService(view: BackendView): void {
    const {service} = view.record
    this.byService.set(
      service,
      this.ofService(service).filter(other => other !== view)
    )
  }

  private getSignals(record: BackendRecord): SignalState {
    const incarnation = getIncarnation(record)
    const known = this.signals.get(incarnation)
    if (known) return known
    const oldest = this.signals.size >= MAXIMUM_SIGNAL_STATES ? this.signals.keys().next().value : undefined
    if (oldest !== undefined) this.signals.delete(oldest)
    const signals = new SignalState()
    this.signals.set(incarnation, signals)
    return signals
  }

  /// Whether an incarnation is leaving, by its record or by a signal in one of its answers.
  isLeaving(record: BackendRecord): boolean {
    return record.state !== "ready" || this.signals.get(getIncarnation(record))?.isLeaving === true
  }

  /// Whether a stream that began at `origin` may be continued at a back end. It may not be continued anywhere if
  /// the back end that began it is now listed with another version: which of the two wrote its events is not known.
  mayContinue(record: BackendRecord, origin: StreamOrigin): boolean {
    if (origin.version === null || origin.service !== record.service) return false
    const known = this.views.get(origin.backendId ?? "")?.record
    if (known && getSoftwareVersion(known) !== origin.version) return false
    return getSoftwareVersion(record) === origin.version
  }

  /// The back end with this id.
  get(id: string): BackendView | undefined {
    return this.views.get(id)
  }

  /// Every back end of a service.
  ofService(service: string): readonly BackendView[] {
    return this.byService.get(service) ?? []
  }

  /// Every back end.
  all(): IterableIterator<BackendView> {
    return this.views.values()
  }

  /// Applies a digest with the loads of the whole fleet and the outcomes of its attempts.
  applyFleetLoads(source: string, loads: readonly BackendLoad[], now: number): void {
    this.peers.applyDigest(source, loads, now)
    for (const [id, , , , , succeeded = 0, failed = 0] of loads)
      if (succeeded + failed > 0) this.views.get(id)?.health.applyFleetOutcomes(succeeded, failed, now)
  }

  /// This daemon's load, for its peers: only back ends with requests in flight, ejection votes or attempts
  /// that ended since the last call. Resets the counts of outcomes.
  takeLoads(now: number): BackendLoad[] {
    const loads: BackendLoad[] = []
    for (const view of this.views.values()) {
      const ejectionVotes = view.isChangingStage
        ? STAGE_CHANGE_VOTES
        : view.isEjected(now)
          ? EJECTION_VOTES
          : 0
      const inFlight = view.localInFlight()
      const {succeeded, failed} = view.health.takeOutcomes()
      if (inFlight + ejectionVotes + succeeded + failed > 0)
        loads.push([
          view.record.id,
          inFlight,
          Math.round(view.localPromptTokens()),
          ejectionVotes,
          Math.round(view.localOverdueTokens()),
          succeeded,
          failed
        ])
    }
    return loads
  }
}
