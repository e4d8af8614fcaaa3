/** Decisions of forwarding in virtual time: which back end gets a request, what is retried, what callers get. */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { digestKey } from '../platform/key-digest.js';
import type { BackendView } from '../src/forwarding/backends/backend-view.js';
import type { Route } from '../src/forwarding/routes/route.js';
import type { Member } from '../src/membership/membership-messages.js';
import { RouteTable } from '../src/forwarding/routes/route-table.js';
import { WeightedChoice } from '../src/forwarding/routes/weighted-choice.js';
import { makeEngine, ENGINES, ForwardingHarness, PLAIN, makePrompt } from './forwarding-harness.js';

const SEED = 20261202;

const OTHER_DAEMON: Member = {
  id: 'daemon-2',
  address: '10.0.0.9:1',
  zone: 'zone-a',
  region: '',
  incarnation: 1,
  state: 'alive',
};
const STREAM: Partial<Route> = { kind: 'stream', maximumAttempts: 1 };

describe('routes', () => {
  it('the longest prefix of the host wins; port, query and the case of the host are ignored', () => {
    const table = new RouteTable(
      makeLabConfiguration(1, [
        makeLabRoute({ name: 'short', pathPrefix: '/a/' }),
        makeLabRoute({ name: 'long', pathPrefix: '/a/b/' }),
        makeLabRoute({ name: 'other', host: 'other.example', pathPrefix: '/' }),
      ]),
    );
    expect(table.findRoute('SITE.example:80', '/a/b/c?x=/')?.name).to.equal('long');
    expect(table.findRoute('site.example', '/a/c')?.name).to.equal('short');
    expect(table.findRoute('site.example', '/a')).to.equal(undefined);
    expect(table.findRoute('other.example', '/a/b/')?.name).to.equal('other');
  });

  it('a weighted split gives each target its exact share in every full round', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 4 }), (weights) => {
        const targets = weights.map((weight, index) => ({ service: `s${index}`, weight }));
        const route = makeLabRoute({ targets });
        const choice = new WeightedChoice();
        const counts = new Map<string, number>();
        const round = weights.reduce((sum, weight) => sum + weight, 0);
        for (let step = 0; step < round; step += 1) {
          const service = choice.pickService(route) as string;
          counts.set(service, (counts.get(service) ?? 0) + 1);
        }
        weights.forEach((weight, index) => expect(counts.get(`s${index}`)).to.equal(weight));
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});

describe('forwarding', () => {
  it('a non-idempotent request is never retried once a back end may have received it', () => {
    const site = new ForwardingHarness([makeLabRoute({ kind: 'nonIdempotent', maximumAttempts: 3 })], PLAIN);
    site.begin();
    site.event({ kind: 'broken', reason: 'reset' }, 10);
    expect(site.getStarts()).to.have.length(1);
    expect(site.getFailures()).to.deep.equal([502]);
  });

  it('a request that no back end received is retried elsewhere, whatever its kind, without charge to the retry budget', () => {
    const site = new ForwardingHarness([makeLabRoute({ kind: 'nonIdempotent' })], PLAIN, 0);
    site.begin();
    site.event({ kind: 'unreachable', reason: 'refused' }, 10);
    expect(site.getStarts().map((start) => start.backend.id)).to.have.length(2);
    expect(site.getStarts()[1].backend.id).not.to.equal(site.getStarts()[0].backend.id);
  });

  it('a rejected request is refused as not executed when the retry budget is used up', () => {
    const site = new ForwardingHarness([makeLabRoute({})], PLAIN, 0);
    site.begin();
    site.event({ kind: 'notExecuted', status: 503, wrongIncarnation: false }, 10);
    expect(site.getStarts()).to.have.length(1);
    expect(site.getFailures()).to.deep.equal([503]);
    const [refusal] = site.getEffects('replyFailure');
    expect(refusal).to.have.property('retryAfterMs').that.is.greaterThan(0);
  });

  it('a request is executed at no more back ends than its route allows', () => {
    const site = new ForwardingHarness([makeLabRoute({ maximumAttempts: 2 })], PLAIN);
    site.begin();
    site.event({ kind: 'broken', reason: 'reset' }, 10);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getStarts()).to.have.length(2);
    expect(site.getFailures()).to.deep.equal([502]);
  });

  describe('at the timeout the answer is immediate: refused as not executed only if that is certain', () => {
    /** By then a daemon that the permits have known since the beginning is asked for them. */
    const START = 2000;
    const TIMEOUT_MS = 500;
    const DEADLINE = START + TIMEOUT_MS;
    const KEY = 'key';
    const ROUTE = makeLabRoute({ kind: 'idempotent', timeoutMs: TIMEOUT_MS });

    /** Starts a request at one of two back ends; the other needs a permit, of which nothing is heard. */
    function startBesideLimited(): ForwardingHarness {
      const site = new ForwardingHarness([ROUTE], PLAIN.slice(0, 2));
      const limited = site.directory.get('b2') as BackendView;
      limited.limit.apply(1, 0, 0);
      site.permitMembers.push(OTHER_DAEMON);
      site.permits.tick(0);
      site.permits.setLimited([limited], 0);
      site.begin({}, START);
      return site;
    }

    /** Checks that the one answer comes at the timeout and not before it, whatever arrives later. */
    function checkAnswer(site: ForwardingHarness, status: 503 | 504): void {
      const sends = site.getStarts().length;
      site.manager.tick(DEADLINE - 1);
      expect(site.getFailures()).to.deep.equal([]);
      site.manager.tick(DEADLINE);
      expect(site.getFailures()).to.deep.equal([status]);
      expect(site.manager.getActiveCount()).to.equal(0);
      const [answer] = site.getEffects('replyFailure');
      expect(answer).to.include({ requestId: 'r1', failure: 'deadline' });
      if (status === 503) expect(answer).to.have.property('retryAfterMs').that.is.greaterThan(0);
      else expect(answer).to.have.property('retryAfterMs', undefined);
      if (sends > 0) site.event({ kind: 'whole', status: 200 }, DEADLINE + 1);
      site.manager.tick(DEADLINE + 1000);
      expect(site.getFailures()).to.deep.equal([status]);
      expect(site.getEffects('replyWhole')).to.deep.equal([]);
      expect(site.getStarts()).to.have.length(sends);
    }

    for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const)
      it(`504 while a back end has the request (${kind}), and the attempt is aborted`, () => {
        const site = new ForwardingHarness([makeLabRoute({ kind, timeoutMs: TIMEOUT_MS })], PLAIN);
        site.begin({}, START);
        checkAnswer(site, 504);
        const [{ attemptId }] = site.getStarts();
        expect(site.getEffects('abortAttempt')).to.deep.equal([{ kind: 'abortAttempt', attemptId }]);
      });

    it('504 while it waits to be sent again after an attempt broke', () => {
      const site = startBesideLimited();
      site.event({ kind: 'broken', reason: 'reset' }, DEADLINE - 1);
      checkAnswer(site, 504);
      expect(site.getEffects('abortAttempt')).to.deep.equal([]);
    });

    for (const event of [
      { kind: 'unreachable', reason: 'refused' },
      { kind: 'notExecuted', status: 503, wrongIncarnation: false },
    ] as const)
      it(`503 while it waits to be sent again after an attempt that executed nothing (${event.kind})`, () => {
        const site = startBesideLimited();
        site.event(event, DEADLINE - 1);
        checkAnswer(site, 503);
      });

    it('503 while it waits for its quota and was never sent', () => {
      const site = new ForwardingHarness([ROUTE], PLAIN);
      const quota = { ratePerSecond: 1, burst: 1, countsTokens: false, plainCost: 1 };
      site.tenants.apply([{ name: 'tenant', keyDigests: [digestKey(KEY)], quota }]);
      site.takeQuota = () => ({ kind: 'waiting' });
      site.begin({ keyDigest: digestKey(KEY) }, START);
      checkAnswer(site, 503);
      expect(site.getStarts()).to.deep.equal([]);
    });
  });

  it('a back end gets no more time than the deadlines of the caller and the route leave', () => {
    const site = new ForwardingHarness([makeLabRoute({ timeoutMs: 800 })], PLAIN);
    site.begin({ callerDeadlineMs: 600 });
    site.event({ kind: 'unreachable', reason: 'refused' }, 100);
    expect(site.getStarts().map((start) => start.remainingMs)).to.deep.equal([600, 500]);
  });

  it('a request whose caller disconnects is aborted and removed from its back end', () => {
    const site = new ForwardingHarness([makeLabRoute({})], PLAIN);
    site.begin();
    site.manager.cancel('r1', 10);
    expect(site.getEffects('abortAttempt')).to.have.length(1);
    expect(site.manager.getActiveCount()).to.equal(0);
    expect([...site.directory.all()].reduce((sum, view) => sum + view.inFlight(), 0)).to.equal(0);
  });

  it('a path without a route gets 404 only while the configuration is confirmed, else 503', () => {
    const site = new ForwardingHarness([makeLabRoute({})], PLAIN);
    site.begin({ path: '/none' });
    site.stale = true;
    site.begin({ id: 'r2', path: '/none' });
    expect(site.getFailures()).to.deep.equal([404, 503]);
  });

  it('requests after admission has closed are refused with a Retry-After', () => {
    const site = new ForwardingHarness([makeLabRoute({})], PLAIN);
    site.manager.closeForNew();
    site.begin();
    expect(site.getFailures()).to.deep.equal([503]);
    expect(site.getStarts()).to.have.length(0);
  });

  it('a back end gets no more concurrent requests than this daemon’s share of its connections', () => {
    const [only] = PLAIN;
    const site = new ForwardingHarness([makeLabRoute({})], [{ ...only, slots: 1000 }]);
    for (let count = 0; count < 95; count += 1) site.begin({ id: `r${count}` });
    expect(site.getStarts()).to.have.length(90);
    expect(site.getFailures()).to.deep.equal([503, 503, 503, 503, 503]);
  });

  it('no further requests go to an address that another incarnation has taken over', () => {
    const site = new ForwardingHarness([makeLabRoute({})], PLAIN);
    site.begin();
    const [{ backend }] = site.getStarts();
    site.event({ kind: 'notExecuted', status: 421, wrongIncarnation: true }, 10);
    expect(site.directory.get(backend.id)?.takesWork()).to.equal(false);
  });
});

describe('streams', () => {
  it('a resumable stream is resumed at another back end after its last complete event', () => {
    const site = new ForwardingHarness(
      [makeLabRoute({ ...STREAM, resumable: true, maximumAttempts: 2 })],
      PLAIN,
    );
    site.begin();
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'streamProgress', lastEventId: '7' }, 20);
    site.event({ kind: 'broken', reason: 'reset' }, 30);
    expect(site.getStarts()[1].resumeAfter).to.equal('7');
  });

  it('a prompt is computed separately again only if the attempts that the route allows suffice for that and the generation', () => {
    const route = makeLabRoute({ ...STREAM, resumable: true, maximumAttempts: 2 });
    const site = new ForwardingHarness(
      [route],
      [...ENGINES, makeEngine('p3', 'prefill'), makeEngine('d3', 'decode')],
    );
    site.begin({ prompt: makePrompt(400, 100) });
    site.event({ kind: 'prefilled', handle: 'h1' }, 10);
    site.event({ kind: 'streamStarted' }, 20);
    site.event({ kind: 'broken', reason: 'reset' }, 30);
    expect(site.getStarts()[2]).to.include({ prefillOnly: false });
    expect(site.getStarts()[2].backend.stage).to.equal('decode');
    site.event({ kind: 'broken', reason: 'reset' }, 31);
    expect(site.getStarts()).to.have.length(3);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('a stream is not moved because of a process pause', () => {
    const site = new ForwardingHarness(
      [makeLabRoute({ ...STREAM, resumable: true, maximumAttempts: 2 })],
      PLAIN,
    );
    site.begin({ callerDeadlineMs: 9000 });
    site.event({ kind: 'streamStarted' }, 10);
    for (let now = 20; now < 200; now += 20) site.manager.tick(now);
    site.manager.onProcessResumed(1800);
    site.manager.tick(1800);
    site.event({ kind: 'streamProgress', lastEventId: '2' }, 1801);
    for (let now = 1820; now < 2000; now += 20) site.manager.tick(now);
    expect(site.getStarts()).to.have.length(1);
  });

  it('a stream whose second engine is lost too is resumed at a third', () => {
    const route = makeLabRoute({ ...STREAM, resumable: true, maximumAttempts: 4 });
    const site = new ForwardingHarness(
      [route],
      [...ENGINES, makeEngine('p3', 'prefill'), makeEngine('d3', 'decode')],
    );
    site.begin({ prompt: makePrompt(400, 100) });
    site.event({ kind: 'prefilled', handle: 'h1' }, 10);
    site.event({ kind: 'streamStarted' }, 20);
    site.event({ kind: 'broken', reason: 'reset' }, 30);
    site.event({ kind: 'broken', reason: 'reset' }, 31);
    expect(site.getFailures()).to.deep.equal([]);
    expect(site.getStarts()).to.have.length(4);
  });

  it('a stream whose second engine answers with a failure is broken off, not ended as if it were complete', () => {
    const site = new ForwardingHarness(
      [makeLabRoute({ ...STREAM, resumable: true, maximumAttempts: 2 })],
      PLAIN,
    );
    site.begin();
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'streamProgress', lastEventId: '7' }, 20);
    site.event({ kind: 'broken', reason: 'reset' }, 30);
    site.event({ kind: 'whole', status: 500 }, 40);
    expect(site.getFailures()).to.deep.equal(['broken']);
    expect(site.getEffects('replyWhole')).to.have.length(0);
  });

  it('a stream that is not resumable is broken off, never finished by another attempt', () => {
    const site = new ForwardingHarness([makeLabRoute(STREAM)], PLAIN);
    site.begin();
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'broken', reason: 'reset' }, 30);
    expect(site.getStarts()).to.have.length(1);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('a long prompt is computed by a prefill engine and generated by a decode engine', () => {
    const site = new ForwardingHarness([makeLabRoute(STREAM)], ENGINES);
    site.begin({ prompt: makePrompt(3000, 13_000) });
    expect(site.getStarts()[0]).to.include({ prefillOnly: true });
    expect(site.getStarts()[0].backend.stage).to.equal('prefill');
    site.event({ kind: 'prefilled', handle: 'h1' }, 100);
    expect(site.getStarts()[1]).to.include({ prefillOnly: false });
    expect(site.getStarts()[1].backend.stage).to.equal('decode');
    expect(site.getStarts()[1].kvSource?.handle).to.equal('h1');
  });

  it('a KV cache that will not be used is freed', () => {
    const site = new ForwardingHarness([makeLabRoute(STREAM)], ENGINES);
    site.begin({ prompt: makePrompt(3000, 13_000) });
    site.event({ kind: 'prefilled', handle: 'h1' }, 100);
    site.manager.cancel('r1', 110);
    expect(site.getEffects('freeKv')).to.have.length(1);
  });

  it('computing a prompt again takes as much of the retry budget as the generation after it', () => {
    const slack = 10;
    const engines = ['a', 'b', 'c', 'd', 'e'].flatMap((name) => [
      makeEngine(`p${name}`, 'prefill'),
      makeEngine(`d${name}`, 'decode'),
    ]);
    const site = new ForwardingHarness([makeLabRoute({ ...STREAM, maximumAttempts: 9 })], engines, slack);
    const requests = 12;
    for (let i = 0; i < requests; i += 1) {
      site.begin({ id: `r${i}`, prompt: makePrompt(2000, 0) });
      for (;;) {
        const before = site.getStarts().length;
        const last = site.getStarts()[before - 1];
        if (last.requestId !== `r${i}`) break;
        site.event(
          last.prefillOnly
            ? { kind: 'prefilled', handle: `h${before}` }
            : { kind: 'notExecuted', status: 503, wrongIncarnation: false },
          1,
        );
        if (site.getStarts().length === before) break;
      }
    }
    // The first separate computation of a prompt is free, and the first generation after it is no retry.
    const retries = site.getStarts().length - 2 * requests;
    expect(retries).to.be.within(1, slack);
  });

  it('a long prompt yields to short ones of the same priority, never to a lower priority', () => {
    const getUrgency = (priority: number, own: number): number => {
      const site = new ForwardingHarness([makeLabRoute({ ...STREAM, priority })], ENGINES);
      site.begin({ prompt: makePrompt(own, 0) });
      return site.getStarts()[0].urgency;
    };
    expect(getUrgency(1, 2000)).to.be.lessThan(getUrgency(1, 20_000));
    expect(getUrgency(1, 20_000)).to.be.lessThan(getUrgency(2, 2000));
  });

  it('if every decode engine is unhealthy one of them is tried anyway: no prefill engine can replace it', () => {
    const site = new ForwardingHarness([makeLabRoute(STREAM)], ENGINES);
    for (const id of ['d1', 'd2']) site.directory.get(id)?.health.onUnreachable(0);
    site.begin({ prompt: makePrompt(100, 50) });
    site.begin({ id: 'r2', prompt: makePrompt(3000, 13_000) });
    expect(site.getFailures()).to.deep.equal([]);
    expect(site.getStarts().map((start) => start.backend.stage)).to.deep.equal(['decode', 'prefill']);
    site.event({ kind: 'prefilled', handle: 'h' }, 50);
    expect(site.getStarts().at(-1)?.backend.stage).to.equal('decode');
  });

  it('a short prompt goes to a decode engine directly', () => {
    const site = new ForwardingHarness([makeLabRoute(STREAM)], ENGINES);
    site.begin({ prompt: makePrompt(100, 50) });
    expect(site.getStarts()[0].backend.stage).to.equal('decode');
    expect(site.getStarts()[0].prefillOnly).to.equal(false);
  });

  it('prompts with the same shared parts go to one home engine, which every daemon computes by itself', () => {
    const homes = new Set<string>();
    for (let daemon = 0; daemon < 5; daemon += 1) {
      const site = new ForwardingHarness([makeLabRoute(STREAM)], ENGINES);
      site.begin({ prompt: makePrompt(3000 + daemon, 13_000, 'subject') });
      homes.add(site.getStarts()[0].backend.id);
    }
    expect(homes.size).to.equal(1);
  });

  it('a busy engine is not taken for a silent one: the stall limit grows with the queued prompts', () => {
    const site = new ForwardingHarness([makeLabRoute({ ...STREAM, timeoutMs: 9000 })], ENGINES);
    site.begin({ prompt: makePrompt(50_000, 2000), callerDeadlineMs: 9000 });
    site.manager.tick(2500);
    expect(site.getStarts()).to.have.length(1);
    site.manager.tick(5000);
    expect(site.getStarts().length).to.be.greaterThan(1);
  });
});

describe('a home engine that has not computed the shared parts yet', () => {
  it('is allowed the time that the whole prompt takes', () => {
    const site = new ForwardingHarness([makeLabRoute({ ...STREAM, timeoutMs: 9000 })], ENGINES);
    site.begin({ prompt: makePrompt(2000, 40_000), callerDeadlineMs: 9000 });
    site.manager.tick(2000);
    expect(site.getStarts()).to.have.length(1);
    expect(site.directory.get(site.getStarts()[0].backend.id)?.pendingTokens()).to.equal(42_000);
  });

  it('saves their tokens once they are known to be in its KV cache', () => {
    const site = new ForwardingHarness([makeLabRoute(STREAM)], ENGINES);
    site.begin({ prompt: makePrompt(2000, 13_000) });
    site.event({ kind: 'prefilled', handle: 'h' }, 300);
    site.begin({ id: 'r2', prompt: makePrompt(1000, 13_000) }, 400);
    const home = site.getStarts()[0].backend.id;
    expect(site.getStarts().at(-1)?.backend.id).to.equal(home);
    expect(site.directory.get(home)?.pendingTokens()).to.equal(1000);
  });
});
