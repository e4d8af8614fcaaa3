/// Which shared prompt parts an engine is believed to keep in its KV cache, from what this daemon sent there and from
/// what its peers say that they sent.
import {hashText} from "../shared/rendezvous-hash.js"

/// A prompt that was computed somewhere, in the form that travels: engine, hash of the shared key, shared tokens.
export type PrefixPlacement = [engineId: string, keyHash: number, tokens: number]

/// Placements kept for the next digest at most.
const MAXIMUM_RECENT = 64

interface EnginePrefixes {
  /// Keys in order of last use, with their tokens.
  readonly tokensByKey: Map<number, number>
  total: number
}

/// The index of one daemon.
export class PrefixIndex {
  private readonly engines = new Map<string, EnginePrefixes>()
  private recent: PrefixPlacement[] = []

  /// @param capacityShare share of an engine's cache that this daemon counts on
  constructor(private readonly capacityShare: number) {}

  /// This daemon had a prompt with this shared key computed at the engine.
  used(engineId: string, key: string, tokens: number, capacityTokens: number): void {
    const keyHash = hashText(key)
    this.recent.push([engineId, keyHash, tokens])
    if (this.recent.length > MAXIMUM_RECENT) this.recent.shift()
    this.keep(engineId, keyHash, tokens, capacityTokens)
  }

  /// A peer had such a prompt computed.
  usedByPeer([engineId, keyHash, tokens]: PrefixPlacement, capacityTokens: number): void {
    this.keep(engineId, keyHash, tokens, capacityTokens)
  }

  /// What this daemon had computed since the last call.
  takeRecent(): PrefixPlacement[] {
    const {recent} = this
    this.recent = []
    return recent
  }

  /// Whether the engine is believed to keep the key's parts.
  has(engineId: string, key: string): boolean {
    return this.engines.get(engineId)?.tokensByKey.has(hashText(key)) ?? false
  }

  /// The engine is gone, and its cache with it.
  forget(engineId: string): void {
    this.engines.delete(engineId)
  }

  private keep(engineId: string, key: number, tokens: number, capacityTokens: number): void {
    let engine = this.engines.get(engineId)
    if (!engine) {
      engine = {tokensByKey: new Map(), total: 0}
      this.engines.set(engineId, engine)
    }
    engine.total += tokens - (engine.tokensByKey.get(key) ?? 0)
    engine.tokensByKey.delete(key)
    engine.tokensByKey.set(key, tokens)
    for (const [oldest, oldestTokens] of engine.tokensByKey) {
      if (engine.total <= capacityTokens * this.capacityShare || oldest === key) break
      engine.tokensByKey.delete(oldest)
      engine.total -= oldestTokens
    }
  }
}
