/** An engine that is silent for a while may still answer: its silence ends no completion. In virtual time. */
import { expect } from 'chai';
import { DEFAULT_COMPLETION_DAEMON_SETTINGS } from '../src/daemon/completion-daemon-settings.js';
import { parseServiceRow } from '../src/configuration/service-row.js';
import type { EngineReport } from '../src/contracts/engine-protocol.js';
import type {
  AttemptStart,
  CompletionEffect,
  CompletionSettings,
} from '../src/routing/completion-effects.js';
import { CompletionManager } from '../src/routing/completion-manager.js';
import { describePrompt } from '../src/routing/completion-request.js';
import { EngineDirectory } from '../src/routing/engine-directory.js';
import { EnginePicker } from '../src/routing/engine-picker.js';
import { SeededRandom } from '../src/shared/random.js';

const TICK_MS = 100;
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

/** Completions of one daemon, whose engines send the first tokens and are silent from then on. */
class SilentEngines {
  readonly effects: CompletionEffect[] = [];
  private readonly manager: CompletionManager;
  private now = 0;
  private sequence = 0;
  private readonly directory: EngineDirectory;

  constructor(
    private readonly engines: number,
    settings: Partial<CompletionSettings> = {},
  ) {
    const { completion, directory: directorySettings, picker } = DEFAULT_COMPLETION_DAEMON_SETTINGS;
    const directory = new EngineDirectory(directorySettings);
    this.directory = directory;
    this.report();
    this.manager = new CompletionManager({
      settings: { ...completion, ...settings },
      directorySettings,
      directory,
      picker: new EnginePicker(picker, 'a', new SeededRandom(3)),
      emit: (effect) => this.effects.push(effect),
    });
  }

  /** Every engine reports its state. */
  private report(): void {
    this.sequence += 1;
    const report = { ...REPORT, clockMs: this.now, sequence: this.sequence };
    for (let index = 0; index < this.engines; index += 1)
      this.directory.ensure(`e${index}`, `a${index}`, 'a', 'cell').applyReport(report, this.now);
  }

  private tick(): void {
    this.now += TICK_MS;
    this.report();
    this.manager.tick(this.now);
  }

  begin(repeatable: boolean, requestId = 'r1'): void {
    const row = parseServiceRow({ name: 'grade', model: 'm', repeatable });
    const prompt = describePrompt('x');
    const times = { receivedAt: this.now, timeoutMs: COMPLETION_TIMEOUT_MS };
    this.manager.begin({ requestId, service: 'grade', prompt, maximumTokens: 4, ...times }, row, this.now);
    this.sendTokens();
  }

  /** The engine of the last attempt sends its next token. */
  sendTokens(): void {
    const { requestId, attemptId, offset } = this.getStarts().slice(-1)[0];
    const event = { kind: 'tokens', offset, texts: ['x'] } as const;
    this.manager.onAttemptEvent(requestId, attemptId, event, this.now);
  }

  getStarts(): AttemptStart[] {
    return this.effects.flatMap((effect) => (effect.kind === 'startAttempt' ? [effect.start] : []));
  }

  runUntilMoved(): void {
    const sends = this.getStarts().length;
    while (this.getStarts().length === sends && this.now < COMPLETION_TIMEOUT_MS) this.tick();
    expect(this.getStarts(), 'the request was not moved').to.have.length(sends + 1);
    this.sendTokens();
  }

  /** Checks that nothing is cancelled and no request ends before its deadline. */
  checkWaits(): void {
    const before = this.effects.length;
    while (this.now < COMPLETION_TIMEOUT_MS - TICK_MS) {
      this.tick();
      const ends = this.effects.slice(before).map(formatEnd);
      expect({ endedAt: ends.length > 0 ? this.now : 'none', ends }).to.deep.equal({
        endedAt: 'none',
        ends: [],
      });
    }
  }
}

function formatEnd(effect: CompletionEffect): string {
  return effect.kind === 'replyFailed' ? `replyFailed ${effect.error.code}` : effect.kind;
}

describe('the silence of an engine ends no completion', () => {
  it('of a service whose requests are executed once', () => {
    const site = new SilentEngines(3);
    site.begin(false);
    site.checkWaits();
  });

  it('at the last attempt that the settings allow', () => {
    const site = new SilentEngines(3, { maximumAttempts: 2, retryRatio: 1 });
    site.begin(true);
    site.runUntilMoved();
    site.checkWaits();
  });

  it('while the retry budget is empty', () => {
    const site = new SilentEngines(3, { maximumAttempts: 9, retryRatio: 0 });
    site.begin(true);
    site.runUntilMoved();
    site.checkWaits();
  });

  it('at its only engine, where its attempt is not cancelled', () => {
    const site = new SilentEngines(1, { maximumAttempts: 9, retryRatio: 1 });
    site.begin(true);
    site.checkWaits();
  });
});
