/// The trouble beside parts of prompts that crash engines: daemons that are killed and stopped, a silent store, engines
/// that crash by themselves, are slow, or answer without a length.
import type {BackendBehavior} from "./backend-behavior.js"
import {BackendFault, CrashFault, KillFault, RestartFault, StoreFault} from "./faults.js"
import type {PlannedFault} from "./fault-plan.js"
import {drawTimes} from "./silence-faults.js"

/// Mean intervals of the faults, and their durations. Milliseconds.
const KILL_INTERVAL_MS = 6000
const STOP_INTERVAL_MS = 12_000
const STORE_INTERVAL_MS = 9000
const CRASH_INTERVAL_MS = 6000
const BEHAVIOR_INTERVAL_MS = 1500
const DOWN_MS = 800
const STORE_MS = 4000
const BEHAVIOR_MS = 2500
const BEHAVIORS: readonly BackendBehavior[] = ["unframed", "unframed", "unframed", "slow"]

/// Draws the faults. A separate plan, so that seeds without it still give the same faults.
export function makePartPlan(
  daemons: readonly string[],
  backends: readonly number[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]
  const times = (meanMs: number) => drawTimes(meanMs, durationMs, random)
  const plan: PlannedFault[] = [
    ...times(KILL_INTERVAL_MS).map(atMs => ({atMs, fault: new KillFault(DOWN_MS, [pick(daemons)])})),
    ...times(STOP_INTERVAL_MS).map(atMs => ({atMs, fault: new RestartFault(pick(daemons))})),
    ...times(STORE_INTERVAL_MS).map(atMs => ({atMs, fault: new StoreFault(STORE_MS, daemons, "silent")})),
    ...times(CRASH_INTERVAL_MS).map(atMs => ({atMs, fault: new CrashFault(DOWN_MS, pick(backends))})),
    ...times(BEHAVIOR_INTERVAL_MS).map(atMs => ({
      atMs,
      fault: new BackendFault(BEHAVIOR_MS, pick(backends), pick(BEHAVIORS))
    }))
  ]
  return plan.sort((left, right) => left.atMs - right.atMs)
}
