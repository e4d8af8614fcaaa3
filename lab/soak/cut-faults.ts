/// Daemons that are cut off from all back ends while callers, the store and other daemons reach them, and the plan of
/// such cuts.
import {CUT} from "./cut-check.js"
import {Fault, KillFault, RestartFault} from "./faults.js"
import type {PlannedFault} from "./fault-plan.js"
import type {CutKind} from "./fault-proxy.js"
import type {SoakSite} from "./soak-site.js"

const SHORTEST_CUT_MS = 4000
const LONGEST_CUT_MS = 12_000
/// Time between two cuts: longer than the contact time, so that none is judged within that of another.
/// Milliseconds.
const SHORTEST_GAP_MS = 4000
const LONGEST_GAP_MS = 6000
const KINDS: readonly CutKind[] = ["hangs", "resets", "refusesNew"]
/// Share of the cuts of all daemons, and of those beside which another daemon is stopped or killed.
const ALL_SHARE = 0.2
const STOP_SHARE = 0.4
const DOWN_MS = 1000

/// Some daemons are cut off from all back ends.
export class CutFault extends Fault {
  private heal: () => void = () => undefined

  constructor(
    durationMs: number,
    private readonly daemons: readonly string[],
    private readonly kind: CutKind
  ) {
    super(durationMs)
  }
  getName(): string {
    return `${CUT} of ${this.daemons.join(" ")}: ${this.kind}`
  }
  getDisturbedDaemons(): readonly string[] {
    return this.daemons
  }
  start(site: SoakSite): void {
    this.heal = site.startCut(this.daemons, this.kind)
  }
  stop(): void {
    this.heal()
  }
}

/// Draws cuts of one to all daemons, one after another, some of them beside the stop or end of a daemon that is not
/// cut. A separate plan, so that seeds without it still give the same faults.
export function makeCutPlan(
  daemons: readonly string[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const plan: PlannedFault[] = []
  let atMs = SHORTEST_GAP_MS * random()
  while (atMs < durationMs) {
    const cutMs = Math.round(SHORTEST_CUT_MS + random() * (LONGEST_CUT_MS - SHORTEST_CUT_MS))
    const cut = pickDaemons(daemons, random)
    const kind = KINDS[Math.floor(random() * KINDS.length)]
    plan.push({atMs: Math.round(atMs), fault: new CutFault(cutMs, cut, kind)})
    const others = daemons.filter(daemon => !cut.includes(daemon))
    const other = others.at(Math.floor(random() * others.length))
    const stopMs = Math.round(atMs + cutMs * random())
    if (other !== undefined && random() < STOP_SHARE) {
      const fault = random() < 0.5 ? new RestartFault(other) : new KillFault(DOWN_MS, [other])
      plan.push({atMs: stopMs, fault})
    }
    atMs += cutMs + SHORTEST_GAP_MS + random() * (LONGEST_GAP_MS - SHORTEST_GAP_MS)
  }
  return plan
}

function pickDaemons(daemons: readonly string[], random: () => number): readonly string[] {
  if (random() < ALL_SHARE) return daemons
  const count = 1 + Math.floor(random() * (daemons.length - 1))
  const first = Math.floor(random() * daemons.length)
  return Array.from({length: count}, (_, i) => daemons[(first + i) % daemons.length])
}
