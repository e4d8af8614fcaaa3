/// The signals of back ends in a soak (limits, leaving, back-offs), and a check that daemons comply with them.
import {SECOND_MS} from "../../src/shared/units.js"
import {isUninterrupted, type Disturbance} from "./disturbance.js"
import type {ArrivalRecord} from "./retry-check.js"
import {
  findBackOffViolations,
  findLateRequestsToLeaving,
  findLimitWindows,
  type DaemonArrival,
  type LimitSpan,
  type LimitWindow,
  type BackOffSpan,
  type ForwardedSignal
} from "./signal-check.js"

/// A caller's request and its answer. Monotonic milliseconds.
interface AnsweredRequest {
  readonly daemon: string
  readonly sentAt: number
  endedAt?: number
  signature?: string
  /// Whether the answer announces a limit of its back end.
  signalsLimit?: boolean
  /// Whether the answer announces that its back end is leaving.
  signalsLeaving?: boolean
}

/// The signals and checks of one soak.
export class SignalRecord {
  /// Periods in which back ends announced limits.
  readonly limits: LimitSpan[] = []
  private readonly backOffs: BackOffSpan[] = []

  constructor(
    private readonly requests: ReadonlyMap<string, AnsweredRequest>,
    private readonly arrivals: readonly ArrivalRecord[],
    private readonly disturbances: readonly Disturbance[],
    /// Milliseconds.
    private readonly bounds: {readonly contactMs: number; readonly drainMs: number}
  ) {}

  /// Records that an incarnation of a back end rejected a request and asked the daemon that sent it to back off.
  addBackOff(incarnation: string, requestId: string, seconds: number): void {
    const at = performance.now()
    const daemon = this.requests.get(requestId)?.daemon ?? ""
    this.backOffs.push({incarnation, daemon, at, until: at + seconds * SECOND_MS})
  }

  /// The worst window of each limit that a back end announced.
  findLimitWindows(): LimitWindow[] {
    const signals = this.findForwardedSignals(({signalsLimit}) => signalsLimit === true)
    return findLimitWindows(
      this.limits,
      this.findArrivals(),
      signals,
      this.isUninterrupted,
      this.bounds.contactMs
    )
  }

  /// Returns every violation of a promise.
  check(): {readonly promise: string; readonly text: string}[] {
    const arrivals = this.findArrivals()
    const signals = this.findForwardedSignals(({signalsLeaving}) => signalsLeaving === true)
    const late = findLateRequestsToLeaving(signals, arrivals, this.isUninterrupted, this.bounds.drainMs)
    const backOffs = findBackOffViolations(this.backOffs, arrivals, this.isUninterrupted)
    const limits = this.findLimitWindows().filter(({seen, allowed}) => seen > allowed)
    return [
      ...limits.map(({backend, perSecond, seen, allowed}) => ({
        promise: "a back end gets no more than the limit that it names",
        text: `${backend}: ${seen} in 4 s, ${allowed} allowed at ${perSecond} a second`
      })),
      ...late.map(({incarnation, daemon, sentAt}) => ({
        promise: "a back end that says it leaves gets no new work",
        text: `${incarnation} by ${daemon}, sent at ${Math.round(sentAt)}`
      })),
      ...backOffs.map(({span: {incarnation, daemon, at, until}, seen}) => ({
        promise: "a back end that asks a daemon to back off gets none of its requests",
        text: `${incarnation}: ${seen} by ${daemon} in ${Math.round(until - at)} ms from ${Math.round(at)}`
      }))
    ]
  }

  private readonly isUninterrupted = (daemon: string, from: number, until: number): boolean =>
    isUninterrupted(this.disturbances, {daemon, from, until})

  private findArrivals(): DaemonArrival[] {
    return this.arrivals.flatMap(({backend, incarnation = backend, requestId, at}) => {
      const {daemon = "", sentAt = at} = this.requests.get(requestId) ?? {}
      if (backend === undefined || incarnation === undefined) return []
      return [{backend, incarnation, daemon, at, sentAt}]
    })
  }

  /// Answers with a signal that daemons forwarded.
  private findForwardedSignals(hasSignal: (request: AnsweredRequest) => boolean): ForwardedSignal[] {
    return [...this.requests].flatMap(([id, request]) => {
      const {signature, daemon, endedAt} = request
      if (signature === undefined || endedAt === undefined || !hasSignal(request)) return []
      const incarnation = this.findIncarnation(id, signature, endedAt)
      return [{backend: signature, incarnation, daemon, at: endedAt}]
    })
  }

  /// The incarnation that answered a request: the last one that received it, among those with the id.
  private findIncarnation(requestId: string, backend: string, endedAt: number): string {
    const received = this.arrivals.filter(
      candidate =>
        candidate.requestId === requestId && candidate.backend === backend && candidate.at <= endedAt
    )
    const arrival = received.pop()
    return arrival?.incarnation ?? backend
  }
}
