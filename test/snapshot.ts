/** Snapshots of tests: text files in test/snapshots that are committed and compared with the output of a test. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const FOLDER = fileURLToPath(new URL('../../test/snapshots/', import.meta.url));

/** Collects the lines of a test's output and compares them with a snapshot. */
export class Snapshot {
  private readonly lines: string[] = [];

  constructor(private readonly name: string) {}

  /** Adds a line. */
  add(line: string): void {
    this.lines.push(line);
  }

  /** Compares the lines with the snapshot, or rewrites it if `UPDATE_SNAPSHOTS` is set. A missing snapshot fails. */
  check(): void {
    const path = `${FOLDER}${this.name}.txt`;
    const text = `${this.lines.join('\n')}\n`;
    if (process.env.UPDATE_SNAPSHOTS) writeFileSync(path, text);
    const expected = existsSync(path) ? readFileSync(path, 'utf8') : '(no snapshot)';
    expect(text).to.equal(expected);
  }
}
