/// Draws the faults of a soak: the same seed gives the same plan.
import type {BackendBehavior} from "./backend-stand-in.js"
import * as faults from "./faults.js"
import {LimitFault, BackOffFault, LeavingSignalFault} from "./signal-faults.js"
import type {DutyTreatment} from "./duty-stand-in.js"
import {SOAK_TENANTS} from "./soak-routes.js"
import type {StoreTreatment} from "./store-stand-in.js"

/// A fault and when it begins, milliseconds from the start of the load.
export interface PlannedFault {
  readonly atMs: number
  readonly fault: faults.Fault
}

/// What there is to strike.
interface FaultTargets {
  readonly daemons: readonly string[]
  readonly places: number
}

const MEAN_GAP_MS = 900
const SHORTEST_MS = 300
const LONGEST_MS = 3000
/// How long back ends turn requests away beside a series of restarts, and the longest pause between two
/// series. Milliseconds.
const SHORTEST_BUSY_MS = 5000
const LONGEST_BUSY_MS = 12_000
const SERIES_PAUSE_MS = 3000
/// How long back ends say something of themselves, and the longest pause between two. Milliseconds.
const SHORTEST_SIGNAL_MS = 6000
const LONGEST_SIGNAL_MS = 15_000
const SIGNALS_PAUSE_MS = 3000
/// Limits that are drawn. Requests a second.
const LIMITS = [0.4, 1, 2, 3.5, 6.9]
/// Back-offs that are drawn: parts of the requests that are turned away, and seconds.
const BACK_OFF_SHARES = [0.05, 0.3]
const BACK_OFF_SECONDS = [0.8, 3, 6.5]

const BEHAVIORS: readonly BackendBehavior[] = [
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
const TREATMENTS: readonly StoreTreatment[] = [
  "refuses",
  "throttles",
  "silent",
  "slow",
  "losesAnswers",
  "appliesLate"
]
const DUTY_TREATMENTS: readonly DutyTreatment[] = ["refuses", "silent", "losesAnswers", "appliesLate"]
const KEYS = SOAK_TENANTS.flatMap(({keys}) => keys)
const LINK_STATES = ["delayed", "cutForth", "cutBack", "silent", "reset"] as const

/// Draws a plan over so many milliseconds.
export function makePlan(targets: FaultTargets, durationMs: number, random: () => number): PlannedFault[] {
  const plan: PlannedFault[] = []
  let atMs = MEAN_GAP_MS
  while (atMs < durationMs) {
    plan.push({atMs: Math.round(atMs), fault: pickFault(targets, random)})
    atMs += MEAN_GAP_MS * (0.3 + 1.4 * random())
  }
  return plan
}

/// Draws series of restarts beside services whose back ends turn requests away: each daemon in turn is
/// stopped or killed while those before it may still be stopping. A plan of its own, to be played beside the
/// other one, whose seeds keep their meaning.
export function makeSeriesPlan(
  daemons: readonly string[],
  placesByService: readonly (readonly number[])[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const plan: PlannedFault[] = []
  let beginMs = SERIES_PAUSE_MS * random()
  while (beginMs < durationMs) {
    const busyMs = SHORTEST_BUSY_MS + random() * (LONGEST_BUSY_MS - SHORTEST_BUSY_MS)
    for (const places of placesByService) {
      if (random() < 0.3) continue
      for (const place of places)
        plan.push({
          atMs: Math.round(beginMs),
          fault: new faults.BackendFault(Math.round(busyMs), place, "shedsMost")
        })
    }
    plan.push(...makeRestarts(daemons, beginMs + busyMs * 0.3 * random(), beginMs + busyMs, random))
    beginMs += busyMs + SERIES_PAUSE_MS * random()
  }
  return plan.sort((left, right) => left.atMs - right.atMs)
}

/// Draws what back ends say of themselves: limits, that they leave, times to back off; of one of a service, of some
/// or of all. A plan of its own, as the series of restarts.
export function makeSignalPlan(
  placesByService: readonly (readonly number[])[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const plan: PlannedFault[] = []
  for (const places of placesByService) {
    let beginMs = SIGNALS_PAUSE_MS * random()
    while (beginMs < durationMs) {
      const lastsMs = Math.round(SHORTEST_SIGNAL_MS + random() * (LONGEST_SIGNAL_MS - SHORTEST_SIGNAL_MS))
      const share = random() < 0.25 ? 1 : 0.5
      const make = pickSignal(lastsMs, random)
      for (const place of places)
        if (random() < share) plan.push({atMs: Math.round(beginMs), fault: make(place)})
      beginMs += lastsMs + SIGNALS_PAUSE_MS * random()
    }
  }
  return plan.sort((left, right) => left.atMs - right.atMs)
}

function pickSignal(lastsMs: number, random: () => number): (place: number) => faults.Fault {
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]
  const makers: readonly ((place: number) => faults.Fault)[] = [
    place => new LimitFault(lastsMs, place, pick(LIMITS)),
    place => new LimitFault(lastsMs, place, pick(LIMITS)),
    place => new LeavingSignalFault(lastsMs, place),
    place => new BackOffFault(lastsMs, place, {share: pick(BACK_OFF_SHARES), seconds: pick(BACK_OFF_SECONDS)})
  ]
  return pick(makers)
}

/// Restarts from one moment to another, daemon after daemon, some planned and some not.
function makeRestarts(
  daemons: readonly string[],
  fromMs: number,
  untilMs: number,
  random: () => number
): PlannedFault[] {
  const plan: PlannedFault[] = []
  const gapMs = (SHORTEST_BUSY_MS / daemons.length) * (0.3 + random())
  const stopShare = random()
  for (let atMs = fromMs, turn = 0; atMs < untilMs; atMs += gapMs * (0.5 + random()), turn += 1) {
    const daemon = daemons[turn % daemons.length]
    const downMs = Math.round(SHORTEST_MS * (0.5 + random()))
    const fault =
      random() < stopShare ? new faults.RestartFault(daemon) : new faults.KillFault(downMs, [daemon])
    plan.push({atMs: Math.round(atMs), fault})
  }
  return plan
}

function pickFault(targets: FaultTargets, random: () => number): faults.Fault {
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]
  const lastsMs = Math.round(SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS))
  const place = Math.floor(random() * targets.places)
  const daemon = pick(targets.daemons)
  const some = targets.daemons.filter(() => random() < 0.4)
  const makers: readonly (() => faults.Fault)[] = [
    () => new faults.KillFault(lastsMs, [daemon]),
    () => new faults.KillFault(lastsMs, random() < 0.3 ? targets.daemons : some),
    () => new faults.PauseFault(lastsMs, daemon),
    () => new faults.RestartFault(daemon),
    () => new faults.ReloadFault(lastsMs, daemon),
    () => new faults.LinkFault(lastsMs, `caller ${daemon}`, pick(LINK_STATES)),
    () => new faults.LinkFault(lastsMs, `store ${daemon}`, pick(LINK_STATES)),
    () => new faults.LinkFault(lastsMs, `backend ${place}`, pick(LINK_STATES)),
    () => new faults.StoreFault(lastsMs, [daemon], pick(TREATMENTS)),
    () => new faults.StoreFault(lastsMs, random() < 0.3 ? targets.daemons : some, pick(TREATMENTS)),
    () => new faults.HistoryFault(),
    () => new faults.BackendFault(lastsMs, place, pick(BEHAVIORS)),
    () => new faults.BackendFault(lastsMs, place, pick(BEHAVIORS)),
    () => new faults.CrashFault(lastsMs, place),
    () => new faults.ReplaceFault(lastsMs + 1000, place),
    () => new faults.ConfigurationFault(),
    () => new faults.ConfigurationFault(),
    () => new faults.KeyFault(lastsMs, pick(KEYS)),
    () => new faults.KeyFault(lastsMs, pick(KEYS)),
    () => new faults.DutyFault(lastsMs, pick(DUTY_TREATMENTS))
  ]
  return pick(makers)()
}
