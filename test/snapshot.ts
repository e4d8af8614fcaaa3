/** Compares what a test has written with the committed snapshot of that name. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';

const FOLDER = fileURLToPath(new URL('../../test/snapshots/', import.meta.url));

/** Lines that a test writes, compared at its end. */
export class Snapshot {
  private readonly lines: string[] = [];

  constructor(private readonly name: string) {}

  /** Adds a line. */
  add(line: string): void {
    this.lines.push(line);
  }

  /** Compares, or writes the snapshot anew when `UPDATE_SNAPSHOTS` is set. A missing snapshot fails. */
  check(): void {
    const path = `${FOLDER}${this.name}.txt`;
    const text = `${this.lines.join('\n')}\n`;
    if (process.env.UPDATE_SNAPSHOTS) writeFileSync(path, text);
    const expected = existsSync(path) ? readFileSync(path, 'utf8') : '(no snapshot)';
    expect(text).to.equal(expected);
  }
}
