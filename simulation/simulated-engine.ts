/**
 * A simulated engine: runs the engine model in virtual time, streams its output to daemons, and can crash and restart.
 * Reports requests, orders and changes to the monitor.
 */
import { EngineModel, formatToken, type EngineOutput, type EngineWork } from '../lab/engine-model.js';
import { type EngineModelSettings } from '../lab/engine-model-settings.js';
import type {
  AttemptEvent,
  EngineAssignment,
  EngineControlRequest,
  EngineControlResult,
} from '../src/contracts/engine-protocol.js';
import type { Monitor } from './monitor.js';
import type { Endpoint } from './simulated-network.js';
import type { VirtualTime } from './virtual-time.js';

/** Receives the output of an attempt. Returns false when the daemon can no longer be reached. */
export type AttemptSink = (event: AttemptEvent) => boolean;

/** An attempt in progress. */
interface OpenAttempt {
  readonly requestId: string;
  readonly promptHash: number;
  readonly sink: AttemptSink;
  /** Offset of the first buffered token. */
  offset: number;
  /** Texts of tokens that are not yet sent. */
  buffered: string[];
}

/** Number of tokens sent in one message after the first token; batching keeps long simulations fast. */
const TOKENS_PER_MESSAGE = 16;

/** Options of a simulated engine. */
interface SimulatedEngineOptions extends Endpoint {
  readonly address: string;
  readonly cell: string;
  /** The initial assignment, which the engine has again after a restart. */
  readonly assignment: EngineAssignment;
  readonly settings: EngineModelSettings;
  readonly time: VirtualTime;
  readonly monitor: Monitor;
}

/** One simulated engine. */
export class SimulatedEngine implements Endpoint {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  readonly cell: string;
  model: EngineModel;
  alive = true;
  private readonly time: VirtualTime;
  private readonly monitor: Monitor;
  private readonly settings: EngineModelSettings;
  private readonly initialAssignment: EngineAssignment;
  private readonly attempts = new Map<string, OpenAttempt>();
  /** Time of the next scheduled step of the model. Milliseconds. */
  private wakeAt = Infinity;
  /** Number of crashes; cancels steps that an earlier process scheduled. */
  private generation = 0;
  /** Changes of role or model before the last crash. */
  private changesBeforeCrash = 0;

  constructor({ name, address, zone, region, cell, assignment, ...parts }: SimulatedEngineOptions) {
    this.name = name;
    this.address = address;
    this.zone = zone;
    this.region = region;
    this.cell = cell;
    this.time = parts.time;
    this.monitor = parts.monitor;
    this.settings = parts.settings;
    this.initialAssignment = assignment;
    this.model = new EngineModel(parts.settings, assignment);
  }

  /** Gets the number of changes of role or model. */
  getChangeCount(): number {
    return this.changesBeforeCrash + this.model.changes;
  }

  /** Starts an attempt, or sends its refusal. */
  start(work: EngineWork, requestId: string, promptHash: number, sink: AttemptSink): void {
    this.monitor.onWorkArrived(this.name);
    const refusal = this.model.start(work, this.time.now());
    if (refusal) {
      sink({ kind: 'refused', reason: refusal });
      return;
    }
    this.monitor.onWorkStarted(requestId);
    this.attempts.set(work.attemptId, { requestId, promptHash, sink, offset: work.offset, buffered: [] });
    this.schedule();
  }

  /** Cancels an attempt. */
  cancel(attemptId: string): void {
    this.attempts.delete(attemptId);
    this.model.cancel(attemptId, this.time.now());
  }

  /** Executes a control request of `holder`; `tableEpoch` is the present epoch of the lease row, for the monitor. */
  control(request: EngineControlRequest, holder: string, tableEpoch: number): EngineControlResult {
    const before = this.model.getState();
    const streams = this.model.getStreamCount();
    const result = this.model.applyControlRequest(request, this.time.now());
    const after = this.model.getState();
    if (request.kind === 'order') {
      const accepted = result.kind === 'report' && after.sequence !== before.sequence;
      if (accepted)
        this.monitor.onOrderAccepted(this.name, holder, request.epoch, request.sequence, tableEpoch);
      const hasStarted = before.phase !== 'changing' && after.phase === 'changing';
      if (hasStarted) this.monitor.onChangeStarted(this.name, streams);
    }
    this.schedule();
    return result;
  }

  /** Ends the process: streams break, state and fence are lost. */
  crash(): void {
    this.alive = false;
    this.generation += 1;
    this.wakeAt = Infinity;
    this.changesBeforeCrash += this.model.changes;
    for (const attempt of this.attempts.values()) attempt.sink({ kind: 'broken', reason: 'engine crashed' });
    this.attempts.clear();
  }

  /** Starts the process again with its initial assignment. */
  restart(): void {
    this.alive = true;
    this.model = new EngineModel(this.settings, this.initialAssignment);
    this.monitor.onEngineRestarted(this.name);
  }

  private schedule(): void {
    const at = this.model.getNextEventAt();
    if (at === undefined || at >= this.wakeAt) return;
    this.wakeAt = at;
    const { generation } = this;
    this.time.after(at - this.time.now(), () => {
      if (generation !== this.generation || this.wakeAt !== at) return;
      this.wakeAt = Infinity;
      for (const output of this.model.advance(this.time.now())) this.emit(output);
      this.schedule();
    });
  }

  private emit(output: EngineOutput): void {
    const attempt = this.attempts.get(output.attemptId);
    if (!attempt) return;
    if (output.kind === 'tokens') {
      attempt.buffered.push(formatToken(attempt.promptHash, output.offset));
      if (attempt.offset === 0 || attempt.buffered.length >= TOKENS_PER_MESSAGE)
        this.flush(output.attemptId, attempt);
      return;
    }
    this.flush(output.attemptId, attempt);
    this.attempts.delete(output.attemptId);
    if (output.kind === 'end') attempt.sink({ kind: 'end', tokens: output.tokens, finishReason: 'stop' });
    else attempt.sink({ kind: 'prefilled', kv: { engineAddress: this.address, handle: output.handle } });
  }

  private flush(attemptId: string, attempt: OpenAttempt): void {
    if (attempt.buffered.length === 0) return;
    const { offset, buffered: texts } = attempt;
    attempt.offset += texts.length;
    attempt.buffered = [];
    if (!attempt.sink({ kind: 'tokens', offset, texts })) this.cancel(attemptId);
  }
}
