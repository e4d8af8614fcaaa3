/// The phases of a soak: the drawn faults, and after them, each alone, silences, cuts, engines of several versions, and
/// parts of prompts that crash engines.
import {setTimeout as wait} from "node:timers/promises"
import {SeededRandom} from "../../src/shared/random.js"
import type {CallerLoad, CallerTarget} from "./caller-load.js"
import {makeCutPlan} from "./cut-faults.js"
import {makeGarblePlan} from "./garble-faults.js"
import {HealthChecks} from "./health-checks.js"
import {BACKENDS} from "./disturbance.js"
import {RestartFault} from "./faults.js"
import {makePlan, makeSeriesPlan, makeSignalPlan, type PlannedFault} from "./fault-plan.js"
import {PartCallers} from "./part-callers.js"
import {makePartPlan} from "./part-faults.js"
import {makeSilencePlan} from "./silence-faults.js"
import {SkewedCallers} from "./skewed-callers.js"
import {PUBLIC_ROUTE, RESUMABLE_ROUTE, USUAL_ATTEMPTS} from "./soak-routes.js"
import {BACKEND_COUNT, ENGINE_PLACES, PLACES_BY_SERVICE, type SoakSite} from "./soak-site.js"
import {StreamCallers} from "./stream-callers.js"
import {makeVersionPlan} from "./version-faults.js"

/// Time for the site to recover after the last fault; requests in its last part must be served. Milliseconds.
export const RECOVERY_MS = 8000
/// Time for the site to settle between two phases. Milliseconds.
const SETTLE_MS = 4000
/// The versions of the engines before any is replaced, and the rate of the streams that are taken up.
const SIDE_BY_SIDE = ["v1", "v1", "v2"]
const STREAMS_PER_SECOND = 30
/// Time between two events of a stream in the phase of silences, so that streams are under way when one begins.
const SILENCE_EVENT_INTERVAL_MS = 100

/// The same in the phase of garbled bytes: streams last over a second.
const LONG_EVENT_INTERVAL_MS = 250

/// Shares of the soaks in which two parts crash engines, and in which such a part stands first.
const TWO_PARTS_SHARE = 0.4
const BAD_FIRST_SHARE = 0.3
/// New connections while most of them go to one daemon, per second, and for how long they go there. Milliseconds.
const SKEWED_PER_SECOND = 150
const SKEW_MS = 6000
const ALL_PLACES = [...Array(BACKEND_COUNT).keys()]

/// Options of a soak besides its seed and its rate.
export interface SoakOptions {
  readonly daemonCount: number
  /// Whether there are series of restarts with overloaded back ends.
  readonly series: boolean
  /// Whether some callers send requests that crash the back ends that execute them.
  readonly crashes: boolean
  /// Whether back ends send signals in their answers: limits, leaving and back-offs.
  readonly signals: boolean
  /// Whether there is a phase in which sound back ends fall silent beside planned work.
  readonly pauses: boolean
  /// Whether there is a phase in which daemons are cut off from all back ends.
  readonly cuts: boolean
  /// Whether there is a phase with engines of several versions, which are rolled, and callers that take streams up.
  readonly versions: boolean
  /// Whether there is a phase with parts of prompts that crash engines, answers without a length, and most new
  /// connections at one daemon.
  readonly parts: boolean
  /// Whether there is a phase with wrong and endless bytes on every link, a stop beside silent and full back ends, and
  /// restarts of all daemons in turn under long streams.
  readonly garbles: boolean
  /// Whether the drawn faults are left out; the other kinds of trouble remain.
  readonly calm: boolean
}

/// Runs the drawn faults, then the phase of silences and that of cuts. Each plan has a generator of its own: the order
/// of the load's draws differs from run to run, and a new kind of trouble leaves the other plans as they are.
export async function runPhases(
  site: SoakSite,
  load: CallerLoad,
  seed: number,
  durationMs: number,
  {series, signals, pauses, cuts, versions, parts, garbles, calm}: SoakOptions
): Promise<void> {
  const daemons = site.daemons.map(daemon => daemon.name)
  const makeRandom = (offset: number) => {
    const generator = new SeededRandom(seed + offset)
    return () => generator.next()
  }
  const plan = calm ? [] : makePlan({daemons, backendCount: BACKEND_COUNT}, durationMs, makeRandom(1))
  const seriesPlan = series ? makeSeriesPlan(daemons, PLACES_BY_SERVICE, durationMs, makeRandom(2)) : []
  const signalPlan = signals ? makeSignalPlan(PLACES_BY_SERVICE, durationMs, makeRandom(10)) : []
  await runPlan(site, mergePlans(plan, seriesPlan, signalPlan))
  if (!pauses && !cuts && !versions && !parts && !garbles) return
  await wait(RECOVERY_MS)
  load.stopRepeating()
  if (pauses) {
    await wait(SETTLE_MS)
    site.setEventInterval(SILENCE_EVENT_INTERVAL_MS)
    await runPlan(site, makeSilencePlan(daemons, PLACES_BY_SERVICE, durationMs, makeRandom(20)))
    site.setEventInterval(undefined)
    site.changeConfiguration(USUAL_ATTEMPTS)
  }
  if (cuts) {
    await wait(SETTLE_MS)
    await runPlan(site, makeCutPlan(daemons, durationMs, makeRandom(21)))
  }
  if (versions) {
    await wait(SETTLE_MS)
    await runVersions(
      site,
      makeVersionPlan(daemons, ENGINE_PLACES, durationMs, makeRandom(22)),
      makeRandom(23)
    )
  }
  if (parts) {
    await wait(SETTLE_MS)
    await runParts(site, makePartPlan(daemons, [...ALL_PLACES], durationMs, makeRandom(24)), makeRandom(25))
    await wait(RECOVERY_MS)
    await runSkew(site, makeRandom(26))
  }
  if (garbles) {
    await wait(SETTLE_MS)
    await runGarbles(
      site,
      makeGarblePlan(daemons, PLACES_BY_SERVICE, durationMs, makeRandom(27)),
      makeRandom(28)
    )
  }
}

/// Runs the phase with garbled bytes, with long streams that are taken up.
async function runGarbles(
  site: SoakSite,
  plan: readonly PlannedFault[],
  random: () => number
): Promise<void> {
  const checks = new HealthChecks(site)
  const checking = checks.run()
  site.setEventInterval(LONG_EVENT_INTERVAL_MS)
  await runVersions(site, plan, random)
  site.setEventInterval(undefined)
  checks.stop()
  await checking
}

/// Runs the phase with parts of prompts that crash engines; sound requests come alone at first.
async function runParts(site: SoakSite, plan: readonly PlannedFault[], random: () => number): Promise<void> {
  const isUsed = ({daemon}: CallerTarget) => site.getDaemon(daemon).isRunning()
  const mix = {badParts: random() < TWO_PARTS_SHARE ? 2 : 1, badFirst: random() < BAD_FIRST_SHARE}
  const callers = new PartCallers(site.record, site.targets, RESUMABLE_ROUTE, random, isUsed, mix)
  const calling = callers.run()
  await wait(SETTLE_MS)
  callers.startBad()
  await runPlan(site, plan)
  callers.stop()
  await calling
}

/// Runs the phase in which most new connections go to one daemon, and then, as it is stopped, to another.
async function runSkew(site: SoakSite, random: () => number): Promise<void> {
  const callers = new SkewedCallers(site.record, site.targets, PUBLIC_ROUTE, random)
  const calling = callers.run(SKEWED_PER_SECOND)
  await wait(SETTLE_MS)
  const first = Math.floor(random() * site.targets.length)
  callers.setTarget(site.targets[first])
  await wait(SKEW_MS)
  callers.setTarget(site.targets[(first + 1) % site.targets.length])
  const fault = new RestartFault(site.targets[first].daemon)
  await runPlan(site, [{atMs: 0, fault}])
  await wait(SKEW_MS)
  callers.stop()
  await calling
}

/// Runs the phase with engines of two versions side by side, and its callers that take streams up.
async function runVersions(
  site: SoakSite,
  plan: readonly PlannedFault[],
  random: () => number
): Promise<void> {
  for (const [i, place] of ENGINE_PLACES.entries()) {
    site.closeBackend(place)
    site.setVersion(place, SIDE_BY_SIDE[i % SIDE_BY_SIDE.length])
    await site.startBackend(place)
  }
  await wait(SETTLE_MS)
  const isUsed = ({daemon}: CallerTarget) => site.getDaemon(daemon).isRunning()
  const callers = new StreamCallers(site.record, site.targets, RESUMABLE_ROUTE, random, isUsed)
  const calling = callers.run(STREAMS_PER_SECOND)
  await runPlan(site, plan)
  callers.stop()
  await calling
}

function mergePlans(...plans: readonly (readonly PlannedFault[])[]): PlannedFault[] {
  return plans.flat().sort((left, right) => left.atMs - right.atMs)
}

async function runPlan(site: SoakSite, plan: readonly PlannedFault[]): Promise<void> {
  const startedAt = performance.now()
  const busy = new Set<string>()
  const running: Promise<void>[] = []
  for (const {atMs, fault} of plan) {
    await wait(Math.max(0, atMs - (performance.now() - startedAt)))
    const name = fault.getName()
    // At most one fault at a time for each target, because the end of one fault would undo another.
    const key = name.replace(/^(kill|pause|restart|crash of|replacement of) /, "")
    if (busy.has(key) || fault.getDisturbedDaemons().some(target => busy.has(target))) continue
    for (const target of [key, ...fault.getDisturbedDaemons()]) busy.add(target)
    const targets = fault.affectsBackends()
      ? [...fault.getDisturbedDaemons(), BACKENDS]
      : fault.getDisturbedDaemons()
    const disturbances = targets.map(target => ({
      target,
      kind: name,
      from: performance.now(),
      until: Infinity
    }))
    site.record.disturbances.push(...disturbances)
    process.stdout.write(`${JSON.stringify({atMs, fault: name, lastsMs: fault.durationMs})}\n`)
    const run = async () => {
      await fault.start(site)
      await wait(fault.durationMs)
      await fault.stop(site)
      for (const disturbance of disturbances) disturbance.until = performance.now()
      for (const target of [key, ...fault.getDisturbedDaemons()]) busy.delete(target)
    }
    running.push(run())
  }
  await Promise.all(running)
}
