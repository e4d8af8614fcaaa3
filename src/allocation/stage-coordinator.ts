/**
 * Changes the stages of a service's engines while this daemon holds the service's lease. Few engines change
 * at a time, since each is away for seconds: an engine is asked for its state, ordered under the lease's
 * epoch, and then left alone until its record shows the new stage. A daemon that takes the lease over waits
 * until orders of the holder before cannot mix with its own.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import { CellLease, type LeaseEffect, type LeaseSettings } from '../lease/cell-lease.js';
import type { TableResult } from '../contracts/table-service.js';
import type { BackendView } from '../forwarding/backends/backend-view.js';
import type { BackendRecord, EngineStage } from '../forwarding/routes/route.js';
import type { EngineStatus, StageOrder, StageOrderResult } from './engine-orders.js';
import type { StageDemand, StagePlannerSettings } from './stage-planner.js';
import { groupByRegion, planRegions, type RegionStep } from './stage-regions.js';

/** Settings of the coordinator. */
export interface StageCoordinatorSettings {
  readonly lease: LeaseSettings;
  readonly planner: StagePlannerSettings;
  /** No order is given so long after the lease was taken over from another daemon. Milliseconds. */
  readonly takeoverWaitMs: number;
  /** Share of a service's engines that may change at a time under load, one at least. Default 0.1. */
  readonly changingShare: number;
  /** The same while no request runs. Default 0.3. */
  readonly idleChangingShare: number;
  /**
   * Pause under load between an order and the next where one engine changes at a time. Milliseconds. Default
   * 1500.
   */
  readonly orderPauseMs: number;
  /**
   * Engines must have been spare for so long before one is given back to prefill. Milliseconds. Default 1000.
   */
  readonly returnAfterMs: number;
  /**
   * An engine whose record does not show the new stage after this is free for others again. Milliseconds.
   * Default 6000.
   */
  readonly changeTimeoutMs: number;
}

/** What the coordinator asks for. */
export type StageEffect =
  | LeaseEffect
  | { readonly kind: 'askEngine'; readonly backend: BackendRecord }
  | { readonly kind: 'orderEngine'; readonly order: StageOrder };

/** What the coordinator reads of its service at each tick. */
interface StageSituation {
  readonly views: readonly BackendView[];
  readonly slots: number;
  readonly loaded: boolean;
  /** Whether this daemon is one of those that should hold the lease. */
  readonly shouldLead: boolean;
  /** A change must have been due for so long before it takes the lease. Milliseconds; default 0. */
  readonly standbyDelayMs?: number;
  /** The region of a zone; left out where there is one. */
  readonly regionOf?: (zone: string) => string;
}

interface PendingChange {
  readonly backend: BackendRecord;
  readonly stage: EngineStage;
  /** When the engine was asked, then when it was ordered. */
  since: number;
  ordered: boolean;
}

/**
 * Requests in flight that weigh as much as a pace slower by the whole of the group's: an engine 1.3 times
 * slower than its group is as good as three requests fewer to move to decode, and as bad to move to
 * prefill.
 */
const REQUESTS_PER_FACTOR = 10;
/** More than so much slower or faster is a passing trouble, not the machine. Share of the group's pace. */
const MAXIMUM_LASTING = 0.5;

/** The coordinator of one service in one daemon. Times are monotonic milliseconds. */
export class StageCoordinator {
  private readonly lease: CellLease;
  private readonly pending = new Map<string, PendingChange>();
  private nextOrderAt = 0;
  private ordersFrom = Infinity;
  private tickedAt = 0;
  /** Since when a change has been due. */
  private dueSince: number | undefined;
  /** Since when a region has had an engine to give back. */
  private readonly spareSince = new Map<string, number>();

  constructor(
    readonly service: string,
    private readonly selfId: string,
    private readonly settings: StageCoordinatorSettings,
    private readonly emit: EffectSink<StageEffect>,
    now: number,
  ) {
    this.lease = new CellLease(service, selfId, settings.lease, (effect) => this.onLease(effect), now);
  }

  /** Whether the engine is being changed by this daemon: it gets no new work. */
  isChanging(backendId: string): boolean {
    return this.pending.has(backendId);
  }

  /** Advances the lease and, while it is held, the plan. */
  tick(situation: StageSituation, now: number): void {
    this.tickedAt = now;
    this.forgetFinished(situation.views, now);
    const steps = this.planSteps(situation, now);
    this.setDue(situation.shouldLead && steps.length > 0, now);
    this.lease.tick(now, this.hasBeenDue(situation.standbyDelayMs ?? 0, now));
    if (!situation.shouldLead) this.release(now);
    const held = this.lease.getHeldLease(now);
    if (!held || now < this.ordersFrom) return;
    for (let next = steps; next.length > 0; next = this.planSteps(situation, now))
      if (!next.some((step) => this.startChange(situation, step, now))) return;
  }

  private setDue(due: boolean, now: number): void {
    if (!due) this.dueSince = undefined;
    else this.dueSince ??= now;
  }

  /** Whether a change has been due for so long: no daemon before this one in rank has made it. */
  private hasBeenDue(forMs: number, now: number): boolean {
    return this.dueSince !== undefined && now - this.dueSince >= forMs;
  }

  /** Asks one engine for its state, to change its stage; false when none may change now. */
  private startChange(situation: StageSituation, { region, step }: RegionStep, now: number): boolean {
    const { views, loaded } = situation;
    const { changingShare, idleChangingShare } = this.settings;
    const atOnce = Math.max(1, Math.floor(views.length * (loaded ? changingShare : idleChangingShare)));
    if (this.pending.size >= atOnce || now < this.nextOrderAt) return false;
    const stage = step === 'toPrefill' ? 'prefill' : 'decode';
    const group = this.groupViews(situation, now).get(region) ?? [];
    const candidates = group.filter((view) => !this.isChanging(view.record.id));
    const backend = pickEngine(candidates, stage === 'prefill' ? 'decode' : 'prefill');
    if (!backend) return false;
    this.pending.set(backend.id, { backend, stage, since: now, ordered: false });
    this.nextOrderAt = now + (loaded ? this.settings.orderPauseMs / atOnce : 0);
    this.emit({ kind: 'askEngine', backend });
    return true;
  }

  /** This process's clock stood still for a time that nobody here has counted. */
  onMachineSuspended(): void {
    this.lease.onMachineSuspended();
  }

  /** Gives the lease back, unless an order is on its way. */
  release(now: number): void {
    if (this.pending.size === 0) this.lease.release(now);
  }

  /** Takes the answer to a `leaseTable` effect. */
  receiveTableResult(result: TableResult, now: number): void {
    this.lease.receiveTableResult(result, now);
  }

  /** Takes an engine's state; undefined when it did not answer. */
  receiveStatus(backendId: string, status: EngineStatus | undefined, now: number): void {
    const pending = this.pending.get(backendId);
    if (!pending || pending.ordered) return;
    const held = this.lease.getHeldLease(now);
    if (!status || status.changing || status.stage === pending.stage || !held) {
      this.pending.delete(backendId);
      return;
    }
    pending.ordered = true;
    pending.since = now;
    const { backend, stage } = pending;
    const order = { backend, stage, holder: this.selfId, fence: held.epoch, expectedOrders: status.orders };
    this.emit({ kind: 'orderEngine', order });
  }

  /**
   * Takes the outcome of an order. Without an answer the change may still come, so the engine stays pending.
   */
  receiveOrderResult(backendId: string, result: StageOrderResult): void {
    if (result.kind === 'refused') this.pending.delete(backendId);
  }

  /** The planner's steps by region; an engine is given back only when it has been spare for a while. */
  private planSteps(situation: StageSituation, now: number): RegionStep[] {
    const demands = new Map<string, StageDemand>();
    for (const [region, views] of this.groupViews(situation, now))
      demands.set(region, this.demand(views, situation.slots));
    const steps = planRegions(this.settings.planner, demands);
    const spare = new Set(steps.filter(({ step }) => step === 'toPrefill').map(({ region }) => region));
    for (const region of this.spareSince.keys()) if (!spare.has(region)) this.spareSince.delete(region);
    for (const region of spare) this.spareSince.set(region, this.spareSince.get(region) ?? now);
    return steps.filter(({ region }) => !situation.loaded || this.isRipe(region, now));
  }

  /** Whether the region has no engine to give back, or has had it for long enough. */
  private isRipe(region: string, now: number): boolean {
    return now - (this.spareSince.get(region) ?? -Infinity) >= this.settings.returnAfterMs;
  }

  /** Engines that serve, by region. */
  private groupViews(
    { views, regionOf }: StageSituation,
    now: number,
  ): ReadonlyMap<string, readonly BackendView[]> {
    const serving = views.filter(
      (view) =>
        view.takesWork() && (view.isChangingStage || this.isChanging(view.record.id) || !view.isEjected(now)),
    );
    return groupByRegion(serving, ({ record }) => regionOf?.(record.zone) ?? '');
  }

  private forgetFinished(views: readonly BackendView[], now: number): void {
    for (const [id, { stage, since }] of this.pending) {
      const view = views.find((candidate) => candidate.record.id === id);
      const finished = !view || view.record.stage === stage;
      if (finished || now - since > this.settings.changeTimeoutMs) this.pending.delete(id);
    }
  }

  /** The demand on engines that serve, as it is once the changes that are under way are done. */
  private demand(serving: readonly BackendView[], slots: number): StageDemand {
    const stageOf = ({ record }: BackendView): EngineStage | undefined =>
      this.pending.get(record.id)?.stage ?? record.stage;
    const decodes = serving.filter((view) => stageOf(view) === 'decode');
    const prefilling = serving.filter(({ record }) => record.stage === 'prefill');
    const streaming = serving.filter(({ record }) => record.stage === 'decode');
    return {
      prefillEngines: serving.length - decodes.length,
      decodeEngines: decodes.length,
      slots,
      prompts: prefilling.reduce((sum, view) => sum + view.inFlight(), 0),
      streams: streaming.reduce((sum, view) => sum + view.inFlight(), 0),
    };
  }

  private onLease(effect: LeaseEffect): void {
    if (effect.kind === 'leaseAcquired') {
      this.ordersFrom = effect.epoch > 1 ? this.tickedAt + this.settings.takeoverWaitMs : this.tickedAt;
    }
    this.emit(effect);
  }
}

/**
 * The engine of a stage with the least work, whose change costs least. The faster compute prompts: there an
 * engine's time is what answers wait for, while tokens come far sooner than they are due. Spot engines before
 * others: these may be on their way out, replaced by spot ones.
 */
function pickEngine(views: readonly BackendView[], stage: EngineStage): BackendRecord | undefined {
  const able = views.filter((view) => view.takesWork() && view.record.stage === stage);
  const getCost = (view: BackendView): number => {
    const slower = Math.max(-MAXIMUM_LASTING, Math.min(MAXIMUM_LASTING, view.pace.factor() - 1));
    const unfit = stage === 'decode' ? slower : -slower;
    return view.inFlight() + Math.round(unfit * REQUESTS_PER_FACTOR);
  };
  able.sort(
    (left, right) =>
      getCost(left) - getCost(right) ||
      Number(right.record.isSpot ?? false) - Number(left.record.isSpot ?? false) ||
      (left.record.id < right.record.id ? -1 : 1),
  );
  return able[0]?.record;
}
