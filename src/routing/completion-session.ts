/**
 * The state of one completion in a daemon, and whether an engine may have executed it. The manager owns the
 * sessions.
 */
import type { ServiceRow } from '../configuration/service-row.js';
import type { EnginePhase, EngineRefusal, KvHandle } from '../contracts/engine-protocol.js';
import type { NotRun } from '../errors/index.js';
import type { QueueItem } from './admission-queue.js';
import type { AttemptStage } from './completion-effects.js';
import type { CompletionRequest } from './completion-request.js';
import type { EngineView } from './engine-directory.js';
import type { EngineChoice } from './engine-picker.js';
import type { BrokenWork } from './retry-rule.js';

/** A request's attempt in flight at an engine. */
export interface LiveAttempt {
  readonly attemptId: string;
  readonly engine: EngineView;
  readonly stage: AttemptStage;
  readonly choice: EngineChoice;
  readonly startedAt: number;
  lastEventAt: number;
}

/** A request in progress. Times are monotonic milliseconds. */
export interface Session {
  readonly request: CompletionRequest;
  readonly row: ServiceRow;
  readonly deadlineAt: number;
  readonly item: QueueItem;
  attempt: LiveAttempt | undefined;
  attemptCount: number;
  /** Attempts that broke after an engine may have started them. */
  brokenAttempts: number;
  mayHaveExecuted: boolean;
  readonly produced: string[];
  kv: KvHandle | undefined;
  excluded: Set<string>;
  queuedAt: number;
  /** Consecutive rejections by engines; the request pauses after a few. */
  rejections: number;
  retryAt: number;
}

/** The phase of an engine that a refusal reason implies. */
export const PHASES_BY_REFUSAL: Readonly<Partial<Record<EngineRefusal, EnginePhase>>> = {
  draining: 'draining',
  changing: 'changing',
  leaving: 'leaving',
};

/** Creates the session of a request that starts waiting for an engine at `now`. */
export function createSession(
  request: CompletionRequest,
  row: ServiceRow,
  item: QueueItem,
  now: number,
): Session {
  return {
    request,
    row,
    deadlineAt: request.receivedAt + (request.timeoutMs ?? row.deadlineMs),
    item,
    attempt: undefined,
    attemptCount: 0,
    brokenAttempts: 0,
    mayHaveExecuted: false,
    produced: [],
    kv: undefined,
    excluded: new Set(),
    queuedAt: now,
    rejections: 0,
    retryAt: 0,
  };
}

/** Counts an attempt that broke after its engine may have started it. */
export function addBrokenAttempt(session: Session, { engine }: LiveAttempt): void {
  session.attempt = undefined;
  session.mayHaveExecuted = true;
  session.brokenAttempts += 1;
  session.kv = undefined;
  session.excluded.add(engine.id);
}

/** What the retry rule is asked about a request whose last attempt broke. */
export function getBrokenWork({ row, brokenAttempts }: Session): BrokenWork {
  return { repeatable: row.repeatable, brokenAttempts };
}

/** The state of a request as it would be if its live attempt had broken now. The session is not changed. */
export function makeSessionWithoutAttempt(session: Session, attempt: LiveAttempt): Session {
  const next = { ...session, excluded: new Set(session.excluded) };
  addBrokenAttempt(next, attempt);
  return next;
}

/**
 * Whether a request was certainly not executed: `false` once tokens arrived, `true` only if no engine can have
 * started it, and `unknown` otherwise.
 */
export function getNotRun(session: Session): NotRun {
  if (session.produced.length > 0) return 'false';
  return session.mayHaveExecuted || session.attempt ? 'unknown' : 'true';
}
