/** Cuts text that arrives in chunks into lines. */

/** The splitter of one connection. */
export class LineSplitter {
  private rest = '';

  /** @param maximumLength longest line that is taken, in characters. */
  constructor(private readonly maximumLength: number) {}

  /** Takes a chunk and gives the lines that are whole now; undefined when a line is too long. */
  push(chunk: string): string[] | undefined {
    const lines = (this.rest + chunk).split('\n');
    this.rest = lines.pop() ?? '';
    const longest = Math.max(this.rest.length, ...lines.map((line) => line.length));
    return longest > this.maximumLength ? undefined : lines;
  }
}
