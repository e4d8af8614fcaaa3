/**
 * Changes the stages of a service's engines while this daemon holds the service's lease. One order at a time: the
 * engine is asked for its state, ordered under the lease's epoch, and then left alone until its record shows the
 * new stage. A daemon that takes the lease over waits until orders of the holder before cannot mix with its own.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import { CellLease, type LeaseEffect, type LeaseSettings } from '../lease/cell-lease.js';
import type { TableResult } from '../platform/table-service.js';
import type { BackendView } from '../forwarding/backend-view.js';
import type { BackendRecord, EngineStage } from '../forwarding/route.js';
import type { EngineStatus, StageOrder, StageOrderResult } from './engine-orders.js';
import { planStage, type StageDemand, type StagePlannerSettings, type StageStep } from './stage-planner.js';

/** Settings of the coordinator. */
export interface StageCoordinatorSettings {
  readonly lease: LeaseSettings;
  readonly planner: StagePlannerSettings;
  /** No order is given so long after the lease was taken over from another daemon. Milliseconds. */
  readonly takeoverWaitMs: number;
  /** Pause between orders under load. Milliseconds. Default 1500. */
  readonly orderPauseMs: number;
  /** Engines must have been spare for so long before one is given back to prefill. Milliseconds. Default 1000. */
  readonly returnAfterMs: number;
  /** An engine whose record does not show the new stage after this is free for others again. Milliseconds. Default 6000. */
  readonly changeTimeoutMs: number;
}

/** What the coordinator asks for. */
export type StageEffect =
  | LeaseEffect
  | { readonly kind: 'askEngine'; readonly backend: BackendRecord }
  | { readonly kind: 'orderEngine'; readonly order: StageOrder };

/** What the coordinator is told of its service at each tick. */
export interface StageSituation {
  readonly views: readonly BackendView[];
  readonly slots: number;
  readonly loaded: boolean;
  /** Whether this daemon is the one that should hold the lease. */
  readonly wanted: boolean;
}

interface PendingChange {
  readonly backend: BackendRecord;
  readonly stage: EngineStage;
  /** When the engine was asked, then when it was ordered. */
  since: number;
  ordered: boolean;
}

/** The coordinator of one service in one daemon. Times are monotonic milliseconds. */
export class StageCoordinator {
  private readonly lease: CellLease;
  private pending: PendingChange | undefined;
  private nextOrderAt = 0;
  private ordersFrom = Infinity;
  private tickedAt = 0;
  private spareSince = Infinity;

  constructor(
    readonly service: string,
    private readonly selfId: string,
    private readonly settings: StageCoordinatorSettings,
    private readonly emit: EffectSink<StageEffect>,
    now: number,
  ) {
    this.lease = new CellLease(service, selfId, settings.lease, (effect) => this.onLease(effect), now);
  }

  /** The engine that is being changed by this daemon: it gets no new work. */
  changing(): string | undefined {
    return this.pending?.backend.id;
  }

  /** Advances the lease and, while it is held, the plan. */
  tick(situation: StageSituation, now: number): void {
    this.tickedAt = now;
    this.forgetFinished(situation.views, now);
    const step = this.planStep(situation, now);
    this.lease.tick(now, situation.wanted && step !== 'none');
    if (!situation.wanted) this.release(now);
    const held = this.lease.current(now);
    if (!held || step === 'none' || this.pending || now < this.nextOrderAt || now < this.ordersFrom) return;
    const backend = choose(situation.views, step === 'toPrefill' ? 'decode' : 'prefill');
    if (!backend) return;
    const stage: EngineStage = step === 'toPrefill' ? 'prefill' : 'decode';
    this.pending = { backend, stage, since: now, ordered: false };
    this.nextOrderAt = now + (situation.loaded ? this.settings.orderPauseMs : 0);
    this.emit({ kind: 'askEngine', backend });
  }

  /** Gives the lease back, unless an order is on its way. */
  release(now: number): void {
    if (!this.pending) this.lease.release(now);
  }

  /** Takes the answer to a `leaseTable` effect. */
  receiveTableResult(result: TableResult, now: number): void {
    this.lease.receiveTableResult(result, now);
  }

  /** Takes an engine's state; undefined when it did not answer. */
  engineAnswered(backendId: string, status: EngineStatus | undefined, now: number): void {
    const { pending } = this;
    if (!pending || pending.ordered || pending.backend.id !== backendId) return;
    const held = this.lease.current(now);
    if (!status || status.changing || status.stage === pending.stage || !held) {
      this.pending = undefined;
      return;
    }
    pending.ordered = true;
    pending.since = now;
    const { backend, stage } = pending;
    const order = { backend, stage, holder: this.selfId, fence: held.epoch, expectedOrders: status.orders };
    this.emit({ kind: 'orderEngine', order });
  }

  /** Takes the outcome of an order. Without an answer the change may still come, so the engine stays pending. */
  orderAnswered(backendId: string, result: StageOrderResult): void {
    if (this.pending?.backend.id === backendId && result.kind === 'refused') this.pending = undefined;
  }

  /** The planner's step; an engine is given back only when it has been spare for a while. */
  private planStep(situation: StageSituation, now: number): StageStep {
    const step = planStage(this.settings.planner, this.demand(situation, now));
    if (step !== 'toPrefill') this.spareSince = Infinity;
    else this.spareSince = Math.min(this.spareSince, now);
    const soon = step === 'toPrefill' && situation.loaded;
    return soon && now - this.spareSince < this.settings.returnAfterMs ? 'none' : step;
  }

  private forgetFinished(views: readonly BackendView[], now: number): void {
    const { pending } = this;
    if (!pending) return;
    const view = views.find((candidate) => candidate.record.id === pending.backend.id);
    const finished = !view || view.record.stage === pending.stage;
    if (finished || now - pending.since > this.settings.changeTimeoutMs) this.pending = undefined;
  }

  private demand(situation: StageSituation, now: number): StageDemand {
    const serving = situation.views.filter(
      (view) => view.takesWork() && (view.changing || !view.avoided(now)),
    );
    const decodes = serving.filter((view) => view.record.stage === 'decode');
    return {
      prefillEngines: serving.length - decodes.length,
      decodeEngines: decodes.length,
      slots: situation.slots,
      streams: decodes.reduce((sum, view) => sum + view.inFlight(), 0),
    };
  }

  private onLease(effect: LeaseEffect): void {
    if (effect.kind === 'leaseAcquired') {
      this.ordersFrom = effect.epoch > 1 ? this.tickedAt + this.settings.takeoverWaitMs : this.tickedAt;
    }
    this.emit(effect);
  }
}

/** The engine of a stage with the least work, whose change costs least. */
function choose(views: readonly BackendView[], stage: EngineStage): BackendRecord | undefined {
  const able = views.filter((view) => view.takesWork() && view.record.stage === stage);
  able.sort(
    (left, right) => left.inFlight() - right.inFlight() || (left.record.id < right.record.id ? -1 : 1),
  );
  return able[0]?.record;
}
