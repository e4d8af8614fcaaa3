/// The whole site of a soak: daemons as processes, and in this process the store, the back ends, the proxies before
/// them and the callers.
import {readFileSync} from "node:fs"
import {join} from "node:path"
import {parse} from "smol-toml"
import {BackendStandIn, HandleRegistry, type BackendBehavior} from "./backend-stand-in.js"
import type {CallerRoute, CallerTarget} from "./caller-load.js"
import {DaemonProcess, findFreePorts, type DaemonSite} from "./daemon-process.js"
import {FaultProxy} from "./fault-proxy.js"
import type {SoakBounds, SoakRecord} from "./soak-record.js"
import {StoreStandIn} from "./store-stand-in.js"

const ZONES = ["zone-a", "zone-b"]
const HOST = "site.example"
const PLAIN = "application"
const OTHER_PLAIN = "application-2"
const ENGINES = "engines"
const PORTS_PER_DAEMON = 4

/// The routes that callers use.
export const SOAK_ROUTES: readonly CallerRoute[] = [
  {name: "document", host: HOST, path: "/document/x", form: "non_idempotent", timeoutMs: 1500},
  {name: "receipt", host: HOST, path: "/receipt/x", form: "idempotent", timeoutMs: 1500},
  {name: "moving", host: HOST, path: "/moving/x", form: "idempotent", timeoutMs: 1500},
  {
    name: "check",
    host: HOST,
    path: "/check/x",
    form: "streaming",
    timeoutMs: 3000,
    prompt: {shared: 90, own: 150, subjects: 20}
  },
  {
    name: "review",
    host: HOST,
    path: "/review/x",
    form: "streaming",
    timeoutMs: 5000,
    prompt: {shared: 9000, own: 2000, subjects: 12}
  }
]
const RESUMABLE = "check"

/// Back ends by place: a place keeps its service when its incarnation changes.
const PLACES: readonly {service: string; stage: "prefill" | "decode" | undefined}[] = [
  ...Array.from({length: 2}, () => ({service: PLAIN, stage: undefined})),
  ...Array.from({length: 2}, () => ({service: OTHER_PLAIN, stage: undefined})),
  ...Array.from({length: 6}, (_, i) => ({
    service: ENGINES,
    stage: i < 3 ? ("prefill" as const) : ("decode" as const)
  }))
]

/// How many back ends there are.
export const BACKEND_PLACES = PLACES.length

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
  readonly daemons: DaemonProcess[] = []
  readonly targets: CallerTarget[] = []
  private readonly proxies = new Map<string, FaultProxy>()
  private readonly places: Place[] = []
  private readonly registry = new HandleRegistry()
  private version = 0
  private plainService = PLAIN

  constructor(
    readonly record: SoakRecord,
    private readonly bounds: SoakBounds,
    private readonly folder: string,
    private readonly program: string,
    private readonly random: () => number
  ) {}

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
    await Promise.all(this.daemons.map(daemon => daemon.kill()))
    for (const {backend, proxy} of this.places) {
      backend?.close()
      proxy.close()
    }
    for (const proxy of this.proxies.values()) proxy.close()
    this.store.close()
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

  /// Starts a new incarnation at a place.
  async startBackend(index: number): Promise<void> {
    const place = this.places[index]
    place.incarnation += 1
    const {service, stage} = PLACES[index]
    const identity = {id: `b${index}i${place.incarnation}`, service, stage, zone: ZONES[index % ZONES.length]}
    const backend = new BackendStandIn(identity, this.store, this.record, this.registry, this.random)
    place.realAddress = await backend.start()
    place.backend = backend
    backend.announce(place.proxyAddress)
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
    this.plainService = this.plainService === PLAIN ? OTHER_PLAIN : PLAIN
    const at = performance.now()
    const routes = SOAK_ROUTES.map(route => this.getRoute(route, at))
    const engine = {slots: 16, kv_capacity: 400_000, kv_ttl_s: 5}
    const services = [
      {name: PLAIN, health_path: "/healthz", max_conns: 200},
      {name: OTHER_PLAIN, health_path: "/healthz", max_conns: 200},
      {name: ENGINES, health_path: "/healthz", max_conns: 200, engine}
    ]
    const limits = {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000
    }
    this.store.write("op", "config", {version: this.version, routes, services, limits})
  }

  private getRoute(route: CallerRoute, at: number): object {
    const service = route.prompt ? ENGINES : route.name === "moving" ? this.plainService : PLAIN
    this.record.routes.push({route: route.name, service, at})
    return {
      name: route.name,
      host: route.host,
      path_prefix: `/${route.name}/`,
      route_kind: route.form,
      timeout_ms: route.timeoutMs,
      target_latency_ms: route.timeoutMs / 5,
      target_itl_ms: 150,
      priority: route.name === "review" ? 1 : 0,
      service,
      max_attempts: 2,
      resumable: route.name === RESUMABLE
    }
  }

  private async openPlace(): Promise<void> {
    const index = this.places.length
    const proxy = new FaultProxy(() => this.places[index].realAddress)
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
      bounds: this.formatBounds(),
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
        new DaemonProcess(name, zone, address, site, store, (daemon, code, signal) =>
          this.record.seen.push({promise: "no process ends by itself", text: `${daemon}: ${code ?? signal}`})
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

  private formatBounds(): string {
    const {contactMs, configMs, drainMs, leaseMs} = this.bounds
    return (
      `[bounds]\ncontact_ms = ${contactMs}\nconfig_ms = ${configMs}\ndrain_ms = ${drainMs}\ngrace_s = 8\n` +
      `lease_ms = ${leaseMs}\nretry_budget_ratio = 0.2\nbudget_slack = 50\nbudget_window_s = 10\n`
    )
  }
}

/// The flags of the program, as the deploy file has them.
function readFlags(): string[] {
  const deploy = parse(readFileSync(join(process.cwd(), "deploy/system.toml"), "utf8"))
  const {run} = (deploy.roles as Record<string, {run: string}>).forwarder
  return run.split(" ").filter(word => word.startsWith("--"))
}
