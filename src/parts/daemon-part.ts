/// The interface of everything that a forwarding daemon does besides forwarding requests: a part is notified
/// of the configuration, the members, the back ends, messages of peers, answers of external systems and time,
/// and emits effects. A part is written and tested without the daemon; one line in `daemon-parts.ts` plugs it
/// in.
import type {RandomSource} from "../shared/random.js"
import type {BackendDistance} from "../forwarding/choose/backend-distance.js"
import type {Places} from "../places/places.js"
import type {RoundTrips} from "../places/round-trips.js"
import type {SignalReport} from "../forwarding/backends/backend-signals.js"
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {BackendDirectory} from "../forwarding/backends/backend-directory.js"
import type {BackendPaths} from "../forwarding/paths/backend-paths.js"
import type {LeavingBackends} from "../forwarding/backends/leaving-backends.js"
import type {BackendLimits} from "../forwarding/permits/backend-limits.js"
import type {PermitManager} from "../forwarding/permits/permit-manager.js"
import type {KvIndex} from "../forwarding/kv-cache/kv-index.js"
import type {BackendRecord, RouteConfiguration, Tenant} from "../forwarding/routes/route.js"
import type {AnsweredAttempt, BrokenAttempt} from "../forwarding/admit/quarantine-gate.js"
import type {QuotaOutcome, QuotaDecision, QuotaRequest} from "../forwarding/admit/tenant-quota.js"
import type {RouteTable} from "../forwarding/routes/route-table.js"
import type {EffectSink} from "../shared/effect-sink.js"
import type {FleetView} from "../quotas/owner-ranking.js"
import type {DaemonIdentity, Member, MembershipMessage} from "../membership/membership-messages.js"
import type {ChangeEvent} from "../daemon/change-log.js"
import type {PeerMessage} from "../daemon/peer-messages.js"
import type {ForwardingDaemonSettings} from "../daemon/forwarding-daemon-settings.js"
import type {ForwardingEffect, ForwardingEvent} from "../daemon/forwarding-messages.js"
import type {PartHold} from "../quarantine/prompt-parts/part-quarantine.js"
import type {OriginOutcome, TakenUpStream} from "../streams/origin-manager.js"
import type {StreamOrigin} from "../streams/stream-origin.js"

/// The regions of a fleet: places, measured round trips, and distances to back ends.
export interface RegionContext {
  readonly places: Places
  readonly roundTrips: RoundTrips
  readonly distance: BackendDistance
}

/// What a part may read, and where its effects go.
export interface PartContext {
  readonly identity: DaemonIdentity
  readonly settings: ForwardingDaemonSettings
  readonly random: RandomSource
  readonly directory: BackendDirectory
  readonly kvIndex: KvIndex
  /// Back ends that have announced that they are leaving.
  readonly leaving: LeavingBackends
  /// The limits that back ends advertise.
  readonly limits: BackendLimits
  /// The permits for sending to back ends that advertise a limit.
  readonly permits: PermitManager
  /// The paths to back ends.
  readonly paths: BackendPaths
  /// Undefined if the fleet is in a single region.
  readonly regions?: RegionContext | undefined
  readonly emit: EffectSink<ForwardingEffect>
  /// Active members, including this daemon; returns the same array until they change.
  getMembers(): readonly Member[]
  /// The fleet as this daemon sees it.
  getFleet(): FleetView
  /// Whether newer records of back ends than this daemon's may exist.
  backendsMayBeStale(now: number): boolean
  /// Time since the copy of the records of back ends was last known to be up to date. Milliseconds.
  getBackendsAgeMs(now: number): number
  /// Whether this daemon is the first in rank among the readers of the store, which maintains the records
  /// that the fleet shares there.
  isFirstReader(): boolean
  /// The routes in force; undefined before the first configuration.
  getRoutes(): RouteTable | undefined
  /// Applies the decision on a request that waited for its tenant's quota.
  decideQuota(requestId: string, decision: QuotaDecision): void
  /// Applies the origin of the stream that a waiting request takes up; undefined if it cannot be found.
  decideOrigin(requestId: string, origin: StreamOrigin | undefined): void
  /// Writes a change to the daemon's log and counts it in its metrics.
  logChange(event: ChangeEvent, fields: Readonly<Record<string, unknown>>): void
}

/// Figures of a part by name, for the status and the metrics. The number of names is bounded.
export type PartFigures = Readonly<Record<string, number>>

/// Answers of external systems: every event that the daemon does not handle itself.
export type AnswerEvent = Exclude<
  ForwardingEvent,
  {
    kind:
      | "tick"
      | "clockStoodStill"
      | "peerMessage"
      | "recordsRead"
      | "submit"
      | "cancel"
      | "attempt"
      | "beginDrain"
      | "closeForNew"
      | "endRequests"
  }
>

/// One part of a daemon. A part omits the methods that it does not need. Times are monotonic milliseconds.
export abstract class DaemonPart {
  /// The name under which the part's figures are shown.
  abstract readonly name: string

  /// Applies a configuration that has come into force.
  applyConfiguration?(configuration: RouteConfiguration, now: number): void

  /// Applies the record of a back end that is new or has changed.
  applyBackend?(record: BackendRecord, now: number): void

  /// Removes a back end whose record no longer exists.
  removeBackend?(id: string, now: number): void

  /// Receives a peer's message; a part ignores those for other parts.
  receivePeer?(fromId: string, fromAddress: string, message: PeerMessage, now: number): void

  /// Receives an external system's answer; a part ignores those that it did not request.
  receiveAnswer?(event: AnswerEvent, now: number): void

  /// Receives the machine's wall-clock time. Milliseconds.
  receiveClock?(wallMs: number, now: number): void

  /// Adds the part's fields to a membership message before it is sent.
  addToMembership?(message: MembershipMessage, now: number): MembershipMessage

  /// Takes the cost of a request from its tenant's quota. Undefined from a part that enforces no quotas.
  takeQuota?(request: QuotaRequest, now: number): QuotaOutcome | undefined

  /// Removes a request that is over from those that wait for their tenant's quota.
  removeQuotaRequest?(requestId: string): void

  /// Charges a further cost of a request to its tenant; a negative cost refunds what was never executed.
  chargeQuota?(tenant: Tenant, cost: number, now: number): void

  /// Finds where the stream began that a request takes up. Undefined from a part that holds no origins.
  findStreamOrigin?(stream: TakenUpStream, now: number): OriginOutcome | undefined

  /// A resumable stream has begun at this daemon.
  onStreamBegan?(attemptId: string, origin: StreamOrigin, now: number): void

  /// The remaining quarantine of a request; undefined if it may be sent to back ends. Milliseconds.
  getQuarantineMs?(key: string, now: number): number | undefined

  /// The isolated caller of a request, whose requests may all be executed at one back end only; undefined
  /// for most requests.
  getIsolatedCaller?(key: string, now: number): string | undefined

  /// The part of a prompt for which a request with these parts is refused, or may be sent as a trial; undefined for
  /// most requests.
  findPartHold?(parts: readonly string[], now: number): PartHold | undefined

  /// A request with a held part is sent to a back end as a trial.
  onPartTrial?(part: string, now: number): void

  /// The trial that was sent last found no back end.
  onPartTrialFailed?(part: string): void

  /// The connection of an attempt at a back end ended before the answer was complete.
  onAttemptBroken?(attempt: BrokenAttempt, now: number): void

  /// A back end completed its answer to a request.
  onAttemptAnswered?(attempt: AnsweredAttempt, now: number): void

  /// A back end has answered, with this report about itself.
  onSignals?(view: BackendView, report: SignalReport, now: number): void

  /// A back end started to execute a request of the tenant at `at`.
  onExecutionStarted?(tenant: string, at: number): void

  /// The process was paused (stopped, or starved) until now.
  onProcessResumed?(now: number): void

  /// The machine was suspended for `forMs`, which the monotonic clock did not count: authority whose expiry
  /// is measured by it is void. Milliseconds.
  onMachineSuspended?(forMs: number): void

  /// Advances timers that cannot wait for `scan`.
  tick?(now: number): void

  /// Advances timers and checks the back ends. `draining` is true while this daemon is stopping.
  scan?(draining: boolean, now: number): void

  /// The figures of this part, for operators.
  getFigures?(now: number): PartFigures
}
