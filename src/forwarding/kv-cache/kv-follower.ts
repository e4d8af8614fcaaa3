/// Follows what engines tell of their KV caches. Each engine is asked again and again for the changes since
/// the last answer; it holds the call until there are some. An engine holds few such calls, so a fleet
/// follows its engines only while every daemon can: where a part of the daemons followed each engine, the
/// calls took a third of their processor time and told one choice in seven. A larger fleet learns from what
/// its daemons had computed.
import type {EffectSink} from "../../shared/effect-sink.js"
import type {BackendDirectory} from "../backends/backend-directory.js"
import type {KvChange, KvIndex} from "./kv-index.js"
import type {BackendRecord} from "../routes/route.js"

/// Settings of the follower.
export interface KvFollowerSettings {
  /// How long an engine may hold a call. Milliseconds. Default 1000.
  readonly waitMs: number
  /// Pause between an answer and the next call, so that changes come in batches. Milliseconds. Default 150.
  readonly pauseMs: number
  /// The same after a call that failed. Milliseconds. Default 1000.
  readonly retryMs: number
  /// Daemons that may follow one engine: a larger fleet follows none. Default 10, what an engine holds in
  /// calls.
  readonly followers: number
}

/// Default settings.
export const DEFAULT_KV_FOLLOWER_SETTINGS: KvFollowerSettings = {
  waitMs: 1000,
  pauseMs: 150,
  retryMs: 1000,
  followers: 10
}

/// Asks an engine for changes of its cache.
export interface KvChangesCall {
  readonly backend: BackendRecord
  /// Changes after this one; 0 for the oldest that it still has.
  readonly since: number
  readonly waitMs: number
}

/// What an engine told.
export interface KvChanges {
  /// Another one after a restart: nothing from before is kept.
  readonly epoch: string
  /// Where the next call goes on.
  readonly next: number
  /// Some changes before these are not known any more.
  readonly lost: boolean
  readonly changes: readonly KvChange[]
}

interface FollowedEngine {
  epoch: string | undefined
  since: number
  nextCallAt: number
  calling: boolean
}

/// What the follower asks its daemon.
interface KvFollowerContext {
  /// Daemons of the fleet, this one included.
  countMembers(): number
  /// Tokens that fit into the cache of an engine of this service; undefined for services that are no engines.
  capacityTokens(service: string): number | undefined
}

/// The follower of one daemon. Times are monotonic milliseconds.
export class KvFollower {
  private readonly engines = new Map<string, FollowedEngine>()

  constructor(
    private readonly settings: KvFollowerSettings,
    private readonly context: KvFollowerContext,
    private readonly directory: BackendDirectory,
    private readonly index: KvIndex,
    private readonly emit: EffectSink<KvChangesCall>
  ) {}

  /// Sends the calls that are due.
  tick(now: number): void {
    for (const view of this.directory.all()) {
      const {stage, service} = view.record
      // A record may name a service that no configuration has.
      const isEngine = stage !== undefined && this.context.capacityTokens(service) !== undefined
      if (!isEngine || view.isBackingOff(now) || view.health.needsProbe(now)) continue
      const engine = this.getEngine(view.record.id)
      if (engine.calling || now < engine.nextCallAt) continue
      if (!this.mayFollow()) {
        engine.nextCallAt = now + this.settings.retryMs
        this.index.setFollowed(view.record.id, false)
        continue
      }
      engine.calling = true
      this.emit({backend: view.record, since: engine.since, waitMs: this.settings.waitMs})
    }
  }

  /// Takes an engine's answer; undefined when it gave none.
  receive(backend: BackendRecord, answer: KvChanges | undefined, now: number): void {
    const engine = this.engines.get(backend.id)
    if (!engine) return
    engine.calling = false
    const capacityTokens = this.context.capacityTokens(backend.service)
    if (!answer || capacityTokens === undefined) {
      engine.nextCallAt = now + this.settings.retryMs
      this.index.setFollowed(backend.id, false)
      return
    }
    engine.nextCallAt = now + this.settings.pauseMs
    const forgot = engine.epoch !== undefined && engine.epoch !== answer.epoch
    if (forgot || answer.lost) this.index.removeEngine(backend.id)
    engine.epoch = answer.epoch
    engine.since = answer.next
    this.index.setFollowed(backend.id, true)
    for (const change of answer.changes) this.index.applyChange(backend.id, change, capacityTokens)
  }

  /// The engine is gone.
  removeEngine(id: string): void {
    this.engines.delete(id)
    this.index.removeEngine(id)
  }

  private mayFollow(): boolean {
    return this.context.countMembers() <= this.settings.followers
  }

  private getEngine(id: string): FollowedEngine {
    let engine = this.engines.get(id)
    if (!engine) {
      engine = {
        epoch: undefined,
        since: 0,
        nextCallAt: 0,
        calling: false
      }
      this.engines.set(id, engine)
    }
    return engine
  }
}
