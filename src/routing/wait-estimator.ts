/**
 * Expected and allowed waiting times of requests. Owns smoothed durations of streams and prompt tokens;
 * relies on this daemon's queue and on the engine loads in the directory.
 */
import type { ServiceRow } from '../configuration/service-row.js';
import type { AdmissionQueue } from './admission-queue.js';
import type { CompletionSettings } from './completion-effects.js';
import type { CompletionRequest } from './completion-request.js';
import type { EngineDirectory } from './engine-directory.js';
import { PriorityShares } from './priority-shares.js';

/** Assumed duration of a stream until the first one has ended. Milliseconds. */
const INITIAL_STREAM_MS = 5000;
/** Weight of the newest stream in the smoothed duration. */
const STREAM_SMOOTHING = 0.05;

/** Estimates waits from this daemon's queue and the estimated work at the engines. */
export class WaitEstimator {
  /** Smoothed duration of a stream. Milliseconds. */
  private streamMs = INITIAL_STREAM_MS;
  /** Computation time per prompt token on one engine of the last estimated model. Milliseconds. */
  private promptMsPerToken = 0;
  private readonly promptShares = new PriorityShares();

  constructor(
    private readonly settings: CompletionSettings,
    private readonly directory: EngineDirectory,
    private readonly queue: AdmissionQueue,
  ) {}

  /** Records prompt tokens of this priority sent to an engine at `now` (monotonic milliseconds). */
  addPrompt(priority: number, tokens: number, now: number): void {
    this.promptShares.count(priority, tokens, now);
  }

  /** Records the duration of a stream that completed successfully. Milliseconds. */
  addStream(durationMs: number): void {
    this.streamMs += STREAM_SMOOTHING * (durationMs - this.streamMs);
  }

  /**
   * Expected time until an engine starts the request; undefined when no engine is known. Milliseconds.
   */
  expectedMs(row: ServiceRow, now: number): number | undefined {
    let prefillRate = 0;
    let backlog = this.queue.costAhead({ priority: row.priority, service: row.name, weight: row.weight });
    const shareAhead = this.promptShares.shareUpTo(row.priority, now);
    let streams = 0;
    let maximumStreams = 0;
    let routingDaemons = 1;
    let prefillEngines = 0;
    for (const engine of this.directory.all()) {
      const { assignment } = engine;
      if (!engine.takesWork(now) || assignment?.model !== row.model || assignment.version !== row.version)
        continue;
      routingDaemons = engine.routingDaemons;
      if (assignment.role !== 'decode') {
        prefillRate += engine.prefillRate();
        prefillEngines += 1;
        backlog += engine.pendingPrefill(now) * shareAhead;
      }
      if (assignment.role !== 'prefill') {
        streams += engine.streams();
        maximumStreams += engine.maximumStreams;
      }
    }
    if (prefillRate === 0 || maximumStreams === 0) return undefined;
    this.promptMsPerToken = 1000 / (prefillRate / prefillEngines);
    const forPrompt = (backlog / prefillRate) * 1000;
    const queued = Math.max(0, streams + this.queue.length * routingDaemons - maximumStreams);
    const forStream = (queued / maximumStreams) * this.streamMs;
    return Math.max(forPrompt, forStream);
  }

  /**
   * Allowed wait of a request: the maximum wait of its service, reduced so that the first token can still
   * meet its target. A prompt that would miss the target even on an idle engine gets the service's maximum.
   * Milliseconds.
   */
  allowedMs(request: CompletionRequest, row: ServiceRow): number {
    const remainingMs =
      row.firstTokenTargetMs * this.settings.firstTokenShare - request.prompt.tokens * this.promptMsPerToken;
    return remainingMs > 0 ? Math.min(row.maximumWaitMs, remainingMs) : row.maximumWaitMs;
  }
}
