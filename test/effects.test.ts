/** What both state machines ask for in drawn days with faults: pinned, so that a change of the code's shape is seen to change nothing else. */
import { expect } from 'chai';
import { parse } from 'devalue';
import fc from 'fast-check';
import { runFaults } from '../simulation/fault-run.js';
import { drawnFaults } from '../simulation/drawn-faults.js';
import { decodePeerMessage, encodePeerMessage } from '../src/adapters/peer-codec.js';
import { CompletionDaemon } from '../src/daemon/completion-daemon.js';
import { DEFAULT_COMPLETION_DAEMON_SETTINGS } from '../src/daemon/completion-daemon-settings.js';
import { RandomFleetRun } from './drawn-day.js';
import { COMPLETION_LABELS, EffectsDigest } from './effects-digest.js';
import { Snapshot } from './snapshot.js';
import { watchEffects } from './watch-effects.js';

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
const LOAD_UNTIL_MS = 30_000;
const SITES = ['cundinamarca', 'trust-tt-north'];

describe('what a daemon asks for in a drawn day', () => {
  const messages = new Map<string, string[]>();

  const keepMessages = (digest: EffectsDigest): void => {
    for (const [kind, texts] of digest.messages) if (!messages.has(kind)) messages.set(kind, texts);
  };

  it('stays as it was where requests are forwarded by routes', () => {
    const snapshot = new Snapshot('effects-forwarding');
    for (const seed of SEEDS) {
      const day = new RandomFleetRun(seed);
      day.run();
      keepMessages(day.digest);
      snapshot.add(`seed ${seed}: ${day.digest.count} effects, ${day.digest.finish()}`);
    }
    snapshot.check();
  });

  it('stays as it was where completions are served', () => {
    const snapshot = new Snapshot('effects-completions');
    const plans = fc.sample(drawnFaults, { numRuns: SEEDS.length, seed: 46 });
    const allocation = { ...DEFAULT_COMPLETION_DAEMON_SETTINGS.allocation, policy: 'threshold' } as const;
    for (const seed of SEEDS) {
      const digest = new EffectsDigest(COMPLETION_LABELS);
      const settings = seed % 2 === 0 ? { allocation } : {};
      watchEffects(CompletionDaemon, digest, () => {
        runFaults({
          site: SITES[seed % 2],
          seed,
          faults: plans[seed - 1],
          loadUntilMs: LOAD_UNTIL_MS,
          settings,
        });
      });
      keepMessages(digest);
      snapshot.add(`seed ${seed}: ${digest.count} effects, ${digest.finish()}`);
    }
    snapshot.check();
  });

  it('uses messages between daemons that are read and written as they were', () => {
    const snapshot = new Snapshot('peer-messages');
    for (const kind of [...messages.keys()].sort())
      for (const text of messages.get(kind) ?? []) snapshot.add(text);
    for (const text of [...messages.values()].flat())
      expect(decodePeerMessage(encodePeerMessage(decodePeerMessage(text)))).to.deep.equal(parse(text));
    snapshot.check();
  });
});
