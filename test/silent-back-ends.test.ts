/**
 * A back end that is silent for a while may still answer: its silence ends no answer. An attempt is given up only
 * when another attempt of the request follows it. Every test forces an order of events in virtual time.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import type { BackendView } from '../src/forwarding/backends/backend-view.js';
import type { AttemptStart, ForwardAttemptEvent, ForwardEffect } from '../src/forwarding/forward-messages.js';
import type { ForwardRequest } from '../src/forwarding/forward-request.js';
import { DEFAULT_FORWARD_SETTINGS } from '../src/forwarding/forward-settings.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';
import { ENGINES, ForwardingHarness, makeEngine, makePrompt } from './forwarding-harness.js';

const TICK_MS = 20;
const TIMEOUT_MS = 4000;
const RESUMABLE: Partial<Route> = { kind: 'stream', resumable: true };
const KEY = { contentDigest: 'digest', callerAddress: '10.0.9.9' };
const REFUSED = { kind: 'unreachable', reason: 'refused' } as const;
const REJECTED = { kind: 'notExecuted', status: 503, wrongIncarnation: false } as const;

/** One request, whose back ends are silent unless a test sends an event. */
class SilentSite extends ForwardingHarness {
  now = 0;
  private deadlineAt = 0;

  constructor(route: Partial<Route>, backends: readonly BackendRecord[], slack = 50) {
    super([makeLabRoute({ timeoutMs: TIMEOUT_MS, ...route })], backends, slack);
  }

  beginRequest(fields: Partial<ForwardRequest> = {}): void {
    this.deadlineAt = this.now + TIMEOUT_MS;
    this.begin({ callerDeadlineMs: TIMEOUT_MS, ...fields, arrivedAt: this.now }, this.now);
  }

  /** Begins the answer of the last attempt as a stream. */
  beginStream(): void {
    this.event({ kind: 'streamStarted' }, this.now);
    this.event({ kind: 'streamProgress', lastEventId: String(this.now) }, this.now);
  }

  /** Nothing arrives for `ms`. */
  runSilence(ms: number): void {
    for (const end = this.now + ms; this.now < end;) this.manager.tick((this.now += TICK_MS));
  }

  /** Nothing arrives until another attempt starts. */
  runUntilMoved(): void {
    const sends = this.getStarts().length;
    while (this.getStarts().length === sends && this.now < this.deadlineAt)
      this.manager.tick((this.now += TICK_MS));
    expect(this.getStarts(), 'the request was not moved').to.have.length(sends + 1);
  }

  /**
   * Checks that the request goes on until its deadline, and that an attempt in progress can still answer until then.
   */
  checkWaits(): void {
    while (this.now < this.deadlineAt - TICK_MS && this.getFailures().length === 0)
      this.manager.tick((this.now += TICK_MS));
    expect({
      endedAt: this.getFailures().length > 0 ? this.now : 'none',
      ends: this.getEnds(),
    }).to.deep.equal({
      endedAt: 'none',
      ends: [],
    });
    const [live] = this.getLive();
    this.eventOf(live.attemptId, { kind: 'whole', status: 200 }, this.now);
    expect(this.getEffects('replyWhole')).to.have.length(1);
  }

  /** Decisions that ended the request, or an attempt of it with no other in progress, with their reasons. */
  private getEnds(): string[] {
    return this.effects.flatMap((effect, index) => {
      if (effect.kind !== 'decision') return [];
      const { event, fields } = effect;
      if (event === 'request.failed' || event === 'request.refused')
        return [`${event} ${String(fields.failure)}`];
      const isFollowed = this.effects.slice(index).some(isStart) || this.getLive().length > 0;
      if (event !== 'request.attempt-failed' || isFollowed) return [];
      return [`${event} ${String(fields.backend)} ${String(fields.reason)}`];
    });
  }

  getView(id: string): BackendView {
    return this.directory.get(id) as BackendView;
  }

  /** Fills a back end with attempts of other requests, which it is answering. */
  fill(id: string, count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.getView(id).addAttempt(`other/${index}`, 0, this.now);
      this.getView(id).onAnswering(`other/${index}`, this.now);
    }
  }
}

function isStart({ kind }: ForwardEffect): boolean {
  return kind === 'startAttempt';
}

function makeBackends(count: number, slots = 8): BackendRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    ...makeLabBackend(`b${index + 1}`, `10.0.0.1:${index + 1}`),
    slots,
  }));
}

describe('the silence of a back end ends no answer', () => {
  it('a stream that has begun goes on at the last back end that its route allows', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 2 }, makeBackends(3));
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    site.beginStream();
    site.checkWaits();
  });

  it('a stream that has not begun waits at the last back end that its route allows', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 2 }, makeBackends(3));
    site.beginRequest();
    site.runUntilMoved();
    site.checkWaits();
  });

  it('a plain request waits at the last back end that its route allows', () => {
    const site = new SilentSite({ maximumAttempts: 2 }, makeBackends(3));
    site.beginRequest();
    site.runUntilMoved();
    site.checkWaits();
  });

  it('a plain request waits on a silent connection for the last attempt that its route allows', () => {
    const site = new SilentSite({ maximumAttempts: 2 }, makeBackends(3));
    site.beginRequest();
    site.event({ kind: 'connectionSilent' }, site.now);
    site.runUntilMoved();
    site.event({ kind: 'connectionSilent' }, site.now);
    site.checkWaits();
  });

  it('a request whose only allowed attempt is live waits for it', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 1 }, makeBackends(3));
    site.beginRequest();
    site.beginStream();
    site.checkWaits();
  });

  it('a stream that has begun goes on when it was sent as often as a request may be', () => {
    const { maximumSends } = DEFAULT_FORWARD_SETTINGS;
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(maximumSends + 1));
    site.beginRequest();
    for (let send = 1; send < maximumSends; send += 1) site.event(REFUSED, site.now);
    site.beginStream();
    site.checkWaits();
  });

  it('a plain request waits when it was sent as often as a request may be', () => {
    const { maximumSends } = DEFAULT_FORWARD_SETTINGS;
    const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(maximumSends + 1));
    site.beginRequest();
    for (let send = 1; send < maximumSends; send += 1) site.event(REFUSED, site.now);
    site.checkWaits();
  });

  it('a prompt waits at its prefill engine when the request was sent as often as it may be', () => {
    const { maximumSends } = DEFAULT_FORWARD_SETTINGS;
    const prefills = Array.from({ length: maximumSends + 1 }, (_, index) =>
      makeEngine(`p${index}`, 'prefill'),
    );
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, [
      ...prefills,
      makeEngine('d1', 'decode'),
    ]);
    site.beginRequest({ prompt: makePrompt(400, 100) });
    for (let send = 1; send < maximumSends; send += 1) site.event(REFUSED, site.now);
    expect(site.getStarts().at(-1)).to.include({ prefillOnly: true });
    site.runSilence(TIMEOUT_MS - 2 * TICK_MS);
    expect(site.getFailures()).to.deep.equal([]);
  });

  it('a stream goes on while the retry budget is empty', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(3), 0);
    site.beginRequest();
    site.beginStream();
    site.checkWaits();
  });

  it('a stream goes on while every other back end is excluded, leaves or is backed off from', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(4));
    site.beginRequest();
    site.event(REFUSED, site.now);
    const [refused, live] = site.getStarts().map(({ backend }) => backend.id);
    const [leaving, backedOff] = ['b1', 'b2', 'b3', 'b4'].filter((id) => id !== refused && id !== live);
    site.getView(leaving).removed = true;
    site.getView(backedOff).signals.addBackOff(TIMEOUT_MS);
    site.beginStream();
    site.checkWaits();
  });

  it('an answer is awaited while its request is quarantined', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(3));
    site.beginRequest(KEY);
    site.beginStream();
    site.quarantineMs = 10_000;
    site.checkWaits();
  });

  it('a plain request waits while its successor could be drawn among overloaded back ends', () => {
    const count = 9;
    for (let other = 0; other < 20; other += 1) {
      const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(count, 1));
      for (let drawn = 0; drawn < other; drawn += 1) site.begin({ id: `other${drawn}` });
      for (let drawn = 0; drawn < other; drawn += 1) site.manager.cancel(`other${drawn}`, 0);
      site.beginRequest();
      const [{ backend }] = site.getStarts().slice(-1);
      const free = backend.id === 'b1' ? 'b2' : 'b1';
      for (const { id } of makeBackends(count, 1)) if (id !== free && id !== backend.id) site.fill(id, 4);
      site.runSilence(1200);
      expect(site.getFailures(), `after ${other} other requests`).to.deep.equal([]);
    }
  });

  it('a generation waits at its engine while no prefill engine could compute its prompt again', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, ENGINES);
    site.beginRequest({ prompt: makePrompt(400, 100) });
    site.event({ kind: 'prefilled', handle: 'h1' }, site.now);
    for (const id of ['p1', 'p2']) site.fill(id, 90);
    site.checkWaits();
  });

  it('a generation waits at its engine while computing its prompt again would be refused as overload', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, ENGINES);
    for (let index = 0; index < 60; index += 1) {
      site.beginRequest({ id: `paced${index}`, prompt: makePrompt(400, 0, `k${index}`) });
      site.now += 50;
      site.event({ kind: 'prefilled', handle: `h${index}` }, site.now);
      site.manager.cancel(`paced${index}`, site.now);
    }
    site.beginRequest({ prompt: makePrompt(400, 100) });
    site.event({ kind: 'prefilled', handle: 'h1' }, site.now);
    for (const id of ['p1', 'p2']) site.fill(id, 30);
    site.checkWaits();
  });

  it('a prompt waits on a silent connection while its engine is full and looks sound only without it', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 2 }, ENGINES);
    for (const id of ['r0', 'r1']) site.beginRequest({ id, prompt: makePrompt(400, 100) });
    site.event({ kind: 'connectionSilent' }, site.now);
    site.now += TICK_MS;
    site.fill(site.getStarts()[1].backend.id, 90);
    site.runSilence(1000);
    expect(site.getFailures()).to.deep.equal([]);
  });

  it('a stream goes on that moved away from a silent back end when its successor rejects it and no other is left', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    site.event(REJECTED, site.now);
    site.beginStream();
    site.checkWaits();
  });

  it('a stream goes on that moved away from a silent back end when its successor refuses the connection and no other is left', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    site.event(REFUSED, site.now);
    site.beginStream();
    site.checkWaits();
  });

  it('a stream goes on that moved away from a silent back end when its successor rejects it and the retry budget is empty', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(3), 1.25);
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    site.event(REJECTED, site.now);
    site.checkWaits();
  });

  it('a stream goes on that moved away from a silent back end when its successor, the last that the route allows, fails', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 2 }, makeBackends(3));
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    site.event({ kind: 'whole', status: 500 }, site.now);
    site.checkWaits();
  });

  it('a plain request waits that moved away from a silent back end when its successor rejects it and no other is left', () => {
    const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.runUntilMoved();
    site.event(REJECTED, site.now);
    site.checkWaits();
  });

  it('a plain request waits that moved away from a silent back end when its successor refuses the connection and no other is left', () => {
    const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.runUntilMoved();
    site.event(REFUSED, site.now);
    site.checkWaits();
  });

  it('a plain request waits that moved away from a silent back end when its successor refuses the connection and the others are full', () => {
    const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(3, 1));
    site.beginRequest();
    site.runUntilMoved();
    const used = site.getStarts().map(({ backend }) => backend.id);
    for (const { id } of makeBackends(3)) if (!used.includes(id)) site.fill(id, 4);
    site.event(REFUSED, site.now);
    site.checkWaits();
  });

  it('an attempt is aborted in favor of another only while that is in progress, for any order of events', () => {
    const run = fc.record({
      engines: fc.boolean(),
      stream: fc.boolean(),
      maximumAttempts: fc.integer({ min: 1, max: 4 }),
      slack: fc.constantFrom(0, 1.25, 2.5, 50),
      requests: fc.integer({ min: 1, max: 3 }),
      steps: fc.array(stepArbitrary, { minLength: 4, maxLength: 30 }),
    });
    fc.assert(
      fc.property(run, ({ engines, stream, maximumAttempts, slack, requests, steps }) => {
        const kind = stream ? RESUMABLE : {};
        const site = new SilentSite(
          { ...kind, maximumAttempts },
          engines ? ENGINES : makeBackends(5, 2),
          slack,
        );
        const prompt = engines ? makePrompt(400, 100) : undefined;
        for (let index = 0; index < requests; index += 1)
          site.beginRequest({ id: `r${index}`, ...KEY, prompt });
        for (const step of steps) {
          const from = site.effects.length;
          const before = site.getLive();
          applyStep(site, step, stream);
          expect(findUnfollowed(site, before, from)).to.deep.equal([]);
          for (const [requestId, attempts] of groupLive(site))
            expect(attempts, requestId).to.have.length.at.most(2);
        }
      }),
      { numRuns: 2000, seed: 20261202 },
    );
  });
});

/** Something that happens to the site. */
type Step =
  | { readonly silentMs: number }
  | { readonly request: number; readonly event: ForwardAttemptEvent }
  | { readonly backend: number; readonly state: 'full' | 'leaving' | 'backedOff' }
  | { readonly quarantineMs: number | undefined };

const EVENTS: readonly ForwardAttemptEvent[] = [
  REFUSED,
  REJECTED,
  { kind: 'prefilled', handle: 'h' },
  { kind: 'streamStarted' },
  { kind: 'streamProgress', lastEventId: '1' },
  { kind: 'connectionSilent' },
  { kind: 'broken', reason: 'reset' },
  { kind: 'whole', status: 500 },
];

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ silentMs: fc.constantFrom(TICK_MS, 420, 820, 920) }) },
  { weight: 5, arbitrary: fc.record({ request: fc.nat(2), event: fc.constantFrom(...EVENTS) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      backend: fc.nat(4),
      state: fc.constantFrom('full' as const, 'leaving' as const, 'backedOff' as const),
    }),
  },
  { weight: 1, arbitrary: fc.record({ quarantineMs: fc.constantFrom(undefined, 5000) }) },
);

function applyStep(site: SilentSite, step: Step, stream: boolean): void {
  if ('silentMs' in step) site.runSilence(step.silentMs);
  else if ('quarantineMs' in step) site.quarantineMs = step.quarantineMs;
  else if ('state' in step) applyState(site, step.backend, step.state);
  else {
    const last = site
      .getStarts()
      .filter(({ requestId }) => requestId === `r${step.request}`)
      .at(-1);
    if (last && isPossible(last, step.event, stream)) site.eventOf(last.attemptId, step.event, site.now);
  }
}

function applyState(site: SilentSite, index: number, state: 'full' | 'leaving' | 'backedOff'): void {
  const views = [...site.directory.all()];
  const view = views[index % views.length];
  if (state === 'full') site.fill(view.record.id, 90);
  else if (state === 'leaving') view.removed = true;
  else view.signals.addBackOff(site.now + 1000);
}

/** Whether an attempt can have the event: a prompt is prefilled, an answer streamed only on a route for streams. */
function isPossible({ prefillOnly }: AttemptStart, { kind }: ForwardAttemptEvent, stream: boolean): boolean {
  if (kind === 'prefilled') return prefillOnly;
  if (kind === 'streamStarted' || kind === 'streamProgress') return stream && !prefillOnly;
  return kind !== 'whole' || !prefillOnly;
}

/** The attempts in progress of each request. */
function groupLive(site: SilentSite): Map<string, string[]> {
  const live = new Map<string, string[]>();
  for (const { requestId, attemptId } of site.getLive())
    live.set(requestId, [...(live.get(requestId) ?? []), attemptId]);
  return live;
}

/**
 * Attempts that were superseded, in effects from `from` on, though no other one of their request was in progress then:
 * none of `before` and none that was started in the same step.
 */
function findUnfollowed(site: SilentSite, before: readonly AttemptStart[], from: number): string[] {
  const step = site.effects.slice(from);
  const started = step.flatMap((effect) => (effect.kind === 'startAttempt' ? [effect.start] : []));
  const aborted = new Set<string>();
  return step.flatMap((effect, index) => {
    if (effect.kind !== 'abortAttempt') return [];
    aborted.add(effect.attemptId);
    const decision = step.at(index + 1);
    if (decision?.kind !== 'decision' || decision.event !== 'request.attempt-superseded') return [];
    const [requestId] = effect.attemptId.split('/');
    const others = [...before, ...started].filter(
      (other) => other.requestId === requestId && !aborted.has(other.attemptId),
    );
    return others.length > 0 ? [] : [effect.attemptId];
  });
}
