/// Follows the changes of engines' KV caches by long polling: each engine is asked for the changes since the
/// last answer and holds the call until there are some. An engine holds only a few such calls, so a fleet
/// follows its engines only if every daemon can. When some of the daemons followed each engine, the calls
/// took a third of their processor time and informed only one choice in seven. The daemons of a larger fleet
/// rely on the placements that they publish to each other instead.
import type {EffectSink} from "../../shared/effect-sink.js"
import type {BackendDirectory} from "../backends/backend-directory.js"
import type {KvChange, KvIndex} from "./kv-index.js"
import type {BackendRecord} from "../routes/route.js"

/// Settings of the follower.
export interface KvFollowerSettings {
  /// How long an engine may hold a call. Milliseconds. Default 1000.
  readonly waitMs: number
  /// Delay between an answer and the next call, so that changes arrive in batches. Milliseconds. Default 150.
  readonly pauseMs: number
  /// Delay after a failed call. Milliseconds. Default 1000.
  readonly retryMs: number
  /// Maximum number of daemons in a fleet that follows its engines; a larger fleet follows none. Default 10,
  /// the number of calls that an engine holds.
  readonly followers: number
}

/// Default settings.
export const DEFAULT_KV_FOLLOWER_SETTINGS: KvFollowerSettings = {
  waitMs: 1000,
  pauseMs: 150,
  retryMs: 1000,
  followers: 10
}

/// A call that asks an engine for the changes of its cache.
export interface KvChangesCall {
  readonly backend: BackendRecord
  /// Asks for the changes after this one; 0 for the oldest that the engine still has.
  readonly since: number
  /// How long the engine may hold the call. Milliseconds.
  readonly waitMs: number
}

/// Changes that an engine reported.
export interface KvChanges {
  /// Differs after a restart of the engine, which empties its cache.
  readonly epoch: string
  /// The value of `since` for the next call.
  readonly next: number
  /// Whether the engine no longer has some of the changes before these.
  readonly lost: boolean
  readonly changes: readonly KvChange[]
}

/// State of the calls to one engine.
interface FollowedEngine {
  epoch: string | undefined
  since: number
  nextCallAt: number
  calling: boolean
}

/// What the follower depends on.
interface KvFollowerContext {
  /// Number of daemons in the fleet, this one included.
  countMembers(): number
  /// Tokens that fit into the cache of an engine of this service; undefined for services without model
  /// engines.
  getCapacityTokens(service: string): number | undefined
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
      // A record may name a service that the configuration does not contain.
      const isEngine = stage !== undefined && this.context.getCapacityTokens(service) !== undefined
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

  /// Applies an engine's answer; undefined if the call failed.
  receive(backend: BackendRecord, answer: KvChanges | undefined, now: number): void {
    const engine = this.engines.get(backend.id)
    if (!engine) return
    engine.calling = false
    const capacityTokens = this.context.getCapacityTokens(backend.service)
    if (!answer || capacityTokens === undefined) {
      engine.nextCallAt = now + this.settings.retryMs
      this.index.setFollowed(backend.id, false)
      return
    }
    engine.nextCallAt = now + this.settings.pauseMs
    const hasRestarted = engine.epoch !== undefined && engine.epoch !== answer.epoch
    if (hasRestarted || answer.lost) this.index.removeEngine(backend.id)
    engine.epoch = answer.epoch
    engine.since = answer.next
    this.index.setFollowed(backend.id, true)
    for (const change of answer.changes) this.index.applyChange(backend.id, change, capacityTokens)
  }

  /// Removes an engine whose record is gone.
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
