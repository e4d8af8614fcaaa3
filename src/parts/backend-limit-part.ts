/// Follows the limits that back ends name.
import type {BackendView} from "../forwarding/backends/backend-view.js"
import type {SignalReport} from "../forwarding/backends/backend-signals.js"
import {DaemonPart, type PartFigures, type PartSurroundings} from "./daemon-part.js"

/// The limits as a part.
export class BackendLimitPart extends DaemonPart {
  override readonly name = "backendLimits"

  constructor(private readonly surroundings: PartSurroundings) {
    super()
  }

  override onSignals(view: BackendView, {signals, sentAt, isConclusive}: SignalReport, now: number): void {
    const {logChange} = this.surroundings
    const {id: backend} = view.record
    for (const signal of signals.unreadable) logChange("backend.signal-unreadable", {backend, signal})
    const {requestsPerSecond} = signals
    if (signals.unreadable.length > 0 || (requestsPerSecond === undefined && !isConclusive)) return
    if (!view.limit.apply(requestsPerSecond, sentAt, now)) return
    if (requestsPerSecond === undefined) logChange("backend.limit-ended", {backend})
    else logChange("backend.limited", {backend, requestsPerSecond})
  }

  override clockStoodStill(forMs: number): void {
    for (const view of this.surroundings.directory.all()) view.limit.addAge(forMs)
  }

  override getFigures(): PartFigures {
    const views = [...this.surroundings.directory.all()]
    return {limited: views.filter(view => view.limit.get() !== undefined).length}
  }
}
