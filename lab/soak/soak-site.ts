/// The site of a soak. Daemons run as separate processes; the store, the back ends and the proxies in front of
/// them and of the daemons run in this process.
import {readFileSync} from "node:fs"
import {join} from "node:path"
import {parse} from "smol-toml"
import {DutyStandIn} from "./duty-stand-in.js"
import type {BackendBehavior} from "./backend-behavior.js"
import {BackendStandIn, EVENT_INTERVAL_MS} from "./backend-stand-in.js"
import {HandleRegistry} from "./handle-registry.js"
import type {CallerTarget} from "./caller-load.js"
import {SeededRandom} from "../../src/shared/random.js"
import {findFreePorts} from "../free-ports.js"
import {DaemonProcess, type DaemonSite} from "./daemon-process.js"
import {FaultProxy, type CutKind} from "./fault-proxy.js"
import {BACKENDS} from "./disturbance.js"
import type {SoakBounds, SoakRecord} from "./soak-record.js"
import {formatConfiguration, getService, SOAK_ROUTES, SOAK_SERVICES, USUAL_ATTEMPTS} from "./soak-routes.js"
import {StoreStandIn} from "./store-stand-in.js"

const ZONES = ["zone-a", "zone-b"]
const PORTS_PER_DAEMON = 4
/// How long a back end is down after a request has crashed it. Milliseconds.
const SHORTEST_DOWN_MS = 800
const LONGEST_DOWN_MS = 3000
/// Seed of the generator for down times of crashed back ends. A separate one keeps the plans of faults the same.
const CRASH_SEED = 43

/// The places of back ends: the service of all incarnations at a place, and the stage with which each starts.
const PLACES: readonly {service: string; stage: "prefill" | "decode" | undefined}[] = [
  ...Array.from({length: 2}, () => ({service: SOAK_SERVICES.plain, stage: undefined})),
  ...Array.from({length: 2}, () => ({service: SOAK_SERVICES.otherPlain, stage: undefined})),
  ...Array.from({length: 6}, (_, i) => ({
    service: SOAK_SERVICES.engines,
    stage: i < 3 ? ("prefill" as const) : ("decode" as const)
  }))
]

/// The places of the engines.
export const ENGINE_PLACES = [...PLACES.keys()].filter(place => PLACES[place].stage !== undefined)

/// Number of back ends.
export const BACKEND_COUNT = PLACES.length
/// The places of the back ends of each service.
export const PLACES_BY_SERVICE: readonly (readonly number[])[] = Object.values(SOAK_SERVICES).map(service =>
  [...PLACES.keys()].filter(place => PLACES[place].service === service)
)

interface Place {
  backend: BackendStandIn | undefined
  realAddress: string
  readonly proxy: FaultProxy
  readonly proxyAddress: string
  incarnation: number
  /// Software version of the next incarnation; undefined for a record without one.
  version?: string
}

/// Starts and stops the parts of the site, and applies faults to them.
export class SoakSite {
  readonly store = new StoreStandIn()
  readonly duties: DutyStandIn
  readonly daemons: DaemonProcess[] = []
  readonly targets: CallerTarget[] = []
  private readonly proxies = new Map<string, FaultProxy>()
  private readonly places: Place[] = []
  /// Every incarnation of this soak: each keeps its port until the end.
  private readonly incarnations: BackendStandIn[] = []
  private readonly registry = new HandleRegistry()
  private version = 0
  private maxAttempts = USUAL_ATTEMPTS
  private eventIntervalMs = EVENT_INTERVAL_MS
  private readonly revokedKeys = new Set<string>()
  private movingService: string = SOAK_SERVICES.plain
  private closed = false
  private readonly crashRandom: () => number

  constructor(
    readonly record: SoakRecord,
    private readonly bounds: SoakBounds,
    private readonly folder: string,
    private readonly program: string,
    private readonly random: () => number,
    /// The module that starts each daemon with a source address of its own; undefined to start them without.
    private readonly starter?: string
  ) {
    this.duties = new DutyStandIn(bounds.leaseMs)
    const generator = new SeededRandom(CRASH_SEED)
    this.crashRandom = () => generator.next()
  }

  /// Starts the stand-ins, then this number of daemons.
  async start(daemonCount: number): Promise<void> {
    await this.startDaemons(daemonCount)
    this.changeConfiguration()
    for (const place of PLACES.keys()) {
      await this.addPlace()
      await this.startBackend(place)
    }
    for (const daemon of this.daemons) daemon.start()
  }

  /// Kills every process that was started here, and closes all servers.
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

  /// Returns a daemon by its name. Throws RangeError for an unknown one.
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

  /// Sets the behavior of the back end at a place, if one is running there.
  setBehavior(place: number, behavior: BackendBehavior): void {
    const {backend} = this.places[place]
    if (backend) backend.behavior = behavior
  }

  /// Makes the back end at a place announce a limit, in requests a second. Returns a function that stops it; it
  /// also stops when the back end does.
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

  /// Makes the back end at a place announce in its answers that it is leaving, while its record says that it is
  /// ready.
  setLeaving(place: number): void {
    const {backend} = this.places[place]
    if (backend) backend.signalsLeaving = true
  }

  /// Makes the back end at a place reject part of its requests and ask daemons to back off; undefined stops it.
  setBackOff(place: number, backOff: BackendStandIn["backOff"]): void {
    const {backend} = this.places[place]
    if (backend) backend.backOff = backOff
  }

  /// Holds all bytes from and to the back end at a place, which is sound. Returns a function that lets them go on.
  startSilence(place: number): () => void {
    const {proxy} = this.places[place]
    const span = {place, from: performance.now(), until: Infinity}
    this.record.silences.push(span)
    proxy.hold()
    return () => {
      proxy.release()
      span.until = performance.now()
    }
  }

  /// Cuts daemons off from all back ends. Returns a function that ends the cut. Needs a starter, as the proxies tell
  /// daemons by their source addresses.
  startCut(names: readonly string[], kind: CutKind): () => void {
    const sources = names.map(name => getSourceAddress(this.daemons.indexOf(this.getDaemon(name))))
    const cut = {
      daemons: names,
      daemonCount: this.daemons.length,
      kind,
      from: performance.now(),
      until: Infinity
    }
    this.record.cuts.push(cut)
    for (const {proxy} of this.places) for (const source of sources) proxy.cut(source, kind)
    return () => {
      for (const {proxy} of this.places) for (const source of sources) proxy.heal(source)
      cut.until = performance.now()
    }
  }

  /// Sets the time between two events of a stream at all back ends, in milliseconds; undefined for the usual one.
  setEventInterval(intervalMs: number | undefined): void {
    this.eventIntervalMs = intervalMs ?? EVENT_INTERVAL_MS
    for (const {backend} of this.places) if (backend) backend.eventIntervalMs = this.eventIntervalMs
  }

  /// Starts a new incarnation at a place, if none is running there. With `keepsId` it has the id of the previous
  /// one.
  async startBackend(index: number, keepsId = false): Promise<void> {
    const place = this.places[index]
    if (place.backend || this.closed) return
    if (!keepsId) place.incarnation += 1
    const {service, stage} = PLACES[index]
    const zone = ZONES[index % ZONES.length]
    const {version} = place
    const identity = {id: `b${index}i${place.incarnation}`, service, stage, zone, version}
    const backend = new BackendStandIn(identity, this.store, this.record, this.registry, this.random)
    backend.eventIntervalMs = this.eventIntervalMs
    this.incarnations.push(backend)
    place.realAddress = await backend.start()
    place.backend = backend
    backend.onCrash = () => this.crashBackend(index)
    backend.announce(place.proxyAddress)
    if (version !== undefined) this.addVersionSpan(index, version)
  }

  /// Sets the software version of the next incarnation at a place.
  setVersion(index: number, version: string): void {
    this.places[index].version = version
  }

  private addVersionSpan(index: number, version: string): void {
    const {backend} = this.places[index]
    if (!backend) return
    const generates = backend.identity.stage === "decode"
    const from = performance.now()
    this.record.versionSpans.push({backend: backend.identity.id, version, generates, from, until: Infinity})
  }

  private endVersionSpan(index: number): void {
    const id = this.places[index].backend?.identity.id
    for (const span of this.record.versionSpans)
      if (span.backend === id) span.until = Math.min(span.until, performance.now())
  }

  /// The address of a place's back end; undefined when none is running, as the previous one still holds its port.
  private findListenerAddress(index: number): string | undefined {
    const {backend, realAddress} = this.places[index]
    return backend && realAddress
  }

  /// Crashes the back end at a place because of a request. A new incarnation starts after the down time, in half
  /// of the cases with the same id, unless the old one was draining.
  private crashBackend(index: number): void {
    const place = this.places[index]
    const {backend} = place
    if (!backend) return
    place.backend = undefined
    const keepsId = !backend.isDraining() && this.crashRandom() < 0.5
    const downMs = SHORTEST_DOWN_MS + this.crashRandom() * (LONGEST_DOWN_MS - SHORTEST_DOWN_MS)
    const disturbance = {
      target: BACKENDS,
      kind: "ended by a request",
      from: performance.now(),
      until: Infinity
    }
    this.record.disturbances.push(disturbance)
    process.stdout.write(`${JSON.stringify({crashed: backend.identity.id, keepsId})}\n`)
    backend.crash()
    setTimeout(() => {
      disturbance.until = performance.now()
      void this.startBackend(index, keepsId)
    }, downMs)
  }

  /// Sets the record of the back end at a place to draining.
  drainBackend(index: number): void {
    this.endVersionSpan(index)
    this.places[index].backend?.drain()
  }

  /// Stops the back end at a place and removes its record.
  closeBackend(index: number): void {
    this.endVersionSpan(index)
    this.places[index].backend?.close()
    this.places[index].backend = undefined
  }

  /// Writes a new version of the configuration, in which the moving route leads to the other plain service and, if
  /// given, routes allow this number of attempts.
  changeConfiguration(maxAttempts = this.maxAttempts): void {
    this.maxAttempts = maxAttempts
    this.version += 1 + Math.floor(this.random() * 3)
    const {plain, otherPlain} = SOAK_SERVICES
    this.movingService = this.movingService === plain ? otherPlain : plain
    const at = performance.now()
    for (const {name, prompt} of SOAK_ROUTES)
      this.record.routes.push({
        route: name,
        service: getService(name, prompt !== undefined, this.movingService),
        at
      })
    this.writeConfiguration()
  }

  /// Revokes a tenant's key, or restores it.
  setKey(key: string, valid: boolean): void {
    if (valid) this.revokedKeys.delete(key)
    else this.revokedKeys.add(key)
    this.version += 1
    this.record.keys.push({key, valid, at: performance.now()})
    this.writeConfiguration()
  }

  private writeConfiguration(): void {
    const value = formatConfiguration(this.version, this.movingService, this.revokedKeys, this.maxAttempts)
    this.store.write("op", "config", value)
  }

  private async addPlace(): Promise<void> {
    const index = this.places.length
    const proxy = new FaultProxy(() => this.findListenerAddress(index))
    const proxyAddress = await proxy.start()
    this.places.push({backend: undefined, realAddress: "127.0.0.1:1", proxy, proxyAddress, incarnation: 0})
  }

  private async startDaemons(count: number): Promise<void> {
    const ports = await findFreePorts(count * PORTS_PER_DAEMON)
    const controls = Array.from({length: count}, (_, i) => `127.0.0.1:${ports[i * PORTS_PER_DAEMON + 2]}`)
    const site: DaemonSite = {
      folder: this.folder,
      program: this.program,
      flags: readFlags(),
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
          {...site, flags: [...site.flags, ...this.getStarterWords(i)]},
          {store, duties: await this.duties.open(name)},
          {
            onUnexpectedExit: (daemon, reason) =>
              this.record.observedViolations.push({
                promise: "no process ends by itself",
                text: `${daemon}: ${reason}`
              }),
            onEarlyReload: reload => this.record.earlyReloads.push(reload)
          }
        )
      )
      this.targets.push({daemon: name, address: caller})
    }
  }

  /// The words between the runtime's flags and the program: the starter and the daemon's source address.
  private getStarterWords(index: number): readonly string[] {
    return this.starter === undefined ? [] : [this.starter, getSourceAddress(index)]
  }

  private async openProxy(link: string, target: string): Promise<string> {
    const proxy = new FaultProxy(() => target)
    this.proxies.set(link, proxy)
    return proxy.start()
  }
}

/// The source address of a daemon, other than those of the soak itself.
function getSourceAddress(index: number): string {
  return `127.0.0.${index + 2}`
}

/// Reads the flags of the runtime for the program from the deploy file.
function readFlags(): string[] {
  const deploy = parse(readFileSync(join(process.cwd(), "deploy/system.toml"), "utf8"))
  const {run} = (deploy.roles as Record<string, {run: string}>).forwarder
  return run.split(" ").filter(word => word.startsWith("--"))
}
