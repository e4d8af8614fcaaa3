/** Splits text that arrives in chunks into lines. */

/** Splitter of one connection. */
export class LineSplitter {
  private partialLine = '';

  /** @param maximumLength longest line that is accepted, in characters. */
  constructor(private readonly maximumLength: number) {}

  /** Adds a chunk and returns the lines that are now complete; undefined when a line is too long. */
  push(chunk: string): string[] | undefined {
    const lines = (this.partialLine + chunk).split('\n');
    this.partialLine = lines.pop() ?? '';
    const longest = Math.max(this.partialLine.length, ...lines.map((line) => line.length));
    return longest > this.maximumLength ? undefined : lines;
  }
}
