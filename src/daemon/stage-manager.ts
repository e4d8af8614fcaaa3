/**
 * The stage coordinators of a forwarding daemon, one a service of model engines, and which daemons should lead
 * each: the first of the active members by rendezvous hash of the service, once that has been so for a while,
 * and the next in rank when it does not. Owns the coordinators and the ranks; who may give orders is decided by
 * the lease of each coordinator.
 */
import type { EngineStatus, StageOrderResult } from '../allocation/engine-orders.js';
import {
  StageCoordinator,
  type StageCoordinatorSettings,
  type StageEffect,
} from '../allocation/stage-coordinator.js';
import type { BackendDirectory } from '../forwarding/backends/backend-directory.js';
import type { RouteConfiguration } from '../forwarding/routes/route.js';
import type { Member } from '../membership/membership-messages.js';
import type { TableResult } from '../contracts/table-service.js';
import type { EffectSink } from '../shared/effect-sink.js';
import { getRendezvousRank } from '../shared/rendezvous-hash.js';

/** What the manager works with. */
interface StageManagerParts {
  /** Active members; the same array as long as they are the same. */
  members(): readonly Member[];
  readonly directory: BackendDirectory;
  /** The region of a zone; left out where there is one. */
  regionOf?(zone: string): string;
}

/**
 * A member must have been the chosen one for so long before it takes the lease. Milliseconds; a choice
 * that the next member to join would change is not acted on.
 */
const SETTLED_MS = 1500;

/**
 * Members that may lead a service: the first in rank, and those that stand in for it. The store may refuse a
 * daemon that others do not miss.
 */
const CANDIDATES = 3;
/**
 * Each candidate waits for so long, for each one before it in rank, before it takes a lease that is free.
 * Milliseconds; a write that was lost is repeated within half of it.
 */
const STANDBY_MS = 2000;

/** This daemon's place in rank for a service's lease, and since when that is so. */
interface Election {
  readonly place: number;
  readonly since: number;
}

interface ServiceTick {
  readonly service: string;
  readonly slots: number;
  readonly shouldLead: boolean;
  readonly patienceMs: number;
}

/** The manager of one daemon. Times are monotonic milliseconds. */
export class StageManager {
  private readonly coordinators = new Map<string, StageCoordinator>();
  private slots = new Map<string, number>();
  private readonly elections = new Map<string, Election>();
  private electors: readonly Member[] = [];

  constructor(
    private readonly selfId: string,
    private readonly settings: StageCoordinatorSettings,
    private readonly parts: StageManagerParts,
    private readonly emit: EffectSink<StageEffect>,
  ) {}

  /** Takes the services of a configuration. */
  applyConfiguration(configuration: RouteConfiguration): void {
    this.slots = new Map();
    for (const { name, engine } of configuration.services) if (engine) this.slots.set(name, engine.slots);
  }

  /** Advances every coordinator. `mayLead` is false while the daemon stops or does not hear the store. */
  tick(now: number, mayLead: boolean): void {
    this.elect(now);
    for (const [service, slots] of this.slots) {
      const election = this.elections.get(service);
      const settled = election !== undefined && now - election.since >= SETTLED_MS;
      const shouldLead = mayLead && settled && election.place < CANDIDATES;
      const patienceMs = (election?.place ?? 0) * STANDBY_MS;
      this.tickService({ service, slots, shouldLead, patienceMs }, now);
    }
  }

  /** This process's clock stood still for a time that nobody here has counted. */
  onMachineSuspended(): void {
    for (const coordinator of this.coordinators.values()) coordinator.onMachineSuspended();
  }

  /** Takes the answer to a `leaseTable` effect. */
  receiveTableResult(service: string, result: TableResult, now: number): void {
    this.coordinators.get(service)?.receiveTableResult(result, now);
  }

  /** Takes an engine's state. */
  receiveStatus(service: string, backendId: string, status: EngineStatus | undefined, now: number): void {
    this.coordinators.get(service)?.receiveStatus(backendId, status, now);
  }

  /** Takes the outcome of an order. */
  receiveOrderResult(service: string, backendId: string, result: StageOrderResult): void {
    this.coordinators.get(service)?.receiveOrderResult(backendId, result);
  }

  /** Finds this daemon's place in rank for each service, when the members or the services have changed. */
  private elect(now: number): void {
    const members = this.parts.members();
    const known = [...this.slots.keys()].every((service) => this.elections.has(service));
    if (members === this.electors && known) return;
    this.electors = members;
    const ids = members.map((member) => member.id);
    for (const service of this.slots.keys()) {
      const place = getRendezvousRank(service, ids, this.selfId);
      if (this.elections.get(service)?.place !== place) this.elections.set(service, { place, since: now });
    }
  }

  private tickService({ service, slots, shouldLead, patienceMs }: ServiceTick, now: number): void {
    const coordinator = this.coordinatorOf(service, now);
    const views = this.parts.directory.ofService(service);
    if (views.length === 0) return;
    const inFlight = views.reduce((sum, view) => sum + view.inFlight(), 0);
    coordinator.tick(
      {
        views,
        slots,
        loaded: inFlight > 0,
        shouldLead,
        standbyDelayMs: patienceMs,
        regionOf: (zone) => this.parts.regionOf?.(zone) ?? '',
      },
      now,
    );
    for (const view of views) view.isChangingStage = coordinator.isChanging(view.record.id);
  }

  private coordinatorOf(service: string, now: number): StageCoordinator {
    let coordinator = this.coordinators.get(service);
    if (!coordinator) {
      coordinator = new StageCoordinator(service, this.selfId, this.settings, this.emit, now);
      this.coordinators.set(service, coordinator);
    }
    return coordinator;
  }
}
