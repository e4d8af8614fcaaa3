/** What a daemon knows of engines' KV caches: parts, changes that engines report, and which engines it follows. */
import { expect } from 'chai';
import fc from 'fast-check';
import { makeLabBackend } from '../lab/forwarding-site.js';
import { HttpDialect } from '../platform/http-dialect.js';
import { BackendDirectory } from '../src/forwarding/backends/backend-directory.js';
import { DEFAULT_BACKEND_HEALTH_SETTINGS } from '../src/forwarding/backends/backend-health.js';
import type { PromptOutline } from '../src/forwarding/forward-request.js';
import {
  DEFAULT_KV_FOLLOWER_SETTINGS,
  KvFollower,
  type KvChangesCall,
} from '../src/forwarding/kv-cache/kv-follower.js';
import { KvIndex } from '../src/forwarding/kv-cache/kv-index.js';
import { Snapshot } from './snapshot.js';

const SEED = 20261205;
const CAPACITY = 10_000;

function makePrompt(...parts: [string, number][]): PromptOutline {
  const all = parts.map(([id, tokens]) => ({ id, tokens }));
  const promptTokens = all.reduce((sum, part) => sum + part.tokens, 0);
  return { model: 'm', parts: all, promptTokens, maximumOutputTokens: 1 };
}

const PROMPT = makePrompt(['common', 2000], ['subject', 3000], ['own', 500]);

function makeChange(partId: string, tokens: number) {
  return { model: 'm', partId, tokens };
}

describe('index of KV caches', () => {
  it('the tokens of a part count as kept only if every part before it is kept', () => {
    const index = new KvIndex();
    const snapshot = new Snapshot('kv-index-parts');
    const addLine = (what: string) =>
      snapshot.add(`${what}: ${index.getKeptTokens('e1', PROMPT)} tokens kept`);
    addLine('nothing known');
    index.applyChange('e1', makeChange('subject', 3000), CAPACITY);
    addLine('the second part alone');
    index.applyChange('e1', makeChange('common', 1500), CAPACITY);
    addLine('and half of the first');
    index.applyChange('e1', makeChange('common', 2000), CAPACITY);
    addLine('and the whole first');
    index.applyChange('e1', makeChange('subject', 0), CAPACITY);
    addLine('the second is gone');
    index.addComputedPrompt('e1', PROMPT, CAPACITY);
    addLine('computed there again');
    index.removeEngine('e1');
    addLine('the engine has lost its cache');
    snapshot.check();
  });

  it('placements from peers apply only to an engine that is not followed', () => {
    const publisher = new KvIndex();
    publisher.addComputedPrompt('e1', PROMPT, CAPACITY);
    const placements = publisher.takeRecentPlacements();
    expect(publisher.takeRecentPlacements()).to.deep.equal([]);
    const [followed, unfollowed] = [new KvIndex(), new KvIndex()];
    followed.setFollowed('e1', true);
    for (const placement of placements) {
      followed.applyPeerPlacement(placement, CAPACITY);
      unfollowed.applyPeerPlacement(placement, CAPACITY);
    }
    expect(followed.getKeptTokens('e1', PROMPT)).to.equal(0);
    expect(unfollowed.getKeptTokens('e1', PROMPT)).to.equal(5000);
  });

  it('never assumes that an engine keeps more than its capacity, nor more than the shared parts', () => {
    const step = fc.tuple(fc.integer({ min: 0, max: 30 }), fc.integer({ min: 0, max: 4000 }));
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        const index = new KvIndex();
        for (const [part, tokens] of steps) index.applyChange('e1', makeChange(`p${part}`, tokens), CAPACITY);
        let kept = 0;
        for (let part = 0; part <= 30; part += 1) {
          const tokens = index.getKeptTokens('e1', makePrompt([`p${part}`, 4000], ['own', 10]));
          expect(tokens).to.be.within(0, 4000);
          kept += tokens;
        }
        expect(kept).to.be.at.most(CAPACITY);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});

/** A follower of engines, with its calls collected; the directory holds a plain back end as well. */
class FollowerHarness {
  readonly calls: KvChangesCall[] = [];
  readonly index = new KvIndex();
  readonly directory = new BackendDirectory(DEFAULT_BACKEND_HEALTH_SETTINGS);
  readonly follower: KvFollower;

  constructor(engines = ['e1'], daemons = 1) {
    for (const id of engines) this.directory.put({ ...makeLabBackend(id, '10.0.0.1:1'), stage: 'prefill' });
    this.directory.put(makeLabBackend('plain', '10.0.0.2:1'));
    this.follower = new KvFollower(
      DEFAULT_KV_FOLLOWER_SETTINGS,
      { countMembers: () => daemons, getCapacityTokens: () => CAPACITY },
      this.directory,
      this.index,
      (call) => this.calls.push(call),
    );
  }

  answer(epoch: string, next: number, parts: readonly string[], lost = false): void {
    const { backend } = this.calls[this.calls.length - 1];
    const changes = parts.map((part) => makeChange(part, 2000));
    this.follower.receive(backend, { epoch, next, lost, changes }, 0);
  }
}

describe('follower of KV caches', () => {
  it('calls only engines, one call at a time, and continues where the last answer ended', () => {
    const site = new FollowerHarness();
    site.follower.tick(0);
    site.follower.tick(500);
    expect(site.calls.map((call) => [call.backend.id, call.since])).to.deep.equal([['e1', 0]]);
    site.answer('a', 7, ['common']);
    site.follower.tick(100);
    expect(site.calls).to.have.length(1);
    site.follower.tick(200);
    expect(site.calls[1].since).to.equal(7);
  });

  it('a restart of the engine or a gap in its changes discards what was known before', () => {
    const site = new FollowerHarness();
    site.follower.tick(0);
    site.answer('a', 1, ['common']);
    expect(site.index.getKeptTokens('e1', PROMPT)).to.equal(2000);
    site.follower.tick(1000);
    site.answer('b', 1, []);
    expect(site.index.getKeptTokens('e1', PROMPT)).to.equal(0);
    site.follower.tick(2000);
    site.answer('b', 2, ['common']);
    site.follower.tick(3000);
    site.answer('b', 90, ['subject'], true);
    expect(site.index.getKeptTokens('e1', PROMPT)).to.equal(0);
  });

  it('an engine whose call failed is called again after a delay, and placements from peers apply until then', () => {
    const site = new FollowerHarness();
    const publisher = new KvIndex();
    publisher.addComputedPrompt('e1', PROMPT, CAPACITY);
    const [common, subject] = publisher.takeRecentPlacements();
    const getKept = () => site.index.getKeptTokens('e1', PROMPT);
    site.follower.tick(0);
    site.answer('a', 1, []);
    site.index.applyPeerPlacement(common, CAPACITY);
    expect(getKept()).to.equal(0);
    const { pauseMs, retryMs } = DEFAULT_KV_FOLLOWER_SETTINGS;
    site.follower.tick(pauseMs);
    expect(site.calls).to.have.length(2);
    site.follower.receive(site.calls[1].backend, undefined, pauseMs);
    site.index.applyPeerPlacement(common, CAPACITY);
    expect(getKept()).to.equal(2000);
    site.follower.tick(pauseMs + retryMs - 1);
    expect(site.calls).to.have.length(2);
    site.follower.tick(pauseMs + retryMs);
    expect(site.calls.map(({ since }) => since)).to.deep.equal([0, 1, 1]);
    site.answer('a', 2, []);
    site.index.applyPeerPlacement(subject, CAPACITY);
    expect(getKept()).to.equal(2000);
  });

  it('an engine whose first call failed is called again after the same delay, and placements from peers apply', () => {
    const site = new FollowerHarness();
    const publisher = new KvIndex();
    publisher.addComputedPrompt('e1', PROMPT, CAPACITY);
    site.follower.tick(0);
    site.follower.receive(site.calls[0].backend, undefined, 0);
    for (const placement of publisher.takeRecentPlacements())
      site.index.applyPeerPlacement(placement, CAPACITY);
    expect(site.index.getKeptTokens('e1', PROMPT)).to.equal(5000);
    const { retryMs } = DEFAULT_KV_FOLLOWER_SETTINGS;
    site.follower.tick(retryMs - 1);
    expect(site.calls).to.have.length(1);
    site.follower.tick(retryMs);
    expect(site.calls).to.have.length(2);
  });

  it('each engine is followed by every daemon, or by none if it cannot hold a call for each', () => {
    const engines = Array.from({ length: 12 }, (_unused, index) => `e${index}`);
    const maximumFollowers = DEFAULT_KV_FOLLOWER_SETTINGS.followers;
    for (const daemons of [1, maximumFollowers - 1, maximumFollowers, maximumFollowers + 1, 66, 195]) {
      const site = new FollowerHarness(engines, daemons);
      site.follower.tick(0);
      const followed = site.calls.map(({ backend }) => backend.id);
      expect(followed).to.deep.equal(daemons <= maximumFollowers ? engines : []);
    }
  });
});

describe('changes of KV caches on the wire', () => {
  const dialect = new HttpDialect();

  it('are parsed as the engine sends them', () => {
    const body =
      '{"epoch":240377,"next_token":3,"lost":false,"events":[[1,"+","","ee",52,"m"],[2,"-","","9f",0,"m"]]}';
    expect(dialect.parseKvChanges(200, body)).to.deep.equal({
      epoch: '240377',
      next: 3,
      lost: false,
      changes: [
        { partId: 'ee', tokens: 52, model: 'm' },
        { partId: '9f', tokens: 0, model: 'm' },
      ],
    });
  });

  it('anything that cannot be parsed counts as no answer', () => {
    const bodies = [
      '',
      '{',
      '[]',
      'null',
      '{"epoch":1}',
      '{"epoch":1,"next_token":2,"events":[[1,"+","","a",-5,"m"]]}',
    ];
    for (const body of bodies) expect(dialect.parseKvChanges(200, body)).to.equal(undefined);
    expect(dialect.parseKvChanges(429, '{"epoch":1,"next_token":2,"events":[]}')).to.equal(undefined);
    fc.assert(
      fc.property(fc.json(), (body) => {
        const answer = dialect.parseKvChanges(200, body);
        if (answer) expect(answer.next).to.satisfy(Number.isFinite);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});
