/** Which shared prompt parts an engine is believed to keep in its KV cache, from what this daemon sent there. */

interface EnginePrefixes {
  /** Keys in order of last use, with their tokens. */
  readonly tokensByKey: Map<string, number>;
  total: number;
}

/** The index of one daemon. */
export class PrefixIndex {
  private readonly engines = new Map<string, EnginePrefixes>();

  /** @param capacityShare share of an engine's cache that this daemon counts on */
  constructor(private readonly capacityShare: number) {}

  /** A prompt with this shared key was computed at the engine. */
  used(engineId: string, key: string, tokens: number, capacityTokens: number): void {
    let engine = this.engines.get(engineId);
    if (!engine) {
      engine = { tokensByKey: new Map(), total: 0 };
      this.engines.set(engineId, engine);
    }
    engine.total += tokens - (engine.tokensByKey.get(key) ?? 0);
    engine.tokensByKey.delete(key);
    engine.tokensByKey.set(key, tokens);
    for (const [oldest, oldestTokens] of engine.tokensByKey) {
      if (engine.total <= capacityTokens * this.capacityShare || oldest === key) break;
      engine.tokensByKey.delete(oldest);
      engine.total -= oldestTokens;
    }
  }

  /** Whether the engine is believed to keep the key's parts. */
  has(engineId: string, key: string): boolean {
    return this.engines.get(engineId)?.tokensByKey.has(key) ?? false;
  }

  /** The engine is gone, and its cache with it. */
  forget(engineId: string): void {
    this.engines.delete(engineId);
  }
}
