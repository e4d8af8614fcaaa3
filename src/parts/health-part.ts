/// Probes back ends that stay silent or refuse connections.
import {HealthProber} from "../forwarding/backends/health-prober.js"
import {DaemonPart, type AnswerEvent, type PartContext} from "./daemon-part.js"

/// The prober as a part.
export class HealthPart extends DaemonPart {
  override readonly name = "health"
  private readonly prober: HealthProber

  constructor(private readonly surroundings: PartContext) {
    super()
    const {directory, routes, emit} = surroundings
    this.prober = new HealthProber(directory, probe => {
      const healthPath = routes()?.getService(probe.backend.service)?.healthPath
      if (healthPath !== undefined) emit({kind: "probeBackend", probe, healthPath})
    })
  }

  override receiveAnswer(event: AnswerEvent, now: number): void {
    if (event.kind !== "probed") return
    const wasLost = this.surroundings.directory.get(event.backendId)?.health.needsProbe(now)
    this.prober.onAnswer(event.backendId, event.well, now)
    if (event.well && wasLost) this.surroundings.logChange("backend.recovered", {backend: event.backendId})
  }

  override scan(_leaving: boolean, now: number): void {
    this.prober.tick(now)
  }
}
