/**
 * Checks the promises of the system during a simulation. Observes daemons, engines, callers and the platform from the
 * outside without affecting them. Owns the list of violations.
 */
import type { NotRun } from '../src/errors/index.js';

/** The promises of the requirements, in their order, by the short names that reports use. */
export type PromiseName =
  | 'no-conflicting-orders'
  | 'planned-change-cuts-nothing'
  | 'no-order-without-authority'
  | 'whole-answer'
  | 'not-run-is-true'
  | 'at-most-once'
  | 'leaving-gets-no-work'
  | 'configuration-in-force';

/** A broken promise. */
export interface Violation {
  readonly promise: PromiseName;
  /** Virtual time. Milliseconds. */
  readonly at: number;
  readonly detail: string;
}

/** The last order that an engine accepted. */
interface EngineOrders {
  epoch: number;
  sequence: number;
  holder: string;
}

/** Collects the violations of one run. */
export class Monitor {
  readonly violations: Violation[] = [];
  /** How many times an engine or application server started work on a request, by request id. */
  private readonly startedWork = new Map<string, number>();
  /** The idempotency key of each call that may be executed once only, by request id; the workload adds them. */
  private readonly onceKeys = new Map<string, string>();
  /** Executions of calls that may be executed once only, by idempotency key. */
  private readonly executions = new Map<string, number>();
  private readonly orders = new Map<string, EngineOrders>();
  private readonly leavingSince = new Map<string, number>();
  /** Longest time from a back end's announcement that it leaves to its last new request. Milliseconds. */
  worstLeavingMs = 0;

  constructor(
    private readonly now: () => number,
    private readonly limits: { readonly leavingMs: number; readonly configurationMs: number },
  ) {}

  /** Adds a violation at the present time. */
  addViolation(promise: PromiseName, detail: string): void {
    this.violations.push({ promise, at: this.now(), detail });
  }

  /** A back end started to execute a request. */
  onWorkStarted(requestId: string): void {
    this.startedWork.set(requestId, (this.startedWork.get(requestId) ?? 0) + 1);
  }

  /** A new request arrived at a back end, whether or not it was accepted. */
  onWorkArrived(backend: string): void {
    const since = this.leavingSince.get(backend);
    if (since === undefined) return;
    const lateByMs = this.now() - since;
    this.worstLeavingMs = Math.max(this.worstLeavingMs, lateByMs);
    if (lateByMs > this.limits.leavingMs)
      this.addViolation(
        'leaving-gets-no-work',
        `${backend} got a request ${Math.round(lateByMs)} ms after it announced that it leaves`,
      );
  }

  /** A back end announced that it leaves. */
  onBackendLeaving(backend: string): void {
    this.leavingSince.set(backend, this.now());
  }

  /** An engine accepted an order. `tableEpoch` is the present epoch of the lease row. */
  onOrderAccepted(engine: string, holder: string, epoch: number, sequence: number, tableEpoch: number): void {
    const last = this.orders.get(engine);
    if (epoch !== tableEpoch) {
      this.addViolation(
        'no-order-without-authority',
        `${engine} accepted epoch ${epoch} of ${holder}; the table has ${tableEpoch}`,
      );
    }
    const isOutOfOrder =
      last &&
      (epoch < last.epoch || (epoch === last.epoch && (sequence <= last.sequence || holder !== last.holder)));
    if (isOutOfOrder)
      this.addViolation(
        'no-conflicting-orders',
        `${engine}: ${epoch}/${sequence} of ${holder} after ${last.epoch}/${last.sequence} of ${last.holder}`,
      );
    this.orders.set(engine, { epoch, sequence, holder });
  }

  /** An engine restarted: its order sequence starts again with the next seal. */
  onEngineRestarted(engine: string): void {
    this.orders.delete(engine);
  }

  /** An engine started a change while it had `streams` open streams. */
  onChangeStarted(engine: string, streams: number): void {
    if (streams > 0)
      this.addViolation(
        'planned-change-cuts-nothing',
        `${engine} started a change with ${streams} open streams`,
      );
  }

  /** A request was answered with a failure. */
  onFailureAnswered(requestId: string, notRun: NotRun, code: string): void {
    const started = (this.startedWork.get(requestId) ?? 0) > 0;
    if (notRun === 'true' && started)
      this.addViolation('not-run-is-true', `${requestId} (${code}) was executed`);
    if (notRun === 'false' && !started)
      this.addViolation('not-run-is-true', `${requestId} (${code}) was reported as executed, but was not`);
  }

  /** A caller sent a call that may be executed once only, with an idempotency key. */
  addOnceCall(requestId: string, key: string): void {
    this.onceKeys.set(requestId, key);
  }

  /** Gets the idempotency key of a call that may be executed once only. */
  getOnceKey(requestId: string): string | undefined {
    return this.onceKeys.get(requestId);
  }

  /** An application server executed a call that may be executed once only. */
  onCallExecuted(key: string): void {
    const count = (this.executions.get(key) ?? 0) + 1;
    this.executions.set(key, count);
    if (count > 1) this.addViolation('at-most-once', `${key} was executed ${count} times`);
  }

  /**
   * A daemon admitted a request at configuration revision `revision`; `commits` are the revisions committed so far, in
   * order.
   */
  onRequestAdmitted(
    daemon: string,
    revision: number,
    commits: readonly { revision: number; at: number }[],
  ): void {
    for (let index = commits.length - 1; index >= 0 && commits[index].revision > revision; index -= 1) {
      const lag = this.now() - commits[index].at;
      if (lag > this.limits.configurationMs) {
        this.addViolation(
          'configuration-in-force',
          `${daemon} admitted at revision ${revision}, ${Math.round(lag)} ms after ${commits[index].revision}`,
        );
      }
    }
  }
}
