/**
 * The cells of one daemon: selects the cells that it routes to from the machine list and the members, and
 * keeps a runtime with a lease and a coordinator for each. Owns the machine list and the runtimes; the load
 * reports of engines are handled in engine-reports.ts.
 */
import type { ConfigurationReplica } from '../configuration/configuration-replica.js';
import type { EngineControlResult } from '../contracts/engine-protocol.js';
import type { Membership } from '../membership/membership.js';
import type { DaemonIdentity } from '../membership/membership-messages.js';
import type { Cell, Machine, MachineListing } from '../contracts/machine-list.js';
import type { TableResult } from '../contracts/table-service.js';
import type { ApplicationManager } from '../routing/application-manager.js';
import type { EngineDirectory } from '../routing/engine-directory.js';
import type { EffectSink } from '../shared/effect-sink.js';
import { CellAssignment } from './cell-assignment.js';
import { makeLeaseChange } from './change-log.js';
import { CellRuntime, type CellEffect } from './cell-runtime.js';
import type { CellMessage, DemandEntry } from './cell-messages.js';
import type { ControlPurpose, CompletionDaemonEffect } from './completion-messages.js';
import type { CompletionDaemonSettings } from './completion-daemon-settings.js';
import type { DemandTracker } from './demand-tracker.js';
import { EngineReports } from './engine-reports.js';

/** The state machines of the daemon that the cells use. */
interface CellManagerParts {
  readonly directory: EngineDirectory;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly applications: ApplicationManager;
  readonly demand: DemandTracker;
}

/** Longest time that a starting daemon waits for a report of every listed engine. Milliseconds. */
const ENGINE_DISCOVERY_TIMEOUT_MS = 3000;

/** The cells of one daemon. Times are monotonic milliseconds. */
export class CellManager {
  private readonly runtimes = new Map<string, CellRuntime>();
  private readonly assignment: CellAssignment;
  private readonly reports: EngineReports;
  private cells: readonly Cell[] = [];
  private machines: readonly Machine[] = [];
  private listedSince: number | undefined;
  private listingRequestedAt: number | undefined;
  private nextListingAt = 0;

  constructor(
    private readonly identity: DaemonIdentity,
    private readonly settings: CompletionDaemonSettings,
    private readonly parts: CellManagerParts,
    private readonly emit: EffectSink<CompletionDaemonEffect>,
  ) {
    this.assignment = new CellAssignment(settings.cells);
    this.reports = new EngineReports(settings, parts.directory, emit);
  }

  /** Leases of the cells that this daemon routes to, for the status. */
  getLeases(now: number): { cell: string; holder: string; epoch: number; heldHere: boolean }[] {
    return [...this.runtimes.values()].map((runtime) => {
      const held = runtime.lease.getHeldLease(now);
      const seen = runtime.lease.getLastObserved();
      const holder = held ? this.identity.id : (seen?.holder ?? '');
      return {
        cell: runtime.cell,
        holder,
        epoch: held?.epoch ?? seen?.epoch ?? 0,
        heldHere: held !== undefined,
      };
    });
  }

  /** Number of changes of assignment that this daemon has ordered. */
  countRoleChanges(): number {
    let total = 0;
    for (const runtime of this.runtimes.values()) total += runtime.coordinator.changesOrdered;
    return total;
  }

  /** Advances timers. `eligible` is false while the daemon is draining: it then acquires no leases. */
  tick(now: number, eligible: boolean): void {
    this.assignment.update(this.parts.membership.getActive(), this.cells);
    if (now >= this.nextListingAt) this.requestListing(now);
    for (const runtime of this.runtimes.values()) {
      const coordinatorId = this.assignment.getCoordinator(runtime.cell);
      if (coordinatorId === this.identity.id) this.reports.setLoadsKnown(runtime.cell, now);
      runtime.tick(now, {
        selfId: this.identity.id,
        coordinatorId,
        subscriberIds: () => this.assignment.getSubscribers(runtime.cell).map((member) => member.id),
        services: () => this.parts.configuration.getServices(),
        localDemand: () => this.getDemand(runtime.cell, now),
        eligible,
      });
    }
    this.reports.tick(now);
  }

  /** The reason why requests cannot be routed yet, or undefined. A site without engines is ready. */
  findNotReadyReason(now: number): string | undefined {
    const views = [...this.parts.directory.all()];
    const known = views.filter((view) => view.assignment).length;
    const listed = this.listedSince !== undefined;
    // Routing to only some of the engines would overload them, but an engine that never answers must not
    // block readiness for good.
    const timedOut = listed && now - (this.listedSince ?? now) > ENGINE_DISCOVERY_TIMEOUT_MS;
    if (known === views.length && (listed || known > 0)) return undefined;
    return known > 0 && (timedOut || !listed) ? undefined : 'the engines are not known yet';
  }

  /** Applies a machine list; undefined when the request for it failed. */
  receiveListing(listing: MachineListing | undefined, now: number): void {
    this.listingRequestedAt = undefined;
    if (!listing) return;
    const sameCells = JSON.stringify(listing.cells) === JSON.stringify(this.cells);
    // The first listing names the cells; only the next one, requested for the selected cells, names the
    // engines.
    if (sameCells) this.listedSince ??= now;
    else this.cells = listing.cells;
    this.machines = listing.machines;
    this.assignment.update(this.parts.membership.getActive(), this.cells);
    const routed = this.assignment.getCells(this.identity);
    for (const cell of routed) this.addRuntime(cell, now);
    for (const cell of [...this.runtimes.keys()]) if (!routed.includes(cell)) this.runtimes.delete(cell);
    if (!sameCells) this.nextListingAt = now;
    this.applyMachines(now);
  }

  /** The process was paused since `pausedAt`, so messages read now may be as old as that. */
  onProcessResumed(pausedAt: number, now: number): void {
    this.reports.onProcessResumed(pausedAt, now);
  }

  /**
   * The machine was suspended, for a time that the monotonic clock did not count: all leases are void, and
   * messages read now may be from before the suspension.
   */
  onMachineSuspended(now: number): void {
    this.onProcessResumed(now, now);
    for (const { lease } of this.runtimes.values()) lease.onMachineSuspended();
  }

  /** Receives an engine's answer to a control request. */
  receiveControlResult(
    purpose: ControlPurpose,
    cell: string,
    engineId: string,
    result: EngineControlResult,
    now: number,
  ): void {
    if (purpose === 'coordinator')
      this.runtimes.get(cell)?.coordinator.receiveControlResult(engineId, result, now);
    if (result.kind === 'report' || result.kind === 'notApplicable')
      this.reports.applyReport(engineId, result.report, now);
  }

  /** Receives the answer to a table request of a cell's lease. */
  receiveLeaseResult(cell: string, result: TableResult, now: number): void {
    this.runtimes.get(cell)?.lease.receiveTableResult(result, now);
  }

  /** Receives a digest or a demand report from a peer. */
  receive(fromId: string, message: CellMessage, now: number): void {
    if (message.kind === 'demandReport') {
      this.runtimes.get(message.cell)?.receiveDemand(fromId, message.demands, now);
      return;
    }
    for (const daemonId of message.relayTo) this.sendCell(daemonId, { ...message, relayTo: [] });
    this.reports.applyDigest(message, now);
  }

  private requestListing(now: number): void {
    this.nextListingAt = now + this.settings.cells.machineListIntervalMs;
    if (this.listingRequestedAt !== undefined) return;
    this.listingRequestedAt = now;
    this.emit({ kind: 'listMachines', cells: this.assignment.getCells(this.identity) });
  }

  private addRuntime(cell: string, now: number): void {
    if (this.runtimes.has(cell)) return;
    const runtime = new CellRuntime(
      cell,
      this.identity.id,
      this.settings,
      (effect) => this.onCellEffect(effect),
      now,
    );
    this.runtimes.set(cell, runtime);
    this.reports.setLoadsKnown(cell, now);
  }

  private applyMachines(now: number): void {
    const engines = this.machines.filter(
      (machine) => machine.kind === 'engine' && this.runtimes.has(machine.cell),
    );
    for (const runtime of this.runtimes.values()) {
      const cellEngines = engines.filter((machine) => machine.cell === runtime.cell);
      runtime.setEngines(
        cellEngines.map(({ id, address, zone, state }) => ({
          id,
          address,
          zone,
          leaving: state === 'leaving',
        })),
        now,
      );
    }
    for (const { id, address, zone, cell, state } of engines) {
      this.parts.directory.ensure(id, address, zone, cell).listedLeaving = state === 'leaving';
    }
    for (const view of this.parts.directory.all()) {
      view.routingDaemons = Math.max(1, this.assignment.getSubscribers(view.cell).length);
    }
    this.parts.directory.retain(new Set(engines.map((machine) => machine.id)));
    const servers = this.machines.filter((machine) => machine.kind === 'application');
    this.parts.applications.setServers(
      servers.map(({ id, address, state }) => ({ id, address, leaving: state === 'leaving' })),
    );
  }

  private getDemand(cell: string, now: number): DemandEntry[] {
    let inCell = 0;
    let total = 0;
    for (const view of this.parts.directory.all()) {
      total += 1;
      if (view.cell === cell) inCell += 1;
    }
    return this.parts.demand.getEntries(now, total === 0 ? 0 : inCell / total);
  }

  private onCellEffect(effect: CellEffect): void {
    switch (effect.kind) {
      case 'engineControl':
        this.emit({ ...effect, purpose: 'coordinator' });
        break;
      case 'leaseTable':
        this.emit({
          kind: 'tableRequest',
          tag: { kind: 'lease', cell: effect.cell },
          request: effect.request,
        });
        break;
      case 'leaseAcquired':
      case 'leaseLost': {
        const { event, fields } = makeLeaseChange(effect);
        this.emit({ kind: 'log', event, fields });
        break;
      }
      case 'orderGiven':
        this.emit({
          kind: 'log',
          event: 'order.given',
          fields: { engine: effect.engineId, epoch: effect.epoch, action: effect.action },
        });
        break;
      case 'changeFinished':
        this.emit({
          kind: 'log',
          event: 'change.finished',
          fields: { engine: effect.engineId, assignment: effect.assignment },
        });
        break;
      case 'sendCell':
        this.sendCell(effect.daemonId, effect.message);
        break;
    }
  }

  private sendCell(daemonId: string, message: CellMessage): void {
    if (daemonId === this.identity.id) return;
    const member = this.parts.membership.get(daemonId);
    if (member) this.emit({ kind: 'sendPeer', address: member.address, message });
  }
}
