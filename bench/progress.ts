/** Progress of long runs, on standard error. */

/** Says what a bench is doing. */
export function progress(text: string): void {
  process.stderr.write(`${text}\n`);
}
