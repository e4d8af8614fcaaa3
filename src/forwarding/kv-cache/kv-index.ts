/// Which prompt parts each engine keeps in its KV cache, as far as this daemon knows: from what it had
/// computed itself, from what its peers had computed, and from the changes that engines tell. A part saves
/// its tokens only where every part before it is kept too.
import {hashText} from "../../shared/rendezvous-hash.js"
import type {PromptOutline} from "../forward-request.js"

/// A part that was computed somewhere, in the form that travels: engine, hash of the part, tokens.
export type PartPlacement = [engineId: string, partHash: number, tokens: number]

/// A change that an engine told of its cache: the part now keeps so many tokens there, 0 for none.
export interface KvChange {
  readonly model: string
  readonly partId: string
  readonly tokens: number
}

/// Placements kept for the next digest at most.
const MAXIMUM_RECENT = 128
/// Shorter parts are not told: to compute 256 tokens takes some 5 ms, and short prompts are by far the most.
const MINIMUM_TOLD_TOKENS = 256

interface HashedPart {
  readonly hash: number
  readonly tokens: number
}

/// Parts of one engine in order of last use, with the tokens kept.
interface EngineParts {
  readonly tokensByPart: Map<number, number>
  total: number
  /// The engine's own changes are followed: what peers say of it is older.
  followed: boolean
}

/// The index of one daemon.
export class KvIndex {
  private readonly engines = new Map<string, EngineParts>()
  private readonly hashed = new WeakMap<PromptOutline, readonly HashedPart[]>()
  private recent: PartPlacement[] = []

  /// This daemon had a prompt computed at the engine. Its own part is of use to nobody else.
  addComputedPrompt(engineId: string, prompt: PromptOutline, capacityTokens: number): void {
    for (const {hash, tokens} of this.getSharedParts(prompt)) {
      if (tokens >= MINIMUM_TOLD_TOKENS) this.recent.push([engineId, hash, tokens])
      this.setTokens(this.getParts(engineId), hash, tokens, capacityTokens)
    }
    this.recent.splice(0, this.recent.length - MAXIMUM_RECENT)
  }

  /// A peer had such a part computed.
  applyPeerPlacement([engineId, hash, tokens]: PartPlacement, capacityTokens: number): void {
    const engine = this.getParts(engineId)
    if (!engine.followed) this.setTokens(engine, hash, tokens, capacityTokens)
  }

  /// The engine told of a change.
  applyChange(engineId: string, {model, partId, tokens}: KvChange, capacityTokens: number): void {
    this.setTokens(this.getParts(engineId), hashPart(model, partId), tokens, capacityTokens)
  }

  /// Whether the engine's own changes are followed from now on.
  setFollowed(engineId: string, followed: boolean): void {
    this.getParts(engineId).followed = followed
  }

  /// What this daemon had computed since the last call.
  takeRecentPlacements(): PartPlacement[] {
    const {recent} = this
    this.recent = []
    return recent
  }

  /// Tokens of the prompt, from its beginning, that the engine is believed to keep.
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

  /// The engine has lost its cache, or is gone.
  removeEngine(engineId: string): void {
    this.engines.delete(engineId)
  }

  /// Parts that other requests may share: all but the last, which is the request's own. Every engine is
  /// looked up for a prompt, some of them twice: the parts are hashed once.
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

  /// What was used longest ago gives way, as in the engine.
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
