/// Limits on what one daemon sends to back ends: its share of the connections that a back end accepts, and
/// which requests are refused as overload. Owns no state; relies on the routes in force and on the choice of
/// a back end.
import type {BackendChoice} from "../choose/backend-choice.js"
import type {Session} from "../forward-session.js"
import type {ForwardSettings} from "../forward-settings.js"
import type {EngineTraits} from "../routes/route.js"
import type {RouteTable} from "../routes/route-table.js"

/// A request whose caller deadline is below this share of the route's timeout is probably a retry after a
/// refusal.
const FIRST_TRY_SHARE = 0.95

/// What the limits depend on.
export interface LimitContext {
  /// The routes in force; undefined before the first configuration.
  getRoutes(): RouteTable | undefined
  /// For how long the store has not answered reads of the configuration; 0 while it answers. Milliseconds.
  getOutageMs(now: number): number
  /// Number of daemons that share back ends and the retry budget, this one included.
  getDaemonCount(): number
}

/// The limits of one daemon. Times are monotonic milliseconds.
export class ForwardLimits {
  constructor(
    private readonly settings: ForwardSettings,
    private readonly context: LimitContext
  ) {}

  /// Properties that all engines of the service share; undefined for services without model engines.
  getEngine(service: string): EngineTraits | undefined {
    return this.context.getRoutes()?.getService(service)?.engine
  }

  /// Requests that this daemon may have in flight at one back end. The connections that a back end accepts
  /// are divided equally among the daemons.
  getMaximumInFlight(service: string): number {
    const maximum = this.context.getRoutes()?.getService(service)?.maximumConnections ?? Infinity
    const share = (maximum * this.settings.connectionUse) / this.context.getDaemonCount()
    return Math.max(1, Math.floor(share))
  }

  /// Whether the request is refused as overload: the back end is no model engine and has reached its limit of
  /// requests, or the prompt is overdue, no engine has capacity for it, and the caller has not already
  /// retried.
  isOverloaded(session: Session, choice: BackendChoice): boolean {
    return this.isSaturated(choice) || (choice.saturated && !isProbablyRetried(session))
  }

  private isSaturated({backend}: BackendChoice): boolean {
    const {record} = backend
    if (record.stage !== undefined) return false
    return backend.inFlight() >= record.slots * this.settings.plainSlotShare
  }
}

/// Whether the caller probably retries after a refusal.
function isProbablyRetried({request, route}: Session): boolean {
  return (request.callerDeadlineMs ?? route.timeoutMs) < route.timeoutMs * FIRST_TRY_SHARE
}
