/// The shape of everything that a forwarding daemon does beside passing requests on: it hears of the
/// configuration, the members, the back ends, messages of peers, answers of outside systems and time, and
/// asks for effects. A part is written and tested without the daemon; one line in `daemon-parts.ts` plugs it
/// in.
import type {RandomSource} from "../shared/random.js"
import type {BackendDistance} from "../forwarding/choose/backend-distance.js"
import type {Places} from "../places/places.js"
import type {RoundTrips} from "../places/round-trips.js"
import type {SignalReport} from "../forwarding/backends/backend-signals.js"
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {BackendDirectory} from "../forwarding/backends/backend-directory.js"
import type {LeavingBackends} from "../forwarding/backends/leaving-backends.js"
import type {BackendLimits} from "../forwarding/permits/backend-limits.js"
import type {PermitManager} from "../forwarding/permits/permit-manager.js"
import type {KvIndex} from "../forwarding/kv-cache/kv-index.js"
import type {BackendRecord, RouteConfiguration, Tenant} from "../forwarding/routes/route.js"
import type {QuotaAnswer, QuotaDecision, QuotaRequest} from "../forwarding/admit/tenant-quota.js"
import type {RouteTable} from "../forwarding/routes/route-table.js"
import type {EffectSink} from "../shared/effect-sink.js"
import type {FleetView} from "../quotas/owner-ranking.js"
import type {DaemonIdentity, Member, MembershipMessage} from "../membership/membership-messages.js"
import type {ChangeEvent} from "../daemon/change-log.js"
import type {PeerMessage} from "../daemon/peer-messages.js"
import type {ForwardingDaemonSettings} from "../daemon/forwarding-daemon-settings.js"
import type {ForwardingEffect, ForwardingEvent} from "../daemon/forwarding-messages.js"

/// What is known of the regions of a fleet.
export interface RegionContext {
  readonly places: Places
  readonly roundTrips: RoundTrips
  readonly distance: BackendDistance
}

/// What a part may look at, and where its effects go.
export interface PartContext {
  readonly identity: DaemonIdentity
  readonly settings: ForwardingDaemonSettings
  readonly random: RandomSource
  readonly directory: BackendDirectory
  readonly kvIndex: KvIndex
  /// Back ends that have said that they leave.
  readonly leaving: LeavingBackends
  /// The limits that back ends name, and the permits to send there.
  readonly limits: BackendLimits
  readonly permits: PermitManager
  /// Missing where the fleet lies in one region.
  readonly regions?: RegionContext | undefined
  readonly emit: EffectSink<ForwardingEffect>
  /// Active members, this daemon included; the same array as long as they are the same.
  members(): readonly Member[]
  /// How this daemon sees its fleet.
  fleet(): FleetView
  /// Whether this daemon is the one of the fleet that looks after what all share in the store.
  isFirstReader(): boolean
  /// The routes in force; undefined before the first configuration.
  routes(): RouteTable | undefined
  /// A request that waited for its tenant's quota is decided.
  decideQuota(requestId: string, decision: QuotaDecision): void
  /// Writes a change to the daemon's log and counts it in its metrics.
  logChange(event: ChangeEvent, fields: Readonly<Record<string, unknown>>): void
}

/// Figures of a part by name, for the status and the metrics. Their number is bounded.
export type PartFigures = Readonly<Record<string, number>>

/// What an outside system answered: every event that the daemon does not take itself.
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
  }
>

/// One part of a daemon. Whatever a part does not care for it leaves out. Times are monotonic milliseconds.
export abstract class DaemonPart {
  /// Its figures are shown under this name.
  abstract readonly name: string

  /// A configuration has come into force.
  applyConfiguration?(configuration: RouteConfiguration, now: number): void

  /// A back end is new, or its record has changed.
  applyBackend?(record: BackendRecord, now: number): void

  /// The record of a back end is gone.
  removeBackend?(id: string, now: number): void

  /// Takes a peer's message, if it is one for this part.
  receivePeer?(fromId: string, fromAddress: string, message: PeerMessage, now: number): void

  /// Takes an outside system's answer, if this part asked.
  receiveAnswer?(event: AnswerEvent, now: number): void

  /// Hears the machine's time of day. Milliseconds.
  receiveClock?(wallMs: number, now: number): void

  /// Adds to a message of the membership before it is sent.
  addToMembership?(message: MembershipMessage, now: number): MembershipMessage

  /// Asks whether the tenant's quota allows a request. Undefined from a part that holds no quotas.
  takeQuota?(need: QuotaRequest, now: number): QuotaAnswer | undefined

  /// A request that waits for its tenant's quota is over.
  removeQuotaRequest?(requestId: string): void

  /// Counts a request again for its tenant, or, with a cost below 0, gives back what never ran.
  chargeQuota?(tenant: Tenant, cost: number, now: number): void

  /// How long a request is still to be kept from back ends; undefined when it may run. Milliseconds.
  getQuarantineMs?(key: string, now: number): number | undefined

  /// The caller whose requests may all run at one and the same back end only; undefined for most.
  getIsolatedCaller?(key: string, now: number): string | undefined

  /// The connection of a run at a back end ended before the answer was whole.
  onAttemptBroken?(key: string, record: BackendRecord, startedAt: number, now: number): void

  /// A back end gave a whole answer to a request.
  onAttemptAnswered?(key: string, now: number): void

  /// A back end has answered, and says this of itself.
  onSignals?(view: BackendView, report: SignalReport, now: number): void

  /// A back end began at `at` to run a request of the tenant.
  onRequestBegan?(tenant: string, at: number): void

  /// This process stood still until now.
  onProcessResumed?(now: number): void

  /// This process's clock stood still for so long, which nobody here has counted: authority that runs out by
  /// it is void. Milliseconds.
  onMachineSuspended?(forMs: number): void

  /// Advances what cannot wait for `scan`.
  tick?(now: number): void

  /// Advances timers and looks at the back ends. `leaving` says that this daemon is about to end.
  scan?(leaving: boolean, now: number): void

  /// What an operator sees of this part.
  getFigures?(now: number): PartFigures
}
