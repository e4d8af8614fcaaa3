/// The interface through which a daemon reads the operator's configuration and the list of back ends from the
/// platform's table store. Contract: every record carries the revision of the transaction that wrote it, taken
/// from one increasing counter; a snapshot may be old; changes come in order; a read after a revision whose
/// history was dropped is answered with `historyGone`.
import type {StoredRecord} from "./fleet-messages.js"

export type {StoredRecord}

/// The collections that a daemon reads.
export type RecordCollection = "configuration" | "backends"

/// A read of everything, or of the changes after a revision.
export interface RecordRead {
  readonly collection: RecordCollection
  /// The revision after which changes are read; undefined reads a snapshot.
  readonly after: number | undefined
  /// How long the store may wait for a change before it answers. Milliseconds.
  readonly waitMs: number
  /// The read fails when there is no answer this long after `waitMs`. Milliseconds.
  readonly answerTimeoutMs: number
}

/// Records and revision of an answer of the store.
export interface RecordAnswer {
  readonly revision: number
  readonly records: readonly StoredRecord[]
  /// The store's monotonic clock at the answer. Milliseconds. It orders answers to different daemons;
  /// undefined when the store does not send it.
  readonly storeMs?: number | undefined
}

/// The answer to a read.
export type RecordReadResult =
  | ({readonly kind: "snapshot"} & RecordAnswer)
  | ({readonly kind: "changes"} & RecordAnswer)
  /// The store no longer has the changes after that revision.
  | {readonly kind: "historyGone"}
  /// The store rejected the read.
  | {readonly kind: "rejected"; readonly status: number}
  | {readonly kind: "noAnswer"; readonly reason: string}

/// Reads records. Never throws: a failure is a `RecordReadResult`.
export abstract class RecordStore {
  abstract read(request: RecordRead): Promise<RecordReadResult>
}
