/// Faults that a soak injects from outside the daemons. Each has a start, a duration and an end; the soak records
/// what it disturbs in between.
import type {BackendBehavior} from "./backend-behavior.js"
import type {LinkState} from "./fault-proxy.js"
import {PLANNED_STOP} from "./disturbance.js"
import type {DutyBehavior} from "./duty-stand-in.js"
import {findTenant} from "./soak-routes.js"
import type {SoakSite} from "./soak-site.js"
import type {StoreBehavior} from "./store-stand-in.js"

/// One fault. `start` and `stop` resolve once the change has been made. Durations are milliseconds.
export abstract class Fault {
  constructor(readonly durationMs: number) {}

  /// Its name with its target, for the log of a soak.
  abstract getName(): string
  /// Daemons whose promises with a time bound are suspended during the fault; "*" for all.
  abstract getDisturbedDaemons(): readonly string[]
  /// Whether back ends or the connections to them are affected.
  affectsBackends(): boolean {
    return false
  }
  abstract start(site: SoakSite): Promise<void> | void
  abstract stop(site: SoakSite): Promise<void> | void
}

/// Daemons are killed and started again.
export class KillFault extends Fault {
  constructor(
    durationMs: number,
    private readonly daemons: readonly string[]
  ) {
    super(durationMs)
  }
  getName(): string {
    return `kill ${this.daemons.join(" ")}`
  }
  getDisturbedDaemons(): readonly string[] {
    return this.daemons
  }
  async start(site: SoakSite): Promise<void> {
    await Promise.all(this.daemons.map(name => site.getDaemon(name).kill()))
  }
  stop(site: SoakSite): void {
    for (const name of this.daemons) site.getDaemon(name).start()
  }
}

/// A daemon's process is paused.
export class PauseFault extends Fault {
  constructor(
    durationMs: number,
    private readonly daemon: string
  ) {
    super(durationMs)
  }
  getName(): string {
    return `pause ${this.daemon}`
  }
  getDisturbedDaemons(): readonly string[] {
    return [this.daemon]
  }
  start(site: SoakSite): void {
    site.getDaemon(this.daemon).pause()
  }
  stop(site: SoakSite): void {
    site.getDaemon(this.daemon).resume()
  }
}

/// A daemon is stopped with SIGTERM and started again.
export class RestartFault extends Fault {
  constructor(private readonly daemon: string) {
    super(0)
  }
  getName(): string {
    return `${PLANNED_STOP} ${this.daemon}`
  }
  getDisturbedDaemons(): readonly string[] {
    return [this.daemon]
  }
  async start(site: SoakSite): Promise<void> {
    const problem = await site.getDaemon(this.daemon).stop()
    if (problem === undefined) return
    const text = `${this.daemon}: ${problem}`
    site.record.observedViolations.push({promise: "a planned stop ends by itself within its grace", text})
  }
  stop(site: SoakSite): void {
    site.getDaemon(this.daemon).start()
  }
}

/// A daemon is signalled to reload an invalid settings file, and at the end a valid one.
export class ReloadFault extends Fault {
  constructor(
    durationMs: number,
    private readonly daemon: string
  ) {
    super(durationMs)
  }
  getName(): string {
    return `reload ${this.daemon}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    site.getDaemon(this.daemon).reload(false)
  }
  stop(site: SoakSite): void {
    site.getDaemon(this.daemon).reload(true)
  }
}

/// A proxy delays, drops or resets the connections of a link.
export class LinkFault extends Fault {
  constructor(
    durationMs: number,
    private readonly link: string,
    private readonly state: LinkState | "reset"
  ) {
    super(durationMs)
  }
  getName(): string {
    return `link ${this.link} ${this.state}`
  }
  getDisturbedDaemons(): readonly string[] {
    return [this.link.startsWith("backend") ? "*" : this.link.slice(this.link.indexOf(" ") + 1)]
  }
  override affectsBackends(): boolean {
    return this.link.startsWith("backend")
  }
  start(site: SoakSite): void {
    const proxy = site.getProxy(this.link)
    if (this.state === "reset") proxy?.resetAll()
    else proxy?.setState(this.state, DELAY_MS)
  }
  stop(site: SoakSite): void {
    const proxy = site.getProxy(this.link)
    proxy?.setState("open")
    // Bytes were dropped, so the streams of the open connections are corrupt.
    if (this.state !== "delayed") proxy?.resetAll()
  }
}

/// Delay of the bytes on a delayed link. Milliseconds.
const DELAY_MS = 120

/// The store is faulty for some daemons.
export class StoreFault extends Fault {
  constructor(
    durationMs: number,
    private readonly daemons: readonly string[],
    private readonly behavior: StoreBehavior
  ) {
    super(durationMs)
  }
  getName(): string {
    return `store ${this.behavior} ${this.daemons.join(" ")}`
  }
  getDisturbedDaemons(): readonly string[] {
    return this.daemons
  }
  start(site: SoakSite): void {
    for (const name of this.daemons) site.store.setBehavior(name, this.behavior)
  }
  stop(site: SoakSite): void {
    for (const name of this.daemons) site.store.setBehavior(name, "serves")
  }
}

/// The store drops its history of changes.
export class HistoryFault extends Fault {
  constructor() {
    super(0)
  }
  getName(): string {
    return "store forgets its history"
  }
  getDisturbedDaemons(): readonly string[] {
    return ["*"]
  }
  start(site: SoakSite): void {
    site.store.forgetHistory()
  }
  stop(): void {}
}

/// A back end misbehaves.
export class BackendFault extends Fault {
  constructor(
    durationMs: number,
    private readonly place: number,
    private readonly behavior: BackendBehavior
  ) {
    super(durationMs)
  }
  getName(): string {
    return `back end ${this.place} ${this.behavior}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  override affectsBackends(): boolean {
    return true
  }
  start(site: SoakSite): void {
    site.setBehavior(this.place, this.behavior)
  }
  stop(site: SoakSite): void {
    site.setBehavior(this.place, "well")
  }
}

/// A back end stops without draining and is replaced by a new incarnation.
export class CrashFault extends Fault {
  constructor(
    durationMs: number,
    private readonly place: number
  ) {
    super(durationMs)
  }
  getName(): string {
    return `crash of back end ${this.place}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  override affectsBackends(): boolean {
    return true
  }
  start(site: SoakSite): void {
    site.closeBackend(this.place)
  }
  async stop(site: SoakSite): Promise<void> {
    await site.startBackend(this.place)
  }
}

/// A back end drains while it continues to serve, then stops and is replaced by a new incarnation.
export class ReplaceFault extends Fault {
  constructor(
    durationMs: number,
    private readonly place: number
  ) {
    super(durationMs)
  }
  getName(): string {
    return `replacement of back end ${this.place}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  override affectsBackends(): boolean {
    return true
  }
  start(site: SoakSite): void {
    site.drainBackend(this.place)
  }
  async stop(site: SoakSite): Promise<void> {
    site.closeBackend(this.place)
    await site.startBackend(this.place)
  }
}

/// The operator revokes an API key, and restores it at the end of the fault.
export class KeyFault extends Fault {
  constructor(
    durationMs: number,
    private readonly key: string
  ) {
    super(durationMs)
  }
  getName(): string {
    return `revoke of ${findTenant(this.key)}'s key ${this.key.slice(-1)}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    site.setKey(this.key, false)
  }
  stop(site: SoakSite): void {
    site.setKey(this.key, true)
  }
}

/// The platform is faulty for the calls of the duties.
export class DutyFault extends Fault {
  constructor(
    durationMs: number,
    private readonly behavior: DutyBehavior
  ) {
    super(durationMs)
  }
  getName(): string {
    return `duties: platform ${this.behavior}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    site.duties.behavior = this.behavior
  }
  stop(site: SoakSite): void {
    site.duties.behavior = "serves"
  }
}

/// The operator moves a route to the other plain service, and may change the number of attempts of all routes.
export class ConfigurationFault extends Fault {
  constructor(private readonly maxAttempts?: number) {
    super(0)
  }
  getName(): string {
    const attempts = this.maxAttempts === undefined ? "" : `: ${this.maxAttempts} attempts`
    return `change of the configuration${attempts}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    site.changeConfiguration(this.maxAttempts)
  }
  stop(): void {}
}
