/// Sound back ends that send and receive nothing for a while, and the plan of such silences beside planned work.
import {ConfigurationFault, Fault, ReloadFault, RestartFault} from "./faults.js"
import type {PlannedFault} from "./fault-plan.js"
import type {SoakSite} from "./soak-site.js"

/// How long a back end is silent, and the shortest time between two silences of one back end. Milliseconds.
const SHORTEST_SILENCE_MS = 800
const LONGEST_SILENCE_MS = 2000
const SHORTEST_SOUND_MS = 700
/// Back ends that fall silent in one series do so within this time of each other, and the next series of their
/// service begins within this time of the last one's beginning. Milliseconds.
const LONGEST_OFFSET_MS = 900
const SHORTEST_SERIES_GAP_MS = 900
const LONGEST_SERIES_GAP_MS = 4000
/// Share of the back ends that fall silent when neither one nor all do.
const SOME_SHARE = 0.6
/// Attempts of all routes to choose from.
const ATTEMPTS = [1, 2, 2, 3]
/// Mean intervals of changes of the configuration, of reloads and of planned stops. Milliseconds.
const CHANGE_INTERVAL_MS = 2000
const RELOAD_INTERVAL_MS = 3000
const STOP_INTERVAL_MS = 6000
const RELOAD_MS = 500
/// No daemon reloads so soon before or after its planned stop, because it could be starting. Milliseconds.
const RELOAD_DISTANCE_MS = 12_000

/// A sound back end sends and receives nothing; no byte is lost. It is no disturbance: promises hold meanwhile.
export class SilenceFault extends Fault {
  private endSilence: () => void = () => undefined

  constructor(
    durationMs: number,
    private readonly place: number
  ) {
    super(durationMs)
  }
  getName(): string {
    return `silence of back end ${this.place}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    this.endSilence = site.startSilence(this.place)
  }
  stop(): void {
    this.endSilence()
  }
}

/// Draws series of silences of the back ends of each service, beside changes of the configuration, reloads and
/// planned stops. A separate plan, so that seeds without it still give the same faults.
export function makeSilencePlan(
  daemons: readonly string[],
  placesByService: readonly (readonly number[])[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const silences = placesByService.flatMap(places => makeSilences(places, durationMs, random))
  const changeTimes = drawTimes(CHANGE_INTERVAL_MS, durationMs, random)
  const stops = drawTimes(STOP_INTERVAL_MS, durationMs, random).map((atMs, i) => ({
    atMs,
    daemon: daemons[i % daemons.length]
  }))
  const reloads = drawTimes(RELOAD_INTERVAL_MS, durationMs, random).flatMap(atMs => {
    const isClose = (stop: {readonly atMs: number}) => Math.abs(stop.atMs - atMs) < RELOAD_DISTANCE_MS
    const others = daemons.filter(name => !stops.some(stop => stop.daemon === name && isClose(stop)))
    const daemon = others.at(Math.floor(random() * others.length))
    return daemon === undefined ? [] : [{atMs, fault: new ReloadFault(RELOAD_MS, daemon)}]
  })
  const changes = changeTimes.map(atMs => ({
    atMs,
    fault: new ConfigurationFault(ATTEMPTS[Math.floor(random() * ATTEMPTS.length)])
  }))
  const restarts = stops.map(({atMs, daemon}) => ({atMs, fault: new RestartFault(daemon)}))
  return [...silences, ...changes, ...reloads, ...restarts].sort((left, right) => left.atMs - right.atMs)
}

/// Draws the silences of one service's back ends: of one, some or all of them in each series.
function makeSilences(places: readonly number[], durationMs: number, random: () => number): PlannedFault[] {
  const plan: PlannedFault[] = []
  const soundFrom = new Map<number, number>()
  let seriesMs = LONGEST_OFFSET_MS * random()
  while (seriesMs < durationMs) {
    const offsetMs = random() < 0.5 ? 0 : LONGEST_OFFSET_MS
    for (const place of pickPlaces(places, random)) {
      const atMs = Math.round(seriesMs + offsetMs * random())
      const silenceMs = Math.round(
        SHORTEST_SILENCE_MS + random() * (LONGEST_SILENCE_MS - SHORTEST_SILENCE_MS)
      )
      if (atMs < (soundFrom.get(place) ?? 0)) continue
      soundFrom.set(place, atMs + silenceMs + SHORTEST_SOUND_MS)
      plan.push({atMs, fault: new SilenceFault(silenceMs, place)})
    }
    seriesMs += SHORTEST_SERIES_GAP_MS + random() * (LONGEST_SERIES_GAP_MS - SHORTEST_SERIES_GAP_MS)
  }
  return plan
}

function pickPlaces(places: readonly number[], random: () => number): readonly number[] {
  const drawn = random()
  if (drawn < 0.2) return [places[Math.floor(random() * places.length)]]
  if (drawn < 0.5) return places.filter(() => random() < SOME_SHARE)
  return places
}

/// Draws times at about this interval, in milliseconds from the start of a plan.
export function drawTimes(meanIntervalMs: number, durationMs: number, random: () => number): number[] {
  const times: number[] = []
  let atMs = meanIntervalMs * random()
  while (atMs < durationMs) {
    times.push(Math.round(atMs))
    atMs += meanIntervalMs * (0.5 + random())
  }
  return times
}
