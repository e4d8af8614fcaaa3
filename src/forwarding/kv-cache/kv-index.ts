/// Which prompt parts each engine keeps in its KV cache, as far as this daemon knows: from the prompts that
/// were computed for itself and for its peers, and from the changes that engines report. The tokens of a part
/// are saved only if every part before it is kept too.
import {hashText} from "../../shared/rendezvous-hash.js"
import type {PromptOutline} from "../forward-request.js"

/// A part that an engine has computed, as published to peers: engine, hash of the part, tokens.
export type PartPlacement = [engineId: string, partHash: number, tokens: number]

/// A change that an engine reported of its cache: the number of the part's tokens that it now keeps, 0 for
/// none.
export interface KvChange {
  readonly model: string
  readonly partId: string
  readonly tokens: number
}

/// Maximum number of placements kept for the next digest.
const MAXIMUM_RECENT = 128
/// Shorter parts are not published: computing 256 tokens takes about 5 ms, and most prompts by far are short.
const MINIMUM_PUBLISHED_TOKENS = 256

interface HashedPart {
  readonly hash: number
  readonly tokens: number
}

/// Parts that one engine keeps, in order of last use, with the number of tokens kept.
interface EngineParts {
  readonly tokensByPart: Map<number, number>
  total: number
  /// Whether this daemon follows the engine's changes; placements from peers are then ignored, as they are
  /// older.
  followed: boolean
}

/// The index of one daemon.
export class KvIndex {
  private readonly engines = new Map<string, EngineParts>()
  private readonly hashed = new WeakMap<PromptOutline, readonly HashedPart[]>()
  private recent: PartPlacement[] = []

  /// The engine has computed a prompt for this daemon. Only the shared parts are recorded: the last part is of
  /// no use to other requests.
  addComputedPrompt(engineId: string, prompt: PromptOutline, capacityTokens: number): void {
    for (const {hash, tokens} of this.getSharedParts(prompt)) {
      if (tokens >= MINIMUM_PUBLISHED_TOKENS) this.recent.push([engineId, hash, tokens])
      this.setTokens(this.getParts(engineId), hash, tokens, capacityTokens)
    }
    this.recent.splice(0, this.recent.length - MAXIMUM_RECENT)
  }

  /// Applies a placement that a peer has published.
  applyPeerPlacement([engineId, hash, tokens]: PartPlacement, capacityTokens: number): void {
    const engine = this.getParts(engineId)
    if (!engine.followed) this.setTokens(engine, hash, tokens, capacityTokens)
  }

  /// Applies a change that the engine reported.
  applyChange(engineId: string, {model, partId, tokens}: KvChange, capacityTokens: number): void {
    this.setTokens(this.getParts(engineId), hashPart(model, partId), tokens, capacityTokens)
  }

  /// Sets whether this daemon follows the engine's changes.
  setFollowed(engineId: string, followed: boolean): void {
    this.getParts(engineId).followed = followed
  }

  /// Returns the placements computed for this daemon since the last call.
  takeRecentPlacements(): PartPlacement[] {
    const {recent} = this
    this.recent = []
    return recent
  }

  /// Number of tokens from the beginning of the prompt that the engine is assumed to keep.
  getKeptTokens(engineId: string, prompt: PromptOutline): number {
    const tokensByPart = this.engines.get(engineId)?.tokensByPart
    if (!tokensByPart) return 0
    let kept = 0
    for (const part of this.getSharedParts(prompt)) {
      const tokens = tokensByPart.get(part.hash) ?? 0
      kept += Math.min(tokens, part.tokens)
      if (tokens < part.tokens) break
    }
    return kept
  }

  /// Removes an engine that has lost its cache or is gone.
  removeEngine(engineId: string): void {
    this.engines.delete(engineId)
  }

  /// Parts that other requests may share: all but the last, which is specific to the request. The hashes are
  /// cached, since one prompt is looked up at every engine, at some of them twice.
  private getSharedParts(prompt: PromptOutline): readonly HashedPart[] {
    let parts = this.hashed.get(prompt)
    if (!parts) {
      parts = prompt.parts.slice(0, -1).map(({id, tokens}) => ({hash: hashPart(prompt.model, id), tokens}))
      this.hashed.set(prompt, parts)
    }
    return parts
  }

  private getParts(engineId: string): EngineParts {
    let engine = this.engines.get(engineId)
    if (!engine) this.engines.set(engineId, (engine = {tokensByPart: new Map(), total: 0, followed: false}))
    return engine
  }

  /// Sets the tokens kept of a part and evicts the least recently used parts beyond the capacity, as the engine
  /// does.
  private setTokens(engine: EngineParts, hash: number, tokens: number, capacityTokens: number): void {
    engine.total += tokens - (engine.tokensByPart.get(hash) ?? 0)
    engine.tokensByPart.delete(hash)
    if (tokens > 0) engine.tokensByPart.set(hash, tokens)
    for (const [oldest, oldestTokens] of engine.tokensByPart) {
      if (engine.total <= capacityTokens || oldest === hash) break
      engine.tokensByPart.delete(oldest)
      engine.total -= oldestTokens
    }
  }
}

function hashPart(model: string, partId: string): number {
  return hashText(`${model}\u0000${partId}`)
}
