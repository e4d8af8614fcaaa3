/**
 * Requests that crash engines and servers, sent as completions and application calls. Crashes are counted by
 * request key, as for forwarded requests; requests-that-crash-back-ends.test.ts describes the failure. Without
 * a key, ten such calls crash ten servers here.
 */
import { expect } from 'chai';
import { DEFAULT_COMPLETION_DAEMON_SETTINGS } from '../src/daemon/completion-daemon-settings.js';
import { CompletionQuarantine } from '../src/daemon/completion-quarantine.js';
import type { CompletionDaemonEffect } from '../src/daemon/completion-messages.js';
import { parseServiceRow } from '../src/configuration/service-row.js';
import type { EngineReport } from '../src/contracts/engine-protocol.js';
import { AtMostOnceLedger } from '../src/ledger/at-most-once-ledger.js';
import { QuarantinedError } from '../src/errors/index.js';
import { ApplicationManager } from '../src/routing/application-manager.js';
import type { ApplicationEffect } from '../src/routing/application-messages.js';
import type { CompletionEffect } from '../src/routing/completion-effects.js';
import { CompletionManager } from '../src/routing/completion-manager.js';
import { describePrompt } from '../src/routing/completion-request.js';
import { EngineDirectory } from '../src/routing/engine-directory.js';
import { EnginePicker } from '../src/routing/engine-picker.js';
import { makeRequestKey } from '../src/quarantine/request-key.js';
import { SeededRandom } from '../src/shared/random.js';

const KEY = makeRequestKey('content', '10.0.0.9');
const OTHER_KEY = makeRequestKey('other', '10.0.0.9');
const TRIES = 10;
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

/** The quarantine of a daemon without peers; each back end that is checked turns out to have crashed. */
class QuarantineHarness {
  readonly effects: CompletionDaemonEffect[] = [];
  readonly quarantine = new CompletionQuarantine({
    selfId: 'daemon-1',
    getMembers: () => [],
    hasOlderAttempt: () => false,
    random: new SeededRandom(1),
    emit: (effect) => this.effects.push(effect),
    now: 0,
  });

  /** Answers all requested checks. */
  answerChecks(now: number): void {
    for (const effect of this.effects.splice(0))
      if (effect.kind === 'checkBackend') this.quarantine.receiveCheck(effect.backend, 'ended', now);
  }
}

function getErrors(effects: readonly (ApplicationEffect | CompletionEffect)[]): string[] {
  return effects.flatMap((effect) => (effect.kind === 'replyFailed' ? [effect.error.code] : []));
}

describe('a request that crashes engines or servers', () => {
  it('is refused as not executed once it has crashed three servers, while other requests are sent', () => {
    const harness = new QuarantineHarness();
    const effects: ApplicationEffect[] = [];
    const ledger = new AtMostOnceLedger(
      'daemon-1',
      DEFAULT_COMPLETION_DAEMON_SETTINGS.ledger,
      () => undefined,
    );
    const random = new SeededRandom(2);
    const calls = new ApplicationManager(
      ledger,
      random,
      (effect) => effects.push(effect),
      harness.quarantine,
    );
    const servers = Array.from({ length: TRIES }, (_, i) => ({
      id: `s${i}`,
      address: `a${i}`,
      leaving: false,
    }));
    const row = parseServiceRow({ name: 'docs', kind: 'application', repeatable: true });
    let crashed = 0;
    for (let i = 0; i < TRIES; i += 1) {
      calls.setServers(servers.slice(crashed));
      const call = {
        requestId: `r${i}`,
        service: 'docs',
        idempotencyKey: `k${i}`,
        receivedAt: i,
        timeoutMs: 9000,
      };
      effects.length = 0;
      calls.begin({ ...call, key: KEY }, row, i);
      const start = effects.find((effect) => effect.kind === 'startApplicationCall');
      if (!start) {
        expect(getErrors(effects)).to.deep.equal([new QuarantinedError('docs', 1).code]);
        continue;
      }
      crashed += 1;
      calls.onCallEvent(`r${i}`, start.attemptId, { kind: 'broken', reason: 'reset' }, i);
      calls.cancel(`r${i}`, i);
      harness.answerChecks(i);
    }
    expect(crashed).to.equal(3);
    effects.length = 0;
    const other = { requestId: 'o', service: 'docs', idempotencyKey: 'o', receivedAt: 20, timeoutMs: 9000 };
    calls.begin({ ...other, key: OTHER_KEY }, row, 20);
    expect(effects.map(({ kind }) => kind)).to.deep.equal(['startApplicationCall']);
  });

  it('is refused once it has crashed three engines', () => {
    const harness = new QuarantineHarness();
    const effects: CompletionEffect[] = [];
    const directory = new EngineDirectory(DEFAULT_COMPLETION_DAEMON_SETTINGS.directory);
    const picker = new EnginePicker(DEFAULT_COMPLETION_DAEMON_SETTINGS.picker, 'a', new SeededRandom(3));
    const completions = new CompletionManager({
      settings: DEFAULT_COMPLETION_DAEMON_SETTINGS.completion,
      directorySettings: DEFAULT_COMPLETION_DAEMON_SETTINGS.directory,
      directory,
      picker,
      emit: (effect) => effects.push(effect),
      attemptListener: harness.quarantine,
    });
    for (let i = 0; i < TRIES; i += 1) directory.ensure(`e${i}`, `a${i}`, 'a', 'cell').applyReport(REPORT, 0);
    const row = parseServiceRow({ name: 'grade', model: 'm', repeatable: true });
    const crashed = new Set<string>();
    for (let i = 0; i < TRIES; i += 1) {
      const now = 100 * i;
      const handled = new Set<string>();
      effects.length = 0;
      const request = { requestId: `r${i}`, service: 'grade', prompt: describePrompt('x'), maximumTokens: 4 };
      completions.begin({ ...request, receivedAt: now, timeoutMs: 9000, key: KEY }, row, now);
      for (let step = 0; step < 2 * TRIES; step += 1) {
        const start = effects.filter((effect) => effect.kind === 'startAttempt').at(-1)?.start;
        if (!start || handled.has(start.attemptId)) break;
        handled.add(start.attemptId);
        const event = crashed.has(start.engineId)
          ? { kind: 'unreachable' as const, reason: 'refused' }
          : { kind: 'broken' as const, reason: 'reset' };
        crashed.add(start.engineId);
        completions.onAttemptEvent(`r${i}`, start.attemptId, event, now);
        harness.answerChecks(now);
        completions.tick(now);
      }
      completions.cancel(`r${i}`, now);
    }
    expect(crashed.size).to.be.within(3, 4);
    expect(getErrors(effects)).to.deep.equal(['quarantined']);
  });
});
