/** The state that a simulated fleet keeps of its daemons and of the attempts that they start. */
import type { ForwardingDaemon } from '../src/daemon/forwarding-daemon.js';
import type { RecordCollection } from '../src/fleet/record-store.js';
import type { ForwardRequest } from '../src/forwarding/forward-request.js';

/** How the store handles the calls of one daemon. */
export type StoreAccess = 'serves' | 'refuses' | 'silent' | 'appliesLate';

/** One daemon of the fleet. */
export interface FleetNode {
  /** Changes with each restart. */
  id: string;
  readonly address: string;
  readonly zone: string;
  daemon: ForwardingDaemon;
  starts: number;
  access: StoreAccess;
  /** Collections whose store connection is half-open: the next read gets no answer; one on a new connection works. */
  readonly silentConnections: Set<RecordCollection>;
  /** The process is not running: it neither sends nor receives. */
  down: boolean;
  /** The process is paused: events are handled after it resumes. */
  paused: boolean;
  /** Error of its wall clock. Milliseconds. */
  clockErrorMs: number;
  /** Reads that it has sent to the store. */
  reads: number;
  /** When each configuration came into force at this daemon, by version. */
  readonly inForceAt: Map<number, number>;
  /** The last change of each back end that this daemon saw, by id: its state, or `gone`. */
  readonly backendStates: Map<string, { state: string; at: number }>;
  /** Ids of the back ends that this daemon removed, in order. */
  readonly removals: string[];
  /** Requests that the daemon refused itself, with the retry time that it gave. */
  readonly refusals: { requestId: string; status: number; retryAfterMs: number | undefined; at: number }[];
  /** Its log lines about configurations that came into force and requests that it refused. */
  readonly logLines: { event: string; fields: Readonly<Record<string, unknown>> }[];
}

/** An attempt that a daemon has started; it stays unanswered unless the test answers it. */
export interface StartedAttempt {
  readonly node: FleetNode;
  readonly requestId: string;
  readonly attemptId: string;
  readonly backendId: string;
  /** Whether the engine only computes the prompt. */
  readonly prefillOnly: boolean;
}

/** Fields of a request that a test may set. */
export type CallerFields = Pick<ForwardRequest, 'keyDigest' | 'contentDigest' | 'callerAddress'> &
  Partial<Pick<ForwardRequest, 'prompt' | 'bodyBytes' | 'usageTokens' | 'callerDeadlineMs' | 'resumption'>>;
