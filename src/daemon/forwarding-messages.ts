/**
 * The events and effects of the state machine of a forwarding daemon. Owns these types; the messages between
 * daemons are in peer-messages.ts.
 */
import type { EngineStatus, StageOrder, StageOrderResult } from '../allocation/engine-orders.js';
import type { DutyAuthority, DutyCall, DutyResult } from '../duties/duty-messages.js';
import type { RecordCollection, RecordRead, RecordReadResult } from '../fleet/record-store.js';
import type { ForwardAttemptEvent, ForwardEffect } from '../forwarding/forward-messages.js';
import type { BackendSignals } from '../forwarding/backends/backend-signals.js';
import type { ForwardRequest } from '../forwarding/forward-request.js';
import type { KvChanges, KvChangesCall } from '../forwarding/kv-cache/kv-follower.js';
import type { BackendCheck, BackendIncarnation } from '../quarantine/crash-detector.js';
import type { HealthProbe } from '../forwarding/backends/health-prober.js';
import type { BackendRecord, RouteConfiguration } from '../forwarding/routes/route.js';
import type { TableRequest, TableResult } from '../contracts/table-service.js';
import type { ChangeEffect } from './change-log.js';
import type { PeerMessage } from './peer-messages.js';

/** Events that the daemon handles. */
export type ForwardingEvent =
  /** `wallMs` is the machine's wall-clock time. Milliseconds. */
  | { readonly kind: 'tick'; readonly wallMs: number }
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
  | { readonly kind: 'recordsRead'; readonly collection: RecordCollection; readonly result: RecordReadResult }
  | { readonly kind: 'submit'; readonly request: ForwardRequest }
  | { readonly kind: 'cancel'; readonly requestId: string }
  /** The handling of the request has failed by an exception. */
  | { readonly kind: 'requestFaulted'; readonly requestId: string }
  | {
      readonly kind: 'attempt';
      readonly requestId: string;
      readonly attemptId: string;
      readonly event: ForwardAttemptEvent;
    }
  | { readonly kind: 'probed'; readonly backendId: string; readonly succeeded: boolean }
  /**
   * What a back end reports about itself in its answer to a call by the daemon itself, sent at `sentAt`
   * (monotonic milliseconds). `isHealthCheck`: the call was a health check, and the back end is healthy.
   */
  | {
      readonly kind: 'backendSignalled';
      readonly backend: BackendRecord;
      readonly signals: BackendSignals;
      readonly sentAt: number;
      readonly isHealthCheck: boolean;
    }
  | {
      readonly kind: 'backendChecked';
      readonly backend: BackendIncarnation;
      readonly check: BackendCheck;
      /** Peer address through which it was checked; undefined for a direct check. */
      readonly via?: string | undefined;
    }
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
  /** The process stops soon and accepts no new requests. */
  | { readonly kind: 'closeForNew' }
  /** The process exits now: every open request is answered with a failure. */
  | { readonly kind: 'endRequests' };

/** Effects that the daemon requests. */
export type ForwardingEffect =
  | ForwardEffect
  | ChangeEffect
  | { readonly kind: 'sendPeer'; readonly address: string; readonly message: PeerMessage }
  | { readonly kind: 'readRecords'; readonly read: RecordRead }
  | { readonly kind: 'probeBackend'; readonly probe: HealthProbe; readonly healthPath: string }
  | { readonly kind: 'readKvChanges'; readonly call: KvChangesCall }
  | {
      readonly kind: 'checkBackend';
      readonly backend: BackendIncarnation;
      /** Peer address through which it is checked; undefined for a direct check. */
      readonly via?: string | undefined;
    }
  | { readonly kind: 'quarantineTable'; readonly request: TableRequest }
  | { readonly kind: 'leaseTable'; readonly cell: string; readonly request: TableRequest }
  | { readonly kind: 'usageTable'; readonly window: number; readonly request: TableRequest }
  | { readonly kind: 'callDuty'; readonly call: DutyCall; readonly authority: DutyAuthority }
  | { readonly kind: 'askEngine'; readonly backend: BackendRecord }
  | { readonly kind: 'orderEngine'; readonly order: StageOrder }
  | { readonly kind: 'configurationInForce'; readonly configuration: RouteConfiguration }
  | { readonly kind: 'backendGone'; readonly backendId: string }
  /** Close the tunnels through the peer at this address; requests in flight finish. */
  | { readonly kind: 'closeTunnels'; readonly via: string };
