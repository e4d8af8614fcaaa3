/** How a state machine hands its effects to whoever runs it. */

/**
 * Takes the effects of a transition in order. State machines call it while they handle a message; the
 * caller performs the effects after the transition. It must not call back into the state machine.
 */
export type EffectSink<Effect> = (effect: Effect) => void;
