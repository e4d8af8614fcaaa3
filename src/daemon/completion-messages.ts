/**
 * The events, effects and status of the state machine of a daemon that serves completions. Owns these types;
 * the messages between daemons are in peer-messages.ts.
 */
import type { ServiceRow, VersionedRow } from '../configuration/service-row.js';
import type {
  AttemptEvent,
  EngineControlRequest,
  EngineControlResult,
} from '../contracts/engine-protocol.js';
import type { PulleyledgeError } from '../errors/index.js';
import type { BackendCheck, CheckBackend, BackendIncarnation } from '../quarantine/crash-detector.js';
import type { MachineListing } from '../contracts/machine-list.js';
import type { TableRequest, TableResult } from '../contracts/table-service.js';
import type {
  ApplicationCall,
  ApplicationEffect,
  ApplicationEvent,
} from '../routing/application-messages.js';
import type { CompletionEffect } from '../routing/completion-effects.js';
import type { CompletionRequest } from '../routing/completion-request.js';
import type { EngineSummary } from '../routing/engine-directory.js';
import type { PeerMessage } from './peer-messages.js';

/** An operator's edit of one row. `row` is null to delete it. */
export interface RowEdit {
  readonly name: string;
  readonly expectedRevision: number;
  readonly row: ServiceRow | null;
}

/** The machine that a table request belongs to; its answer is dispatched by this tag. */
export type TableTag =
  | { readonly kind: 'configuration' }
  | { readonly kind: 'ledger' }
  | { readonly kind: 'lease'; readonly cell: string }
  | { readonly kind: 'quarantine' }
  | { readonly kind: 'edit'; readonly editId: string };

/** The part of the daemon that sent a control request to an engine. */
export type ControlPurpose = 'coordinator' | 'directory';

/** Events that the daemon handles. */
export type CompletionDaemonEvent =
  /** `wallMs` is the machine's wall-clock time. Milliseconds. */
  | { readonly kind: 'tick'; readonly wallMs?: number }
  /**
   * The machine was suspended for `forMs`, which the monotonic clock of these events did not count.
   * Milliseconds.
   */
  | { readonly kind: 'clockStoodStill'; readonly forMs: number }
  | {
      readonly kind: 'peerMessage';
      readonly fromId: string;
      readonly fromAddress: string;
      readonly message: PeerMessage;
    }
  | { readonly kind: 'tableResult'; readonly tag: TableTag; readonly result: TableResult }
  /** The machine list, or undefined when the request for it failed. */
  | { readonly kind: 'machineListing'; readonly listing: MachineListing | undefined }
  | {
      readonly kind: 'engineControlResult';
      readonly purpose: ControlPurpose;
      readonly cell: string;
      readonly engineId: string;
      readonly result: EngineControlResult;
    }
  | { readonly kind: 'submitCompletion'; readonly request: CompletionRequest }
  | { readonly kind: 'submitApplication'; readonly call: ApplicationCall }
  | { readonly kind: 'cancelRequest'; readonly requestId: string }
  | {
      readonly kind: 'attemptEvent';
      readonly requestId: string;
      readonly attemptId: string;
      readonly event: AttemptEvent;
    }
  | {
      readonly kind: 'applicationEvent';
      readonly requestId: string;
      readonly attemptId: string;
      readonly event: ApplicationEvent;
    }
  | { readonly kind: 'backendChecked'; readonly backend: BackendIncarnation; readonly check: BackendCheck }
  | { readonly kind: 'editServices'; readonly editId: string; readonly edits: readonly RowEdit[] }
  | { readonly kind: 'beginDrain' };

/** Effects that the daemon requests. */
export type CompletionDaemonEffect =
  | { readonly kind: 'sendPeer'; readonly address: string; readonly message: PeerMessage }
  | { readonly kind: 'tableRequest'; readonly tag: TableTag; readonly request: TableRequest }
  | { readonly kind: 'listMachines'; readonly cells: readonly string[] }
  | CheckBackend
  | {
      readonly kind: 'engineControl';
      readonly purpose: ControlPurpose;
      readonly cell: string;
      readonly engineId: string;
      readonly address: string;
      readonly request: EngineControlRequest;
    }
  | { readonly kind: 'editAccepted'; readonly editId: string; readonly revision: number }
  | { readonly kind: 'editFailed'; readonly editId: string; readonly error: PulleyledgeError }
  | { readonly kind: 'log'; readonly event: LogEvent; readonly fields: Readonly<Record<string, unknown>> }
  | Exclude<CompletionEffect, { kind: 'completionOver' }>
  | Exclude<ApplicationEffect, { kind: 'applicationOver' }>;

/** Stable names of log events. */
type LogEvent =
  | 'member.changed'
  | 'configuration.changed'
  | 'lease.acquired'
  | 'lease.lost'
  | 'order.given'
  | 'change.finished'
  | 'drain.started'
  | 'backend.ended'
  | 'request.quarantined'
  | 'request.released'
  | 'edit.accepted'
  | 'edit.failed';

/** The status document of a daemon that `pulleyledge status` shows. */
export interface CompletionDaemonStatus {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly ready: boolean;
  readonly draining: boolean;
  readonly reason: string;
  readonly configurationRevision: number;
  readonly configurationAgeMs: number;
  readonly members: readonly { id: string; address: string; zone: string; state: string }[];
  readonly engines: readonly EngineSummary[];
  readonly leases: readonly { cell: string; holder: string; epoch: number; heldHere: boolean }[];
  readonly limits: readonly { service: string; held: number; waiting: number }[];
  readonly requests: { readonly active: number; readonly waiting: number; readonly applicationCalls: number };
  readonly roleChanges: number;
  readonly services: readonly VersionedRow[];
}
