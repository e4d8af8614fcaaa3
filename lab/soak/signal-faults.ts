/// Faults in which back ends send signals in their answers: a limit, that they are leaving, or a back-off.
import {Fault} from "./faults.js"
import type {SoakSite} from "./soak-site.js"

/// A back end announces a limit in its answers.
export class LimitFault extends Fault {
  private stopLimit: () => void = () => undefined

  constructor(
    durationMs: number,
    private readonly place: number,
    private readonly perSecond: number
  ) {
    super(durationMs)
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
    this.stopLimit = site.startLimit(this.place, this.perSecond)
  }
  stop(): void {
    this.stopLimit()
  }
}

/// A back end announces in its answers that it is leaving while its record says that it is ready; at the end it is
/// replaced by a new incarnation.
export class LeavingSignalFault extends Fault {
  constructor(
    durationMs: number,
    private readonly place: number
  ) {
    super(durationMs)
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

/// A back end rejects part of its requests and asks daemons to back off.
export class BackOffFault extends Fault {
  constructor(
    durationMs: number,
    private readonly place: number,
    private readonly backOff: {readonly share: number; readonly seconds: number}
  ) {
    super(durationMs)
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
