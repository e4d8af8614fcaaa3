/**
 * Decides about a completion at the head of its flow: sent to an engine, left waiting, paused, or failed.
 * Owns no state; reads the quarantine, the engines and the rules of completion-rules.ts. The manager applies
 * the decision.
 */
import { NoBackendError, QuarantinedError, type PulleyledgeError } from '../errors/index.js';
import type { CompletionSettings } from './completion-effects.js';
import type { CompletionRules } from './completion-rules.js';
import { getNotRun, type Session } from './completion-session.js';
import type { EngineDirectory } from './engine-directory.js';
import type { EngineChoice, EnginePicker, PickOutcome } from './engine-picker.js';
import type { AttemptListener } from './attempt-listener.js';

/** The decision about a request. */
type DispatchDecision =
  | { readonly kind: 'send'; readonly choice: EngineChoice }
  /** It stays in the queue until something changes. */
  | { readonly kind: 'wait' }
  /** Every engine of the model has rejected or broken it: it pauses, and then all may be tried again. */
  | { readonly kind: 'pause' }
  | { readonly kind: 'fail'; readonly error: PulleyledgeError };

/** Dependencies of the dispatch decisions. */
interface CompletionDispatchOptions {
  readonly settings: CompletionSettings;
  readonly directory: EngineDirectory;
  readonly picker: EnginePicker;
  readonly rules: CompletionRules;
  readonly attemptListener: AttemptListener;
}

/** The decisions of one daemon. Times are monotonic milliseconds. */
export class CompletionDispatch {
  constructor(private readonly options: CompletionDispatchOptions) {}

  /** Decides about a request that waits for an engine. */
  decide(session: Session, now: number): DispatchDecision {
    const { rules, attemptListener } = this.options;
    const quarantineMs = attemptListener.getQuarantineMs(session.request.key, now);
    if (quarantineMs !== undefined) {
      const error = new QuarantinedError(session.row.name, quarantineMs, getNotRun(session));
      return { kind: 'fail', error };
    }
    const outcome = this.pick(session, false, now);
    if (outcome.kind === 'none') return this.decideWithoutEngine(session, now);
    if (outcome.kind === 'busy') return { kind: 'wait' };
    const { choice } = outcome;
    // A request whose prompt is already computed only needs a stream; waiting here would gain nothing.
    if (session.kv || !rules.isHeldBack(session.request, choice)) return { kind: 'send', choice };
    // The better of two random engines has a backlog: check all of them before leaving the request queued.
    const best = this.pick(session, true, now);
    if (best.kind !== 'chosen' || rules.isHeldBack(session.request, best.choice)) return { kind: 'wait' };
    return { kind: 'send', choice: best.choice };
  }

  /**
   * Decides when no engine that takes work serves the model, apart from those that rejected or broke the
   * request.
   */
  private decideWithoutEngine(session: Session, now: number): DispatchDecision {
    if (session.excluded.size > 0) return { kind: 'pause' };
    const { noBackendWaitMs } = this.options.settings;
    if (now - session.queuedAt < noBackendWaitMs) return { kind: 'wait' };
    const error = new NoBackendError(session.row.name, getNotRun(session), noBackendWaitMs);
    return { kind: 'fail', error };
  }

  private pick(session: Session, exhaustive: boolean, now: number): PickOutcome {
    const { directory, picker } = this.options;
    const { request, row } = session;
    const query = {
      model: row.model,
      version: row.version,
      adapter: row.adapter,
      promptTokens: request.prompt.tokens + session.produced.length,
      prefixKey: request.prompt.prefixKey,
      excluded: session.excluded,
      exhaustive,
    };
    const engines = directory.all();
    return session.kv ? picker.pickGenerate(query, engines, now) : picker.pick(query, engines, now);
  }
}
