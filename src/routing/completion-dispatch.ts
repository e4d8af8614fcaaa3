/**
 * Decides what becomes of a completion that is at the head of its lane: sent to which engine, left waiting,
 * paused, or failed. Owns no state; reads the quarantine, the engines and the rules of completion-rules.ts.
 * The manager carries the decision out.
 */
import { NoBackendError, QuarantinedError, type PulleyledgeError } from '../errors/index.js';
import type { CompletionSettings } from './completion-effects.js';
import type { CompletionRules } from './completion-rules.js';
import { notRunOf, type Session } from './completion-session.js';
import type { EngineDirectory } from './engine-directory.js';
import type { EngineChoice, EnginePicker, PickOutcome } from './engine-picker.js';
import type { AttemptListener } from './run-listener.js';

/** What becomes of the request. */
type DispatchDecision =
  | { readonly kind: 'send'; readonly choice: EngineChoice }
  /** It stays in the queue until something changes. */
  | { readonly kind: 'wait' }
  /** Every engine of the model rejected it: it pauses, and then all may be tried again. */
  | { readonly kind: 'pause' }
  | { readonly kind: 'fail'; readonly error: PulleyledgeError };

/** What a decision reads. */
interface CompletionDispatchOptions {
  readonly settings: CompletionSettings;
  readonly directory: EngineDirectory;
  readonly picker: EnginePicker;
  readonly rules: CompletionRules;
  readonly runs: AttemptListener;
}

/** The decisions of one daemon. Times are monotonic milliseconds. */
export class CompletionDispatch {
  constructor(private readonly options: CompletionDispatchOptions) {}

  /** What becomes of a request that waits for an engine. */
  decide(session: Session, now: number): DispatchDecision {
    const { rules, runs } = this.options;
    const quarantineMs = runs.getQuarantineMs(session.request.key, now);
    if (quarantineMs !== undefined) {
      const error = new QuarantinedError(session.row.name, quarantineMs, notRunOf(session));
      return { kind: 'fail', error };
    }
    const outcome = this.pick(session, false, now);
    if (outcome.kind === 'none') return this.decideWithoutEngine(session, now);
    if (outcome.kind === 'busy') return { kind: 'wait' };
    const { choice } = outcome;
    // With its prompt computed already it only needs a stream; nothing is gained by waiting here.
    if (session.kv || !rules.isHeldBack(session.request, choice)) return { kind: 'send', choice };
    // The better of two engines has a backlog: look at all of them before the request is left waiting.
    const best = this.pick(session, true, now);
    if (best.kind !== 'chosen' || rules.isHeldBack(session.request, best.choice)) return { kind: 'wait' };
    return { kind: 'send', choice: best.choice };
  }

  /** No engine that takes work serves the model, those left out that rejected or broke the request. */
  private decideWithoutEngine(session: Session, now: number): DispatchDecision {
    if (session.excluded.size > 0) return { kind: 'pause' };
    const { noBackendWaitMs } = this.options.settings;
    if (now - session.queuedAt < noBackendWaitMs) return { kind: 'wait' };
    const error = new NoBackendError(session.row.name, notRunOf(session), noBackendWaitMs);
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
