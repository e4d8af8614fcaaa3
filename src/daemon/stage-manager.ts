/**
 * The stage coordinators of a forwarding daemon, one per service of model engines, and the election of the
 * daemon that should lead each: the first active member by rendezvous hash of the service, once its rank is
 * stable, or the next in rank if the first does not take the lease. Owns the coordinators and the ranks; only
 * the holder of a coordinator's lease may give orders.
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

/** What the manager reads. */
interface StageManagerParts {
  /** Active members; returns the same array until they change. */
  getMembers(): readonly Member[];
  readonly directory: BackendDirectory;
  /** The region of a zone; omitted if there is only one region. */
  regionOf?(zone: string): string;
}

/**
 * A member's rank must be unchanged for this duration before it acquires the lease, so that no ranks are used
 * that the next joining member would change. Milliseconds.
 */
const ELECTION_SETTLE_MS = 1500;

/**
 * Number of members that may lead a service: the first in rank, and its standbys. Standbys are needed because
 * the store may refuse a daemon that its peers still consider alive.
 */
const MAXIMUM_CANDIDATES = 3;
/**
 * Time that a candidate waits, per candidate ahead of it in rank, before it acquires a free lease.
 * Milliseconds. A lost write is repeated within half of this time.
 */
const STANDBY_DELAY_MS = 2000;

/** This daemon's place in the ranking for a service's lease, and since when it has that place. */
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

/** The stage manager of one daemon. Times are monotonic milliseconds. */
export class StageManager {
  private readonly coordinators = new Map<string, StageCoordinator>();
  private slots = new Map<string, number>();
  private readonly elections = new Map<string, Election>();
  private rankedMembers: readonly Member[] = [];

  constructor(
    private readonly selfId: string,
    private readonly settings: StageCoordinatorSettings,
    private readonly parts: StageManagerParts,
    private readonly emit: EffectSink<StageEffect>,
  ) {}

  /** Applies the services of a configuration. */
  applyConfiguration(configuration: RouteConfiguration): void {
    this.slots = new Map();
    for (const { name, engine } of configuration.services) if (engine) this.slots.set(name, engine.slots);
  }

  /**
   * Advances every coordinator. `mayLead` is false while the daemon is draining: it then acquires no leases.
   */
  tick(now: number, mayLead: boolean): void {
    this.setElections(now);
    for (const [service, slots] of this.slots) {
      const election = this.elections.get(service);
      const settled = election !== undefined && now - election.since >= ELECTION_SETTLE_MS;
      const shouldLead = mayLead && settled && election.place < MAXIMUM_CANDIDATES;
      const patienceMs = (election?.place ?? 0) * STANDBY_DELAY_MS;
      this.tickService({ service, slots, shouldLead, patienceMs }, now);
    }
  }

  /** The machine was suspended, for a time that the monotonic clock did not count: leases are void. */
  onMachineSuspended(): void {
    for (const coordinator of this.coordinators.values()) coordinator.onMachineSuspended();
  }

  /** Receives the answer to a `leaseTable` effect. */
  receiveTableResult(service: string, result: TableResult, now: number): void {
    this.coordinators.get(service)?.receiveTableResult(result, now);
  }

  /** Receives an engine's status; undefined if it did not answer. */
  receiveStatus(service: string, backendId: string, status: EngineStatus | undefined, now: number): void {
    this.coordinators.get(service)?.receiveStatus(backendId, status, now);
  }

  /** Receives the result of an order. */
  receiveOrderResult(service: string, backendId: string, result: StageOrderResult): void {
    this.coordinators.get(service)?.receiveOrderResult(backendId, result);
  }

  /** Computes this daemon's rank for each service when the members or the services have changed. */
  private setElections(now: number): void {
    const members = this.parts.getMembers();
    const known = [...this.slots.keys()].every((service) => this.elections.has(service));
    if (members === this.rankedMembers && known) return;
    this.rankedMembers = members;
    const ids = members.map((member) => member.id);
    for (const service of this.slots.keys()) {
      const place = getRendezvousRank(service, ids, this.selfId);
      if (this.elections.get(service)?.place !== place) this.elections.set(service, { place, since: now });
    }
  }

  private tickService({ service, slots, shouldLead, patienceMs }: ServiceTick, now: number): void {
    const coordinator = this.getCoordinator(service, now);
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

  private getCoordinator(service: string, now: number): StageCoordinator {
    let coordinator = this.coordinators.get(service);
    if (!coordinator) {
      coordinator = new StageCoordinator(service, this.selfId, this.settings, this.emit, now);
      this.coordinators.set(service, coordinator);
    }
    return coordinator;
  }
}
