/**
 * An emulated model engine as a pure state machine: continuous batching in steps, a prefix cache, roles,
 * fenced orders, lagging load reports. The HTTP stand-in runs it in real time, the simulator in virtual time.
 */
import type {
  EngineAssignment,
  EngineControlRequest,
  EngineControlResult,
  EnginePhase,
  EngineRefusal,
  EngineReport,
} from '../src/contracts/engine-protocol.js';
import { getCapability, type EngineModelSettings } from './engine-model-settings.js';

/** Work given to an engine. */
export interface EngineWork {
  readonly attemptId: string;
  readonly stage: 'prefill' | 'generate';
  readonly model: string;
  readonly version: number;
  readonly adapter: string;
  readonly promptTokens: number;
  readonly prefixKey: string;
  readonly maximumTokens: number;
  readonly priority: number;
  /** The first token to make. */
  readonly offset: number;
  /** True when the KV cache comes from another engine. */
  readonly imported: boolean;
}

/** What a step made. */
export type EngineOutput =
  | { readonly kind: 'tokens'; readonly attemptId: string; readonly offset: number; readonly count: number }
  | { readonly kind: 'prefilled'; readonly attemptId: string; readonly handle: string }
  | { readonly kind: 'end'; readonly attemptId: string; readonly tokens: number };

interface Stream {
  readonly work: EngineWork;
  readonly order: number;
  prefillLeft: number;
  /** The stream joins the batch no earlier than this, while its cache is on its way. */
  readyAt: number;
  nextOffset: number;
}

interface Step {
  readonly endsAt: number;
  readonly prefill: ReadonlyMap<Stream, number>;
  readonly decode: readonly Stream[];
}

interface LoadSnapshot {
  readonly at: number;
  readonly streams: number;
  readonly waitingPrefillTokens: number;
}

/** Streams that an engine takes beyond those it runs. */
const QUEUE_ALLOWANCE = 32;
const CACHE_SMOOTHING = 0.1;

/** One emulated engine. Times are milliseconds on the engine's clock. */
export class EngineModel {
  private readonly streams = new Map<string, Stream>();
  private readonly prefixes = new Map<string, true>();
  private readonly kv = new Map<string, number>();
  private step: Step | undefined;
  private phase: EnginePhase = 'active';
  private changeEndsAt: number | undefined;
  private adapterLoad: { assignment: EngineAssignment; endsAt: number } | undefined;
  private epoch = 0;
  private sequence = 0;
  private orderCount = 0;
  private cachedShare = 0;
  private snapshots: LoadSnapshot[] = [{ at: -Infinity, streams: 0, waitingPrefillTokens: 0 }];
  /** Steps take this many times longer; a fault to inject. */
  slowFactor = 1;
  /** Changes of role or model begun. */
  changes = 0;

  constructor(
    private readonly settings: EngineModelSettings,
    private assignment: EngineAssignment,
  ) {}

  /** Streams on the engine. */
  getStreamCount(): number {
    return this.streams.size;
  }

  /** The role, model and phase at present. */
  getState(): { assignment: EngineAssignment; phase: EnginePhase; epoch: number; sequence: number } {
    return { assignment: this.assignment, phase: this.phase, epoch: this.epoch, sequence: this.sequence };
  }

  /** The machine will go away: no new work from now on. */
  setLeaving(): void {
    this.phase = 'leaving';
  }

  /** Takes work, or says why not; refused work was not begun. */
  start(work: EngineWork, now: number): EngineRefusal | undefined {
    const refusal = this.refusalFor(work);
    if (refusal) return refusal;
    const cached = this.prefixes.has(work.prefixKey)
      ? Math.floor(work.promptTokens * this.settings.cachedShare)
      : 0;
    if (!work.imported) this.cachedShare += CACHE_SMOOTHING * (cached / work.promptTokens - this.cachedShare);
    this.rememberPrefix(work.prefixKey);
    const prefillLeft = work.imported ? 0 : Math.max(1, work.promptTokens + work.offset - cached);
    const readyAt = work.imported ? now + work.promptTokens * this.settings.kvTransferMsPerToken : now;
    this.orderCount += 1;
    this.streams.set(work.attemptId, {
      work,
      order: this.orderCount,
      prefillLeft,
      readyAt,
      nextOffset: work.offset,
    });
    this.snapshot(now);
    this.beginStep(now);
    return undefined;
  }

  /** Drops work. */
  cancel(attemptId: string, now: number): void {
    this.streams.delete(attemptId);
    this.snapshot(now);
  }

  /** Whether a cache exported under this handle is still here. */
  hasKv(handle: string, now: number): boolean {
    return (this.kv.get(handle) ?? -Infinity) > now;
  }

  /** When something happens next, if nothing new comes. */
  getNextEventAt(): number | undefined {
    const times = [this.step?.endsAt, this.changeEndsAt, this.adapterLoad?.endsAt].filter(
      (time) => time !== undefined,
    );
    if (!this.step) for (const stream of this.streams.values()) times.push(stream.readyAt);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Advances to `now` and returns what was made. */
  advance(now: number): EngineOutput[] {
    const outputs: EngineOutput[] = [];
    if (this.changeEndsAt !== undefined && now >= this.changeEndsAt) {
      this.changeEndsAt = undefined;
      this.phase = this.phase === 'leaving' ? 'leaving' : 'active';
    }
    if (this.adapterLoad && now >= this.adapterLoad.endsAt) {
      this.assignment = this.adapterLoad.assignment;
      this.adapterLoad = undefined;
    }
    while (this.step && this.step.endsAt <= now) {
      const step = this.step;
      this.step = undefined;
      this.finishStep(step, outputs);
      this.beginStep(step.endsAt);
    }
    if (!this.step) this.beginStep(now);
    this.snapshot(now);
    return outputs;
  }

  /** Answers a control request. The fence is here: what it refuses has no effect. */
  applyControlRequest(request: EngineControlRequest, now: number): EngineControlResult {
    if (request.kind === 'report') return { kind: 'report', report: this.report(now) };
    if (request.epoch < this.epoch) return this.fenced();
    if (request.kind === 'seal') {
      if (request.epoch > this.epoch) this.sequence = 0;
      this.epoch = request.epoch;
      return { kind: 'report', report: this.report(now) };
    }
    if (request.epoch !== this.epoch || now > request.expiresAtClockMs) return this.fenced();
    if (request.sequence === this.sequence) return { kind: 'report', report: this.report(now) };
    if (request.sequence !== this.sequence + 1) return this.fenced();
    return this.obey(request, now);
  }

  private obey(request: Extract<EngineControlRequest, { kind: 'order' }>, now: number): EngineControlResult {
    const { action } = request;
    const hot = action.kind === 'change' && this.isHot(action.assignment);
    const applicable =
      (action.kind === 'drain' && this.phase === 'active') ||
      (action.kind === 'resume' && this.phase === 'draining') ||
      (action.kind === 'change' &&
        ((this.phase === 'draining' && this.streams.size === 0) || (hot && this.phase === 'active')));
    if (!applicable) return { kind: 'notApplicable', report: this.report(now) };
    this.sequence = request.sequence;
    if (action.kind === 'drain') this.phase = 'draining';
    if (action.kind === 'resume') this.phase = 'active';
    if (action.kind === 'change' && hot) {
      this.adapterLoad = { assignment: action.assignment, endsAt: now + this.settings.adapterLoadMs };
    } else if (action.kind === 'change') this.beginChange(action.assignment, now);
    return { kind: 'report', report: this.report(now) };
  }

  private beginChange(assignment: EngineAssignment, now: number): void {
    const sameModel =
      assignment.model === this.assignment.model && assignment.version === this.assignment.version;
    const duration = sameModel ? this.settings.roleChangeMs : this.settings.modelLoadMs;
    this.assignment = assignment;
    this.phase = 'changing';
    this.changeEndsAt = now + duration;
    this.changes += 1;
    if (!sameModel) this.prefixes.clear();
  }

  private isHot(target: EngineAssignment): boolean {
    const { role, model, version, adapters } = this.assignment;
    const same = role === target.role && model === target.model && version === target.version;
    return same && adapters.every((adapter) => target.adapters.includes(adapter));
  }

  private fenced(): EngineControlResult {
    return { kind: 'fenced', epoch: this.epoch, sequence: this.sequence };
  }

  private refusalFor(work: EngineWork): EngineRefusal | undefined {
    if (this.phase !== 'active') return this.phase;
    const { assignment } = this;
    const adapterMissing = work.adapter !== '' && !assignment.adapters.includes(work.adapter);
    if (assignment.model !== work.model || assignment.version !== work.version || adapterMissing)
      return 'wrong-assignment';
    if (work.stage === 'generate' && assignment.role === 'prefill') return 'wrong-assignment';
    if (this.streams.size >= this.settings.maximumStreams[assignment.role] + QUEUE_ALLOWANCE) return 'full';
    return undefined;
  }

  private rememberPrefix(prefixKey: string): void {
    this.prefixes.delete(prefixKey);
    this.prefixes.set(prefixKey, true);
    if (this.prefixes.size <= this.settings.cachedPrefixes) return;
    const oldest = this.prefixes.keys().next();
    if (!oldest.done) this.prefixes.delete(oldest.value);
  }

  private beginStep(now: number): void {
    if (this.step || this.streams.size === 0) return;
    const { role } = this.assignment;
    const ready = [...this.streams.values()].filter((stream) => stream.readyAt <= now);
    if (ready.length === 0) return;
    ready.sort((left, right) => left.work.priority - right.work.priority || left.order - right.order);
    const running = ready.slice(0, this.settings.maximumStreams[role]);
    const prefill = new Map<Stream, number>();
    let chunk = this.settings.prefillChunk[role];
    for (const stream of running) {
      if (stream.prefillLeft === 0 || chunk === 0) continue;
      const share = Math.min(stream.prefillLeft, chunk);
      prefill.set(stream, share);
      chunk -= share;
    }
    const decode = running.filter((stream) => stream.prefillLeft === 0);
    const promptTokens = this.settings.prefillChunk[role] - chunk;
    const { stepBaseMs, stepPerStreamMs, stepPerPromptTokenMs } = this.settings;
    const duration = stepBaseMs + decode.length * stepPerStreamMs + promptTokens * stepPerPromptTokenMs;
    this.step = { endsAt: now + duration * this.slowFactor, prefill, decode };
  }

  private finishStep(step: Step, outputs: EngineOutput[]): void {
    for (const [stream, tokens] of step.prefill) {
      if (!this.isLive(stream)) continue;
      stream.prefillLeft -= tokens;
      if (stream.prefillLeft > 0) continue;
      if (stream.work.stage === 'prefill') this.exportKv(stream, step.endsAt, outputs);
      else this.makeToken(stream, outputs);
    }
    for (const stream of step.decode) if (this.isLive(stream)) this.makeToken(stream, outputs);
  }

  private isLive(stream: Stream): boolean {
    return this.streams.get(stream.work.attemptId) === stream;
  }

  private exportKv(stream: Stream, now: number, outputs: EngineOutput[]): void {
    const { attemptId } = stream.work;
    this.streams.delete(attemptId);
    this.kv.set(attemptId, now + this.settings.kvRetentionMs);
    for (const [handle, expiresAt] of this.kv) if (expiresAt <= now) this.kv.delete(handle);
    outputs.push({ kind: 'prefilled', attemptId, handle: attemptId });
  }

  private makeToken(stream: Stream, outputs: EngineOutput[]): void {
    const { attemptId, maximumTokens } = stream.work;
    outputs.push({ kind: 'tokens', attemptId, offset: stream.nextOffset, count: 1 });
    stream.nextOffset += 1;
    if (stream.nextOffset < maximumTokens) return;
    this.streams.delete(attemptId);
    outputs.push({ kind: 'end', attemptId, tokens: stream.nextOffset });
  }

  private report(now: number): EngineReport {
    this.snapshot(now);
    const lagged = this.laggedLoad(now);
    return {
      assignment: this.assignment,
      phase: this.phase,
      streams: lagged.streams,
      maximumStreams: this.settings.maximumStreams[this.assignment.role],
      waitingPrefillTokens: lagged.waitingPrefillTokens,
      cachedShare: this.cachedShare,
      capability: getCapability(this.settings),
      clockMs: now,
      epoch: this.epoch,
      sequence: this.sequence,
    };
  }

  private laggedLoad(now: number): LoadSnapshot {
    const due = now - this.settings.reportLagMs;
    for (let index = this.snapshots.length - 1; index >= 0; index -= 1) {
      if (this.snapshots[index].at <= due) return this.snapshots[index];
    }
    return this.snapshots[0];
  }

  private snapshot(now: number): void {
    const last = this.snapshots[this.snapshots.length - 1];
    if (now - last.at < this.settings.reportLagMs / 4) return;
    let waitingPrefillTokens = 0;
    for (const stream of this.streams.values()) waitingPrefillTokens += stream.prefillLeft;
    this.snapshots.push({ at: now, streams: this.streams.size, waitingPrefillTokens });
    if (this.snapshots.length > 16) this.snapshots = this.snapshots.slice(-8);
  }
}

const WORDS = [
  'low',
  'risk',
  'grade',
  'crop',
  'season',
  'claim',
  'cover',
  'rate',
  'field',
  'term',
  'sum',
  'note',
];

/**
 * The text of a token: it depends on the prompt and the position alone, so that a resumed answer goes on
 * rightly.
 */
export function formatToken(promptHash: number, offset: number): string {
  const mixed = Math.imul(promptHash ^ (offset + 1), 2654435761) >>> 0;
  return ` ${WORDS[mixed % WORDS.length]}${offset}`;
}
