/** The callback through which a state machine passes its effects to its caller. */

/**
 * Receives the effects of a transition in order. A state machine calls it while it handles a message; its
 * caller performs the effects after the transition. It must not call back into the state machine.
 */
export type EffectSink<Effect> = (effect: Effect) => void;
