/// Back ends, the store and strangers on the ports for peers that send wrong bytes, or bytes without end, also through
/// tunnels, and the plan of such troubles beside planned work: restarts of all daemons in turn, and of one beside silent
/// and full back ends.
import {connect, type Socket} from "node:net"
import {splitAddress} from "../../src/shared/address.js"
import {sendPeerGarbage} from "../garbled-bytes.js"
import {CutFault} from "./cut-faults.js"
import {BackendFault, Fault, RestartFault, StoreFault} from "./faults.js"
import type {PlannedFault} from "./fault-plan.js"
import type {CutKind} from "./fault-proxy.js"
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
/// From the start until daemons are cut off, and from the end of that until the restarts in turn.
const CUT_AT_MS = 1000
const CUT_GAP_MS = 500
const CUT_KINDS: readonly CutKind[] = ["hangs", "resets", "refusesNew"]
const MAXIMUM_CUT_DAEMONS = 2

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

/// Draws garbled bytes on every link, beside them one stop with silent and full back ends, a cut of some daemons, which
/// send through tunnels meanwhile, and restarts of all in turn.
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
  const fullStop = makeFullStop(daemons, placesByService, pick)
  const stopped = fullStop.flatMap(({fault}) => fault.getDisturbedDaemons())
  const others = daemons.filter(daemon => !stopped.includes(daemon))
  const cut = makeCut(others, durationMs / 2, pick, random)
  const plan = [...garbles, ...peers, ...stores, ...fullStop, cut, ...turns]
  return plan.sort((left, right) => left.atMs - right.atMs)
}

/// Some daemons are cut off from all back ends until shortly before `endMs`.
function makeCut(
  daemons: readonly string[],
  endMs: number,
  pick: <Item>(items: readonly Item[]) => Item,
  random: () => number
): PlannedFault {
  const first = Math.floor(random() * daemons.length)
  const count = Math.min(daemons.length - 1, 1 + Math.floor(random() * MAXIMUM_CUT_DAEMONS))
  const cut = Array.from({length: count}, (_, i) => daemons[(first + i) % daemons.length])
  const cutMs = Math.round(endMs - CUT_AT_MS - CUT_GAP_MS)
  return {atMs: CUT_AT_MS, fault: new CutFault(cutMs, cut, pick(CUT_KINDS))}
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
