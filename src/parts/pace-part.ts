/// The pace of the back ends: lets old measurements decay, and reports slow back ends to operators.
import {DaemonPart, type PartFigures, type PartContext} from "./daemon-part.js"

/// Number of the slowest back ends that are shown, by rank.
const MAXIMUM_SHOWN = 3

/// The part that tracks the pace of back ends.
export class PacePart extends DaemonPart {
  override readonly name = "paces"

  constructor(private readonly context: PartContext) {
    super()
  }

  override scan(_draining: boolean, now: number): void {
    const {directory, logChange} = this.context
    directory.paces.tick(now)
    for (const {id, slow, factor} of directory.paces.takeChanges()) {
      logChange(slow ? "backend.slow" : "backend.sound", {backend: id, factor: roundFactor(factor)})
    }
  }

  override getFigures(): PartFigures {
    const slowest = this.context.directory.paces.getFactors().slice(0, MAXIMUM_SHOWN)
    const byRank = slowest.map(({factor}, rank) => [`factor_${rank + 1}`, roundFactor(factor)])
    return {slow: this.context.directory.paces.countSlow(), ...Object.fromEntries(byRank)}
  }
}

function roundFactor(factor: number): number {
  return Math.round(factor * 100) / 100
}
