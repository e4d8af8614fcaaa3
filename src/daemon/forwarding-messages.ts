/**
 * What goes into the state machine of a forwarding daemon and what comes out of it: events and effects. Owns
 * these types; messages that travel between daemons are in peer-messages.ts.
 */
import type { EngineStatus, StageOrder, StageOrderResult } from '../allocation/engine-orders.js';
import type { DutyAuthority, DutyCall, DutyResult } from '../duties/duty-messages.js';
import type { RecordCollection, RecordRead, RecordReadResult } from '../fleet/record-store.js';
import type { ForwardAttemptEvent, ForwardEffect } from '../forwarding/forward-messages.js';
import type { BackendSignals } from '../forwarding/backends/backend-signals.js';
import type { ForwardRequest } from '../forwarding/forward-request.js';
import type { KvChanges, KvChangesCall } from '../forwarding/kv-cache/kv-follower.js';
import type { BackendCheck, BackendIncarnation } from '../quarantine/break-watch.js';
import type { HealthProbe } from '../forwarding/backends/health-prober.js';
import type { BackendRecord, RouteConfiguration } from '../forwarding/routes/route.js';
import type { TableRequest, TableResult } from '../contracts/table-service.js';
import type { ChangeEffect } from './change-log.js';
import type { PeerMessage } from './peer-messages.js';

/** What goes in. */
export type ForwardingEvent =
  /** `wallMs` is the machine's time of day. Milliseconds. */
  | { readonly kind: 'tick'; readonly wallMs: number }
  /**
   * The machine was suspended for so long, which the clock that times these events has not counted.
   * Milliseconds.
   */
  | { readonly kind: 'clockStoodStill'; readonly forMs: number }
  | {
      readonly kind: 'peerMessage';
      readonly fromId: string;
      readonly fromAddress: string;
      readonly message: PeerMessage;
    }
  | { readonly kind: 'recordsRead'; readonly collection: RecordCollection; readonly result: RecordReadResult }
  | { readonly kind: 'submit'; readonly request: ForwardRequest }
  | { readonly kind: 'cancel'; readonly requestId: string }
  | {
      readonly kind: 'attempt';
      readonly requestId: string;
      readonly attemptId: string;
      readonly event: ForwardAttemptEvent;
    }
  | { readonly kind: 'probed'; readonly backendId: string; readonly well: boolean }
  /**
   * What a back end says of itself in the answer to a call of the daemon's own, which was sent at `sentAt`. Monotonic
   * milliseconds. `isHealthCheck`: it was a health check, and the back end is well.
   */
  | {
      readonly kind: 'backendSignalled';
      readonly backend: BackendRecord;
      readonly signals: BackendSignals;
      readonly sentAt: number;
      readonly isHealthCheck: boolean;
    }
  | { readonly kind: 'backendChecked'; readonly backend: BackendIncarnation; readonly check: BackendCheck }
  | { readonly kind: 'quarantineTableResult'; readonly result: TableResult }
  | { readonly kind: 'leaseTableResult'; readonly cell: string; readonly result: TableResult }
  | { readonly kind: 'usageTableResult'; readonly window: number; readonly result: TableResult }
  | { readonly kind: 'dutyResult'; readonly call: DutyCall; readonly result: DutyResult }
  | {
      readonly kind: 'engineStatus';
      readonly backend: BackendRecord;
      readonly status: EngineStatus | undefined;
    }
  | { readonly kind: 'orderResult'; readonly order: StageOrder; readonly result: StageOrderResult }
  | {
      readonly kind: 'kvChangesRead';
      readonly backend: BackendRecord;
      readonly answer: KvChanges | undefined;
    }
  | { readonly kind: 'beginDrain' }
  /** The process will end too soon for new requests. */
  | { readonly kind: 'closeForNew' };

/** What comes out. */
export type ForwardingEffect =
  | ForwardEffect
  | ChangeEffect
  | { readonly kind: 'sendPeer'; readonly address: string; readonly message: PeerMessage }
  | { readonly kind: 'readRecords'; readonly read: RecordRead }
  | { readonly kind: 'probeBackend'; readonly probe: HealthProbe; readonly healthPath: string }
  | { readonly kind: 'readKvChanges'; readonly call: KvChangesCall }
  | { readonly kind: 'checkBackend'; readonly backend: BackendIncarnation }
  | { readonly kind: 'quarantineTable'; readonly request: TableRequest }
  | { readonly kind: 'leaseTable'; readonly cell: string; readonly request: TableRequest }
  | { readonly kind: 'usageTable'; readonly window: number; readonly request: TableRequest }
  | { readonly kind: 'callDuty'; readonly call: DutyCall; readonly authority: DutyAuthority }
  | { readonly kind: 'askEngine'; readonly backend: BackendRecord }
  | { readonly kind: 'orderEngine'; readonly order: StageOrder }
  | { readonly kind: 'configurationInForce'; readonly configuration: RouteConfiguration }
  | { readonly kind: 'backendGone'; readonly backendId: string };
