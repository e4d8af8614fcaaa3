/** Callers of a simulation: open-loop arrivals and checks of every answer. */
import { formatToken } from '../lab/engine-model.js';
import type { ServiceRow } from '../src/configuration/service-row.js';
import type { CompletionDaemonEffect } from '../src/daemon/completion-messages.js';
import { exponential, SeededRandom } from '../src/shared/random.js';
import { hashText } from '../src/shared/rendezvous-hash.js';
import type { DaemonNode, SimulatedSite } from './simulated-site.js';

/** A stream of completions of one service. */
interface CompletionLoad {
  readonly service: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Arrivals a second at a time in milliseconds since the start. */
  readonly perSecond: (atMs: number) => number;
  /** Lengths vary evenly around their mean by this share. Default 0.5. */
  readonly lengthSpread?: number;
}

/** A stream of application calls of one service. */
interface CallLoad {
  readonly service: string;
  readonly perSecond: number;
  /** Chance that the caller repeats a call whose outcome is unknown, with the same key. */
  readonly retryChance: number;
}

interface OpenRequest {
  readonly node: DaemonNode;
  readonly service: string;
  readonly prompt: string;
  readonly outputTokens: number;
  texts: string[];
  count: number;
  readonly key: string | undefined;
  readonly repeats: number;
}

/** What became of the requests. */
export interface WorkloadCounts {
  sent: number;
  whole: number;
  failed: Map<string, number>;
  /** Requests whose daemon was killed, so that their callers saw the connection break. */
  lostWithDaemon: number;
  unconnected: number;
}

const DEFAULT_LENGTH_SPREAD = 0.5;
const CALLER_DELAY_MS = 4;
/** A stream without arrivals looks again after so long. Milliseconds. */
const IDLE_STREAM_MS = 1000;
const MAXIMUM_REPEATS = 3;

/** Sends load into a simulated site and checks what comes back. */
export class Workload {
  readonly counts: WorkloadCounts = {
    sent: 0,
    whole: 0,
    failed: new Map(),
    lostWithDaemon: 0,
    unconnected: 0,
  };
  /** Failures that a caller of a planned stop would see as cut. */
  brokenStreams = 0;
  private readonly open = new Map<string, OpenRequest>();
  private readonly rows: ReadonlyMap<string, ServiceRow>;
  private readonly random: SeededRandom;
  private serial = 0;
  private stopped = false;

  constructor(
    private readonly site: SimulatedSite,
    services: readonly ServiceRow[],
    seed: number,
  ) {
    this.rows = new Map(services.map((row) => [row.name, row]));
    this.random = new SeededRandom(seed);
    site.onReply((node, effect) => this.reply(node, effect));
  }

  /** Starts a stream of completions. Arrivals do not depend on how the site does. */
  addCompletions(load: CompletionLoad): void {
    const random = new SeededRandom(this.random.below(2 ** 30));
    const next = (): void => {
      if (this.stopped) return;
      const rate = load.perSecond(this.site.time.now());
      const wait = rate > 0 ? exponential(random, 1000 / rate) : IDLE_STREAM_MS;
      this.site.time.after(wait, () => {
        if (rate > 0 && !this.stopped) this.sendCompletion(load, random);
        next();
      });
    };
    next();
  }

  /** Starts a stream of application calls. */
  addCalls(load: CallLoad): void {
    const random = new SeededRandom(this.random.below(2 ** 30));
    const next = (): void => {
      if (this.stopped) return;
      this.site.time.after(exponential(random, 1000 / load.perSecond), () => {
        if (!this.stopped) this.sendCall(load, random, undefined, 0);
        next();
      });
    };
    next();
  }

  /** No more arrivals. */
  stop(): void {
    this.stopped = true;
  }

  /** Requests without an answer yet. */
  getOpenRequestCount(): number {
    return this.open.size;
  }

  /** A daemon's process is gone: its callers see their connections break. */
  onDaemonKilled(node: DaemonNode): void {
    for (const [requestId, request] of [...this.open]) {
      if (request.node !== node) continue;
      this.open.delete(requestId);
      this.counts.lostWithDaemon += 1;
      if (request.key !== undefined) this.repeatCall(request);
    }
  }

  private chooseDaemon(random: SeededRandom): DaemonNode | undefined {
    const ready = this.site.getReadyDaemons();
    return ready.length === 0 ? undefined : ready[random.below(ready.length)];
  }

  private sendCompletion(load: CompletionLoad, random: SeededRandom): void {
    const spread = load.lengthSpread ?? DEFAULT_LENGTH_SPREAD;
    const vary = (mean: number): number =>
      Math.max(1, Math.round(mean * (1 - spread + 2 * spread * random.next())));
    const promptTokens = vary(load.promptTokens);
    const outputTokens = vary(load.outputTokens);
    const target = this.arrived(random);
    if (!target) return;
    const { node, requestId } = target;
    const prompt = `${load.service} prompt ${this.serial}`;
    this.open.set(requestId, {
      node,
      service: load.service,
      prompt,
      outputTokens,
      texts: [],
      count: 0,
      key: undefined,
      repeats: 0,
    });
    this.site.time.after(CALLER_DELAY_MS, () => {
      this.checkAdmission(node);
      this.site.deliver(node, {
        kind: 'submitCompletion',
        request: {
          requestId,
          service: load.service,
          prompt: { text: prompt, tokens: promptTokens, prefixKey: load.service },
          maximumTokens: outputTokens,
          receivedAt: this.site.time.now(),
          timeoutMs: undefined,
        },
      });
    });
  }

  private sendCall(load: CallLoad, random: SeededRandom, key: string | undefined, repeats: number): void {
    const target = this.arrived(random);
    if (!target) return;
    const { node, requestId } = target;
    const once = this.rows.get(load.service)?.repeatable === false;
    const idempotencyKey = key ?? `key-${this.serial}`;
    const repeatable = once && random.next() < load.retryChance;
    if (once) this.site.monitor.addOnceCall(requestId, idempotencyKey);
    this.open.set(requestId, {
      node,
      service: load.service,
      prompt: '',
      outputTokens: 0,
      texts: [],
      count: 0,
      key: repeatable ? idempotencyKey : undefined,
      repeats,
    });
    this.site.time.after(CALLER_DELAY_MS, () => {
      const receivedAt = this.site.time.now();
      this.site.deliver(node, {
        kind: 'submitApplication',
        call: { requestId, service: load.service, idempotencyKey, receivedAt, timeoutMs: undefined },
      });
    });
  }

  private arrived(random: SeededRandom): { node: DaemonNode; requestId: string } | undefined {
    this.counts.sent += 1;
    this.serial += 1;
    const node = this.chooseDaemon(random);
    if (!node) {
      this.counts.unconnected += 1;
      return undefined;
    }
    return { node, requestId: `request-${this.serial}` };
  }

  /**
   * An admission at an old revision is a broken promise; whether the daemon admits is seen from its
   * readiness.
   */
  private checkAdmission(node: DaemonNode): void {
    if (!node.alive || node.pausedSince !== undefined) return;
    if (!node.daemon.readiness(this.site.time.now()).ready) return;
    this.site.monitor.onRequestAdmitted(
      node.id,
      node.daemon.configurationRevision(),
      this.site.platform.serviceCommits,
    );
  }

  private reply(_node: DaemonNode, effect: CompletionDaemonEffect): void {
    switch (effect.kind) {
      case 'replyTokens':
        this.tokens(effect.requestId, effect.offset, effect.texts);
        break;
      case 'replyEnd':
        this.ended(effect.requestId, effect.tokens);
        break;
      case 'replyApplication':
        this.answered(effect.requestId);
        break;
      case 'replyFailed':
        this.failed(effect.requestId, effect.error.code, effect.tokensSent);
        this.site.monitor.onFailureAnswered(effect.requestId, effect.error.notRun, effect.error.code);
        break;
      default:
        break;
    }
  }

  private tokens(requestId: string, offset: number, texts: readonly string[]): void {
    const request = this.open.get(requestId);
    if (!request) return;
    if (offset !== request.count)
      this.site.monitor.addViolation('whole-answer', `${requestId} got offset ${offset} at ${request.count}`);
    request.count += texts.length;
    request.texts.push(...texts);
  }

  private ended(requestId: string, tokens: number): void {
    const request = this.open.get(requestId);
    if (!request) return;
    this.open.delete(requestId);
    const complete = tokens === request.outputTokens && request.count === tokens;
    if (!complete)
      this.site.monitor.addViolation(
        'whole-answer',
        `${requestId} ended with ${request.count} of ${request.outputTokens}`,
      );
    this.checkTexts(requestId, request);
    this.counts.whole += 1;
  }

  private checkTexts(requestId: string, request: OpenRequest): void {
    const promptHash = hashText(request.prompt);
    const wrong = request.texts.findIndex((text, index) => text !== formatToken(promptHash, index));
    if (wrong >= 0)
      this.site.monitor.addViolation('whole-answer', `${requestId} has a foreign token at ${wrong}`);
  }

  private answered(requestId: string): void {
    const request = this.open.get(requestId);
    if (!request) return;
    this.open.delete(requestId);
    this.counts.whole += 1;
  }

  private failed(requestId: string, code: string, tokensSent: number): void {
    const request = this.open.get(requestId);
    this.open.delete(requestId);
    this.counts.failed.set(code, (this.counts.failed.get(code) ?? 0) + 1);
    if (tokensSent > 0) this.brokenStreams += 1;
    if (request?.key !== undefined) this.repeatCall(request);
  }

  private repeatCall(request: OpenRequest): void {
    if (request.repeats >= MAXIMUM_REPEATS) return;
    const load: CallLoad = { service: request.service, perSecond: 0, retryChance: 1 };
    this.site.time.after(500, () => this.sendCall(load, this.random, request.key, request.repeats + 1));
  }
}
