/**
 * Collects the parts of a text that arrives in pieces of any size. A piece costs far more memory than its bytes if it
 * has few, so small ones are joined as they come: each byte is copied once for each level, and a level holds few.
 */

/** Parts of one level; so many are joined into one of the next. */
const LEVEL_SIZE = 256;

/** The parts of one text. */
export class ByteParts {
  /** From the newest parts to the oldest ones. */
  private readonly levels: Uint8Array[][] = [];
  private bytes = 0;

  /** Bytes collected. */
  get length(): number {
    return this.bytes;
  }

  /** Number of separate parts in memory; grows with the logarithm of the number of parts added. */
  get partCount(): number {
    return this.levels.reduce((sum, parts) => sum + parts.length, 0);
  }

  /** Adds a copy of a part, which may be a small view of a large buffer. */
  add(part: Uint8Array): void {
    this.bytes += part.length;
    this.addToLevel(0, Buffer.from(part));
  }

  /** All parts in one buffer. */
  join(): Buffer {
    return Buffer.concat([...this.levels].reverse().flat());
  }

  /** Removes all parts. */
  clear(): void {
    this.levels.length = 0;
    this.bytes = 0;
  }

  private addToLevel(level: number, part: Uint8Array): void {
    const parts = (this.levels[level] ??= []);
    parts.push(part);
    if (parts.length < LEVEL_SIZE) return;
    this.levels[level] = [];
    this.addToLevel(level + 1, Buffer.concat(parts));
  }
}
