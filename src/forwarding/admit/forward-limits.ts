/// What one daemon may put on back ends: its part of the connections that a back end takes, and which
/// requests are rejected as overload. Owns no state; relies on the routes in force and on the choice of a
/// back end.
import type {BackendChoice} from "../choose/backend-choice.js"
import type {Session} from "../forward-session.js"
import type {ForwardSettings} from "../forward-settings.js"
import type {EngineTraits} from "../routes/route.js"
import type {RouteTable} from "../routes/route-table.js"

/// A caller that has less than this part of the route's time left has probably come back after a refusal.
const FRESH_SHARE = 0.95

/// What the limits depend on.
export interface LimitContext {
  /// The routes in force; undefined before the first configuration.
  getRoutes(): RouteTable | undefined
  /// How long the store has not answered about the configuration; 0 when it does. Milliseconds.
  getOutageMs(now: number): number
  /// Daemons that share back ends and the retry budget.
  getDaemonCount(): number
}

/// The limits of one daemon. Times are monotonic milliseconds.
export class ForwardLimits {
  constructor(
    private readonly settings: ForwardSettings,
    private readonly context: LimitContext
  ) {}

  /// What the engines of the service have in common; undefined for services that are no engines.
  getEngine(service: string): EngineTraits | undefined {
    return this.context.getRoutes()?.getService(service)?.engine
  }

  /// Requests that this daemon may have on one back end. A back end takes so many connections from all
  /// daemons together.
  getMaximumInFlight(service: string): number {
    const maximum = this.context.getRoutes()?.getService(service)?.maximumConnections ?? Infinity
    const share = (maximum * this.settings.connectionUse) / this.context.getDaemonCount()
    return Math.max(1, Math.floor(share))
  }

  /// Whether the request is rejected as overload: the plain back end has as many requests as it may have, or
  /// the prompt is overdue, no engine has capacity for it, and its caller has not come back for it before.
  isOverloaded(session: Session, choice: BackendChoice): boolean {
    return this.isSaturated(choice) || (choice.saturated && !hasComeBack(session))
  }

  private isSaturated({backend}: BackendChoice): boolean {
    const {record} = backend
    if (record.stage !== undefined) return false
    return backend.inFlight() >= record.slots * this.settings.plainSlotShare
  }
}

/// Whether the caller has probably come back after a refusal.
function hasComeBack({request, route}: Session): boolean {
  return (request.callerDeadlineMs ?? route.timeoutMs) < route.timeoutMs * FRESH_SHARE
}
