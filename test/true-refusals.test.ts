/**
 * A refusal promises that a request has not been executed and will not be, so none is sent if a back end may
 * have executed it. Answers that are not passed on are discarded.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import { ForwardingHarness } from './forwarding-harness.js';

const BACKENDS = ['b1', 'b2', 'b3'].map((id, index) => makeLabBackend(id, `10.0.0.${index}:80`));
const ENGINES = (['prefill', 'prefill', 'decode', 'decode'] as const).map((stage, index) => ({
  ...makeLabBackend(`e${index}`, `10.0.1.${index}:80`),
  stage,
}));
const PROMPT = {
  model: 'm',
  parts: [{ id: 'p', tokens: 3000 }],
  promptTokens: 16_000,
  maximumOutputTokens: 10,
};
/** Statuses that promise that the request has not been executed. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type Step = { readonly event: ForwardAttemptEvent } | { readonly waitMs: number };

const steps: fc.Arbitrary<Step> = fc.oneof(
  fc
    .constantFrom<ForwardAttemptEvent>(
      { kind: 'unreachable', reason: 'refused' },
      { kind: 'notExecuted', status: 503, wrongIncarnation: false },
      { kind: 'prefilled', handle: 'h' },
      { kind: 'streamStarted' },
      { kind: 'streamProgress', lastEventId: '1' },
      { kind: 'connectionSilent' },
      { kind: 'whole', status: 200 },
      { kind: 'whole', status: 500 },
      { kind: 'broken', reason: 'reset' },
    )
    .map((event) => ({ event })),
  fc.nat(900).map((waitMs) => ({ waitMs })),
);

/** The events of each attempt, in order, as its back end sees them. */
class AttemptEvents {
  private readonly events = new Map<string, ForwardAttemptEvent['kind'][]>();

  /** Whether this event can follow those that the attempt has had. */
  isPossible({ attemptId, prefillOnly, stream }: AttemptStart, { kind }: ForwardAttemptEvent): boolean {
    const started = this.getEvents(attemptId).includes('streamStarted');
    switch (kind) {
      case 'prefilled':
        return prefillOnly;
      case 'streamStarted':
        return stream && !prefillOnly && !started;
      case 'streamProgress':
        return started;
      case 'unreachable':
      case 'notExecuted':
        return !started;
      case 'whole':
        return !prefillOnly;
      default:
        return true;
    }
  }

  add({ attemptId }: AttemptStart, { kind }: ForwardAttemptEvent): void {
    this.events.set(attemptId, [...this.getEvents(attemptId), kind]);
  }

  /** Whether the back end may have executed the request: yes, unless it was unreachable or rejected it. */
  mayHaveExecuted({ attemptId, prefillOnly }: AttemptStart): boolean {
    const events = this.getEvents(attemptId);
    return !prefillOnly && !events.includes('unreachable') && !events.includes('notExecuted');
  }

  private getEvents(attemptId: string): ForwardAttemptEvent['kind'][] {
    return this.events.get(attemptId) ?? [];
  }
}

describe('answers that the daemon generates', () => {
  for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const) {
    it(`never refuse as not executed what may have been executed: ${kind}`, () => {
      const scenario = fc.record({
        engines: fc.boolean(),
        slack: fc.nat(3),
        steps: fc.array(steps, { maxLength: 14 }),
      });
      fc.assert(
        fc.property(scenario, ({ engines, slack, steps: scenarioSteps }) => {
          const route = makeLabRoute({ kind, resumable: true, maximumAttempts: 3, timeoutMs: 3000 });
          const site = new ForwardingHarness([route], engines ? ENGINES : BACKENDS, slack);
          site.begin({ callerDeadlineMs: 3000, ...(engines ? { prompt: PROMPT } : {}) });
          const attempts = new AttemptEvents();
          let now = 0;
          for (const step of scenarioSteps) {
            const last = site.getStarts().at(-1);
            if ('waitMs' in step) site.manager.tick((now += step.waitMs));
            else if (last && attempts.isPossible(last, step.event)) {
              attempts.add(last, step.event);
              site.event(step.event, now);
            }
          }
          site.manager.tick((now += 4000));
          const refused = site
            .getFailures()
            .some((status) => status !== 'broken' && REFUSAL_STATUSES.has(status));
          const mayHaveExecuted = site.getStarts().some((start) => attempts.mayHaveExecuted(start));
          if (refused) expect(mayHaveExecuted).to.equal(false);
        }),
        { numRuns: 2000, seed: 20261202 },
      );
    });
  }

  it('discard an answer that is not passed on', () => {
    const site = new ForwardingHarness([makeLabRoute({ maximumAttempts: 2 })], BACKENDS);
    site.begin();
    const [first] = site.getStarts();
    site.event({ kind: 'whole', status: 500 }, 10);
    expect(site.getStarts()).to.have.length(2);
    expect(site.getEffects('abortAttempt')).to.deep.equal([
      { kind: 'abortAttempt', attemptId: first.attemptId },
    ]);
  });

  it('discard a failure that arrives in place of the rest of a stream', () => {
    const site = new ForwardingHarness(
      [makeLabRoute({ kind: 'stream', resumable: true, maximumAttempts: 2 })],
      BACKENDS,
    );
    site.begin();
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    const [, second] = site.getStarts();
    site.event({ kind: 'whole', status: 500 }, 30);
    expect(site.getEffects('abortAttempt')).to.deep.equal([
      { kind: 'abortAttempt', attemptId: second.attemptId },
    ]);
  });
});
