/**
 * Paces the reading of long answers, so that a server that sends bytes without end cannot hold the event loop, and
 * bounds the memory for those that are buffered. All attempts of a process share one pace.
 */

/** Bytes that all long answers together may be read in one interval. With the interval: some 50 MB a second. */
const BYTES_PER_INTERVAL = 256 * 1024;
/** Milliseconds. */
const INTERVAL_MS = 5;
/** An answer is long from this size on; shorter ones are read at once. Bytes. */
const SHORT_ANSWER_BYTES = 128 * 1024;
/** What a shorter chunk counts as: handling one takes as long as reading so many bytes. */
const MINIMUM_CHUNK_BYTES = 512;
/** Memory for all buffered answers of a process. Bytes. */
const MAXIMUM_TOTAL_BUFFERED_BYTES = 64 * 1024 * 1024;

/** An answer that is being read. */
export interface PacedReader {
  /** Bytes received so far, each chunk counted as at least `MINIMUM_CHUNK_BYTES`; written by the pace. */
  receivedCost: number;
  pause(): void;
  resume(): void;
}

/** The pace of one process. */
export class ReadPace {
  private usedBytes = 0;
  private bufferedBytes = 0;
  private readonly paused = new Set<PacedReader>();
  private timer: NodeJS.Timeout | undefined;

  /** A reader has received a chunk; one that may not read on in this interval is paused. */
  addReceived(reader: PacedReader, bytes: number): void {
    const cost = Math.max(bytes, MINIMUM_CHUNK_BYTES);
    reader.receivedCost += cost;
    if (reader.receivedCost <= SHORT_ANSWER_BYTES) return;
    this.usedBytes += cost;
    this.timer ??= setTimeout(() => this.startInterval(), INTERVAL_MS);
    if (this.usedBytes < BYTES_PER_INTERVAL) return;
    reader.pause();
    this.paused.add(reader);
  }

  /** Reserves memory for a part of an answer; false if there is none left. */
  tryBuffer(bytes: number): boolean {
    if (this.bufferedBytes + bytes > MAXIMUM_TOTAL_BUFFERED_BYTES) return false;
    this.bufferedBytes += bytes;
    return true;
  }

  /** Returns memory that was reserved. */
  release(bytes: number): void {
    this.bufferedBytes -= bytes;
  }

  /** The answer of a reader is over. */
  remove(reader: PacedReader): void {
    this.paused.delete(reader);
  }

  /**
   * Resumes as many readers as may read in this interval: one that is resumed and paused at once copies what its
   * connection has received.
   */
  private startInterval(): void {
    this.timer = undefined;
    this.usedBytes = 0;
    const waiting = [...this.paused];
    this.paused.clear();
    while (this.usedBytes < BYTES_PER_INTERVAL) {
      const reader = waiting.shift();
      if (!reader) break;
      reader.resume();
    }
    const pausedAgain = [...this.paused];
    this.paused.clear();
    for (const reader of [...waiting, ...pausedAgain]) this.paused.add(reader);
    if (this.paused.size > 0) this.timer ??= setTimeout(() => this.startInterval(), INTERVAL_MS);
  }
}
