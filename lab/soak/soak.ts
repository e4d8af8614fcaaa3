/// A randomized soak of the deployed program: real processes, faults from outside, promises checked from what
/// callers and back ends see.
///
/// npm run fault-soak -- --seed 7 --seconds 60
import {execFileSync} from "node:child_process"
import {mkdirSync, readFileSync, rmSync} from "node:fs"
import {join} from "node:path"
import {setTimeout as wait} from "node:timers/promises"
import meow from "meow"
import * as z from "zod"
import {SeededRandom} from "../../src/shared/random.js"
import {CallerLoad, type CallerTarget} from "./caller-load.js"
import {CRASHING_BODY, type CrashOutcome} from "./crash-check.js"
import type {LimitWindow} from "./signal-check.js"
import type {RetryWindow} from "./retry-check.js"
import {makeSignalPlan, makePlan, makeSeriesPlan, type PlannedFault} from "./fault-plan.js"
import {BACKENDS} from "./disturbance.js"
import {SOAK_BOUNDS, SoakRecord, type CallerRecord, type SoakBounds, type Violation} from "./soak-record.js"
import {findTenant, OVER_QUOTA_TENANT, SOAK_ROUTES} from "./soak-routes.js"
import {BACKEND_PLACES, PLACES_BY_SERVICE, SoakSite} from "./soak-site.js"
import {STATUS_MALFORMED} from "./stray-calls.js"

const BOUNDS: SoakBounds = {...SOAK_BOUNDS, marginMs: 1500}
const START_MS = 2500
/// After the last fault the site must serve again.
const CALM_MS = 8000
const JUDGED_CALM_MS = 3000
const STATUS_OVER_QUOTA = 429
const SERVED_WHEN_CALM = 0.95
const DAEMONS = 5

/// What a soak came to.
interface SoakOutcome {
  readonly seed: number
  readonly requests: number
  readonly served: number
  readonly servedWhenCalm: number
  /// The worst window of repeats of each service.
  readonly repeats: readonly RetryWindow[]
  /// What became of requests that end back ends.
  readonly crashes: readonly CrashOutcome[]
  /// The worst windows of limits that back ends named.
  readonly limits: readonly LimitWindow[]
  readonly violations: readonly Violation[]
}

/// What a soak is made of beside its seed.
interface SoakOptions {
  readonly daemonCount: number
  /// Whether series of restarts beside busy back ends are played too.
  readonly series: boolean
  /// Whether some callers send requests that end the back ends that run them.
  readonly crashes: boolean
  /// Whether back ends say in their answers what they want.
  readonly signals: boolean
}

const DEFAULT_FORM: SoakOptions = {daemonCount: DAEMONS, series: false, crashes: false, signals: false}
/// Callers of such requests come back so often, about. Milliseconds.
const CRASH_PAUSE_MS = 400
/// The routes on which they are sent: a plain one, and two whose answers are streamed.
const CRASH_ROUTES = SOAK_ROUTES.filter(({name}) => ["receipt", "check", "review"].includes(name))

/// Runs one soak with the program at `program`. Logs of the daemons are kept under `folder`.
export async function runSoak(
  seed: number,
  seconds: number,
  perSecond: number,
  program: string,
  folder: string,
  {daemonCount, series, crashes, signals}: SoakOptions = DEFAULT_FORM
): Promise<SoakOutcome> {
  const generator = new SeededRandom(seed)
  const random = () => generator.next()
  const record = new SoakRecord(BOUNDS)
  const site = new SoakSite(record, BOUNDS, folder, program, random)
  await site.start(daemonCount)
  await wait(START_MS)
  // Beside series of restarts callers go to another daemon as soon as a process is gone, or most requests
  // would reach nobody.
  const isUsed = ({daemon}: CallerTarget) => !series || site.getDaemon(daemon).isRunning()
  const load = new CallerLoad(record, site.targets, SOAK_ROUTES, random, isUsed)
  const loading = load.run(perSecond)
  const crashing = crashes ? sendCrashes(load, seed) : []
  const daemons = site.daemons.map(daemon => daemon.name)
  // The plan has a generator of its own, since the load draws at times that differ from run to run.
  const planGenerator = new SeededRandom(seed + 1)
  const plan = makePlan({daemons, places: BACKEND_PLACES}, seconds * 1000, () => planGenerator.next())
  const seriesGenerator = new SeededRandom(seed + 2)
  const seriesPlan = makeSeriesPlan(daemons, PLACES_BY_SERVICE, seconds * 1000, () => seriesGenerator.next())
  const signalGenerator = new SeededRandom(seed + 10)
  const signalPlan = makeSignalPlan(PLACES_BY_SERVICE, seconds * 1000, () => signalGenerator.next())
  await runPlan(site, mergePlans(plan, series ? seriesPlan : [], signals ? signalPlan : []))
  await wait(CALM_MS)
  const calmFrom = performance.now() - JUDGED_CALM_MS
  load.stop()
  await Promise.all([loading, ...crashing])
  await site.close()
  for (const text of site.duties.model.violations)
    record.observedViolations.push({promise: "one holder of the duties", text})
  noteStrayCalls(site)
  if (site.duties.lastReportAt < calmFrom)
    record.observedViolations.push({
      promise: "usage is reported again after faults",
      text: "no report in the last seconds"
    })
  return judge(seed, record, calmFrom)
}

/// Writes down the calls that weren't meant for the platform. One that it knows and cannot read is a daemon's
/// fault.
function noteStrayCalls({record, store, duties}: SoakSite): void {
  for (const {status, text} of [...store.strayCalls.calls, ...duties.strayCalls.calls]) {
    process.stdout.write(`${JSON.stringify({strayCall: text, status})}\n`)
    if (status === STATUS_MALFORMED)
      record.observedViolations.push({promise: "calls to the platform can be read", text})
  }
}

/// Callers that send requests which end back ends, from the start to the end of the load.
function sendCrashes(load: CallerLoad, seed: number): Promise<void>[] {
  return CRASH_ROUTES.map((route, i) => {
    const generator = new SeededRandom(seed + 3 + i)
    return load.sendRepeatedly(`${CRASHING_BODY}, ${route.name}`, route, CRASH_PAUSE_MS, () =>
      generator.next()
    )
  })
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
    // One fault at a time for each thing: ending one must not end another.
    const key = name.replace(/^(kill|pause|restart|crash of|replacement of) /, "")
    if (busy.has(key) || fault.getDisturbedDaemons().some(what => busy.has(what))) continue
    for (const what of [key, ...fault.getDisturbedDaemons()]) busy.add(what)
    const struck = fault.affectsBackends()
      ? [...fault.getDisturbedDaemons(), BACKENDS]
      : fault.getDisturbedDaemons()
    const disturbances = struck.map(what => ({what, kind: name, from: performance.now(), until: Infinity}))
    site.record.disturbances.push(...disturbances)
    process.stdout.write(`${JSON.stringify({atMs, fault: name, lastsMs: fault.durationMs})}\n`)
    const run = async () => {
      await fault.start(site)
      await wait(fault.durationMs)
      await fault.stop(site)
      for (const disturbance of disturbances) disturbance.until = performance.now()
      for (const what of [key, ...fault.getDisturbedDaemons()]) busy.delete(what)
    }
    running.push(run())
  }
  await Promise.all(running)
}

/// Whether it was refused for the quota of the one tenant that asks for more than it may.
function isOverQuota({key, status}: CallerRecord): boolean {
  return status === STATUS_OVER_QUOTA && findTenant(key) === OVER_QUOTA_TENANT
}

function judge(seed: number, record: SoakRecord, calmFrom: number): SoakOutcome {
  const violations = record.check()
  const requests = [...record.requests.values()].filter(({crashingBody}) => crashingBody === undefined)
  const isServed = ({status, whole}: {status?: number; whole?: boolean}) => status === 200 && whole === true
  const calm = requests.filter(
    request =>
      request.sentAt >= calmFrom &&
      request.endedAt !== request.sentAt &&
      !isOverQuota(request) &&
      (!request.needsKey || record.wasKeyValid(request, calmFrom, Infinity, "always"))
  )
  const servedWhenCalm = calm.filter(isServed).length / Math.max(1, calm.length)
  if (servedWhenCalm < SERVED_WHEN_CALM)
    violations.push({
      promise: "the site serves again after faults",
      text: `${(100 * servedWhenCalm).toFixed(1)}%`
    })
  return {
    seed,
    requests: requests.length,
    served: requests.filter(isServed).length,
    servedWhenCalm,
    repeats: record.findWorstRetryWindows(),
    crashes: record.findCrashOutcomes(),
    limits: record.signals.findLimitWindows(),
    violations
  }
}

/// Builds the program as the deploy file does, into a folder, and returns what is run.
export function buildProgram(folder: string): string {
  execFileSync(process.execPath, ["deploy/build.mjs", folder])
  return join(folder, "start.cjs")
}

async function main(): Promise<void> {
  const cli = meow(
    "Usage: npm run fault-soak -- [--seed N] [--count N] [--seconds S] [--rate N] [--daemons N] [--no-series] [--no-crashes] [--no-signals] [--keep] [--regressions]",
    {
      importMeta: import.meta,
      flags: {
        seed: {type: "number", default: Math.floor(Date.now() % 1_000_000)},
        count: {type: "number", default: 1},
        seconds: {type: "number", default: 30},
        rate: {type: "number", default: 60},
        daemons: {type: "number", default: DAEMONS},
        series: {type: "boolean", default: true},
        crashes: {type: "boolean", default: true},
        signals: {type: "boolean", default: true},
        keep: {type: "boolean", default: false},
        regressions: {type: "boolean", default: false}
      }
    }
  )
  const {seed, count, seconds, rate, daemons, series, crashes, signals, keep, regressions} = cli.flags
  const form = {daemons, series, crashes, signals}
  const fresh = Array.from({length: count}, (_, i) => ({seed: seed + i, seconds, ...form}))
  const runs = regressions ? readRegressions() : fresh
  const program = buildProgram(join(process.cwd(), "bench-results", "program"))
  let failed = 0
  for (const run of runs) {
    const folder = join(process.cwd(), "bench-results", `soak-${run.seed}`)
    mkdirSync(folder, {recursive: true})
    const soakForm = {
      daemonCount: run.daemons ?? DAEMONS,
      series: run.series ?? false,
      crashes: run.crashes ?? false,
      signals: run.signals ?? false
    }
    const outcome = await runSoak(run.seed, run.seconds, rate, program, folder, soakForm)
    process.stdout.write(`${JSON.stringify(outcome)}\n`)
    if (outcome.violations.length > 0) failed += 1
    else if (!keep) rmSync(folder, {recursive: true})
  }
  process.stdout.write(`${runs.length - failed} passed, ${failed} failed\n`)
  // Sockets that a harmed link left half closed may keep the process alive after everything is judged.
  process.exit(failed > 0 ? 1 : 0)
}

const regressionsSchema = z.array(
  z.object({
    seed: z.number(),
    seconds: z.number(),
    daemons: z.number().optional(),
    series: z.boolean().optional(),
    crashes: z.boolean().optional(),
    signals: z.boolean().optional(),
    cause: z.string()
  })
)

/// Seeds that failed once, each with its cause.
function readRegressions(): z.infer<typeof regressionsSchema> {
  return regressionsSchema.parse(JSON.parse(readFileSync("lab/soak/regression-seeds.json", "utf8")))
}

if (process.argv[1]?.endsWith("soak/soak.js")) await main()
