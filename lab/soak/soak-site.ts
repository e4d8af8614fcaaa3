/// The whole site of a soak: daemons as processes, and in this process the store, the back ends, the proxies
/// before them and the callers.
import {readFileSync} from "node:fs"
import {join} from "node:path"
import {parse} from "smol-toml"
import {DutyStandIn} from "./duty-stand-in.js"
import {BackendStandIn, type BackendBehavior} from "./backend-stand-in.js"
import {HandleRegistry} from "./handle-registry.js"
import type {CallerTarget} from "./caller-load.js"
import {SeededRandom} from "../../src/shared/random.js"
import {findFreePorts} from "../free-ports.js"
import {DaemonProcess, type DaemonSite} from "./daemon-process.js"
import {FaultProxy} from "./fault-proxy.js"
import {BACKENDS} from "./disturbance.js"
import type {SoakBounds, SoakRecord} from "./soak-record.js"
import {formatConfiguration, getService, SOAK_ROUTES, SOAK_SERVICES} from "./soak-routes.js"
import {StoreStandIn} from "./store-stand-in.js"

const ZONES = ["zone-a", "zone-b"]
const PORTS_PER_DAEMON = 4
/// A back end that a request has ended is down so long. Milliseconds.
const SHORTEST_DOWN_MS = 800
const LONGEST_DOWN_MS = 3000
/// How long back ends are down has a generator of its own, so that plans stay the same.
const CRASH_SEED = 43

/// Back ends by place: a place keeps its service when its incarnation changes.
const PLACES: readonly {service: string; stage: "prefill" | "decode" | undefined}[] = [
  ...Array.from({length: 2}, () => ({service: SOAK_SERVICES.plain, stage: undefined})),
  ...Array.from({length: 2}, () => ({service: SOAK_SERVICES.otherPlain, stage: undefined})),
  ...Array.from({length: 6}, (_, i) => ({
    service: SOAK_SERVICES.engines,
    stage: i < 3 ? ("prefill" as const) : ("decode" as const)
  }))
]

/// How many back ends there are.
export const BACKEND_PLACES = PLACES.length
/// The same by service.
export const PLACES_BY_SERVICE: readonly (readonly number[])[] = Object.values(SOAK_SERVICES).map(service =>
  [...PLACES.keys()].filter(place => PLACES[place].service === service)
)

interface Place {
  backend: BackendStandIn | undefined
  realAddress: string
  readonly proxy: FaultProxy
  readonly proxyAddress: string
  incarnation: number
}

/// The site.
export class SoakSite {
  readonly store = new StoreStandIn()
  readonly duties: DutyStandIn
  readonly daemons: DaemonProcess[] = []
  readonly targets: CallerTarget[] = []
  private readonly proxies = new Map<string, FaultProxy>()
  private readonly places: Place[] = []
  /// Every incarnation of this run: each holds its port until the end of the run.
  private readonly incarnations: BackendStandIn[] = []
  private readonly registry = new HandleRegistry()
  private version = 0
  private readonly takenKeys = new Set<string>()
  private plainService: string = SOAK_SERVICES.plain
  private closed = false
  private readonly crashRandom: () => number

  constructor(
    readonly record: SoakRecord,
    private readonly bounds: SoakBounds,
    private readonly folder: string,
    private readonly program: string,
    private readonly random: () => number,
    /// Flags of the runtime beside those of the deploy file.
    private readonly extraFlags: readonly string[] = []
  ) {
    this.duties = new DutyStandIn(bounds.leaseMs)
    const generator = new SeededRandom(CRASH_SEED)
    this.crashRandom = () => generator.next()
  }

  /// Starts everything with so many daemons.
  async start(daemonCount: number): Promise<void> {
    await this.startDaemons(daemonCount)
    this.changeConfiguration()
    for (const place of PLACES.keys()) {
      await this.openPlace()
      await this.startBackend(place)
    }
    for (const daemon of this.daemons) daemon.start()
  }

  /// Ends every process that was started here, and closes everything.
  async close(): Promise<void> {
    this.closed = true
    await Promise.all(this.daemons.map(daemon => daemon.kill()))
    for (const {backend, proxy} of this.places) {
      backend?.close()
      proxy.close()
    }
    for (const backend of this.incarnations) backend.releasePort()
    for (const proxy of this.proxies.values()) proxy.close()
    this.store.close()
    this.duties.close()
  }

  getDaemon(name: string): DaemonProcess {
    const daemon = this.daemons.find(candidate => candidate.name === name)
    if (!daemon) throw new RangeError(`no daemon ${name}`)
    return daemon
  }

  /// The proxy of a link: `caller NAME`, `store NAME` or `backend PLACE`.
  getProxy(link: string): FaultProxy | undefined {
    const [kind, name] = link.split(" ")
    return kind === "backend" ? this.places[Number(name)].proxy : this.proxies.get(link)
  }

  setBehavior(place: number, behavior: BackendBehavior): void {
    const {backend} = this.places[place]
    if (backend) backend.behavior = behavior
  }

  /// The back end at a place names a limit in its answers from now on, in requests a second. Returns how to
  /// end that.
  startLimit(place: number, perSecond: number): () => void {
    const {backend} = this.places[place]
    if (!backend) return () => undefined
    const span = {backend: backend.identity.id, perSecond, from: performance.now(), until: Infinity}
    this.record.signals.limits.push(span)
    backend.requestsPerSecond = perSecond
    const end = () => {
      backend.requestsPerSecond = undefined
      span.until = Math.min(span.until, performance.now())
    }
    backend.onStopped = end
    return end
  }

  /// The back end at a place says in its answers that it leaves, while its record says that it is ready.
  setLeaving(place: number): void {
    const {backend} = this.places[place]
    if (backend) backend.signalsLeaving = true
  }

  /// The back end at a place turns part of its requests away and asks daemons to back off; undefined: no more.
  setBackOff(place: number, backOff: BackendStandIn["backOff"]): void {
    const {backend} = this.places[place]
    if (backend) backend.backOff = backOff
  }

  /// Starts a new incarnation at a place, if none is there. It may have the id of the one before.
  async startBackend(index: number, keepsId = false): Promise<void> {
    const place = this.places[index]
    if (place.backend || this.closed) return
    if (!keepsId) place.incarnation += 1
    const {service, stage} = PLACES[index]
    const identity = {id: `b${index}i${place.incarnation}`, service, stage, zone: ZONES[index % ZONES.length]}
    const backend = new BackendStandIn(identity, this.store, this.record, this.registry, this.random)
    this.incarnations.push(backend)
    place.realAddress = await backend.start()
    place.backend = backend
    backend.onCrash = () => this.crashBackend(index)
    backend.announce(place.proxyAddress)
  }

  /// The address of a place's back end; undefined where none is, since the one before holds its port to the end.
  private findListener(index: number): string | undefined {
    const {backend, realAddress} = this.places[index]
    return backend && realAddress
  }

  /// A request has ended the back end at a place; it is back after some seconds, half of the times under its
  /// id.
  private crashBackend(index: number): void {
    const place = this.places[index]
    const {backend} = place
    if (!backend) return
    place.backend = undefined
    const keepsId = !backend.isDraining() && this.crashRandom() < 0.5
    const downMs = SHORTEST_DOWN_MS + this.crashRandom() * (LONGEST_DOWN_MS - SHORTEST_DOWN_MS)
    const disturbance = {what: BACKENDS, kind: "ended by a request", from: performance.now(), until: Infinity}
    this.record.disturbances.push(disturbance)
    backend.crash()
    setTimeout(() => {
      disturbance.until = performance.now()
      void this.startBackend(index, keepsId)
    }, downMs)
  }

  drainBackend(index: number): void {
    this.places[index].backend?.drain()
  }

  closeBackend(index: number): void {
    this.places[index].backend?.close()
    this.places[index].backend = undefined
  }

  /// Writes the next version: the moving route changes its service.
  changeConfiguration(): void {
    this.version += 1 + Math.floor(this.random() * 3)
    const {plain, otherPlain} = SOAK_SERVICES
    this.plainService = this.plainService === plain ? otherPlain : plain
    const at = performance.now()
    for (const {name, prompt} of SOAK_ROUTES)
      this.record.routes.push({
        route: name,
        service: getService(name, prompt !== undefined, this.plainService),
        at
      })
    this.writeConfiguration()
  }

  /// Takes a key away from its tenant, or gives it back.
  setKey(key: string, valid: boolean): void {
    if (valid) this.takenKeys.delete(key)
    else this.takenKeys.add(key)
    this.version += 1
    this.record.keys.push({key, valid, at: performance.now()})
    this.writeConfiguration()
  }

  private writeConfiguration(): void {
    const value = formatConfiguration(this.version, this.plainService, this.takenKeys)
    this.store.write("op", "config", value)
  }

  private async openPlace(): Promise<void> {
    const index = this.places.length
    const proxy = new FaultProxy(() => this.findListener(index))
    const proxyAddress = await proxy.start()
    this.places.push({backend: undefined, realAddress: "127.0.0.1:1", proxy, proxyAddress, incarnation: 0})
  }

  private async startDaemons(count: number): Promise<void> {
    const ports = await findFreePorts(count * PORTS_PER_DAEMON)
    const controls = Array.from({length: count}, (_, i) => `127.0.0.1:${ports[i * PORTS_PER_DAEMON + 2]}`)
    const site: DaemonSite = {
      folder: this.folder,
      program: this.program,
      flags: [...readFlags(), ...this.extraFlags],
      bounds: this.bounds,
      seeds: controls.slice(0, 3)
    }
    for (let i = 0; i < count; i += 1) {
      const [front, ready, , metrics] = ports.slice(i * PORTS_PER_DAEMON, (i + 1) * PORTS_PER_DAEMON)
      const name = `daemon-${i + 1}`
      const address = {
        front: `127.0.0.1:${front}`,
        ready: `127.0.0.1:${ready}`,
        control: controls[i],
        metrics
      }
      const store = await this.openProxy(`store ${name}`, await this.store.open(name))
      const caller = await this.openProxy(`caller ${name}`, address.front)
      const zone = ZONES[i % ZONES.length]
      this.daemons.push(
        new DaemonProcess(
          name,
          zone,
          address,
          site,
          {store, duties: await this.duties.open(name)},
          (daemon, code, signal) =>
            this.record.observedViolations.push({
              promise: "no process ends by itself",
              text: `${daemon}: ${code ?? signal}`
            })
        )
      )
      this.targets.push({daemon: name, address: caller})
    }
  }

  private async openProxy(link: string, target: string): Promise<string> {
    const proxy = new FaultProxy(() => target)
    this.proxies.set(link, proxy)
    return proxy.start()
  }
}

/// The flags of the program, as the deploy file has them.
function readFlags(): string[] {
  const deploy = parse(readFileSync(join(process.cwd(), "deploy/system.toml"), "utf8"))
  const {run} = (deploy.roles as Record<string, {run: string}>).forwarder
  return run.split(" ").filter(word => word.startsWith("--"))
}
