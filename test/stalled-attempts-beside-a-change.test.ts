/**
 * Guards against requests that hang, are cut or get two answers when a stalled attempt and its successor end in some
 * order, while the configuration changes or takes their route and service away.
 */
import { expect } from 'chai';
import { makeLabRoute } from '../lab/forwarding-site.js';
import type { BackendView } from '../src/forwarding/backends/backend-view.js';
import type { ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { Route } from '../src/forwarding/routes/route.js';
import { ForwardingHarness, PLAIN } from './forwarding-harness.js';

const TIMEOUT_MS = 4000;
const TICK_MS = 20;
const BROKEN: ForwardAttemptEvent = { kind: 'broken', reason: 'reset' };
const WHOLE: ForwardAttemptEvent = { kind: 'whole', status: 200 };
const STARTED: ForwardAttemptEvent = { kind: 'streamStarted' };
const PROGRESS: ForwardAttemptEvent = { kind: 'streamProgress', lastEventId: '7' };

/** What an attempt may report from its stall, or its start, to its end. */
const FAILURES: readonly (readonly ForwardAttemptEvent[])[] = [
  [BROKEN],
  [{ kind: 'connectionSilent' }, BROKEN],
  [{ kind: 'unreachable', reason: 'refused' }],
  [{ kind: 'notExecuted', status: 503, wrongIncarnation: false }],
  [{ kind: 'whole', status: 500 }],
];
const STREAM_ENDS = [[STARTED, PROGRESS, WHOLE], [STARTED, PROGRESS, BROKEN], [STARTED, BROKEN], ...FAILURES];
const STARTED_ENDS = [[PROGRESS, WHOLE], [WHOLE], [PROGRESS, BROKEN], [BROKEN]];
const BUFFERED_ENDS = [[WHOLE], [{ kind: 'answerProgress' } as const, WHOLE], ...FAILURES];

/** Changes of a configuration while the two attempts are in progress. */
const CHANGES: Readonly<Record<string, (site: ForwardingHarness, route: Route) => void>> = {
  'no change': () => undefined,
  'the route and the service are taken away': (site) => site.setRoutes([], []),
  'the service is renamed': (site, route) => {
    site.setRoutes([{ ...route, targets: [{ service: 'renamed', weight: 1 }] }], []);
    for (const record of PLAIN) site.directory.put({ ...record, service: 'renamed' });
  },
  'the limits are lowered': (site, route) =>
    site.setRoutes([{ ...route, timeoutMs: 100, maximumAttempts: 1, targetGapMs: 1, resumable: false }]),
  'the back ends are taken away': (site) => {
    for (const { id } of PLAIN) site.directory.remove(id);
  },
};

/** All orders of two sequences, each as the choices between the first and the second. */
function interleave(first: number, second: number): (0 | 1)[][] {
  if (first === 0 && second === 0) return [[]];
  const orders: (0 | 1)[][] = [];
  if (first > 0) for (const rest of interleave(first - 1, second)) orders.push([0, ...rest]);
  if (second > 0) for (const rest of interleave(first, second - 1)) orders.push([1, ...rest]);
  return orders;
}

type Ends = readonly (readonly ForwardAttemptEvent[])[];

/** Plays one order and returns what is wrong with it. */
class Play {
  private readonly site: ForwardingHarness;
  private readonly views: readonly BackendView[];
  private now = 0;

  constructor(
    private readonly route: Route,
    private readonly isStarted: boolean,
  ) {
    this.site = new ForwardingHarness([route], PLAIN);
    this.views = [...this.site.directory.all()];
    this.site.begin({ callerDeadlineMs: TIMEOUT_MS, arrivedAt: 0 }, 0);
    if (isStarted) {
      this.site.event(STARTED, 0);
      this.site.event({ kind: 'streamProgress', lastEventId: '1' }, 0);
    }
    while (this.site.getStarts().length < 2 && this.now < TIMEOUT_MS)
      this.site.manager.tick((this.now += TICK_MS));
    expect(this.site.getLive().map(({ attemptId }) => attemptId)).to.deep.equal(['r1/1', 'r1/2']);
  }

  run(ends: Ends, order: readonly (0 | 1)[], changeAt: number, change: string): string[] {
    const next = [0, 0];
    order.forEach((which, step) => {
      if (step === changeAt) CHANGES[change](this.site, this.route);
      this.send(`r1/${which + 1}`, ends[which][next[which]++]);
    });
    // Further attempts are sound.
    for (let sends = 0; sends < 9; sends += 1) {
      const live = this.site.getLive().find(({ attemptId }) => !['r1/1', 'r1/2'].includes(attemptId));
      if (!live || this.isAnswered()) break;
      if (live.stream) for (const event of [STARTED, PROGRESS]) this.send(live.attemptId, event);
      this.send(live.attemptId, WHOLE);
    }
    return this.findFaults(change);
  }

  private isAnswered(): boolean {
    return this.countAnswers() > 0;
  }

  private countAnswers(): number {
    return this.site.getFailures().length + this.site.getEffects('replyWhole').length;
  }

  private send(attemptId: string, event: ForwardAttemptEvent): void {
    if (!this.site.getLive().some((live) => live.attemptId === attemptId)) return;
    this.site.eventOf(attemptId, event, (this.now += 1));
  }

  private findFaults(change: string): string[] {
    const { site } = this;
    const faults: string[] = [];
    const answers = this.countAnswers();
    if (answers !== 1) faults.push(`${answers} answers`);
    if (site.manager.getActiveCount() > 0) faults.push('still open');
    if (this.views.some((view) => view.localInFlight() > 0)) faults.push('an attempt stays in flight');
    const isSafe = change === 'no change' || change === 'the limits are lowered';
    if (isSafe && site.getFailures().length > 0) faults.push(`failed: ${site.getFailures().join()}`);
    for (const effect of site.effects)
      if (
        effect.kind === 'replyWhole' &&
        site.effects.some((other) => other.kind === 'abortAttempt' && other.attemptId === effect.attemptId)
      )
        faults.push('its answer was dropped');
    if (!this.isStarted && site.getFailures().includes('broken')) faults.push('cut');
    return faults;
  }
}

function findFaults(fields: Partial<Route>, isStarted: boolean, firstEnds: Ends, secondEnds: Ends): string[] {
  const route = makeLabRoute({ timeoutMs: TIMEOUT_MS, maximumAttempts: 9, ...fields });
  const found: string[] = [];
  for (const change of Object.keys(CHANGES))
    for (const first of firstEnds)
      for (const second of secondEnds)
        for (const order of interleave(first.length, second.length))
          for (let changeAt = 0; changeAt < order.length; changeAt += 1) {
            const faults = new Play(route, isStarted).run([first, second], order, changeAt, change);
            const names = [first, second].map((events) => events.map(({ kind }) => kind).join('-'));
            if (faults.length > 0)
              found.push(
                `${change} at ${changeAt}, ${names.join(' and ')}, ${order.join('')}: ${faults.join()}`,
              );
          }
  return found;
}

describe('a stalled attempt and its successor that end in any order beside a change', () => {
  it('give one answer to a stream that has begun, and an answer of one of them if it is sound', () => {
    const fields: Partial<Route> = { kind: 'stream', resumable: true };
    expect(findFaults(fields, true, STARTED_ENDS, STREAM_ENDS)).to.deep.equal([]);
  });

  it('give one answer to a buffered request, and an answer of one of them if it is sound', () => {
    expect(findFaults({ kind: 'idempotent' }, false, BUFFERED_ENDS, BUFFERED_ENDS)).to.deep.equal([]);
  });
});
