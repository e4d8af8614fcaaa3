/** The record store of a simulated fleet: snapshots, changes after a revision, and reads that wait for a change. */
import type {
  RecordCollection,
  RecordRead,
  RecordReadResult,
  StoredRecord,
} from '../src/fleet/record-store.js';
import type { VirtualTime } from './virtual-time.js';

/** Receives the answer to a read, at the time at which the store makes it. */
type AnswerListener = (result: RecordReadResult) => void;

/** Records with revisions from one counter. */
export class SimulatedRecordStore {
  private readonly records = new Map<string, StoredRecord>();
  private readonly log: StoredRecord[] = [];
  /** Answers each waiting read if there is a change for it. */
  private readonly waitingReads = new Set<() => void>();
  private revision = 0;

  constructor(private readonly time: VirtualTime) {}

  /** Writes a record, or removes it if its value is undefined. Returns the new revision. */
  write(record: StoredRecord): number {
    this.revision += 1;
    const written = { ...record, revision: this.revision };
    const key = written.collection === 'backends' ? written.id : 'configuration';
    if (written.value === undefined) this.records.delete(key);
    else this.records.set(key, written);
    this.log.push(written);
    for (const answer of [...this.waitingReads]) answer();
    return this.revision;
  }

  /** Answers a read: at once, or when there is a change or the wait ends. */
  read({ collection, after, waitMs }: RecordRead, onAnswer: AnswerListener): void {
    if (after !== undefined) {
      this.waitForChanges(collection, after, waitMs, onAnswer);
      return;
    }
    const records = [...this.records.values()].filter((record) => record.collection === collection);
    onAnswer({ kind: 'snapshot', revision: this.revision, records, storeMs: this.time.now() });
  }

  private waitForChanges(
    collection: RecordCollection,
    after: number,
    waitMs: number,
    onAnswer: AnswerListener,
  ): void {
    const until = this.time.now() + waitMs;
    let isAnswered = false;
    const answer = (): void => {
      const records = this.log.filter(
        (record) => record.collection === collection && record.revision > after,
      );
      if (isAnswered || (records.length === 0 && this.time.now() < until)) return;
      isAnswered = true;
      this.waitingReads.delete(answer);
      onAnswer({ kind: 'changes', revision: this.revision, records, storeMs: this.time.now() });
    };
    this.waitingReads.add(answer);
    this.time.after(waitMs, answer);
    answer();
  }
}
