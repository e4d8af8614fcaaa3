/**
 * Performs the effects of a forwarding daemon's state machine that are calls to external systems, and sends
 * the results back as events. Owns no state. Relies on adapters whose promises never reject: a call without
 * an answer has a result of its own.
 */
import type { BackendClient } from '../adapters/backend-client.js';
import type { ForwardingEffect, ForwardingEvent } from '../daemon/forwarding-messages.js';
import type { DutyPlatform } from '../duties/duty-messages.js';
import type { RecordRead, RecordStore } from '../fleet/record-store.js';
import type { TableRequest, TableResult, TableStore } from '../contracts/table-service.js';
import type { ForwardingMetrics } from './forwarding-metrics.js';

/** The external systems other than the back ends. */
export interface ExternalSystems {
  readonly store: RecordStore;
  readonly table: TableStore;
  /** Undefined where the platform assigns no duties to the fleet. */
  readonly duties: DutyPlatform | undefined;
}

type Effect<Kind extends ForwardingEffect['kind']> = Extract<ForwardingEffect, { kind: Kind }>;

/** The effects that are calls to external systems. */
type ExternalEffect = Effect<
  | 'readRecords'
  | 'probeBackend'
  | 'checkBackend'
  | 'quarantineTable'
  | 'readKvChanges'
  | 'leaseTable'
  | 'usageTable'
  | 'callDuty'
  | 'askEngine'
  | 'orderEngine'
>;

/** Makes the calls of one process. */
export class ExternalCalls {
  constructor(
    private readonly backends: BackendClient,
    private readonly systems: ExternalSystems,
    private readonly metrics: ForwardingMetrics,
    private readonly send: (event: ForwardingEvent) => void,
  ) {}

  /** Makes the call of one effect; its result is sent as an event. */
  perform(effect: ExternalEffect): void {
    switch (effect.kind) {
      case 'readRecords':
        this.readRecords(effect.read);
        break;
      case 'probeBackend':
        this.probe(effect);
        break;
      case 'checkBackend':
        this.checkBackend(effect);
        break;
      case 'readKvChanges':
        this.readKvChanges(effect);
        break;
      case 'askEngine':
        this.askEngine(effect);
        break;
      case 'orderEngine':
        this.orderEngine(effect);
        break;
      case 'callDuty':
        this.callDuty(effect);
        break;
      default:
        this.callTableAndRoute(effect);
    }
  }

  /** Calls a table; each of its three users receives the result in an event of its own kind. */
  private callTableAndRoute(effect: Effect<'quarantineTable' | 'leaseTable' | 'usageTable'>): void {
    this.callTable(effect.request, (result) => {
      switch (effect.kind) {
        case 'quarantineTable':
          this.send({ kind: 'quarantineTableResult', result });
          break;
        case 'leaseTable':
          this.send({ kind: 'leaseTableResult', cell: effect.cell, result });
          break;
        case 'usageTable':
          this.send({ kind: 'usageTableResult', window: effect.window, result });
          break;
      }
    });
  }

  private checkBackend({ backend, via }: Effect<'checkBackend'>): void {
    const checked = this.backends.checkListener(backend.address, via);
    void checked.then((check) => this.send({ kind: 'backendChecked', backend, check, via }));
  }

  private readKvChanges({ call }: Effect<'readKvChanges'>): void {
    const { backend } = call;
    void this.backends
      .readKvChanges(call)
      .then((answer) => this.send({ kind: 'kvChangesRead', backend, answer }));
  }

  private askEngine({ backend }: Effect<'askEngine'>): void {
    void this.backends
      .readEngineStatus(backend)
      .then((status) => this.send({ kind: 'engineStatus', backend, status }));
  }

  private orderEngine({ order }: Effect<'orderEngine'>): void {
    void this.backends.order(order).then((result) => this.send({ kind: 'orderResult', order, result }));
  }

  private probe({ probe, healthPath }: Effect<'probeBackend'>): void {
    const backendId = probe.backend.id;
    void this.backends
      .probe(probe, healthPath)
      .then((well) => this.send({ kind: 'probed', backendId, succeeded: well }));
  }

  private callDuty({ call, authority }: Effect<'callDuty'>): void {
    void this.systems.duties?.perform(call, authority).then((result) => {
      this.metrics.addDutyCall(call.kind, result.kind);
      this.send({ kind: 'dutyResult', call, result });
    });
  }

  private readRecords(read: RecordRead): void {
    void this.systems.store.read(read).then((result) => {
      this.metrics.addStoreCall(read.collection, result.kind);
      this.send({ kind: 'recordsRead', collection: read.collection, result });
    });
  }

  private callTable(request: TableRequest, onResult: (result: TableResult) => void): void {
    void this.systems.table.perform(request).then((result) => {
      this.metrics.addStoreCall(request.kind, result.kind);
      onResult(result);
    });
  }
}
