/// Cost of distance: transfer time, plus the operator's price of the transferred bytes expressed as waiting
/// time. Every selection of a back end uses it. In a fleet of one region the round trips are the defaults and
/// bytes cost nothing.
import type {DistanceSettings} from "./distance-settings.js"
import type {DistanceClass, Places} from "./places.js"
import type {RoundTrips} from "./round-trips.js"

const BYTES_PER_MEGABYTE = 1e6
const BYTES_PER_GIGABYTE = 1e9
/// 1 Mbps is 1,000 bits per millisecond.
const MS_PER_BYTE_AT_ONE_MBPS = 8 / 1e3

/// The links over which engines copy KV caches.
export interface EngineLinks {
  /// Size of a token in a KV cache. Bytes.
  readonly tokenBytes: number
  /// Bandwidth of a link. Megabits per second.
  readonly linkMbps: number
}

/// Time and cost of a call or a copy over a distance. Milliseconds.
export interface Expense {
  /// Duration.
  readonly timeMs: number
  /// Duration plus the price, expressed as waiting time.
  readonly costMs: number
}

const NO_EXPENSE: Expense = {timeMs: 0, costMs: 0}

/// The cost of distance as seen by one daemon.
export class DistanceCost {
  constructor(
    readonly settings: DistanceSettings,
    readonly places: Places,
    private readonly roundTrips: RoundTrips
  ) {}

  /// Cost of a call that transfers `bytes` between a zone and a back end in another one.
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

  /// Cost of copying `tokens` of a KV cache from an engine in one zone to one in another.
  getCopyExpense(from: string, to: string, tokens: number, links: EngineLinks | undefined): Expense {
    if (!links || tokens <= 0) return NO_EXPENSE
    const distance = this.places.getDistance(from, to)
    return this.getLinkExpense(distance, tokens, links, this.getLinkMs(from, to, distance))
  }

  private getLinkExpense(
    distance: DistanceClass,
    tokens: number,
    links: EngineLinks,
    linkMs: number
  ): Expense {
    const {copyTimeFactor, copyMsPerGigabyte} = this.settings
    const bytes = tokens * links.tokenBytes
    const copyMs = (bytes * MS_PER_BYTE_AT_ONE_MBPS * copyTimeFactor[distance]) / links.linkMbps
    const timeMs = copyMs + linkMs
    return {timeMs, costMs: timeMs + (bytes / BYTES_PER_GIGABYTE) * copyMsPerGigabyte[distance]}
  }

  /// Round trip between the engines. Round trips are only measured from this daemon's region, so between two
  /// other regions it is the longer one of the two from here.
  private getLinkMs(from: string, to: string, distance: DistanceClass): number {
    const {places, roundTrips} = this
    if (distance !== "otherRegion") return roundTrips.getRoundTripMs(undefined, distance)
    const regions = [from, to].map(zone => places.getRegion(zone))
    return Math.max(...regions.map(region => roundTrips.getRoundTripMs(region, distance)))
  }
}
