/// Engines of several software versions side by side, their replacement by other versions, and the plan of such work
/// beside daemons that are killed, stopped and cut off from the store.
import type {BackendBehavior} from "./backend-behavior.js"
import {BackendFault, CrashFault, Fault, KillFault, ReloadFault, RestartFault, StoreFault} from "./faults.js"
import type {PlannedFault} from "./fault-plan.js"
import {drawTimes} from "./silence-faults.js"
import type {SoakSite} from "./soak-site.js"

/// Time between the replacements of one roll, and how long a replaced engine drains. Milliseconds.
const SHORTEST_STEP_MS = 300
const LONGEST_STEP_MS = 900
const DRAIN_MS = 600
/// Longest pause between two rolls, in which versions stay side by side. Milliseconds.
const LONGEST_PAUSE_MS = 6000
/// Share of the engines that a roll replaces, unless it replaces all.
const PART_SHARE = 0.5
/// Mean intervals of the other faults, and their durations. Milliseconds.
const KILL_INTERVAL_MS = 3000
const STOP_INTERVAL_MS = 9000
const RELOAD_INTERVAL_MS = 7000
const STORE_INTERVAL_MS = 8000
const BEHAVIOR_INTERVAL_MS = 2500
const DOWN_MS = 800
const STORE_MS = 3500
const BEHAVIOR_MS = 1500
const RELOAD_MS = 400
/// No daemon reloads so soon before or after its end or stop, because it could be starting. Milliseconds.
const RELOAD_DISTANCE_MS = 12_000
/// Share of the kills that end half of the daemons, and all of them, at once.
const HALF_SHARE = 0.15
const ALL_SHARE = 0.1
/// Share of the crashed engines that return under their old id at another version.
const RETURN_SHARE = 0.1
const BEHAVIORS: readonly BackendBehavior[] = ["breaksOff", "breaksOff", "slow", "sheds", "losesAnswers"]

/// An engine drains, then stops and is replaced by one of another version.
class VersionFault extends Fault {
  constructor(
    private readonly place: number,
    private readonly version: string
  ) {
    super(DRAIN_MS)
  }
  getName(): string {
    return `replacement of back end ${this.place}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    site.drainBackend(this.place)
  }
  async stop(site: SoakSite): Promise<void> {
    site.closeBackend(this.place)
    site.setVersion(this.place, this.version)
    await site.startBackend(this.place)
  }
}

/// An engine crashes and returns under its old id at another version.
class ReturnFault extends Fault {
  constructor(
    private readonly place: number,
    private readonly version: string
  ) {
    super(DOWN_MS)
  }
  getName(): string {
    return `crash of back end ${this.place}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    site.closeBackend(this.place)
  }
  async stop(site: SoakSite): Promise<void> {
    site.setVersion(this.place, this.version)
    await site.startBackend(this.place, true)
  }
}

/// Draws rolls of engines to new versions beside other work and faults.
export function makeVersionPlan(
  daemons: readonly string[],
  engines: readonly number[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]
  const times = (meanMs: number) => drawTimes(meanMs, durationMs, random)
  const kills = times(KILL_INTERVAL_MS).map(atMs => ({
    atMs,
    fault: new KillFault(DOWN_MS, pickKilled(daemons, random))
  }))
  const stops = times(STOP_INTERVAL_MS).map(atMs => ({atMs, fault: new RestartFault(pick(daemons))}))
  const isStarting = (daemon: string, atMs: number) =>
    [...kills, ...stops].some(
      stop =>
        stop.fault.getDisturbedDaemons().includes(daemon) && Math.abs(stop.atMs - atMs) < RELOAD_DISTANCE_MS
    )
  const reloads = times(RELOAD_INTERVAL_MS)
    .map(atMs => ({atMs, daemon: pick(daemons)}))
    .filter(({atMs, daemon}) => !isStarting(daemon, atMs))
    .map(({atMs, daemon}) => ({atMs, fault: new ReloadFault(RELOAD_MS, daemon)}))
  const stores = times(STORE_INTERVAL_MS).map(atMs => {
    const affected = random() < 0.5 ? daemons : [pick(daemons)]
    return {atMs, fault: new StoreFault(STORE_MS, affected, "silent")}
  })
  const behaviors = times(BEHAVIOR_INTERVAL_MS).map(atMs => ({
    atMs,
    fault: new BackendFault(BEHAVIOR_MS, pick(engines), pick(BEHAVIORS))
  }))
  const crashes = times(KILL_INTERVAL_MS).map(atMs => {
    const place = pick(engines)
    const returns = random() < RETURN_SHARE
    return {atMs, fault: returns ? new ReturnFault(place, `r${atMs}`) : new CrashFault(DOWN_MS, place)}
  })
  const rolls = makeRolls(engines, durationMs, random)
  const plan = [...rolls, ...kills, ...stops, ...reloads, ...stores, ...behaviors, ...crashes]
  return plan.sort((left, right) => left.atMs - right.atMs)
}

/// Draws rolls to one new version after another, of all engines or of a part of them.
function makeRolls(engines: readonly number[], durationMs: number, random: () => number): PlannedFault[] {
  const plan: PlannedFault[] = []
  let atMs = LONGEST_PAUSE_MS * random()
  for (let version = 3; atMs < durationMs; version += 1) {
    const replaced = random() < 0.5 ? engines : engines.filter(() => random() < PART_SHARE)
    for (const place of replaced) {
      plan.push({atMs: Math.round(atMs), fault: new VersionFault(place, `v${version}`)})
      atMs += SHORTEST_STEP_MS + random() * (LONGEST_STEP_MS - SHORTEST_STEP_MS)
    }
    atMs += LONGEST_PAUSE_MS * random()
  }
  return plan
}

function pickKilled(daemons: readonly string[], random: () => number): readonly string[] {
  const drawn = random()
  if (drawn < ALL_SHARE) return daemons
  const count = drawn < ALL_SHARE + HALF_SHARE ? Math.ceil(daemons.length / 2) : 1
  const first = Math.floor(random() * daemons.length)
  return Array.from({length: count}, (_, i) => daemons[(first + i) % daemons.length])
}
