/** The state of one completion in a daemon. */
import type { ServiceRow } from '../configuration/service-row.js';
import type { KvHandle } from '../engine/engine-protocol.js';
import type { NotRun } from '../errors/index.js';
import type { QueueItem } from './admission-queue.js';
import type { AttemptStage } from './completion-effects.js';
import type { CompletionRequest } from './completion-request.js';
import type { EngineView } from './engine-directory.js';
import type { RoutePlan } from './engine-picker.js';

/** The attempt that a request has at an engine. */
export interface LiveAttempt {
  readonly attemptId: string;
  readonly engine: EngineView;
  readonly stage: AttemptStage;
  readonly plan: RoutePlan;
  readonly startedAt: number;
  lastEventAt: number;
}

/** A request in hand. */
export interface Session {
  readonly request: CompletionRequest;
  readonly row: ServiceRow;
  readonly deadlineAt: number;
  readonly item: QueueItem;
  attempt: LiveAttempt | undefined;
  attemptCount: number;
  /** Attempts that an engine may have worked on. */
  brokenAttempts: number;
  mayHaveRun: boolean;
  readonly produced: string[];
  kv: KvHandle | undefined;
  excluded: Set<string>;
  queuedAt: number;
  /** Engines turned it away this often in a row; it then waits a moment. */
  refusals: number;
  retryAt: number;
}

/** What may truthfully be said of a request: false once tokens came, true only if no engine can have begun. */
export function notRunOf(session: Session): NotRun {
  if (session.produced.length > 0) return 'false';
  return session.mayHaveRun || session.attempt ? 'unknown' : 'true';
}
