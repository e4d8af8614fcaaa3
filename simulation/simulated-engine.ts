/** An engine node of a simulation: the emulated engine, its crashes, and its streams to daemons. */
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

/** Where the output of an attempt goes; false when the receiver cannot be reached any more. */
export type AttemptSink = (event: AttemptEvent) => boolean;

interface OpenAttempt {
  readonly requestId: string;
  readonly promptHash: number;
  readonly sink: AttemptSink;
  offset: number;
  buffered: string[];
}

/** Tokens of a stream that travel together after the first, to keep long simulations quick. */
const TOKENS_PER_MESSAGE = 16;

/** What a simulated engine is made of. */
interface SimulatedEngineOptions extends Endpoint {
  readonly address: string;
  readonly cell: string;
  /** What the machine was first set up for; a restarted engine has it again. */
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
  private readonly firstAssignment: EngineAssignment;
  private readonly attempts = new Map<string, OpenAttempt>();
  private wakeAt = Infinity;
  private generation = 0;
  /** Role changes before the last crash. */
  private pastChanges = 0;

  constructor({ name, address, zone, region, cell, assignment, ...parts }: SimulatedEngineOptions) {
    this.name = name;
    this.address = address;
    this.zone = zone;
    this.region = region;
    this.cell = cell;
    this.time = parts.time;
    this.monitor = parts.monitor;
    this.settings = parts.settings;
    this.firstAssignment = assignment;
    this.model = new EngineModel(parts.settings, assignment);
  }

  /** Changes of role or model so far. */
  getChangeCount(): number {
    return this.pastChanges + this.model.changes;
  }

  /** Takes an attempt. */
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

  /** Drops an attempt. */
  cancel(attemptId: string): void {
    this.attempts.delete(attemptId);
    this.model.cancel(attemptId, this.time.now());
  }

  /** Answers a control request of `holder`; `tableEpoch` is the truth in the table. */
  control(request: EngineControlRequest, holder: string, tableEpoch: number): EngineControlResult {
    const before = this.model.getState();
    const streams = this.model.getStreamCount();
    const result = this.model.applyControlRequest(request, this.time.now());
    const after = this.model.getState();
    if (request.kind === 'order') {
      const accepted = result.kind === 'report' && after.sequence !== before.sequence;
      if (accepted)
        this.monitor.onOrderAccepted(this.name, holder, request.epoch, request.sequence, tableEpoch);
      const begins = before.phase !== 'changing' && after.phase === 'changing';
      if (begins) this.monitor.onChangeStarted(this.name, streams);
    }
    this.schedule();
    return result;
  }

  /** The process dies: streams break, state and fence are lost. */
  crash(): void {
    this.alive = false;
    this.generation += 1;
    this.wakeAt = Infinity;
    this.pastChanges += this.model.changes;
    for (const attempt of this.attempts.values()) attempt.sink({ kind: 'broken', reason: 'engine crashed' });
    this.attempts.clear();
  }

  /** The process starts anew with what the machine was first set up for. */
  restart(): void {
    this.alive = true;
    this.model = new EngineModel(this.settings, this.firstAssignment);
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
