/// Faults in which back ends say in their answers what they want.
import {Fault} from "./faults.js"
import type {SoakSite} from "./soak-site.js"

/// A back end names a limit in its answers.
export class LimitFault extends Fault {
  private end: () => void = () => undefined

  constructor(
    lastsMs: number,
    private readonly place: number,
    private readonly perSecond: number
  ) {
    super(lastsMs)
  }
  getName(): string {
    return `limit of back end ${this.place}: ${this.perSecond} a second`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  override affectsBackends(): boolean {
    return true
  }
  start(site: SoakSite): void {
    this.end = site.startLimit(this.place, this.perSecond)
  }
  stop(): void {
    this.end()
  }
}

/// A back end says in its answers that it leaves while its record says that it is ready; then another takes
/// its place.
export class LeavingSignalFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly place: number
  ) {
    super(lastsMs)
  }
  getName(): string {
    return `said leaving of back end ${this.place}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  override affectsBackends(): boolean {
    return true
  }
  start(site: SoakSite): void {
    site.setLeaving(this.place)
  }
  async stop(site: SoakSite): Promise<void> {
    site.closeBackend(this.place)
    await site.startBackend(this.place)
  }
}

/// A back end turns part of its requests away and asks daemons to back off.
export class BackOffFault extends Fault {
  constructor(
    lastsMs: number,
    private readonly place: number,
    private readonly backOff: {readonly share: number; readonly seconds: number}
  ) {
    super(lastsMs)
  }
  getName(): string {
    return `back-off from back end ${this.place}: ${this.backOff.seconds} s, ${this.backOff.share} of the requests`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  override affectsBackends(): boolean {
    return true
  }
  start(site: SoakSite): void {
    site.setBackOff(this.place, this.backOff)
  }
  stop(site: SoakSite): void {
    site.setBackOff(this.place, undefined)
  }
}
