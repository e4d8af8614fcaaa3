/**
 * What follows when a back end is given up because it is silent, and what else is judged by silence. Every test
 * forces an order of events in virtual time.
 */
import { expect } from 'chai';
import { makeLabBackend, makeLabRoute } from '../lab/forwarding-site.js';
import { parseServiceRow } from '../src/configuration/service-row.js';
import type { EngineReport } from '../src/contracts/engine-protocol.js';
import { DEFAULT_COMPLETION_DAEMON_SETTINGS } from '../src/daemon/completion-daemon-settings.js';
import type { BackendView } from '../src/forwarding/backends/backend-view.js';
import type { ForwardRequest } from '../src/forwarding/forward-request.js';
import { DEFAULT_FORWARD_SETTINGS } from '../src/forwarding/forward-settings.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';
import { CrashDetector } from '../src/quarantine/crash-detector.js';
import type { CompletionEffect, CompletionSettings } from '../src/routing/completion-effects.js';
import { CompletionManager } from '../src/routing/completion-manager.js';
import { describePrompt } from '../src/routing/completion-request.js';
import { EngineDirectory } from '../src/routing/engine-directory.js';
import { EnginePicker } from '../src/routing/engine-picker.js';
import { SeededRandom } from '../src/shared/random.js';
import type { RegionByZone } from '../src/places/places.js';
import { ForwardingHarness } from './forwarding-harness.js';

const TICK_MS = 20;
const TIMEOUT_MS = 4000;
const RESUMABLE: Partial<Route> = { kind: 'stream', resumable: true };
const REFUSED = { kind: 'unreachable', reason: 'refused' } as const;
const REJECTED = { kind: 'notExecuted', status: 503, wrongIncarnation: false } as const;

/** Requests of one daemon, whose back ends are silent unless a test sends an event. */
class SilentSite extends ForwardingHarness {
  now = 0;

  constructor(
    route: Partial<Route>,
    backends: readonly BackendRecord[],
    slack = 50,
    regionByZone: RegionByZone = {},
  ) {
    super([makeLabRoute({ timeoutMs: TIMEOUT_MS, ...route })], backends, slack, regionByZone);
  }

  beginRequest(fields: Partial<ForwardRequest> = {}): void {
    this.begin({ callerDeadlineMs: TIMEOUT_MS, ...fields, arrivedAt: this.now }, this.now);
  }

  beginStream(): void {
    this.event({ kind: 'streamStarted' }, this.now);
    this.event({ kind: 'streamProgress', lastEventId: String(this.now) }, this.now);
  }

  runSilence(ms: number): void {
    for (const end = this.now + ms; this.now < end;) this.manager.tick((this.now += TICK_MS));
  }

  runUntilMoved(): void {
    const sends = this.getStarts().length;
    while (this.getStarts().length === sends && this.now < TIMEOUT_MS)
      this.manager.tick((this.now += TICK_MS));
    expect(this.getStarts(), 'the request was not moved').to.have.length(sends + 1);
  }

  /** The back ends that requests were sent to, in order. */
  getSentTo(): string[] {
    return this.getStarts().map(({ backend }) => backend.id);
  }

  /** Checks that the request is still open, and is answered by this attempt. */
  checkAnswered(attemptId: string): void {
    expect(this.getFailures()).to.deep.equal([]);
    this.eventOf(attemptId, { kind: 'whole', status: 200 }, this.now);
    expect(this.getEffects('replyWhole')).to.deep.equal([{ kind: 'replyWhole', requestId: 'r1', attemptId }]);
  }

  getView(id: string): BackendView {
    return this.directory.get(id) as BackendView;
  }

  fill(id: string, count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.getView(id).addAttempt(`other/${index}`, 0, this.now);
      this.getView(id).onAnswering(`other/${index}`, this.now);
    }
  }
}

function makeBackends(count: number, zone = 'zone-a', prefix = 'b'): BackendRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const id = `${prefix}${index + 1}`;
    return { ...makeLabBackend(id, `10.0.0.1:${id}`), zone };
  });
}

describe('a request that left a silent back end', () => {
  it('goes on when its successor refuses the connection and no send is left', () => {
    const { maximumSends } = DEFAULT_FORWARD_SETTINGS;
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(maximumSends + 3));
    site.beginRequest();
    for (let send = 2; send < maximumSends; send += 1) site.event(REFUSED, site.now);
    site.beginStream();
    site.runUntilMoved();
    site.event(REFUSED, site.now);
    expect(site.getFailures(), `ended at ${site.now} of ${TIMEOUT_MS} ms`).to.deep.equal([]);
  });

  it('goes on when the connections to all successors time out', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9, timeoutMs: 9000 }, makeBackends(9));
    site.beginRequest({ callerDeadlineMs: 9000 });
    site.beginStream();
    site.runUntilMoved();
    for (let send = 0; send < 9 && site.getFailures().length === 0; send += 1) {
      site.runSilence(500);
      site.event({ kind: 'unreachable', reason: 'UND_ERR_CONNECT_TIMEOUT' }, site.now);
    }
    expect(site.getFailures(), `ended at ${site.now} of 9000 ms`).to.deep.equal([]);
  });

  it('goes on when its successor rejects it and all others are overloaded', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(3));
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    const rest = ['b1', 'b2', 'b3'].find((id) => !site.getSentTo().includes(id)) as string;
    site.fill(rest, 40);
    site.event(REJECTED, site.now);
    expect(site.getFailures(), `ended at ${site.now} of ${TIMEOUT_MS} ms`).to.deep.equal([]);
  });

  it('goes on when its successor rejects it and the silent one has advertised a limit meanwhile', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    site.getView(site.getSentTo()[0]).limit.apply(5, site.now, site.now);
    site.permits.setLimited([site.getView(site.getSentTo()[0])], site.now);
    site.event(REJECTED, site.now);
    expect(site.getFailures(), `ended at ${site.now} of ${TIMEOUT_MS} ms`).to.deep.equal([]);
  });

  it('goes back before it tries back ends that are known to be lost', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(6));
    site.beginRequest();
    site.beginStream();
    const [live] = site.getSentTo();
    const others = makeBackends(6).flatMap(({ id }) => (id === live ? [] : [id]));
    for (const id of others.slice(1)) site.getView(id).health.onUnreachable(site.now);
    site.runUntilMoved();
    site.event(REJECTED, site.now);
    expect(site.getSentTo()).to.deep.equal([live, others[0]]);
    site.checkAnswered('r1/1');
  });

  it('goes on there, and is not sent there again, when its successor refuses the connection', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    for (let event = 0; event < 6; event += 1) site.event(REFUSED, site.now);
    site.runSilence(1000);
    const [first, second] = site.getSentTo();
    expect(site.getSentTo()).to.deep.equal([first, second]);
    site.checkAnswered('r1/1');
  });

  it('goes back once, and takes no further retries of the budget for a back end that rejects it', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.beginStream();
    const before = site.retries.getRetriesLeft('service', 1, site.now);
    site.runUntilMoved();
    for (let event = 0; event < 6; event += 1) site.event(REJECTED, site.now);
    expect(before - site.retries.getRetriesLeft('service', 1, site.now)).to.be.at.most(2);
  });

  it('is not sent there again after it broke there', () => {
    const site = new SilentSite({ ...RESUMABLE, maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.beginStream();
    site.runUntilMoved();
    site.event(REFUSED, site.now);
    for (let event = 0; event < 4; event += 1)
      site.eventOf('r1/1', { kind: 'broken', reason: 'reset' }, site.now);
    const [first, second] = site.getSentTo();
    expect(site.getSentTo()).to.deep.equal([first, second]);
    expect(site.getFailures()).to.deep.equal(['broken']);
  });

  it('goes back when its successor is silent too and the first one answers others again', () => {
    const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    site.runUntilMoved();
    const [first] = site.getSentTo();
    while (site.now < TIMEOUT_MS - 1000) {
      site.getView(first).health.addSuccess(site.now);
      site.runSilence(200);
    }
    expect(site.getSentTo().at(-1)).to.equal(first);
  });
});

describe('a request at a silent back end', () => {
  it('does not move to a region that is cut off', () => {
    const regions = { 'zone-a': 'r1', 'zone-c': 'r2' };
    for (let other = 0; other < 12; other += 1) {
      const backends = [...makeBackends(1), ...makeBackends(3, 'zone-c', 'f')];
      const site = new SilentSite({ maximumAttempts: 9 }, backends, 50, regions);
      for (const id of ['f1', 'f2']) site.getView(id).health.onUnreachable(site.now);
      site.distance.setCutOff(new Set(['r2']));
      for (let drawn = 0; drawn < other; drawn += 1) site.begin({ id: `other${drawn}` });
      for (let drawn = 0; drawn < other; drawn += 1) site.manager.cancel(`other${drawn}`, 0);
      const before = site.getStarts().length;
      site.beginRequest();
      site.runSilence(2000);
      expect(site.getSentTo().slice(before), `after ${other} other requests`).to.deep.equal(['b1']);
    }
  });

  it('does not move to a back end that the other daemons avoid', () => {
    const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    const [live] = site.getSentTo();
    const other = live === 'b1' ? 'b2' : 'b1';
    site.directory.applyFleetLoads('relay', [[other, 0, 0, 9]], site.now);
    site.runSilence(2000);
    expect(site.getSentTo()).to.deep.equal([live]);
  });

  it('moves to one that answers though it failed often a while ago, as new requests do', () => {
    const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(2));
    site.beginRequest();
    const [live] = site.getSentTo();
    const other = live === 'b1' ? 'b2' : 'b1';
    site.runSilence(800);
    for (let failure = 0; failure < 3; failure += 1) site.getView(other).health.addFailure(site.now);
    while (site.now < TIMEOUT_MS - 100 && site.getStarts().length === 1) {
      site.getView(other).health.onAnswering(site.now);
      site.runSilence(20);
    }
    expect(site.now, 'time of the move').to.be.lessThan(1000);
  });

  it('leaves a silent connection for a newer one to the only back end, which answered a second ago', () => {
    const site = new SilentSite({ maximumAttempts: 9 }, makeBackends(1));
    site.beginRequest();
    site.runSilence(1300);
    site.getView('b1').health.addSuccess(site.now);
    site.runSilence(900);
    site.event({ kind: 'connectionSilent' }, site.now);
    site.runSilence(1000);
    expect(site.getSentTo()).to.deep.equal(['b1', 'b1']);
  });
});

describe('a back end whose new connections time out for two seconds', () => {
  it('is not found to have crashed', () => {
    const detector = new CrashDetector(
      () => false,
      () => undefined,
    );
    const backend = { id: 'b1', incarnation: 'b1', address: '10.0.0.1:80' };
    detector.addBrokenAttempt(backend, { key: 'a', parts: [], startedAt: 0, at: 0 });
    const crashes = [500, 1100, 1700].flatMap((at) => {
      const found = detector.receiveCheck(backend, 'unclear', at);
      detector.tick(at + 100);
      return found;
    });
    expect(crashes).to.deep.equal([]);
  });
});

const COMPLETION_TIMEOUT_MS = 60_000;
const REPORT: EngineReport = {
  assignment: { role: 'mixed', model: 'm', version: 1, adapters: [] },
  phase: 'active',
  streams: 0,
  maximumStreams: 8,
  waitingPrefillTokens: 0,
  cachedShare: 0,
  capability: {
    prefillRate: 10_000,
    decodeRate: 1000,
    mixedPrefillRate: 10_000,
    mixedPromptOnlyRate: 10_000,
    mixedDecodeRate: 1000,
    mixedOutputOnlyRate: 1000,
    roleChangeMs: 3000,
  },
  clockMs: 0,
  epoch: 0,
  sequence: 0,
};

/** Completions of one daemon, whose engines have sent the first token. */
class CompletionSite {
  readonly effects: CompletionEffect[] = [];
  readonly manager: CompletionManager;
  now = 0;
  private sequence = 0;
  private readonly directory: EngineDirectory;

  constructor(
    private readonly engines: number,
    settings: Partial<CompletionSettings> = {},
  ) {
    const { completion, directory: directorySettings, picker } = DEFAULT_COMPLETION_DAEMON_SETTINGS;
    this.directory = new EngineDirectory(directorySettings);
    this.report();
    this.manager = new CompletionManager({
      settings: { ...completion, ...settings },
      directorySettings,
      directory: this.directory,
      picker: new EnginePicker(picker, 'a', new SeededRandom(3)),
      emit: (effect) => this.effects.push(effect),
    });
    const row = parseServiceRow({ name: 'grade', model: 'm', repeatable: true });
    const times = { receivedAt: 0, timeoutMs: COMPLETION_TIMEOUT_MS };
    const prompt = describePrompt('x');
    this.manager.begin({ requestId: 'r1', service: 'grade', prompt, maximumTokens: 4, ...times }, row, 0);
    this.manager.onAttemptEvent('r1', 'r1/1', { kind: 'tokens', offset: 0, texts: ['x'] }, 0);
  }

  report(): void {
    this.sequence += 1;
    const report = { ...REPORT, clockMs: this.now, sequence: this.sequence };
    for (let index = 0; index < this.engines; index += 1)
      this.directory.ensure(`e${index}`, `a${index}`, 'a', 'cell').applyReport(report, this.now);
  }

  run(ms: number, reports: boolean): void {
    for (const end = this.now + ms; this.now < end;) {
      this.now += 100;
      if (reports) this.report();
      this.manager.tick(this.now);
    }
  }

  getEnds(): string[] {
    return this.effects.flatMap((effect) => {
      if (effect.kind === 'replyFailed') return [`replyFailed ${effect.error.code}`];
      return effect.kind === 'cancelAttempt' ? ['cancelAttempt'] : [];
    });
  }
}

describe('a completion at an engine', () => {
  it('is not given up for the silence of a pause of this process', () => {
    const site = new CompletionSite(3, { maximumAttempts: 9, retryRatio: 1 });
    site.run(1000, true);
    site.now += DEFAULT_COMPLETION_DAEMON_SETTINGS.completion.attemptStallMs;
    site.manager.tick(site.now);
    expect(site.getEnds()).to.deep.equal([]);
  });

  it('waits for it while no engine reports its state', () => {
    const site = new CompletionSite(3, { maximumAttempts: 9, retryRatio: 1 });
    while (site.getEnds().length < 2 && site.now < 40_000) site.run(100, false);
    expect(site.getEnds(), `at ${site.now} of ${COMPLETION_TIMEOUT_MS} ms`).to.deep.equal([]);
  });
});
