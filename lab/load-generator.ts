/**
 * Sends an open-loop load to daemons and checks every answer. Latencies count from the time at which a
 * request was due, so a slow system cannot hide by slowing the load (no coordinated omission).
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';
import { exponential, type RandomSource } from '../src/shared/random.js';
import { hashText } from '../src/shared/rendezvous-hash.js';
import { formatToken } from './engine-model.js';
import { findFailedConnection } from './sent-requests.js';

/** Load of completions for one service during a phase. Rates a second, targets in milliseconds. */
export interface LoadClass {
  readonly service: string;
  readonly perSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/** Load of application calls for one service during a phase. */
interface CallClass {
  readonly service: string;
  readonly perSecond: number;
}

/** A period of constant load. */
export interface LoadPhase {
  readonly seconds: number;
  readonly classes: readonly LoadClass[];
  readonly calls: readonly CallClass[];
}

/** Counts and latencies of one service. */
export class ServiceResult {
  sent = 0;
  complete = 0;
  withinTargets = 0;
  readonly refused = new Map<string, number>();
  /** Streams that ended without the final event, for example with a typed error. */
  broken = 0;
  /** Answers that ended as complete but had the wrong text. Must stay 0. */
  wrong = 0;
  /** Requests without any HTTP answer. */
  unanswered = 0;
  readonly firstToken: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000 });
  readonly betweenTokens: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000 });

  /** Counts a request without any HTTP answer, and logs the error on standard error. */
  addUnanswered(error: unknown): void {
    this.unanswered += 1;
    const { code = 'unknown', message } = error as Error & { code?: string };
    const connection = findFailedConnection(error as Error) ?? 'no connection';
    process.stderr.write(`load: no answer: ${code}: ${message} on ${connection}\n`);
  }

  /** Counts a refusal by its problem code. */
  addRefusal(code: string): void {
    this.refused.set(code, (this.refused.get(code) ?? 0) + 1);
  }
}

const CHARACTERS_PER_TOKEN = 4;
const MAXIMUM_RECONNECTS = 6;

/** Makes a prompt of the given length; all prompts of a service have the same prefix. */
function makePrompt(service: string, tokens: number, serial: number): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  const head = `[${service}] ${'shared instructions of the service. '.repeat(8)}`;
  const tail = ` #${serial}`;
  const body = 'policy file line; '.repeat(Math.max(0, Math.ceil((length - head.length - tail.length) / 18)));
  return (head + body).slice(0, Math.max(1, length - tail.length)) + tail;
}

/** Sends the load of each phase and collects the results by service. */
export class LoadGenerator {
  readonly results = new Map<string, ServiceResult>();
  private readonly agent = new Agent({
    connections: null,
    connect: { timeout: 1000 },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private readonly inFlight = new Set<Promise<void>>();
  private serial = 0;

  /** @param callers caller addresses of daemons; one that refuses connections is skipped */
  constructor(
    private readonly callers: readonly string[],
    private readonly random: RandomSource,
  ) {}

  /** Runs the phases in order, then waits for the last answers. */
  async run(phases: readonly LoadPhase[]): Promise<void> {
    for (const phase of phases) await this.runPhase(phase);
    while (this.inFlight.size > 0) await Promise.all([...this.inFlight]);
    await this.agent.close();
  }

  /** The result of a service; a new one if it has none yet. */
  getResult(service: string): ServiceResult {
    let result = this.results.get(service);
    if (!result) {
      result = new ServiceResult();
      this.results.set(service, result);
    }
    return result;
  }

  private async runPhase(phase: LoadPhase): Promise<void> {
    const startedAt = performance.now();
    const endsAt = startedAt + phase.seconds * 1000;
    const arrivals = [
      ...phase.classes.map((load) =>
        this.sendArrivals(load.perSecond, startedAt, endsAt, (dueAt) => this.sendCompletion(load, dueAt)),
      ),
      ...phase.calls.map((call) =>
        this.sendArrivals(call.perSecond, startedAt, endsAt, () => this.sendCall(call)),
      ),
    ];
    await Promise.all(arrivals);
  }

  private async sendArrivals(
    perSecond: number,
    startedAt: number,
    endsAt: number,
    send: (dueAt: number) => Promise<void>,
  ): Promise<void> {
    if (perSecond <= 0) return;
    let dueAt = startedAt;
    for (;;) {
      dueAt += exponential(this.random, 1000 / perSecond);
      if (dueAt >= endsAt) break;
      const wait = dueAt - performance.now();
      if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
      const running = send(dueAt);
      this.inFlight.add(running);
      void running.finally(() => this.inFlight.delete(running));
    }
    const remainingMs = endsAt - performance.now();
    if (remainingMs > 0) await new Promise((resolve) => setTimeout(resolve, remainingMs));
  }

  private async sendCompletion(load: LoadClass, dueAt: number): Promise<void> {
    const result = this.getResult(load.service);
    result.sent += 1;
    this.serial += 1;
    const prompt = makePrompt(load.service, load.promptTokens, this.serial);
    const body = JSON.stringify({ model: load.service, prompt, max_tokens: load.outputTokens, stream: true });
    try {
      const response = await this.send('/v1/completions', body, {});
      if (response.statusCode !== 200) {
        result.addRefusal(parseProblemCode(await response.body.text()));
        return;
      }
      await this.readAnswer(response.body, prompt, load, dueAt, result);
    } catch (error) {
      result.addUnanswered(error);
    }
  }

  private async readAnswer(
    body: AsyncIterable<Buffer>,
    prompt: string,
    load: LoadClass,
    dueAt: number,
    result: ServiceResult,
  ): Promise<void> {
    const decoder = new TextDecoder();
    let received = '';
    let firstAt: number | undefined;
    for await (const chunk of body) {
      firstAt ??= performance.now();
      received += decoder.decode(chunk, { stream: true });
    }
    const lastAt = performance.now();
    if (!received.endsWith('data: [DONE]\n\n')) {
      result.broken += 1;
      return;
    }
    const promptHash = hashText(prompt);
    const expected = Array.from({ length: load.outputTokens }, (_, index) =>
      formatToken(promptHash, index),
    ).join('');
    if (parseStreamText(received) !== expected) {
      result.wrong += 1;
      return;
    }
    result.complete += 1;
    const firstTokenMs = (firstAt ?? lastAt) - dueAt;
    const betweenTokensMs = (lastAt - (firstAt ?? lastAt)) / Math.max(1, load.outputTokens - 1);
    result.firstToken.recordValue(Math.max(1, Math.round(firstTokenMs)));
    result.betweenTokens.recordValue(Math.max(1, Math.round(betweenTokensMs)));
    if (firstTokenMs <= load.firstTokenTargetMs && betweenTokensMs <= load.betweenTokensTargetMs)
      result.withinTargets += 1;
  }

  private async sendCall(call: CallClass): Promise<void> {
    const result = this.getResult(call.service);
    result.sent += 1;
    this.serial += 1;
    const key = `${call.service}-${this.serial}`;
    try {
      const response = await this.send(`/app/${call.service}/run`, JSON.stringify({ serial: this.serial }), {
        'idempotency-key': key,
      });
      const text = await response.body.text();
      if (response.statusCode === 200) {
        result.complete += 1;
        result.withinTargets += 1;
      } else result.addRefusal(parseProblemCode(text));
    } catch (error) {
      result.addUnanswered(error);
    }
  }

  /**
   * Sends to a random daemon. If the connection fails, tries the next ones in order, as a load balancer would.
   */
  private async send(
    path: string,
    body: string,
    headers: Record<string, string>,
  ): ReturnType<typeof request> {
    const first = this.random.below(this.callers.length);
    for (let attempt = 0; ; attempt += 1) {
      const address = this.callers[(first + attempt) % this.callers.length];
      try {
        return await request(`http://${address}${path}`, {
          method: 'POST',
          dispatcher: this.agent,
          headers: { 'content-type': 'application/json', ...headers },
          body,
        });
      } catch (error) {
        const { code } = error as { code?: string };
        const notSent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
        if (!notSent || attempt >= MAXIMUM_RECONNECTS) throw error;
      }
    }
  }
}

function parseStreamText(received: string): string {
  let text = '';
  for (const block of received.split('\n\n')) {
    if (!block.startsWith('data: {')) continue;
    const chunk = JSON.parse(block.slice('data: '.length)) as { choices: { text?: string }[] };
    text += chunk.choices[0].text ?? '';
  }
  return text;
}

function parseProblemCode(text: string): string {
  try {
    const { type } = JSON.parse(text) as { type: string };
    return type.slice(type.lastIndexOf(':') + 1);
  } catch {
    return 'unreadable';
  }
}
