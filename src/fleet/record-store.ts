/// The operator's configuration and the list of back ends as a daemon reads them from a shared store.
/// Contract: every record carries the version of the transaction that wrote it, drawn from one rising
/// counter; a snapshot may be old, changes come in order, and a history that is gone is said so.
import type {StoredRecord} from "./fleet-messages.js"

export type {StoredRecord}

/// What is read.
export type RecordCollection = "configuration" | "backends"

/// A read: of everything, or of what changed after a revision, waiting a while for a change.
export interface RecordRead {
  readonly collection: RecordCollection
  readonly after: number | undefined
  /// Milliseconds.
  readonly waitMs: number
  /// An answer so much later than the wait counts as lost. Milliseconds.
  readonly answerTimeoutMs: number
}

/// Records as the store gave them.
interface RecordAnswer {
  readonly revision: number
  readonly records: readonly StoredRecord[]
  /// The store's own steady clock at the answer. Milliseconds. It orders answers to different daemons;
  /// undefined when the store does not tell.
  readonly storeMs?: number | undefined
}

/// The answer to a read.
export type RecordReadResult =
  | ({readonly kind: "snapshot"} & RecordAnswer)
  | ({readonly kind: "changes"} & RecordAnswer)
  /// The changes after that revision are no longer known.
  | {readonly kind: "historyGone"}
  /// The store turned the call away.
  | {readonly kind: "rejected"; readonly status: number}
  | {readonly kind: "noAnswer"; readonly reason: string}

/// Reads records. Never throws: a failure is a result.
export abstract class RecordStore {
  abstract read(request: RecordRead): Promise<RecordReadResult>
}
