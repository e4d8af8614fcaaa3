/// What distance costs, in time and in what that time is worth to an operator who pays for the bytes. Every
/// choice of a back end asks here. In a fleet of one region nothing is learned and bytes cost nothing.
import type {DistanceSettings} from "./distance-settings.js"
import type {DistanceClass, Places} from "./places.js"
import type {RoundTrips} from "./round-trips.js"

const BYTES_PER_MEGABYTE = 1e6
const BYTES_PER_GIGABYTE = 1e9
/// One Mbps carries 1,000 bits a millisecond.
const MS_PER_BYTE_AT_ONE_MBPS = 8 / 1e3

/// The links over which engines copy KV caches.
export interface EngineLinks {
  /// Bytes that a token takes up in a KV cache.
  readonly tokenBytes: number
  /// Megabits per second.
  readonly linkMbps: number
}

/// What something costs over a distance. Milliseconds.
export interface Expense {
  /// It takes so long.
  readonly timeMs: number
  /// Time and price together, as waiting.
  readonly costMs: number
}

const NO_EXPENSE: Expense = {timeMs: 0, costMs: 0}

/// The cost of distance as one daemon sees it.
export class DistanceCost {
  constructor(
    readonly settings: DistanceSettings,
    readonly places: Places,
    private readonly roundTrips: RoundTrips
  ) {}

  /// A call with so many bytes from one zone to a back end of another.
  getCallExpense(from: string, to: string, bytes: number): Expense {
    const distance = this.places.getDistance(from, to)
    if (!this.places.hasSeveralRegions()) {
      const timeMs = this.settings.roundTripMs[distance]
      return {timeMs, costMs: timeMs}
    }
    const timeMs = this.roundTrips.getRoundTripMs(this.places.getRegion(to), distance)
    const price = (bytes / BYTES_PER_MEGABYTE) * this.settings.callMsPerMegabyte[distance]
    return {timeMs, costMs: timeMs + price}
  }

  /// So many tokens of a KV cache copied from an engine of one zone to one of another.
  getCopyExpense(from: string, to: string, tokens: number, links: EngineLinks | undefined): Expense {
    if (!links || tokens <= 0) return NO_EXPENSE
    const distance = this.places.getDistance(from, to)
    return this.getCopy(distance, tokens, links, this.getLinkMs(from, to, distance))
  }

  private getCopy(distance: DistanceClass, tokens: number, links: EngineLinks, linkMs: number): Expense {
    const {copyTimeFactor: moveTimeFactor, copyMsPerGigabyte: moveMsPerGigabyte} = this.settings
    const bytes = tokens * links.tokenBytes
    const copyMs = (bytes * MS_PER_BYTE_AT_ONE_MBPS * moveTimeFactor[distance]) / links.linkMbps
    const timeMs = copyMs + linkMs
    return {timeMs, costMs: timeMs + (bytes / BYTES_PER_GIGABYTE) * moveMsPerGigabyte[distance]}
  }

  /// Round trips are known from this daemon's place alone; between two other regions it takes the longer of
  /// the two ways.
  private getLinkMs(from: string, to: string, distance: DistanceClass): number {
    const {places, roundTrips} = this
    if (distance !== "otherRegion") return roundTrips.getRoundTripMs(undefined, distance)
    const far = [from, to].map(zone => places.getRegion(zone))
    return Math.max(...far.map(region => roundTrips.getRoundTripMs(region, distance)))
  }
}
