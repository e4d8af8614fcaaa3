/// Asks back ends that stay silent or refuse connections whether they work again, so that no request has to.
import type {EffectSink} from "../../shared/effect-sink.js"
import type {BackendDirectory} from "./backend-directory.js"
import type {BackendRecord} from "../routes/route.js"

/// A probe of one back end.
export interface HealthProbe {
  readonly backend: BackendRecord
}

/// Interval between probes of one back end. Milliseconds.
const PROBE_INTERVAL_MS = 500

/// The prober of one daemon. Times are monotonic milliseconds.
export class HealthProber {
  private readonly probedAt = new Map<string, number>()

  constructor(
    private readonly directory: BackendDirectory,
    private readonly emit: EffectSink<HealthProbe>
  ) {}

  /// Sends the probes that are due.
  tick(now: number): void {
    for (const view of this.directory.all()) {
      const {id} = view.record
      if (!view.takesWork() || view.isBackingOff(now) || !view.health.needsProbe(now)) {
        this.probedAt.delete(id)
        continue
      }
      const last = this.probedAt.get(id)
      if (last !== undefined && now - last < PROBE_INTERVAL_MS) continue
      this.probedAt.set(id, now)
      this.emit({backend: view.record})
    }
  }

  /// Takes the outcome of a probe.
  onAnswer(id: string, well: boolean, now: number): void {
    if (well) this.directory.get(id)?.health.onProbeAnswered(now)
  }
}
