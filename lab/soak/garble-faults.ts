/// Back ends, the store and strangers on the ports for peers that send wrong bytes, or bytes without end, and the plan of
/// such troubles beside planned work: restarts of all daemons in turn, and of one beside silent and full back ends.
import {connect, type Socket} from "node:net"
import {splitAddress} from "../../src/shared/address.js"
import {sendPeerGarbage} from "../garbled-bytes.js"
import {BackendFault, Fault, RestartFault, StoreFault} from "./faults.js"
import type {PlannedFault} from "./fault-plan.js"
import {drawTimes, SilenceFault} from "./silence-faults.js"
import type {SoakSite} from "./soak-site.js"

const GARBLE_INTERVAL_MS = 2500
const SHORTEST_GARBLE_MS = 1000
const LONGEST_GARBLE_MS = 5000
const PEER_INTERVAL_MS = 1200
const STORE_INTERVAL_MS = 9000
const STORE_MS = 2500
/// Time between the stops of two daemons when all are restarted in turn.
const TURN_MS = 1300
const SILENCE_MS = 1400
/// From the stop of a daemon until a back end of each service falls silent, and until the others reject requests.
const SILENCE_AT_MS = 500
const FULL_MS = 3000

/// A stranger connects to a daemon's port for peers and sends garbage.
export class PeerGarbageFault extends Fault {
  private socket: Socket | undefined

  constructor(
    durationMs: number,
    private readonly daemon: string,
    private readonly kind: number
  ) {
    super(durationMs)
  }
  getName(): string {
    return `garbage ${this.kind} for ${this.daemon}`
  }
  getDisturbedDaemons(): readonly string[] {
    return []
  }
  start(site: SoakSite): void {
    const {host, port} = splitAddress(site.getDaemon(this.daemon).ports.control)
    const socket = connect(port, host)
    this.socket = socket
    socket.on("connect", () => sendPeerGarbage(socket, this.kind))
    socket.on("error", () => undefined)
  }
  stop(): void {
    this.socket?.destroy()
  }
}

/// Draws garbled bytes on every link, then one stop beside silent and full back ends, and restarts of all in turn.
export function makeGarblePlan(
  daemons: readonly string[],
  placesByService: readonly (readonly number[])[],
  durationMs: number,
  random: () => number
): PlannedFault[] {
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]
  const drawKind = () => Math.floor(random() * 100)
  const garbles = drawTimes(GARBLE_INTERVAL_MS, durationMs, random).map(atMs => {
    const lastsMs = Math.round(SHORTEST_GARBLE_MS + random() * (LONGEST_GARBLE_MS - SHORTEST_GARBLE_MS))
    return {atMs, fault: new BackendFault(lastsMs, pick(pick(placesByService)), "garbles")}
  })
  const peers = drawTimes(PEER_INTERVAL_MS, durationMs, random).map(atMs => ({
    atMs,
    fault: new PeerGarbageFault(LONGEST_GARBLE_MS, pick(daemons), drawKind())
  }))
  const stores = drawTimes(STORE_INTERVAL_MS, durationMs, random).map(atMs => ({
    atMs,
    fault: new StoreFault(STORE_MS, [pick(daemons)], "garbles")
  }))
  const turns = daemons.map((daemon, i) => ({
    atMs: Math.round(durationMs / 2 + i * TURN_MS),
    fault: new RestartFault(daemon)
  }))
  const plan = [...garbles, ...peers, ...stores, ...makeFullStop(daemons, placesByService, pick), ...turns]
  return plan.sort((left, right) => left.atMs - right.atMs)
}

/// A daemon is stopped; one back end of each service falls silent, and the others reject most requests.
function makeFullStop(
  daemons: readonly string[],
  placesByService: readonly (readonly number[])[],
  pick: <Item>(items: readonly Item[]) => Item
): PlannedFault[] {
  const silent = placesByService.map(places => pick(places))
  const others = placesByService.flat().filter(place => !silent.includes(place))
  return [
    {atMs: 0, fault: new RestartFault(pick(daemons))},
    ...silent.map(place => ({atMs: SILENCE_AT_MS, fault: new SilenceFault(SILENCE_MS, place)})),
    ...others.map(place => ({atMs: SILENCE_AT_MS, fault: new BackendFault(FULL_MS, place, "shedsMost")}))
  ]
}
