/// Probes back ends that do not respond or refuse connections.
import {HealthProber} from "../forwarding/backends/health-prober.js"
import {DaemonPart, type AnswerEvent, type PartContext} from "./daemon-part.js"

/// The part that runs the health prober.
export class HealthPart extends DaemonPart {
  override readonly name = "health"
  private readonly prober: HealthProber

  constructor(private readonly context: PartContext) {
    super()
    const {directory, getRoutes: routes, emit} = context
    this.prober = new HealthProber(directory, probe => {
      const healthPath = routes()?.getService(probe.backend.service)?.healthPath
      if (healthPath !== undefined) emit({kind: "probeBackend", probe, healthPath})
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
    this.prober.tick(now)
  }
}
