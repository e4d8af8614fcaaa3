/** The stage coordinators of a forwarding daemon, one a service of model engines. */
import type { EngineStatus, StageOrderResult } from '../allocation/engine-orders.js';
import {
  StageCoordinator,
  type StageCoordinatorSettings,
  type StageEffect,
} from '../allocation/stage-coordinator.js';
import type { BackendDirectory } from '../forwarding/backend-directory.js';
import type { RouteConfiguration } from '../forwarding/route.js';
import type { Membership } from '../membership/membership.js';
import type { TableResult } from '../platform/table-service.js';
import type { EffectSink } from '../shared/effect-sink.js';
import { pickByRendezvous } from '../shared/rendezvous-hash.js';

/** What the manager works with. */
export interface StageManagerParts {
  readonly membership: Membership;
  readonly directory: BackendDirectory;
}

/** The list of members must have been the same for so long before a daemon takes the lease. Milliseconds. */
const SETTLED_MS = 1500;

/** The manager of one daemon. Times are monotonic milliseconds. */
export class StageManager {
  private readonly coordinators = new Map<string, StageCoordinator>();
  private slots = new Map<string, number>();
  private coordinatorId: string | undefined;
  private settledSince: number;

  constructor(
    private readonly selfId: string,
    private readonly settings: StageCoordinatorSettings,
    private readonly parts: StageManagerParts,
    private readonly emit: EffectSink<StageEffect>,
    now: number,
  ) {
    this.settledSince = now;
  }

  /** Takes the services of a configuration. */
  configured(configuration: RouteConfiguration): void {
    this.slots = new Map();
    for (const { name, engine } of configuration.services) if (engine) this.slots.set(name, engine.slots);
  }

  /** Advances every coordinator. `mayLead` is false while the daemon stops or does not hear the store. */
  tick(now: number, mayLead: boolean): void {
    const members = this.parts.membership.active().map((member) => member.id);
    for (const [service, slots] of this.slots) {
      const chosen = pickByRendezvous(service, members);
      if (chosen !== this.coordinatorId) this.settledSince = now;
      this.coordinatorId = chosen;
      const settled = now - this.settledSince >= SETTLED_MS;
      this.tickService(service, slots, mayLead && settled && chosen === this.selfId, now);
    }
  }

  /** Takes the answer to a `leaseTable` effect. */
  tableAnswered(service: string, result: TableResult, now: number): void {
    this.coordinators.get(service)?.receiveTableResult(result, now);
  }

  /** Takes an engine's state. */
  engineAnswered(service: string, backendId: string, status: EngineStatus | undefined, now: number): void {
    this.coordinators.get(service)?.engineAnswered(backendId, status, now);
  }

  /** Takes the outcome of an order. */
  orderAnswered(service: string, backendId: string, result: StageOrderResult): void {
    this.coordinators.get(service)?.orderAnswered(backendId, result);
  }

  private tickService(service: string, slots: number, wanted: boolean, now: number): void {
    const coordinator = this.coordinatorOf(service, now);
    const views = this.parts.directory.ofService(service);
    if (views.length === 0) return;
    const inFlight = views.reduce((sum, view) => sum + view.inFlight(), 0);
    coordinator.tick(
      {
        views,
        slots,
        loaded: inFlight > 0,
        wanted,
      },
      now,
    );
    const changing = coordinator.changing();
    for (const view of views) view.changing = view.record.id === changing;
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
