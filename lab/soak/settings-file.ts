/// The settings file of a daemon, as the platform writes it.
import type {SoakBounds} from "./soak-record.js"
import {QUOTA_RULE} from "./soak-routes.js"

/// The addresses, `host:port`, and the metrics port of a daemon.
export interface DaemonPorts {
  readonly front: string
  readonly ready: string
  readonly control: string
  readonly metrics: number
}

const GRACE_S = 8
const SECOND_MS = 1000
const WINDOW_S = 2
const USAGE_LATE_S = 4

/// Formats the settings file as TOML.
export function formatSettings(
  name: string,
  zone: string,
  ports: DaemonPorts,
  seeds: readonly string[],
  bounds: SoakBounds,
  storeAddress: string,
  dutyAddress: string
): string {
  const {contactMs, configMs, drainMs, leaseMs, retries} = bounds
  const {windowS, overage, slackTokens} = QUOTA_RULE
  return (
    `node = "${name}"\nzone = "${zone}"\nregion = "main"\nip = "127.0.0.1"\nheartbeat_ms = 1200\n` +
    `port_range = [${ports.metrics}, ${ports.metrics}]\nseeds = ${JSON.stringify(seeds)}\n` +
    `[listen]\nfront = "${ports.front}"\nready = "${ports.ready}"\ncontrol = "${ports.control}"\n` +
    `[bounds]\ncontact_ms = ${contactMs}\nconfig_ms = ${configMs}\ndrain_ms = ${drainMs}\ngrace_s = ${GRACE_S}\n` +
    `lease_ms = ${leaseMs}\nretry_budget_ratio = ${retries.ratio}\nbudget_slack = ${retries.slack}\n` +
    `budget_window_s = ${retries.windowMs / SECOND_MS}\n` +
    `window_s = ${WINDOW_S}\nusage_late_s = ${USAGE_LATE_S}\n` +
    `quota_window_s = ${windowS}\nquota_overage = ${overage}\nquota_slack = ${slackTokens}\n[platform]\naddr = "${storeAddress}"\n` +
    `[cloud]\naddr = "${dutyAddress}"\nduties = ["metering", "autoscale"]\n`
  )
}
