/** Splits text that arrives in chunks into lines. */

/** Splitter of one connection. */
export class LineSplitter {
  /** The parts of the line that is not complete. */
  private partial: string[] = [];
  private partialLength = 0;

  /** @param maximumLength longest line that is accepted, in characters. */
  constructor(private readonly maximumLength: number) {}

  /** Adds a chunk and returns the lines that are now complete; undefined when a line is too long. */
  push(chunk: string): string[] | undefined {
    const [first, ...others] = chunk.split('\n');
    this.addPart(first);
    const lines: string[] = [];
    for (const part of others) {
      if (this.partialLength > this.maximumLength) return undefined;
      lines.push(this.partial.join(''));
      this.partial = [];
      this.partialLength = 0;
      this.addPart(part);
    }
    return this.partialLength > this.maximumLength ? undefined : lines;
  }

  private addPart(part: string): void {
    this.partial.push(part);
    this.partialLength += part.length;
  }
}
