/// Faults that a soak injects from outside. Each begins, lasts and ends; what it disturbs is said to the
/// record.
import type {BackendBehavior} from "./backend-stand-in.js"
import type {LinkState} from "./fault-proxy.js"
import {PLANNED_STOP} from "./disturbance.js"
import type {DutyTreatment} from "./duty-stand-in.js"
import {findTenant} from "./soak-routes.js"
import type {SoakSite} from "./soak-site.js"
import type {StoreTreatment} from "./store-stand-in.js"

/// One fault. `start` and `stop` return when the change is made.
export abstract class Fault {
  constructor(readonly durationMs: number) {}

  /// Its name with what it strikes, for the log of a soak.
  abstract getName(): string
  /// Daemons whose promises with a time bound are suspended meanwhile; "*" for all.
  abstract getDisturbedDaemons(): readonly string[]
  /// Whether back ends or the way to them are harmed.
  affectsBackends(): boolean {
    return false
  }
  abstract start(site: SoakSite): Promise<void> | void
  abstract stop(site: SoakSite): Promise<void> | void
}

/// A daemon's process is killed and started again.
export class KillFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly daemons: readonly string[]
  ) {
    super(lastsMs)
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

/// A daemon's process stands still.
export class PauseFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly daemon: string
  ) {
    super(lastsMs)
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

/// A daemon is stopped in good order and started again.
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

/// The settings file is written anew, rightly or not, and the process is told.
export class ReloadFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly daemon: string
  ) {
    super(lastsMs)
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

/// A link is harmed.
export class LinkFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly link: string,
    private readonly state: LinkState | "reset"
  ) {
    super(lastsMs)
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
    // Bytes were lost: the connections that carried them are not whole any more.
    if (this.state !== "delayed") proxy?.resetAll()
  }
}

const DELAY_MS = 120

/// The store treats some daemons badly.
export class StoreFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly daemons: readonly string[],
    private readonly treatment: StoreTreatment
  ) {
    super(lastsMs)
  }
  getName(): string {
    return `store ${this.treatment} ${this.daemons.join(" ")}`
  }
  getDisturbedDaemons(): readonly string[] {
    return this.daemons
  }
  start(site: SoakSite): void {
    for (const name of this.daemons) site.store.setTreatment(name, this.treatment)
  }
  stop(site: SoakSite): void {
    for (const name of this.daemons) site.store.setTreatment(name, "serves")
  }
}

/// The store forgets what has changed.
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
    lastsMs: number,
    private readonly place: number,
    private readonly behavior: BackendBehavior
  ) {
    super(lastsMs)
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

/// A back end crashes and comes back as another incarnation.
export class CrashFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly place: number
  ) {
    super(lastsMs)
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

/// A back end says that it leaves, serves on, leaves, and another takes its place.
export class ReplaceFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly place: number
  ) {
    super(lastsMs)
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

/// The operator takes a key away, and gives it back when the fault is over.
export class KeyFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly key: string
  ) {
    super(lastsMs)
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

/// The platform treats calls of the duties in some way.
export class DutyFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly treatment: DutyTreatment
  ) {
    super(lastsMs)
  }
  getName(): string {
    return `duties: platform ${this.treatment}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    site.duties.treatment = this.treatment
  }
  stop(site: SoakSite): void {
    site.duties.treatment = "serves"
  }
}

/// The operator moves a route to the other service.
export class ConfigurationFault extends Fault {
  constructor() {
    super(0)
  }
  getName(): string {
    return "change of the configuration"
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    site.changeConfiguration()
  }
  stop(): void {}
}
