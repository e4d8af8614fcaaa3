/** Watches a simulation for broken promises. It sees everything; the daemons see nothing of it. */
import type { NotRun } from '../src/errors/index.js';

/** The promises of the brief, in its order, by short names used in reports. */
export type PromiseName =
  | 'no-conflicting-orders'
  | 'planned-change-cuts-nothing'
  | 'no-order-without-authority'
  | 'whole-answer'
  | 'not-run-is-true'
  | 'at-most-once'
  | 'leaving-gets-no-work'
  | 'configuration-in-force';

/** A promise that was broken, and when. */
export interface Violation {
  readonly promise: PromiseName;
  readonly at: number;
  readonly detail: string;
}

interface EngineOrders {
  epoch: number;
  sequence: number;
  holder: string;
}

/** Collects violations and figures of one run. */
export class Monitor {
  readonly violations: Violation[] = [];
  /** Requests whose work an engine or server began. */
  private readonly begun = new Map<string, number>();
  /** The key of each call that may run once, told by the workload. */
  private readonly onceKeys = new Map<string, string>();
  private readonly executions = new Map<string, number>();
  private readonly orders = new Map<string, EngineOrders>();
  private readonly leavingSince = new Map<string, number>();
  /** Longest time from leaving until a back end last got new work. Milliseconds. */
  worstLeavingMs = 0;

  constructor(
    private readonly now: () => number,
    private readonly limits: { readonly leavingMs: number; readonly configurationMs: number },
  ) {}

  /** Records a violation. */
  addViolation(promise: PromiseName, detail: string): void {
    this.violations.push({ promise, at: this.now(), detail });
  }

  /** A back end began work of a request. */
  onWorkStarted(requestId: string): void {
    this.begun.set(requestId, (this.begun.get(requestId) ?? 0) + 1);
  }

  /** New work arrived at a back end, whether or not it took it. */
  onWorkArrived(backend: string): void {
    const since = this.leavingSince.get(backend);
    if (since === undefined) return;
    const late = this.now() - since;
    this.worstLeavingMs = Math.max(this.worstLeavingMs, late);
    if (late > this.limits.leavingMs)
      this.addViolation('leaving-gets-no-work', `${backend} got work after ${Math.round(late)} ms`);
  }

  /** A back end announced that it leaves. */
  onBackendLeaving(backend: string): void {
    this.leavingSince.set(backend, this.now());
  }

  /** An engine accepted an order. `tableEpoch` is the epoch in the lease row at this moment. */
  onOrderAccepted(engine: string, holder: string, epoch: number, sequence: number, tableEpoch: number): void {
    const last = this.orders.get(engine);
    if (epoch !== tableEpoch) {
      this.addViolation(
        'no-order-without-authority',
        `${engine} accepted epoch ${epoch} of ${holder}; the table has ${tableEpoch}`,
      );
    }
    const goesBack =
      last &&
      (epoch < last.epoch || (epoch === last.epoch && (sequence <= last.sequence || holder !== last.holder)));
    if (goesBack)
      this.addViolation(
        'no-conflicting-orders',
        `${engine}: ${epoch}/${sequence} of ${holder} after ${last.epoch}/${last.sequence} of ${last.holder}`,
      );
    this.orders.set(engine, { epoch, sequence, holder });
  }

  /** An engine restarted: its sequence begins anew under the next seal. */
  onEngineRestarted(engine: string): void {
    this.orders.delete(engine);
  }

  /** An engine began a change while streams ran on it. */
  onChangeStarted(engine: string, streams: number): void {
    if (streams > 0)
      this.addViolation('planned-change-cuts-nothing', `${engine} began a change with ${streams} streams`);
  }

  /** A request was answered with a failure. */
  onFailureAnswered(requestId: string, notRun: NotRun, code: string): void {
    const begun = (this.begun.get(requestId) ?? 0) > 0;
    if (notRun === 'true' && begun) this.addViolation('not-run-is-true', `${requestId} (${code}) had begun`);
    if (notRun === 'false' && !begun)
      this.addViolation('not-run-is-true', `${requestId} (${code}) said it ran, and had not begun`);
  }

  /** A call that may run once was sent under a key. */
  addOnceCall(requestId: string, key: string): void {
    this.onceKeys.set(requestId, key);
  }

  /** The key of a call that may run once. */
  getOnceKey(requestId: string): string | undefined {
    return this.onceKeys.get(requestId);
  }

  /** An application server executed a call that may run once. */
  onCallExecuted(key: string): void {
    const count = (this.executions.get(key) ?? 0) + 1;
    this.executions.set(key, count);
    if (count > 1) this.addViolation('at-most-once', `${key} ran ${count} times`);
  }

  /**
   * A daemon admitted a request at `revision` while `accepted` revisions were committed at the times given.
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
