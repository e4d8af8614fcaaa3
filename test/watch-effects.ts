/** Adds the effects of all daemons of a class to a digest. */
import type { EffectsDigest } from './effects-digest.js';

type EventHandler = { handle(event: unknown, now: number): unknown[] };

/** Adds the effects of all daemons of a class to a digest during `run`, and passes them to `onEffects`. */
export function watchEffects(
  machine: { prototype: unknown },
  digest: EffectsDigest,
  run: () => void,
  onEffects?: EffectsListener,
): void {
  const prototype = machine.prototype as EventHandler;
  const original = prototype.handle;
  prototype.handle = function handle(this: unknown, event: unknown, now: number): unknown[] {
    const effects = original.call(this as EventHandler, event, now);
    digest.add(effects as { kind: string }[], now);
    onEffects?.(this, effects);
    return effects;
  };
  try {
    run();
  } finally {
    prototype.handle = original;
  }
}

type EffectsListener = (daemon: unknown, effects: unknown[]) => void;
