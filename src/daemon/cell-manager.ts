/**
 * All cells of one daemon: which of them it routes to, by the machine list and the members, and a runtime for
 * each with its lease and coordinator. Owns the machine list and the runtimes; what is learned of the
 * engines' load is in engine-reports.ts.
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

/** The parts of the daemon that cells work with. */
interface CellManagerParts {
  readonly directory: EngineDirectory;
  readonly membership: Membership;
  readonly configuration: ConfigurationReplica;
  readonly applications: ApplicationManager;
  readonly demand: DemandTracker;
}

/** A starting daemon waits this long at most to learn of every listed engine. Milliseconds. */
const ENGINES_KNOWN_WITHIN_MS = 3000;

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

  /** Leases of the cells routed to, for status pages. */
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

  /** Changes of assignment ordered by this daemon. */
  countRoleChanges(): number {
    let total = 0;
    for (const runtime of this.runtimes.values()) total += runtime.coordinator.changesOrdered;
    return total;
  }

  /** Advances timers. `eligible` is false while the daemon stops. */
  tick(now: number, eligible: boolean): void {
    this.assignment.update(this.parts.membership.active(), this.cells);
    if (now >= this.nextListingAt) this.requestListing(now);
    for (const runtime of this.runtimes.values()) {
      const coordinatorId = this.assignment.getCoordinator(runtime.cell);
      if (coordinatorId === this.identity.id) this.reports.setLoadsKnown(runtime.cell, now);
      runtime.tick(now, {
        selfId: this.identity.id,
        coordinatorId,
        subscriberIds: () => this.assignment.getSubscribers(runtime.cell).map((member) => member.id),
        services: () => this.parts.configuration.getServices(),
        localDemand: () => this.demandOf(runtime.cell, now),
        eligible,
      });
    }
    this.reports.tick(now);
  }

  /** Why requests cannot be routed yet, or undefined. A site without engines needs none. */
  findNotReadyReason(now: number): string | undefined {
    const views = [...this.parts.directory.all()];
    const known = views.filter((view) => view.assignment).length;
    const listed = this.listedSince !== undefined;
    // Routing on a part of the engines would overload them; one that never answers must not hold up the rest.
    const waitedEnough = listed && now - (this.listedSince ?? now) > ENGINES_KNOWN_WITHIN_MS;
    if (known === views.length && (listed || known > 0)) return undefined;
    return known > 0 && (waitedEnough || !listed) ? undefined : 'the engines are not known yet';
  }

  /** Takes the machine list, or undefined when it did not answer. */
  receiveListing(listing: MachineListing | undefined, now: number): void {
    this.listingRequestedAt = undefined;
    if (!listing) return;
    const sameCells = JSON.stringify(listing.cells) === JSON.stringify(this.cells);
    // The first answer names the cells; only the next one, for the cells chosen of them, names the engines.
    if (sameCells) this.listedSince ??= now;
    else this.cells = listing.cells;
    this.machines = listing.machines;
    this.assignment.update(this.parts.membership.active(), this.cells);
    const routed = this.assignment.getCells(this.identity);
    for (const cell of routed) this.ensureRuntime(cell, now);
    for (const cell of [...this.runtimes.keys()]) if (!routed.includes(cell)) this.runtimes.delete(cell);
    if (!sameCells) this.nextListingAt = now;
    this.applyMachines(now);
  }

  /** The process was paused since `pausedAt`: what it reads now may be as old. */
  onProcessResumed(pausedAt: number, now: number): void {
    this.reports.onProcessResumed(pausedAt, now);
  }

  /**
   * The clock stood still for a time that it has not counted: no lease counts any more, and what is read now
   * may be as old.
   */
  onMachineSuspended(now: number): void {
    this.onProcessResumed(now, now);
    for (const { lease } of this.runtimes.values()) lease.onMachineSuspended();
  }

  /** Takes an engine's answer. */
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

  /** Takes the answer to a lease's table request. */
  receiveLeaseResult(cell: string, result: TableResult, now: number): void {
    this.runtimes.get(cell)?.lease.receiveTableResult(result, now);
  }

  /** Takes a digest or a demand report. */
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

  private ensureRuntime(cell: string, now: number): void {
    if (this.runtimes.has(cell)) return;
    const runtime = new CellRuntime(
      cell,
      this.identity.id,
      this.settings,
      (effect) => this.onCell(effect),
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
      const own = engines.filter((machine) => machine.cell === runtime.cell);
      runtime.setEngines(
        own.map(({ id, address, zone, state }) => ({ id, address, zone, leaving: state === 'leaving' })),
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

  private demandOf(cell: string, now: number): DemandEntry[] {
    let here = 0;
    let total = 0;
    for (const view of this.parts.directory.all()) {
      total += 1;
      if (view.cell === cell) here += 1;
    }
    return this.parts.demand.getEntries(now, total === 0 ? 0 : here / total);
  }

  private onCell(effect: CellEffect): void {
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
