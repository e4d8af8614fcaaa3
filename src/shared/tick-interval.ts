/// How often a forwarding daemon's state machine is told that time has passed.

/// Interval between ticks. Milliseconds. Whatever a tick triggers (a deadline, a stalled attempt, a digest) is
/// delayed by up to this time; each tick costs a process about 0.05 ms.
export const TICK_MS = 40;

/// Interval between ticks while no request is open. Milliseconds; under half of the gap that counts as a process
/// pause.
export const IDLE_TICK_MS = 100;
