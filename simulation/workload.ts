/** Callers of a simulation: sends requests in open-loop arrivals and checks every answer. */
import { formatToken } from '../lab/engine-model.js';
import type { ServiceRow } from '../src/configuration/service-row.js';
import type { CompletionDaemonEffect } from '../src/daemon/completion-messages.js';
import { exponential, SeededRandom } from '../src/shared/random.js';
import { hashText } from '../src/shared/rendezvous-hash.js';
import type { DaemonNode, SimulatedSite } from './simulated-site.js';

/** Arrivals of completion requests of one service. */
interface CompletionLoad {
  readonly service: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Arrivals per second, as a function of the virtual time in milliseconds. */
  readonly perSecond: (atMs: number) => number;
  /** Lengths are uniform within this share of their mean. Default 0.5. */
  readonly lengthSpread?: number;
}

/** Arrivals of application calls of one service. */
interface CallLoad {
  readonly service: string;
  readonly perSecond: number;
  /** Chance that the caller retries a call that may be executed once only, with the same key, when it fails. */
  readonly retryChance: number;
}

/** A request that has no final answer yet. */
interface OpenRequest {
  readonly node: DaemonNode;
  readonly service: string;
  readonly prompt: string;
  readonly outputTokens: number;
  texts: string[];
  /** Tokens received so far. */
  count: number;
  /** Idempotency key with which the caller retries a failed call; undefined if it does not. */
  readonly key: string | undefined;
  readonly retryCount: number;
}

/** Number of requests by outcome. */
export interface WorkloadCounts {
  sent: number;
  /** Complete answers. */
  whole: number;
  /** Failures, by error code. */
  failed: Map<string, number>;
  /** Requests whose daemon was killed, so that their callers saw the connection break. */
  lostWithDaemon: number;
  /** Requests that found no ready daemon. */
  unconnected: number;
}

const DEFAULT_LENGTH_SPREAD = 0.5;
/** One-way delay from callers to daemons. Milliseconds. */
const CALLER_DELAY_MS = 4;
/** Interval at which a load with rate 0 checks its rate again. Milliseconds. */
const IDLE_POLL_MS = 1000;
/** Retries of one call by its caller. */
const MAXIMUM_RETRIES = 3;

/** Sends load to a simulated site and checks the answers. */
export class Workload {
  readonly counts: WorkloadCounts = {
    sent: 0,
    whole: 0,
    failed: new Map(),
    lostWithDaemon: 0,
    unconnected: 0,
  };
  /** Streams that failed after tokens had been sent. */
  brokenStreams = 0;
  private readonly open = new Map<string, OpenRequest>();
  private readonly rows: ReadonlyMap<string, ServiceRow>;
  private readonly random: SeededRandom;
  private lastRequestNumber = 0;
  private stopped = false;

  constructor(
    private readonly site: SimulatedSite,
    services: readonly ServiceRow[],
    seed: number,
  ) {
    this.rows = new Map(services.map((row) => [row.name, row]));
    this.random = new SeededRandom(seed);
    site.onReply((node, effect) => this.onReply(node, effect));
  }

  /** Starts a load of completions. Arrivals do not depend on the site's answers. */
  addCompletions(load: CompletionLoad): void {
    const random = new SeededRandom(this.random.below(2 ** 30));
    const next = (): void => {
      if (this.stopped) return;
      const rate = load.perSecond(this.site.time.now());
      const wait = rate > 0 ? exponential(random, 1000 / rate) : IDLE_POLL_MS;
      this.site.time.after(wait, () => {
        if (rate > 0 && !this.stopped) this.sendCompletion(load, random);
        next();
      });
    };
    next();
  }

  /** Starts a load of application calls. */
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

  /** Ends all arrivals. */
  stop(): void {
    this.stopped = true;
  }

  /** Gets the number of requests without an answer yet. */
  getOpenRequestCount(): number {
    return this.open.size;
  }

  /** Breaks the connections of a killed daemon's callers, some of which retry their calls. */
  onDaemonKilled(node: DaemonNode): void {
    for (const [requestId, request] of [...this.open]) {
      if (request.node !== node) continue;
      this.open.delete(requestId);
      this.counts.lostWithDaemon += 1;
      if (request.key !== undefined) this.retryCall(request);
    }
  }

  private pickDaemon(random: SeededRandom): DaemonNode | undefined {
    const ready = this.site.getReadyDaemons();
    return ready.length === 0 ? undefined : ready[random.below(ready.length)];
  }

  private sendCompletion(load: CompletionLoad, random: SeededRandom): void {
    const spread = load.lengthSpread ?? DEFAULT_LENGTH_SPREAD;
    const drawLength = (mean: number): number =>
      Math.max(1, Math.round(mean * (1 - spread + 2 * spread * random.next())));
    const promptTokens = drawLength(load.promptTokens);
    const outputTokens = drawLength(load.outputTokens);
    const target = this.addRequest(random);
    if (!target) return;
    const { node, requestId } = target;
    const prompt = `${load.service} prompt ${this.lastRequestNumber}`;
    this.open.set(requestId, {
      node,
      service: load.service,
      prompt,
      outputTokens,
      texts: [],
      count: 0,
      key: undefined,
      retryCount: 0,
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

  private sendCall(load: CallLoad, random: SeededRandom, key: string | undefined, retryCount: number): void {
    const target = this.addRequest(random);
    if (!target) return;
    const { node, requestId } = target;
    const once = this.rows.get(load.service)?.repeatable === false;
    const idempotencyKey = key ?? `key-${this.lastRequestNumber}`;
    const willRetry = once && random.next() < load.retryChance;
    if (once) this.site.monitor.addOnceCall(requestId, idempotencyKey);
    this.open.set(requestId, {
      node,
      service: load.service,
      prompt: '',
      outputTokens: 0,
      texts: [],
      count: 0,
      key: willRetry ? idempotencyKey : undefined,
      retryCount,
    });
    this.site.time.after(CALLER_DELAY_MS, () => {
      const receivedAt = this.site.time.now();
      this.site.deliver(node, {
        kind: 'submitApplication',
        call: { requestId, service: load.service, idempotencyKey, receivedAt, timeoutMs: undefined },
      });
    });
  }

  private addRequest(random: SeededRandom): { node: DaemonNode; requestId: string } | undefined {
    this.counts.sent += 1;
    this.lastRequestNumber += 1;
    const node = this.pickDaemon(random);
    if (!node) {
      this.counts.unconnected += 1;
      return undefined;
    }
    return { node, requestId: `request-${this.lastRequestNumber}` };
  }

  /**
   * Reports the configuration revision at which the daemon admits a request to the monitor, which checks its age. A
   * daemon admits requests while it is ready.
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

  private onReply(_node: DaemonNode, effect: CompletionDaemonEffect): void {
    switch (effect.kind) {
      case 'replyTokens':
        this.onTokens(effect.requestId, effect.offset, effect.texts);
        break;
      case 'replyEnd':
        this.onEnd(effect.requestId, effect.tokens);
        break;
      case 'replyApplication':
        this.onAnswer(effect.requestId);
        break;
      case 'replyFailed':
        this.onFailure(effect.requestId, effect.error.code, effect.tokensSent);
        this.site.monitor.onFailureAnswered(effect.requestId, effect.error.notRun, effect.error.code);
        break;
      default:
        break;
    }
  }

  private onTokens(requestId: string, offset: number, texts: readonly string[]): void {
    const request = this.open.get(requestId);
    if (!request) return;
    if (offset !== request.count)
      this.site.monitor.addViolation('whole-answer', `${requestId} got offset ${offset} at ${request.count}`);
    request.count += texts.length;
    request.texts.push(...texts);
  }

  private onEnd(requestId: string, tokens: number): void {
    const request = this.open.get(requestId);
    if (!request) return;
    this.open.delete(requestId);
    const complete = tokens === request.outputTokens && request.count === tokens;
    if (!complete)
      this.site.monitor.addViolation(
        'whole-answer',
        `${requestId} ended with ${request.count} of ${request.outputTokens} tokens`,
      );
    this.checkTexts(requestId, request);
    this.counts.whole += 1;
  }

  private checkTexts(requestId: string, request: OpenRequest): void {
    const promptHash = hashText(request.prompt);
    const wrong = request.texts.findIndex((text, index) => text !== formatToken(promptHash, index));
    if (wrong >= 0)
      this.site.monitor.addViolation('whole-answer', `${requestId} has a wrong token at ${wrong}`);
  }

  private onAnswer(requestId: string): void {
    const request = this.open.get(requestId);
    if (!request) return;
    this.open.delete(requestId);
    this.counts.whole += 1;
  }

  private onFailure(requestId: string, code: string, tokensSent: number): void {
    const request = this.open.get(requestId);
    this.open.delete(requestId);
    this.counts.failed.set(code, (this.counts.failed.get(code) ?? 0) + 1);
    if (tokensSent > 0) this.brokenStreams += 1;
    if (request?.key !== undefined) this.retryCall(request);
  }

  private retryCall(request: OpenRequest): void {
    if (request.retryCount >= MAXIMUM_RETRIES) return;
    const load: CallLoad = { service: request.service, perSecond: 0, retryChance: 1 };
    this.site.time.after(500, () => this.sendCall(load, this.random, request.key, request.retryCount + 1));
  }
}
