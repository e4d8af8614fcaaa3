/**
 * A complete site in virtual time: the daemons' real state machines, simulated engines, application servers, network
 * and platform. Performs the daemons' effects, and offers what fault injection needs: kill, pause, drain.
 */
import { DEFAULT_ENGINE_MODEL_SETTINGS } from '../lab/engine-model-settings.js';
import { PlatformModel } from '../lab/platform-model.js';
import { CompletionDaemon } from '../src/daemon/completion-daemon.js';
import type { CompletionDaemonEffect, CompletionDaemonEvent } from '../src/daemon/completion-messages.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';
import {
  DEFAULT_COMPLETION_DAEMON_SETTINGS,
  type CompletionDaemonSettings,
} from '../src/daemon/completion-daemon-settings.js';
import type { EngineAssignment } from '../src/contracts/engine-protocol.js';
import type { ServiceRow } from '../src/configuration/service-row.js';
import type { Machine } from '../src/contracts/machine-list.js';
import { SeededRandom } from '../src/shared/random.js';
import { BackendLinks, type LinkedSite } from './backend-links.js';
import type { DaemonNode } from './daemon-node.js';
import { Monitor } from './monitor.js';
import { SimulatedApplication } from './simulated-application.js';
import { SimulatedEngine } from './simulated-engine.js';
import { SimulatedNetwork, type NetworkSettings } from './simulated-network.js';
import { VirtualTime } from './virtual-time.js';

export type { DaemonNode } from './daemon-node.js';

/** Location and initial assignment of an engine. */
interface EngineLocation {
  readonly zone: string;
  readonly region: string;
  readonly cell: string;
  readonly assignment: EngineAssignment;
}

/** Size, services, network and settings of a simulated site. */
export interface SimulatedSiteOptions {
  readonly seed: number;
  readonly daemons: readonly { readonly zone: string; readonly region: string }[];
  readonly engines: readonly EngineLocation[];
  readonly applications: readonly { readonly zone: string; readonly region: string }[];
  readonly services: readonly ServiceRow[];
  readonly network?: Partial<NetworkSettings>;
  readonly settings?: Partial<CompletionDaemonSettings>;
}

const DEFAULT_NETWORK: NetworkSettings = { sameZoneMs: 0.2, otherZoneMs: 1, otherRegionMs: 35, jitter: 0.3 };
/** Time until a connection check has its result. Milliseconds. */
const CHECK_MS = 2;
/** Interval of the daemons' timers. Milliseconds. */
const TICK_MS = 100;
/**
 * Limits that the monitor checks: a back end gets no new request later than `leavingMs` after it announced that it
 * leaves, and an edit is in force everywhere `configurationMs` after its commit. Milliseconds.
 */
const LIMITS = { leavingMs: 5000, configurationMs: 20_000 };

/** Handles effects that answer callers and operators. */
type ReplyHandler = (node: DaemonNode, effect: CompletionDaemonEffect) => void;

/** The simulation of a site. */
export class SimulatedSite implements LinkedSite {
  readonly time = new VirtualTime();
  readonly random: SeededRandom;
  readonly network: SimulatedNetwork;
  readonly platform: PlatformModel;
  readonly monitor: Monitor;
  readonly daemons: DaemonNode[] = [];
  readonly engines = new Map<string, SimulatedEngine>();
  readonly applications = new Map<string, SimulatedApplication>();
  private readonly nodesByAddress = new Map<string, DaemonNode>();
  private readonly settings: CompletionDaemonSettings;
  private readonly links = new BackendLinks(this);
  private replyHandler: ReplyHandler = () => undefined;
  /** Changes or drops events on their way to a daemon; tests of the monitor break the system with it. */
  intercept: (event: CompletionDaemonEvent) => CompletionDaemonEvent | undefined = (event) => event;
  /** Upper bound of the random delay of a daemon's orders, as if it were paused between lease check and send. */
  readonly controlDelayMs = new Map<DaemonNode, number>();

  constructor(private readonly options: SimulatedSiteOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new SimulatedNetwork(this.time, this.random, { ...DEFAULT_NETWORK, ...options.network });
    this.platform = new PlatformModel();
    this.monitor = new Monitor(() => this.time.now(), LIMITS);
    this.settings = { ...DEFAULT_COMPLETION_DAEMON_SETTINGS, ...options.settings };
    this.writeServices(options.services);
    options.engines.forEach((location, index) => this.addEngine(location, index));
    options.applications.forEach((location, index) => this.addApplication(location, index));
    options.daemons.forEach((location, index) => this.addDaemon(location, index));
  }

  /** Sets the handler of answers to callers and operators. */
  onReply(handler: ReplyHandler): void {
    this.replyHandler = handler;
  }

  /** Gets the daemons that accept callers' connections. */
  getReadyDaemons(): DaemonNode[] {
    return this.daemons.filter((node) => this.acceptsConnections(node));
  }

  /** Whether the daemon would accept a caller's connection. */
  acceptsConnections(node: DaemonNode): boolean {
    return (
      node.alive &&
      node.pausedSince === undefined &&
      !node.draining &&
      node.daemon.readiness(this.time.now()).ready
    );
  }

  /** Delivers an event to a daemon and performs its effects; a paused process handles it after it resumes. */
  deliver(node: DaemonNode, original: CompletionDaemonEvent): void {
    const event = this.intercept(original);
    if (!node.alive || !event) return;
    if (node.pausedSince !== undefined) {
      node.backlog.push(event);
      return;
    }
    for (const effect of node.daemon.handle(event, this.time.now())) this.perform(node, effect);
  }

  /** Kills a daemon process. */
  kill(node: DaemonNode): void {
    node.alive = false;
    node.backlog = [];
    node.pausedSince = undefined;
  }

  /** Kills a daemon if it still runs, and starts a new process. */
  restart(node: DaemonNode): void {
    this.kill(node);
    this.startProcess(node);
  }

  /** Pauses a daemon's process, as SIGSTOP does. */
  pause(node: DaemonNode): void {
    if (node.alive) node.pausedSince ??= this.time.now();
  }

  /** Resumes a paused process, as SIGCONT does: events that arrived meanwhile are handled at once. */
  resume(node: DaemonNode): void {
    if (node.pausedSince === undefined) return;
    node.pausedSince = undefined;
    const { backlog } = node;
    node.backlog = [];
    for (const event of backlog) this.deliver(node, event);
  }

  /** Stops a daemon gracefully, as SIGTERM does: callers notice after `noticeMs`, and the process exits once idle. */
  drain(node: DaemonNode, noticeMs: number, onStopped: () => void): void {
    this.deliver(node, { kind: 'beginDrain' });
    const { starts } = node;
    this.time.after(noticeMs, () => (node.draining = true));
    const check = (): void => {
      if (node.starts !== starts || !node.alive) return;
      const idle =
        node.draining && node.daemon.countOpenRequests() === 0 && node.daemon.countUnconfirmedWrites() === 0;
      if (!idle) {
        this.time.after(TICK_MS, check);
        return;
      }
      this.kill(node);
      onStopped();
    };
    this.time.after(noticeMs, check);
  }

  /** Makes an engine leave: it refuses new requests, and the machine list shows that after its delay. */
  setEngineLeaving(engine: SimulatedEngine): void {
    engine.model.setLeaving();
    this.monitor.onBackendLeaving(engine.name);
    this.platform.setMachine({ ...this.createMachine(engine), state: 'leaving' }, this.time.now());
  }

  private writeServices(services: readonly ServiceRow[]): void {
    const writes = services.map((row) => ({
      table: 'services' as const,
      key: row.name,
      expectedRevision: 0,
      value: row,
    }));
    if (writes.length > 0) this.platform.applyTableRequest({ kind: 'commit', writeId: 'initial', writes }, 0);
  }

  private addEngine(location: EngineLocation, index: number): void {
    const engine = new SimulatedEngine({
      ...location,
      name: `engine-${index + 1}`,
      address: `10.1.${index >> 8}.${index & 255}:80`,
      time: this.time,
      monitor: this.monitor,
      settings: DEFAULT_ENGINE_MODEL_SETTINGS,
    });
    this.engines.set(engine.name, engine);
    this.platform.setMachine(this.createMachine(engine), 0);
  }

  private createMachine(engine: SimulatedEngine): Machine {
    return {
      id: engine.name,
      kind: 'engine',
      address: engine.address,
      zone: engine.zone,
      cell: engine.cell,
      state: 'live',
    };
  }

  private addApplication(location: { zone: string; region: string }, index: number): void {
    const server = new SimulatedApplication({
      ...location,
      name: `application-${index + 1}`,
      address: `10.2.0.${index}:80`,
      time: this.time,
      monitor: this.monitor,
    });
    this.applications.set(server.address, server);
    const { name, address, zone } = server;
    this.platform.setMachine({ id: name, kind: 'application', address, zone, cell: zone, state: 'live' }, 0);
  }

  private addDaemon(location: { zone: string; region: string }, index: number): void {
    const address = `10.0.${index >> 8}.${index & 255}:7000`;
    const name = `daemon-${index + 1}`;
    const node: DaemonNode = {
      ...location,
      name,
      index,
      address,
      daemon: undefined as unknown as CompletionDaemon,
      id: '',
      starts: 0,
      alive: false,
      pausedSince: undefined,
      backlog: [],
      draining: false,
    };
    this.daemons.push(node);
    this.nodesByAddress.set(address, node);
    this.startProcess(node);
  }

  private startProcess(node: DaemonNode): void {
    node.starts += 1;
    node.id = `${node.name}.${node.starts}`;
    node.alive = true;
    node.draining = false;
    const seeds = this.options.daemons
      .slice(0, 5)
      .map((_location, index) => `10.0.0.${index}:7000`)
      .filter((seed) => seed !== node.address);
    const { id, address, zone, region, starts } = node;
    const random = new SeededRandom(this.options.seed * 1000 + node.index * 17 + starts);
    node.daemon = new CompletionDaemon(
      { id, address, zone, region },
      seeds,
      this.settings,
      random,
      this.time.now(),
    );
    const tick = (): void => {
      if (node.starts !== starts || !node.alive) return;
      if (node.pausedSince === undefined) this.deliver(node, { kind: 'tick' });
      this.time.after(TICK_MS, tick);
    };
    this.time.after(this.random.next() * TICK_MS, tick);
  }

  private perform(node: DaemonNode, effect: CompletionDaemonEffect): void {
    switch (effect.kind) {
      case 'sendPeer':
        this.sendPeer(node, effect.address, effect.message);
        break;
      case 'tableRequest':
        this.links.sendTableRequest(node, effect);
        break;
      case 'listMachines':
        this.links.readMachines(node, effect.cells);
        break;
      case 'engineControl':
        this.links.sendEngineControl(node, effect);
        break;
      case 'startAttempt':
        this.links.startAttempt(node, effect);
        break;
      case 'cancelAttempt': {
        const engine = this.findEngine(effect.address);
        if (engine) this.network.send(node, engine, () => engine.cancel(effect.attemptId));
        break;
      }
      case 'checkBackend': {
        const { backend } = effect;
        const target = this.findEngine(backend.address) ?? this.applications.get(backend.address);
        const check = target?.alive ? 'answered' : 'ended';
        this.time.after(CHECK_MS, () => this.deliver(node, { kind: 'backendChecked', backend, check }));
        break;
      }
      case 'startApplicationCall':
        this.links.startCall(node, effect);
        break;
      default:
        this.replyHandler(node, effect);
    }
  }

  private sendPeer(node: DaemonNode, address: string, message: PeerMessage): void {
    const target = this.nodesByAddress.get(address);
    if (!target || !target.alive) return;
    const { starts } = target;
    this.network.send(node, target, () => {
      if (target.starts !== starts) return;
      this.deliver(target, { kind: 'peerMessage', fromId: node.id, fromAddress: node.address, message });
    });
  }

  private findEngine(address: string): SimulatedEngine | undefined {
    for (const engine of this.engines.values()) if (engine.address === address) return engine;
    return undefined;
  }
}
