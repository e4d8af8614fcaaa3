/// Draws the plan of faults of a soak from a seeded generator: the same seed gives the same plan.
import type {BackendBehavior} from "./backend-behavior.js"
import * as faults from "./faults.js"
import {LimitFault, BackOffFault, LeavingSignalFault} from "./signal-faults.js"
import type {DutyBehavior} from "./duty-stand-in.js"
import {SOAK_TENANTS} from "./soak-routes.js"
import type {StoreBehavior} from "./store-stand-in.js"

/// A fault and when it starts, in milliseconds from the start of the load.
export interface PlannedFault {
  readonly atMs: number
  readonly fault: faults.Fault
}

/// The daemons and the number of back ends that faults can target.
interface FaultTargets {
  readonly daemons: readonly string[]
  readonly backendCount: number
}

const MEAN_GAP_MS = 900
const SHORTEST_FAULT_MS = 300
const LONGEST_FAULT_MS = 3000
/// How long back ends reject requests during a series of restarts, and the longest gap between two series.
/// Milliseconds.
const SHORTEST_OVERLOAD_MS = 5000
const LONGEST_OVERLOAD_MS = 12_000
const LONGEST_SERIES_GAP_MS = 3000
/// How long back ends send a signal (a limit, leaving or a back-off), and the longest gap between two.
/// Milliseconds.
const SHORTEST_SIGNAL_MS = 6000
const LONGEST_SIGNAL_MS = 15_000
const LONGEST_SIGNAL_GAP_MS = 3000
/// Limits to choose from. Requests a second.
const LIMITS = [0.4, 1, 2, 3.5, 6.9]
/// Back-offs to choose from: shares of the requests that are rejected, and seconds.
const BACK_OFF_SHARES = [0.05, 0.3]
const BACK_OFF_SECONDS = [0.8, 3, 6.5]

const BACKEND_BEHAVIORS: readonly BackendBehavior[] = [
  "forgetsConnections",
  "errors",
  "sheds",
  "hangs",
  "losesAnswers",
  "breaksOff",
  "answersTwice",
  "slow",
  "lateOrders"
]
const STORE_BEHAVIORS: readonly StoreBehavior[] = [
  "refuses",
  "throttles",
  "silent",
  "slow",
  "losesAnswers",
  "appliesLate"
]
const DUTY_BEHAVIORS: readonly DutyBehavior[] = ["refuses", "silent", "losesAnswers", "appliesLate"]
const KEYS = SOAK_TENANTS.flatMap(({keys}) => keys)
const LINK_STATES = ["delayed", "cutForth", "cutBack", "silent", "reset"] as const

/// Draws a plan for a soak of this duration.
export function makePlan(targets: FaultTargets, durationMs: number, random: () => number): PlannedFault[] {
  const plan: PlannedFault[] = []
  let atMs = MEAN_GAP_MS
  while (atMs < durationMs) {
    plan.push({atMs: Math.round(atMs), fault: pickFault(targets, random)})
    atMs += MEAN_GAP_MS * (0.3 + 1.4 * random())
  }
  return plan
}

/// Draws series of restarts during which back ends of some services reject most requests: each daemon in turn is
/// stopped or killed while earlier ones may still be stopping. This is a separate plan, merged with the one of
/// `makePlan`, so that existing seeds of that one still give the same faults.
export function makeSeriesPlan(
  daemons: readonly string[],
  placesByService: readonly (readonly number[])[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const plan: PlannedFault[] = []
  let beginMs = LONGEST_SERIES_GAP_MS * random()
  while (beginMs < durationMs) {
    const overloadMs = SHORTEST_OVERLOAD_MS + random() * (LONGEST_OVERLOAD_MS - SHORTEST_OVERLOAD_MS)
    for (const places of placesByService) {
      if (random() < 0.3) continue
      for (const place of places)
        plan.push({
          atMs: Math.round(beginMs),
          fault: new faults.BackendFault(Math.round(overloadMs), place, "shedsMost")
        })
    }
    plan.push(...makeRestarts(daemons, beginMs + overloadMs * 0.3 * random(), beginMs + overloadMs, random))
    beginMs += overloadMs + LONGEST_SERIES_GAP_MS * random()
  }
  return plan.sort((left, right) => left.atMs - right.atMs)
}

/// Draws signals of back ends in their answers: limits, leaving and back-offs, by one back end of a service, some
/// or all. A separate plan for the same reason as the series of restarts.
export function makeSignalPlan(
  placesByService: readonly (readonly number[])[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const plan: PlannedFault[] = []
  for (const places of placesByService) {
    let beginMs = LONGEST_SIGNAL_GAP_MS * random()
    while (beginMs < durationMs) {
      const signalMs = Math.round(SHORTEST_SIGNAL_MS + random() * (LONGEST_SIGNAL_MS - SHORTEST_SIGNAL_MS))
      const share = random() < 0.25 ? 1 : 0.5
      const makeFault = pickSignal(signalMs, random)
      for (const place of places)
        if (random() < share) plan.push({atMs: Math.round(beginMs), fault: makeFault(place)})
      beginMs += signalMs + LONGEST_SIGNAL_GAP_MS * random()
    }
  }
  return plan.sort((left, right) => left.atMs - right.atMs)
}

function pickSignal(durationMs: number, random: () => number): (place: number) => faults.Fault {
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]
  const makers: readonly ((place: number) => faults.Fault)[] = [
    place => new LimitFault(durationMs, place, pick(LIMITS)),
    place => new LimitFault(durationMs, place, pick(LIMITS)),
    place => new LeavingSignalFault(durationMs, place),
    place =>
      new BackOffFault(durationMs, place, {share: pick(BACK_OFF_SHARES), seconds: pick(BACK_OFF_SECONDS)})
  ]
  return pick(makers)
}

/// Restarts of one daemon after another in a period; each is a planned stop or a kill.
function makeRestarts(
  daemons: readonly string[],
  fromMs: number,
  untilMs: number,
  random: () => number
): PlannedFault[] {
  const plan: PlannedFault[] = []
  const gapMs = (SHORTEST_OVERLOAD_MS / daemons.length) * (0.3 + random())
  const stopShare = random()
  for (let atMs = fromMs, index = 0; atMs < untilMs; atMs += gapMs * (0.5 + random()), index += 1) {
    const daemon = daemons[index % daemons.length]
    const downMs = Math.round(SHORTEST_FAULT_MS * (0.5 + random()))
    const fault =
      random() < stopShare ? new faults.RestartFault(daemon) : new faults.KillFault(downMs, [daemon])
    plan.push({atMs: Math.round(atMs), fault})
  }
  return plan
}

function pickFault(targets: FaultTargets, random: () => number): faults.Fault {
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]
  const durationMs = Math.round(SHORTEST_FAULT_MS + random() * (LONGEST_FAULT_MS - SHORTEST_FAULT_MS))
  const place = Math.floor(random() * targets.backendCount)
  const daemon = pick(targets.daemons)
  const some = targets.daemons.filter(() => random() < 0.4)
  const makers: readonly (() => faults.Fault)[] = [
    () => new faults.KillFault(durationMs, [daemon]),
    () => new faults.KillFault(durationMs, random() < 0.3 ? targets.daemons : some),
    () => new faults.PauseFault(durationMs, daemon),
    () => new faults.RestartFault(daemon),
    () => new faults.ReloadFault(durationMs, daemon),
    () => new faults.LinkFault(durationMs, `caller ${daemon}`, pick(LINK_STATES)),
    () => new faults.LinkFault(durationMs, `store ${daemon}`, pick(LINK_STATES)),
    () => new faults.LinkFault(durationMs, `backend ${place}`, pick(LINK_STATES)),
    () => new faults.StoreFault(durationMs, [daemon], pick(STORE_BEHAVIORS)),
    () => new faults.StoreFault(durationMs, random() < 0.3 ? targets.daemons : some, pick(STORE_BEHAVIORS)),
    () => new faults.HistoryFault(),
    () => new faults.BackendFault(durationMs, place, pick(BACKEND_BEHAVIORS)),
    () => new faults.BackendFault(durationMs, place, pick(BACKEND_BEHAVIORS)),
    () => new faults.CrashFault(durationMs, place),
    () => new faults.ReplaceFault(durationMs + 1000, place),
    () => new faults.ConfigurationFault(),
    () => new faults.ConfigurationFault(),
    () => new faults.KeyFault(durationMs, pick(KEYS)),
    () => new faults.KeyFault(durationMs, pick(KEYS)),
    () => new faults.DutyFault(durationMs, pick(DUTY_BEHAVIORS))
  ]
  return pick(makers)()
}
