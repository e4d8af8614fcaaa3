/**
 * Applies the allocation of one cell. Owns the state of the cell's engines; relies on the cell's lease and on
 * the policy of role-allocator.ts. The rules, each implemented by a method below:
 * - no change is planned before every reachable engine has confirmed this lease's epoch (`isSealed`);
 * - changes start one at a time, at least `minimumIntervalMs` apart (`decide`);
 * - an active engine is drained before it changes, unless only adapters are added (`continueChange`);
 * - an order carries the epoch, the next sequence number and an expiry that is never after the lease's end
 *   (`sendOrder`);
 * - the lease is released early only when no order can still arrive (`mayRelease`).
 *
 * While this daemon holds the cell's lease, it seals every engine with the lease's epoch, plans changes with
 * the policy, and sends fenced orders in two steps: drain, then change. With or without the lease, it
 * collects the engines' reports for the daemons that route to the cell.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import type {
  EngineAssignment,
  EngineControlRequest,
  EngineControlResult,
  EngineReport,
  OrderAction,
} from '../contracts/engine-protocol.js';
import type { HeldLease } from '../lease/cell-lease.js';
import {
  planNextChange,
  type AllocatableEngine,
  type AllocationSettings,
  type ModelDemand,
} from './role-allocator.js';

/** Effects that the coordinator emits. */
export type CoordinatorEffect =
  | {
      readonly kind: 'engineControl';
      readonly engineId: string;
      readonly address: string;
      readonly request: EngineControlRequest;
    }
  | {
      readonly kind: 'orderGiven';
      readonly engineId: string;
      readonly epoch: number;
      readonly action: OrderAction;
    }
  | { readonly kind: 'changeFinished'; readonly engineId: string; readonly assignment: EngineAssignment };

/** An engine of the cell, from the machine list. */
export interface CellEngine {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly leaving: boolean;
}

/** An engine with its last report. */
interface ReportedEngine {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly report: EngineReport;
  /** When the report arrived. Monotonic milliseconds. */
  readonly receivedAt: number;
}

/** Settings of the coordinator. */
export interface CoordinatorSettings {
  /** Interval between report requests to each engine. Milliseconds. Default 500. */
  readonly reportIntervalMs: number;
  /**
   * A new lease holder plans without the engines that don't answer once this time has passed since its epoch
   * started. Milliseconds. Default 5000.
   */
  readonly sealTimeoutMs: number;
}

/** Default settings. */
export const DEFAULT_COORDINATOR_SETTINGS: CoordinatorSettings = {
  reportIntervalMs: 500,
  sealTimeoutMs: 5000,
};

interface EngineState {
  readonly id: string;
  readonly zone: string;
  address: string;
  leaving: boolean;
  report: EngineReport | undefined;
  reportReceivedAt: number;
  nextReportAt: number;
  /** Epoch that the engine confirmed; orders are sent only to engines sealed in the current epoch. */
  sealedEpoch: number;
  /** The assignment of the change in progress. */
  target: EngineAssignment | undefined;
  drainingSince: number | undefined;
  /** Whether a control request is in flight. Sending one at a time keeps orders in sequence. */
  requestInFlight: boolean;
  /** Whether the request in flight is an order. */
  orderInFlight: boolean;
  /** An unanswered order may still take effect until then; 0 when there is none. */
  unconfirmedUntil: number;
  /** When the engine first failed to answer since its last report; undefined while it answers. */
  unansweredSince: number | undefined;
}

/** A report is fresh for this number of report intervals. */
const REPORT_FRESH_INTERVALS = 10;
/** Expected duration of a drain before the first one was observed. Milliseconds. */
const INITIAL_DRAIN_MS = 8000;
/** Weight of the newest drain in the smoothed duration. */
const DRAIN_SMOOTHING = 0.3;

/** The coordinator of one cell in one daemon. Times are monotonic milliseconds. */
export class CellCoordinator {
  private readonly engines = new Map<string, EngineState>();
  private epoch = 0;
  private epochSince = 0;
  private lastChangeAt = -Infinity;
  private nextDecisionAt = 0;
  /** Smoothed duration of recent drains. Milliseconds. */
  private drainMs = INITIAL_DRAIN_MS;
  /** Number of changes ordered so far, other than added adapters. */
  changesOrdered = 0;

  constructor(
    private readonly settings: CoordinatorSettings,
    private readonly allocation: AllocationSettings,
    private readonly emit: EffectSink<CoordinatorEffect>,
  ) {}

  /** The last reports of the engines that answer, for digests. */
  reports(): ReportedEngine[] {
    const reported: ReportedEngine[] = [];
    for (const engine of this.engines.values()) {
      const { id, address, zone, report, reportReceivedAt } = engine;
      if (report && engine.unansweredSince === undefined)
        reported.push({ id, address, zone, report, receivedAt: reportReceivedAt });
    }
    return reported;
  }

  /**
   * Whether the lease may be released early. An order still in flight could otherwise reach an engine after
   * the next holder's lease started and before its seal.
   */
  mayRelease(now: number): boolean {
    for (const engine of this.engines.values()) if (engine.unconfirmedUntil > now) return false;
    return true;
  }

  /** Updates the cell's engines from the machine list. */
  setEngines(list: readonly CellEngine[], now: number): void {
    const listed = new Set(list.map((engine) => engine.id));
    for (const id of [...this.engines.keys()]) if (!listed.has(id)) this.engines.delete(id);
    for (const { id, address, zone, leaving } of list) {
      const known = this.engines.get(id);
      if (known) {
        known.address = address;
        known.leaving = leaving;
        continue;
      }
      this.engines.set(id, {
        id,
        zone,
        address,
        leaving,
        report: undefined,
        reportReceivedAt: -Infinity,
        nextReportAt: now,
        sealedEpoch: 0,
        target: undefined,
        drainingSince: undefined,
        requestInFlight: false,
        orderInFlight: false,
        unconfirmedUntil: 0,
        unansweredSince: undefined,
      });
    }
  }

  /**
   * Requests reports and, while the lease is held, seals engines and plans changes.
   * @param lease the lease held at `now`; undefined when this daemon doesn't hold it
   * @param demands returns the services' demand on the cell
   */
  tick(now: number, lease: HeldLease | undefined, demands: () => readonly ModelDemand[]): void {
    if (lease && lease.epoch !== this.epoch) this.startEpoch(lease.epoch, now);
    for (const engine of this.engines.values()) {
      if (engine.requestInFlight) continue;
      if (lease && engine.sealedEpoch !== lease.epoch) this.seal(engine, lease.epoch, now);
      else if (lease && this.continueChange(engine, lease, now)) continue;
      else if (now >= engine.nextReportAt) this.requestReport(engine, now);
    }
    if (!lease || now < this.nextDecisionAt || !this.isSealed(now)) return;
    this.nextDecisionAt = now + this.settings.reportIntervalMs;
    this.decide(now, lease, demands());
  }

  /** Handles the answer to an `engineControl` effect. */
  receiveControlResult(engineId: string, result: EngineControlResult, now: number): void {
    const engine = this.engines.get(engineId);
    if (!engine) return;
    engine.requestInFlight = false;
    if (result.kind !== 'noAnswer' && engine.orderInFlight) engine.unconfirmedUntil = 0;
    engine.orderInFlight = false;
    switch (result.kind) {
      case 'report':
      case 'notApplicable':
        this.applyReport(engine, result.report, now);
        break;
      case 'fenced':
        engine.sealedEpoch = 0;
        engine.nextReportAt = now;
        break;
      case 'noAnswer':
        engine.unansweredSince ??= now;
        break;
    }
  }

  private startEpoch(epoch: number, now: number): void {
    this.epoch = epoch;
    this.epochSince = now;
    for (const engine of this.engines.values()) engine.target = undefined;
  }

  private seal(engine: EngineState, epoch: number, now: number): void {
    if (now < engine.nextReportAt && engine.unansweredSince !== undefined) return;
    this.sendControl(engine, { kind: 'seal', epoch }, now);
  }

  private requestReport(engine: EngineState, now: number): void {
    this.sendControl(engine, { kind: 'report' }, now);
  }

  private sendControl(engine: EngineState, request: EngineControlRequest, now: number): void {
    engine.requestInFlight = true;
    engine.nextReportAt = now + this.settings.reportIntervalMs;
    this.emit({ kind: 'engineControl', engineId: engine.id, address: engine.address, request });
  }

  private applyReport(engine: EngineState, report: EngineReport, now: number): void {
    engine.report = report;
    engine.reportReceivedAt = now;
    engine.unansweredSince = undefined;
    if (report.epoch > engine.sealedEpoch) engine.sealedEpoch = report.epoch;
    const target = engine.target;
    if (target && report.phase === 'active' && sameAssignment(report.assignment, target)) {
      engine.target = undefined;
      this.emit({ kind: 'changeFinished', engineId: engine.id, assignment: target });
    }
  }

  /** Whether every engine has confirmed this epoch, or doesn't answer and the seal timeout has passed. */
  private isSealed(now: number): boolean {
    for (const engine of this.engines.values()) {
      if (engine.sealedEpoch === this.epoch) continue;
      const silent =
        engine.unansweredSince !== undefined && now - this.epochSince > this.settings.sealTimeoutMs;
      if (!silent) return false;
    }
    return this.engines.size > 0;
  }

  /** Sends the next order of a change in progress. Returns whether it sent one. */
  private continueChange(engine: EngineState, lease: HeldLease, now: number): boolean {
    const { report } = engine;
    if (!report || !this.isFresh(engine, now)) return false;
    if (!engine.target) {
      // A previous lease holder drained this engine, and its plan is lost: resume the engine.
      if (report.phase !== 'draining') return false;
      return this.sendOrder(engine, lease, { kind: 'resume' }, now);
    }
    const hot = isHotChange(report.assignment, engine.target);
    if (report.phase === 'active' && hot)
      return this.sendOrder(engine, lease, { kind: 'change', assignment: engine.target }, now);
    if (report.phase === 'active') {
      engine.drainingSince = now;
      return this.sendOrder(engine, lease, { kind: 'drain' }, now);
    }
    const drained = report.phase === 'draining' && report.streams === 0;
    if (drained && engine.drainingSince !== undefined) {
      this.drainMs += DRAIN_SMOOTHING * (now - engine.drainingSince - this.drainMs);
      engine.drainingSince = undefined;
    }
    return drained && this.sendOrder(engine, lease, { kind: 'change', assignment: engine.target }, now);
  }

  private sendOrder(engine: EngineState, lease: HeldLease, action: OrderAction, now: number): boolean {
    const report = engine.report;
    if (!report || engine.sealedEpoch !== lease.epoch) return false;
    // The report was made no later than it was received, so this expiry cannot be after the lease's end.
    const expiresAtClockMs = report.clockMs + (lease.validUntil - engine.reportReceivedAt);
    const sequence = report.sequence + 1;
    this.sendControl(engine, { kind: 'order', epoch: lease.epoch, sequence, expiresAtClockMs, action }, now);
    engine.orderInFlight = true;
    engine.unconfirmedUntil = Math.max(engine.unconfirmedUntil, lease.validUntil);
    this.emit({ kind: 'orderGiven', engineId: engine.id, epoch: lease.epoch, action });
    return true;
  }

  private decide(now: number, lease: HeldLease, demands: readonly ModelDemand[]): void {
    if (now - this.lastChangeAt < this.allocation.minimumIntervalMs) return;
    const candidates = this.allocatable(now);
    const change = planNextChange(candidates, demands, this.allocation);
    const engine = change && this.engines.get(change.engineId);
    if (!change || !engine) return;
    engine.target = change.assignment;
    this.lastChangeAt = now;
    if (!isHotChange(engine.report?.assignment, change.assignment)) this.changesOrdered += 1;
    if (!engine.requestInFlight) this.continueChange(engine, lease, now);
  }

  private allocatable(now: number): AllocatableEngine[] {
    const engines: AllocatableEngine[] = [];
    for (const engine of this.engines.values()) {
      const { report } = engine;
      if (!report || engine.leaving || report.phase === 'leaving') continue;
      if (engine.sealedEpoch !== this.epoch || !this.isFresh(engine, now)) continue;
      engines.push({
        id: engine.id,
        assignment: engine.target ?? report.assignment,
        capability: report.capability,
        streams: report.streams,
        cachedShare: report.cachedShare,
        drainMs: this.drainMs,
        changing: engine.target !== undefined || report.phase !== 'active',
      });
    }
    return engines;
  }

  private isFresh(engine: EngineState, now: number): boolean {
    return now - engine.reportReceivedAt <= this.settings.reportIntervalMs * REPORT_FRESH_INTERVALS;
  }
}

/** Whether a change only adds adapters, which an engine can load without draining. */
function isHotChange(current: EngineAssignment | undefined, target: EngineAssignment): boolean {
  if (!current) return false;
  const same =
    current.role === target.role && current.model === target.model && current.version === target.version;
  return same && current.adapters.every((adapter) => target.adapters.includes(adapter));
}

/** Whether two assignments are equal; the order of adapters is ignored. */
export function sameAssignment(left: EngineAssignment, right: EngineAssignment): boolean {
  return (
    left.role === right.role &&
    left.model === right.model &&
    left.version === right.version &&
    left.adapters.length === right.adapters.length &&
    left.adapters.every((adapter) => right.adapters.includes(adapter))
  );
}
