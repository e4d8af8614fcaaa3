/**
 * Changes the stages of a service's engines while this daemon holds the service's lease. Owns the lease and
 * the pending changes. Only a few engines change at a time, since each is unavailable for seconds. The
 * coordinator requests an engine's state, sends an order under the lease's epoch, and then leaves the engine
 * alone until its record shows the new stage. A daemon that takes over the lease waits until orders of the
 * previous holder can no longer interfere with its own.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import { CellLease, type LeaseEffect, type LeaseSettings } from '../lease/cell-lease.js';
import type { TableResult } from '../contracts/table-service.js';
import type { BackendView } from '../forwarding/backends/backend-view.js';
import type { BackendRecord, EngineStage } from '../forwarding/routes/route.js';
import type { EngineStatus, StageOrder, StageOrderResult } from './engine-orders.js';
import { getSoftwareVersion } from '../streams/stream-origin.js';
import type { StageDemand, StagePlannerSettings } from './stage-planner.js';
import { groupByRegion, planRegions, type RegionStep } from './stage-regions.js';

/** Settings of the coordinator. */
export interface StageCoordinatorSettings {
  readonly lease: LeaseSettings;
  readonly planner: StagePlannerSettings;
  /** Time without orders after the lease was taken over from another daemon. Milliseconds. */
  readonly takeoverWaitMs: number;
  /** Share of a service's engines that may change at the same time under load, at least one. Default 0.1. */
  readonly changingShare: number;
  /** The same share while no request is in flight. Default 0.3. */
  readonly idleChangingShare: number;
  /**
   * Interval between orders under load when one engine may change at a time; divided by the number of engines
   * that may change at the same time. Milliseconds. Default 1500.
   */
  readonly orderPauseMs: number;
  /**
   * Under load, a decode engine is returned to prefill only after a region has had a spare one for this
   * duration. Milliseconds. Default 1000.
   */
  readonly returnAfterMs: number;
  /**
   * A pending change ends after this time even if the engine's record doesn't show the new stage; the engine
   * may then be ordered again. Milliseconds. Default 6000.
   */
  readonly changeTimeoutMs: number;
}

/** Effects that the coordinator emits. */
export type StageEffect =
  | LeaseEffect
  | { readonly kind: 'askEngine'; readonly backend: BackendRecord }
  | { readonly kind: 'orderEngine'; readonly order: StageOrder };

/** The state of the service that the coordinator reads at each tick. */
interface StageContext {
  readonly views: readonly BackendView[];
  readonly slots: number;
  /** Whether requests are in flight. */
  readonly loaded: boolean;
  /** Whether this daemon is a candidate for the lease. */
  readonly shouldLead: boolean;
  /** Time for which a change must be due before this daemon takes the lease. Milliseconds; default 0. */
  readonly standbyDelayMs?: number;
  /** Maps a zone to its region; omitted with a single region. */
  readonly regionOf?: (zone: string) => string;
}

/** Number of engines by software version. */
type VersionCounts = ReadonlyMap<string | null, number>;

interface PendingChange {
  readonly backend: BackendRecord;
  readonly stage: EngineStage;
  /** When the state was requested, later when the order was sent. Monotonic milliseconds. */
  since: number;
  ordered: boolean;
}

/**
 * Number of requests in flight that weigh as much as a pace deviation of 1 (twice the time of the group). An
 * engine with a pace of 1.3 is as good a candidate for decode as one with three fewer requests, and as bad a
 * candidate for prefill as one with three more.
 */
const REQUESTS_PER_PACE = 10;
/**
 * Deviations from the group's pace are capped here: larger ones come from temporary faults and not from the
 * machine. Share of the group's pace.
 */
const MAXIMUM_PACE_DEVIATION = 0.5;

/** A version keeps so many decode engines where others can change: its streams can be continued at no other version. */
const KEPT_DECODES_PER_VERSION = 2;

/** The coordinator of one service in one daemon. Times are monotonic milliseconds. */
export class StageCoordinator {
  private readonly lease: CellLease;
  private readonly pending = new Map<string, PendingChange>();
  private nextOrderAt = 0;
  private ordersAllowedFrom = Infinity;
  private tickedAt = 0;
  /** When a change became due. Monotonic milliseconds. */
  private dueSince: number | undefined;
  /** When each region first had an engine to return to prefill. Monotonic milliseconds. */
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

  /** Whether this daemon is changing the engine, which then gets no new work. */
  isChanging(backendId: string): boolean {
    return this.pending.has(backendId);
  }

  /** Advances the lease and, while it is held, starts planned changes. */
  tick(context: StageContext, now: number): void {
    this.tickedAt = now;
    this.removeFinished(context.views, now);
    const steps = this.planSteps(context, now);
    this.setDue(context.shouldLead && steps.length > 0, now);
    this.lease.tick(now, this.hasBeenDue(context.standbyDelayMs ?? 0, now));
    if (!context.shouldLead) this.release(now);
    const held = this.lease.getHeldLease(now);
    if (!held || now < this.ordersAllowedFrom) return;
    for (let next = steps; next.length > 0; next = this.planSteps(context, now))
      if (!next.some((step) => this.startChange(context, step, now))) return;
  }

  private setDue(due: boolean, now: number): void {
    if (!due) this.dueSince = undefined;
    else this.dueSince ??= now;
  }

  /** Whether a change has been due for `forMs`, so that no higher-ranked daemon has made it. */
  private hasBeenDue(forMs: number, now: number): boolean {
    return this.dueSince !== undefined && now - this.dueSince >= forMs;
  }

  /**
   * Requests the state of one engine in order to change its stage; returns false when none may change now.
   */
  private startChange(context: StageContext, { region, step }: RegionStep, now: number): boolean {
    const { views, loaded } = context;
    const { changingShare, idleChangingShare } = this.settings;
    const maximumChanging = Math.max(
      1,
      Math.floor(views.length * (loaded ? changingShare : idleChangingShare)),
    );
    if (this.pending.size >= maximumChanging || now < this.nextOrderAt) return false;
    const stage = step === 'toPrefill' ? 'prefill' : 'decode';
    const group = this.groupViews(context, now).get(region) ?? [];
    const candidates = group.filter((view) => !this.isChanging(view.record.id));
    const decodes = this.countDecodes(group);
    const backend = pickEngine(candidates, stage === 'prefill' ? 'decode' : 'prefill', decodes);
    if (!backend) return false;
    this.pending.set(backend.id, { backend, stage, since: now, ordered: false });
    this.nextOrderAt = now + (loaded ? this.settings.orderPauseMs / maximumChanging : 0);
    this.emit({ kind: 'askEngine', backend });
    return true;
  }

  /** The machine was suspended, for a time that the monotonic clock did not count. */
  onMachineSuspended(): void {
    this.lease.onMachineSuspended();
  }

  /** Releases the lease, unless changes are pending. */
  release(now: number): void {
    if (this.pending.size === 0) this.lease.release(now);
  }

  /** Handles the answer to a `leaseTable` effect. */
  receiveTableResult(result: TableResult, now: number): void {
    this.lease.receiveTableResult(result, now);
  }

  /** Handles an engine's state, undefined when it did not answer, and sends the order if it applies. */
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
   * Handles the outcome of an order. Without an answer the change may still happen, so it stays pending.
   */
  receiveOrderResult(backendId: string, result: StageOrderResult): void {
    if (result.kind === 'refused') this.pending.delete(backendId);
  }

  /**
   * The planner's steps by region; under load, engines are returned to prefill only after `returnAfterMs`.
   */
  private planSteps(context: StageContext, now: number): RegionStep[] {
    const demands = new Map<string, StageDemand>();
    for (const [region, views] of this.groupViews(context, now))
      demands.set(region, this.getDemand(views, context.slots));
    const steps = planRegions(this.settings.planner, demands);
    const spare = new Set(steps.filter(({ step }) => step === 'toPrefill').map(({ region }) => region));
    for (const region of this.spareSince.keys()) if (!spare.has(region)) this.spareSince.delete(region);
    for (const region of spare) this.spareSince.set(region, this.spareSince.get(region) ?? now);
    return steps.filter(({ region }) => !context.loaded || this.isStepDue(region, now));
  }

  /** Whether the region has no engine to return to prefill, or has had one for `returnAfterMs`. */
  private isStepDue(region: string, now: number): boolean {
    return now - (this.spareSince.get(region) ?? -Infinity) >= this.settings.returnAfterMs;
  }

  /** Engines in service, by region. */
  private groupViews(
    { views, regionOf }: StageContext,
    now: number,
  ): ReadonlyMap<string, readonly BackendView[]> {
    const serving = views.filter(
      (view) =>
        view.takesWork() && (view.isChangingStage || this.isChanging(view.record.id) || !view.isEjected(now)),
    );
    return groupByRegion(serving, ({ record }) => regionOf?.(record.zone) ?? '');
  }

  private removeFinished(views: readonly BackendView[], now: number): void {
    for (const [id, { stage, since }] of this.pending) {
      const view = views.find((candidate) => candidate.record.id === id);
      const finished = !view || view.record.stage === stage;
      if (finished || now - since > this.settings.changeTimeoutMs) this.pending.delete(id);
    }
  }

  /** Number of decode engines of each software version, after the pending changes. */
  private countDecodes(group: readonly BackendView[]): VersionCounts {
    const counts = new Map<string | null, number>();
    for (const { record } of group) {
      const version = getSoftwareVersion(record);
      const decodes = (this.pending.get(record.id)?.stage ?? record.stage) === 'decode' ? 1 : 0;
      counts.set(version, (counts.get(version) ?? 0) + decodes);
    }
    return counts;
  }

  /** The demand, with engines counted in the stages that they have after the pending changes. */
  private getDemand(serving: readonly BackendView[], slots: number): StageDemand {
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
      this.ordersAllowedFrom =
        effect.epoch > 1 ? this.tickedAt + this.settings.takeoverWaitMs : this.tickedAt;
    }
    this.emit(effect);
  }
}

/**
 * Picks the engine of a stage that costs the least to change: the one with the fewest requests in flight,
 * corrected by its pace. Faster engines are preferred for prefill, since responses wait for prefill time,
 * while tokens are generated far sooner than they are due. At equal cost spot engines are preferred, since
 * ordinary ones may be about to be replaced by spot engines. Before all that, a version that has few decode engines
 * keeps them, and gets more.
 */
function pickEngine(
  views: readonly BackendView[],
  stage: EngineStage,
  decodes: VersionCounts,
): BackendRecord | undefined {
  const eligible = views.filter((view) => view.takesWork() && view.record.stage === stage);
  const getCost = (view: BackendView): number => {
    const deviation = Math.max(
      -MAXIMUM_PACE_DEVIATION,
      Math.min(MAXIMUM_PACE_DEVIATION, view.pace.factor() - 1),
    );
    const penalty = stage === 'decode' ? deviation : -deviation;
    return view.inFlight() + Math.round(penalty * REQUESTS_PER_PACE);
  };
  const getRank = ({ record }: BackendView): number => {
    const count = decodes.get(getSoftwareVersion(record)) ?? 0;
    const isLast = stage === 'decode' ? count <= KEPT_DECODES_PER_VERSION : count >= KEPT_DECODES_PER_VERSION;
    return Number(isLast);
  };
  eligible.sort(
    (left, right) =>
      getRank(left) - getRank(right) ||
      getCost(left) - getCost(right) ||
      Number(right.record.isSpot ?? false) - Number(left.record.isSpot ?? false) ||
      (left.record.id < right.record.id ? -1 : 1),
  );
  return eligible[0]?.record;
}
