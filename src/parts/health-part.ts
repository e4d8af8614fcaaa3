/// Probes back ends that do not respond or refuse connections.
import {HealthProber} from "../forwarding/backends/health-prober.js"
import {DaemonPart, type AnswerEvent, type PartContext} from "./daemon-part.js"

/// The part that runs the health prober.
export class HealthPart extends DaemonPart {
  override readonly name = "health"
  private readonly prober: HealthProber
  /// When the last scan began. Monotonic milliseconds.
  private scannedAt = -Infinity

  constructor(private readonly context: PartContext) {
    super()
    const {directory, getRoutes, emit, paths} = context
    this.prober = new HealthProber(directory, probe => {
      const healthPath = getRoutes()?.getService(probe.backend.service)?.healthPath
      if (healthPath === undefined) return
      paths.onProbeSent(probe.backend.id, this.scannedAt)
      emit({kind: "probeBackend", probe, healthPath})
    })
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    if (event.kind !== "probed") return
    const neededProbe = this.context.directory.get(event.backendId)?.health.needsProbe(now)
    this.prober.onAnswer(event.backendId, event.succeeded, now)
    if (event.succeeded && neededProbe)
      this.context.logChange("backend.recovered", {backend: event.backendId})
  }

  override scan(_draining: boolean, now: number): void {
    this.scannedAt = now
    this.prober.tick(now)
  }
}
