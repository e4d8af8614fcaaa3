/// The phases of a soak: the drawn faults, and after them, each alone, silences, cuts and engines of several versions.
import {setTimeout as wait} from "node:timers/promises"
import {SeededRandom} from "../../src/shared/random.js"
import type {CallerLoad, CallerTarget} from "./caller-load.js"
import {makeCutPlan} from "./cut-faults.js"
import {BACKENDS} from "./disturbance.js"
import {makePlan, makeSeriesPlan, makeSignalPlan, type PlannedFault} from "./fault-plan.js"
import {makeSilencePlan} from "./silence-faults.js"
import {RESUMABLE_ROUTE, USUAL_ATTEMPTS} from "./soak-routes.js"
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
  {series, signals, pauses, cuts, versions, calm}: SoakOptions
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
  if (!pauses && !cuts && !versions) return
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
