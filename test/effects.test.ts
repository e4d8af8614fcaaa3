/**
 * Pins the effects of both state machines in random runs with faults, to detect a refactoring that changes
 * behaviour.
 */
import { expect } from 'chai';
import { parse } from 'devalue';
import fc from 'fast-check';
import { runFaults } from '../simulation/fault-run.js';
import { faultsArbitrary } from '../simulation/drawn-faults.js';
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

describe('the effects of a daemon in a random run', () => {
  const messages = new Map<string, string[]>();

  const addMessages = (digest: EffectsDigest): void => {
    for (const [kind, texts] of digest.messages) if (!messages.has(kind)) messages.set(kind, texts);
  };

  it('are unchanged if requests are forwarded by routes', () => {
    const snapshot = new Snapshot('effects-forwarding');
    for (const seed of SEEDS) {
      const run = new RandomFleetRun(seed);
      run.run();
      addMessages(run.digest);
      snapshot.add(`seed ${seed}: ${run.digest.count} effects, ${run.digest.finish()}`);
    }
    snapshot.check();
  });

  it('are unchanged if completions are served', () => {
    const snapshot = new Snapshot('effects-completions');
    const plans = fc.sample(faultsArbitrary, { numRuns: SEEDS.length, seed: 46 });
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
      addMessages(digest);
      snapshot.add(`seed ${seed}: ${digest.count} effects, ${digest.finish()}`);
    }
    snapshot.check();
  });

  it('contain messages between daemons that are encoded and decoded as before', () => {
    const snapshot = new Snapshot('peer-messages');
    for (const kind of [...messages.keys()].sort())
      for (const text of messages.get(kind) ?? []) snapshot.add(text);
    for (const text of [...messages.values()].flat())
      expect(decodePeerMessage(encodePeerMessage(decodePeerMessage(text)))).to.deep.equal(parse(text));
    snapshot.check();
  });
});
