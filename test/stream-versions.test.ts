/**
 * Back ends of several software versions serve one service. A stream goes on only at the version that began it, within
 * one answer. Every test forces an order of events in virtual time.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabRoute } from '../lab/forwarding-site.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { readServer } from '../platform/records.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import type { Member } from '../src/membership/membership-messages.js';
import { ENGINES, ForwardingHarness, makePrompt } from './forwarding-harness.js';
import { BACKENDS, makeVersion, RESUMABLE } from './stream-site.js';

const VERSIONED_ENGINES = ENGINES.map((engine, index) => ({
  ...engine,
  version: index % 2 === 0 ? 'v1' : 'v2',
}));

function makePeer(address: string): Member {
  return { id: address, address, zone: 'zone-a', region: 'main', incarnation: 1, state: 'alive' };
}

describe('a stream goes on only at the version that began it', () => {
  it('when its back end breaks it off within one answer', () => {
    for (let run = 0; run < 20; run += 1) {
      const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], BACKENDS);
      site.begin({ id: `r${run}` });
      // Draws another first back end in each run.
      for (let draw = 0; draw < run; draw += 1) site.begin({ id: `r${run}-${draw}` });
      site.event({ kind: 'streamStarted' }, 10);
      site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
      const began = site.getStarts().at(-1)?.backend.version;
      site.event({ kind: 'broken', reason: 'reset' }, 20);
      const next = site.getStarts().at(-1);
      expect(next?.resumeAfter).to.equal('1');
      expect(next?.backend.version).to.equal(began);
    }
  });

  it('whatever ends its attempts, through tunnels, with prompts and back ends that advertise limits', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 7 }), { maxLength: 12 }), fc.nat(30), (steps, seed) => {
        const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], [...BACKENDS, ...VERSIONED_ENGINES]);
        site.peers.push(makePeer('10.0.9.1:1'));
        const prompt = seed % 2 === 0 ? makePrompt(2000, 9000) : undefined;
        site.begin({ prompt, callerDeadlineMs: 4000 });
        let now = 10;
        let began: string | undefined;
        for (const step of steps) {
          const starts = site.getStarts();
          const last = starts.at(-1) as AttemptStart;
          if (began !== undefined && !last.prefillOnly) expect(last.backend.version).to.equal(began);
          if (last.prefillOnly) site.event({ kind: 'prefilled', handle: 'h' }, now);
          else if (step < 3) {
            site.event({ kind: 'streamStarted' }, now);
            site.event({ kind: 'streamProgress', lastEventId: String(now) }, now);
            began ??= last.backend.version ?? undefined;
          } else if (step < 5) site.event({ kind: 'broken', reason: 'reset' }, now);
          else if (step === 5) site.event({ kind: 'unreachable', reason: 'refused' }, now);
          else if (step === 6) site.event({ kind: 'notExecuted', status: 503, wrongIncarnation: false }, now);
          else for (const end = now + 600; now < end; now += 20) site.manager.tick(now);
          now += 10;
        }
        for (const start of site.getStarts().filter(({ resumeAfter }) => resumeAfter !== undefined))
          expect(start.backend.version).to.equal(began);
      }),
      { seed: 73, numRuns: 400 },
    );
  });

  it('and is broken off at once when no back end of that version is left', () => {
    const site = beginAt(['v1', 'v2', 'v2']);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getStarts()).to.have.length(1);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('and is broken off when the record of its back end has changed its version', () => {
    const site = beginAt(['v1', 'v1', 'v2']);
    const [{ backend }] = site.getStarts();
    site.directory.put({ ...backend, version: 'v2' });
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('and is broken off when its first event came after such a change', () => {
    const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], [makeVersion('b1', 'v1')]);
    site.begin();
    site.directory.put(makeVersion('b1', 'v2'));
    site.directory.put(makeVersion('b2', 'v2'));
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('and is broken off when the version is not known', () => {
    const records = ['b1', 'b2'].map((id) => ({ ...makeVersion(id, ''), version: null }));
    const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], records);
    site.begin();
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('and before its first event may go to any version', () => {
    const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], [makeVersion('b1', 'v1')]);
    site.begin();
    site.directory.put(makeVersion('b2', 'v2'));
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getStarts().map(({ backend }) => backend.version)).to.deep.equal(['v1', 'v2']);
  });

  it('and where the platform reports no versions, at any back end', () => {
    const records = ['b1', 'b2'].map((id) => makeVersion(id, ''));
    const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], records);
    site.begin();
    site.event({ kind: 'streamStarted' }, 10);
    site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
    site.event({ kind: 'broken', reason: 'reset' }, 20);
    expect(site.getStarts()).to.have.length(2);
  });

  it('and is not told to other daemons under an id that their messages cannot carry', () => {
    for (const callerId of ['', 'x'.repeat(513)]) {
      const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], BACKENDS);
      site.begin({ callerId });
      site.event({ kind: 'streamStarted' }, 10);
      site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
      expect(site.streamOrigins.size).to.equal(0);
    }
  });

  it('and only at the service that began it, where a route leads to several', () => {
    const targets = ['service', 'other'].map((service) => ({ service, weight: 1 }));
    const others = BACKENDS.map((record) => ({ ...record, id: `o${record.id}`, service: 'other' }));
    const site = new ForwardingHarness([makeLabRoute({ ...RESUMABLE, targets })], [...BACKENDS, ...others]);
    for (let run = 0; run < 20; run += 1) {
      site.streamOrigins.set('s', { service: 'other', backendId: 'ob1', version: 'v1' });
      site.begin({ id: `r${run}`, resumption: { firstAttemptId: 's', lastEventId: '1' } });
      const backend = site.getStarts().at(-1)?.backend;
      expect([backend?.service, backend?.version]).to.deep.equal(['other', 'v1']);
    }
  });
});

/** Begins a stream at a back end of the first of these versions; further back ends are added after it was sent. */
function beginAt([first, ...others]: readonly string[]): ForwardingHarness {
  const site = new ForwardingHarness([makeLabRoute(RESUMABLE)], [makeVersion('b1', first)]);
  site.begin();
  others.forEach((version, index) => site.directory.put(makeVersion(`b${index + 2}`, version)));
  site.event({ kind: 'streamStarted' }, 10);
  site.event({ kind: 'streamProgress', lastEventId: '1' }, 12);
  return site;
}

describe('the headers of a caller that takes a stream up', () => {
  const parse = (...headers: string[]): unknown => new HttpDialect().parseCallerHead(headers).resumption;

  it('name the attempt that brought the first event, and the last event', () => {
    expect(parse('Resumes', 'a', 'Last-Event-Id', '3')).to.deep.equal({
      firstAttemptId: 'a',
      lastEventId: '3',
    });
    expect(parse('last-event-id', '3')).to.deep.equal({ firstAttemptId: undefined, lastEventId: '3' });
    expect(parse('Resumes', 'a', 'Resumes', 'b')).to.deep.equal({
      firstAttemptId: undefined,
      lastEventId: undefined,
    });
    expect(parse('X-Attempt-Id', 'a')).to.equal(undefined);
  });
});

describe('the record of a back end', () => {
  const row = { service: 's', addr: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready' };
  const readVersion = (fields: object): unknown =>
    readServer('b', JSON.stringify({ ...row, ...fields })).version;

  it('names its version, none, or one that cannot be read and is not known', () => {
    expect(readVersion({ version: 'v1.2' })).to.equal('v1.2');
    expect(readVersion({})).to.equal('');
    for (const version of [12, null, 'x'.repeat(513)]) expect(readVersion({ version })).to.equal(null);
  });
});
