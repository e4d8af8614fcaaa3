/** The daemons of a simulated fleet, and what callers and back ends see of them. */
import type { ForwardingDaemon } from '../src/daemon/forwarding-daemon.js';
import type { RecordCollection } from '../src/fleet/record-store.js';
import type { ForwardRequest } from '../src/forwarding/forward-request.js';

/** What the store does to one daemon. */
export type StoreAccess = 'serves' | 'refuses' | 'silent' | 'appliesLate';

/** One daemon of the fleet. */
export interface FleetNode {
  /** Another one after each restart. */
  id: string;
  readonly address: string;
  readonly zone: string;
  daemon: ForwardingDaemon;
  starts: number;
  access: StoreAccess;
  /** Collections whose connection to the store has fallen silent: the next read is lost, a new one works. */
  readonly silentConnections: Set<RecordCollection>;
  /** Neither sends nor receives. */
  down: boolean;
  /** Stands still: what arrives is handled when it goes on. */
  paused: boolean;
  /** How far its time of day is off. Milliseconds. */
  clockErrorMs: number;
  /** Reads that the store has seen from it. */
  reads: number;
  /** When each configuration came into force here, by version. */
  readonly inForceAt: Map<number, number>;
  /** When each back end was last seen to change, by id: its state, or that it is gone. */
  readonly backendStates: Map<string, { state: string; at: number }>;
  /** Back ends that were removed here, in order. */
  readonly removals: string[];
  /** Answers of its own, with the time to come back that they told. */
  readonly refusals: { requestId: string; status: number; retryAfterMs: number | undefined; at: number }[];
}

/** An attempt that a daemon has started; nobody answers it unless the test does. */
export interface StartedAttempt {
  readonly node: FleetNode;
  readonly requestId: string;
  readonly attemptId: string;
  readonly backendId: string;
}

/** What a caller says of itself and of what it asks. */
export type CallerFields = Pick<ForwardRequest, 'keyDigest' | 'contentDigest' | 'callerAddress'> &
  Partial<Pick<ForwardRequest, 'prompt' | 'bodyBytes' | 'usageTokens' | 'callerDeadlineMs'>>;
