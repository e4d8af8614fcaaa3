/**
 * How long a request would wait, and how long it may. Owns smoothed times of streams and prompt tokens;
 * relies on the queue of this daemon and on the engines' loads in the directory.
 */
import type { ServiceRow } from '../configuration/service-row.js';
import type { AdmissionQueue } from './admission-queue.js';
import type { CompletionSettings } from './completion-effects.js';
import type { CompletionRequest } from './completion-request.js';
import type { EngineDirectory } from './engine-directory.js';
import { PriorityShares } from './priority-shares.js';

/** Duration of a stream before any has ended. Milliseconds. */
const INITIAL_STREAM_MS = 5000;
/** Weight of the newest stream in the smoothed duration. */
const STREAM_SMOOTHING = 0.05;

/** Estimates waits from the queue here and the work believed to be at the engines. */
export class WaitEstimator {
  /** How long a stream lasts, smoothed. Milliseconds. */
  private streamMs = INITIAL_STREAM_MS;
  /** How long an engine computes a prompt token, of the model asked for last. Milliseconds. */
  private promptMsPerToken = 0;
  private readonly promptShares = new PriorityShares();

  constructor(
    private readonly settings: CompletionSettings,
    private readonly directory: EngineDirectory,
    private readonly queue: AdmissionQueue,
  ) {}

  /** Prompt tokens of this priority went to an engine. */
  addPrompt(priority: number, tokens: number, now: number): void {
    this.promptShares.count(priority, tokens, now);
  }

  /** A stream ended well after this long. Milliseconds. */
  addStream(durationMs: number): void {
    this.streamMs += STREAM_SMOOTHING * (durationMs - this.streamMs);
  }

  /**
   * Time until an engine would begin with the request, or undefined when no engine is known. Milliseconds.
   */
  expectedMs(row: ServiceRow, now: number): number | undefined {
    let prefillRate = 0;
    let backlog = this.queue.costAhead({ priority: row.priority, service: row.name, weight: row.weight });
    const before = this.promptShares.shareUpTo(row.priority, now);
    let streams = 0;
    let maximumStreams = 0;
    let routingDaemons = 1;
    let computing = 0;
    for (const engine of this.directory.all()) {
      const { assignment } = engine;
      if (!engine.takesWork(now) || assignment?.model !== row.model || assignment.version !== row.version)
        continue;
      routingDaemons = engine.routingDaemons;
      if (assignment.role !== 'decode') {
        prefillRate += engine.prefillRate();
        computing += 1;
        backlog += engine.pendingPrefill(now) * before;
      }
      if (assignment.role !== 'prefill') {
        streams += engine.streams();
        maximumStreams += engine.maximumStreams;
      }
    }
    if (prefillRate === 0 || maximumStreams === 0) return undefined;
    this.promptMsPerToken = 1000 / (prefillRate / computing);
    const forPrompt = (backlog / prefillRate) * 1000;
    const queued = Math.max(0, streams + this.queue.length * routingDaemons - maximumStreams);
    const forStream = (queued / maximumStreams) * this.streamMs;
    return Math.max(forPrompt, forStream);
  }

  /**
   * How long a request may wait: as its service allows, and not so long that its first token misses the
   * target. A prompt that misses its target even on an idle engine waits as its service allows. Milliseconds.
   */
  allowedMs(request: CompletionRequest, row: ServiceRow): number {
    const left =
      row.firstTokenTargetMs * this.settings.firstTokenShare - request.prompt.tokens * this.promptMsPerToken;
    return left > 0 ? Math.min(row.maximumWaitMs, left) : row.maximumWaitMs;
  }
}
