/// How fast the back ends work: lets what is known of it fade, and tells operators of slow ones.
import {DaemonPart, type PartFigures, type PartContext} from "./daemon-part.js"

/// The slowest back ends are shown by rank, so many of them.
const SHOWN = 3

/// The pace of back ends as a part.
export class PacePart extends DaemonPart {
  override readonly name = "paces"

  constructor(private readonly surroundings: PartContext) {
    super()
  }

  override scan(_leaving: boolean, now: number): void {
    const {directory, logChange} = this.surroundings
    directory.paces.tick(now)
    for (const {id, slow, factor} of directory.paces.takeChanges()) {
      logChange(slow ? "backend.slow" : "backend.sound", {backend: id, factor: roundFactor(factor)})
    }
  }

  override getFigures(): PartFigures {
    const slowest = this.surroundings.directory.paces.getFactors().slice(0, SHOWN)
    const byRank = slowest.map(({factor}, rank) => [`factor_${rank + 1}`, roundFactor(factor)])
    return {slow: this.surroundings.directory.paces.countSlow(), ...Object.fromEntries(byRank)}
  }
}

function roundFactor(factor: number): number {
  return Math.round(factor * 100) / 100
}
