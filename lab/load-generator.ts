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

/** What is sent of one service during a phase. */
export interface LoadClass {
  readonly service: string;
  readonly perSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstTokenTargetMs: number;
  readonly betweenTokensTargetMs: number;
}

/** Application calls of one service during a phase. */
interface CallClass {
  readonly service: string;
  readonly perSecond: number;
}

/** A stretch of constant load. */
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
  /** Answers that broke off with a typed error. */
  broken = 0;
  /** Answers that looked whole but were not right. Must stay 0. */
  wrong = 0;
  /** Requests without any HTTP answer. */
  unanswered = 0;
  readonly firstToken: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000 });
  readonly betweenTokens: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000 });

  /** Counts a request without any HTTP answer, and tells its reason on standard error. */
  addUnanswered(error: unknown): void {
    this.unanswered += 1;
    const { code = 'unknown', message } = error as Error & { code?: string };
    const connection = findFailedConnection(error as Error) ?? 'no connection';
    process.stderr.write(`load: no answer: ${code}: ${message} on ${connection}\n`);
  }

  addRefusal(code: string): void {
    this.refused.set(code, (this.refused.get(code) ?? 0) + 1);
  }
}

const CHARACTERS_PER_TOKEN = 4;
const ATTEMPTS_TO_CONNECT = 6;

/** Makes a prompt of the given length; its start is the same for all prompts of a service. */
function makePrompt(service: string, tokens: number, serial: number): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  const head = `[${service}] ${'shared instructions of the service. '.repeat(8)}`;
  const tail = ` #${serial}`;
  const body = 'policy file line; '.repeat(Math.max(0, Math.ceil((length - head.length - tail.length) / 18)));
  return (head + body).slice(0, Math.max(1, length - tail.length)) + tail;
}

/** The load generator. */
export class LoadGenerator {
  readonly results = new Map<string, ServiceResult>();
  private readonly agent = new Agent({
    connections: null,
    connect: { timeout: 1000 },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private readonly running = new Set<Promise<void>>();
  private serial = 0;

  /** @param callers caller addresses of daemons; one that refuses connections is passed over */
  constructor(
    private readonly callers: readonly string[],
    private readonly random: RandomSource,
  ) {}

  /** Runs the phases, then waits for the last answers. */
  async run(phases: readonly LoadPhase[]): Promise<void> {
    for (const phase of phases) await this.runPhase(phase);
    while (this.running.size > 0) await Promise.all([...this.running]);
    await this.agent.close();
  }

  /** The result of a service. */
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
        this.arrivals(load.perSecond, startedAt, endsAt, (dueAt) => this.complete(load, dueAt)),
      ),
      ...phase.calls.map((call) => this.arrivals(call.perSecond, startedAt, endsAt, () => this.call(call))),
    ];
    await Promise.all(arrivals);
  }

  private async arrivals(
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
      this.running.add(running);
      void running.finally(() => this.running.delete(running));
    }
    const rest = endsAt - performance.now();
    if (rest > 0) await new Promise((resolve) => setTimeout(resolve, rest));
  }

  private async complete(load: LoadClass, dueAt: number): Promise<void> {
    const result = this.getResult(load.service);
    result.sent += 1;
    this.serial += 1;
    const prompt = makePrompt(load.service, load.promptTokens, this.serial);
    const body = JSON.stringify({ model: load.service, prompt, max_tokens: load.outputTokens, stream: true });
    try {
      const response = await this.send('/v1/completions', body, {});
      if (response.statusCode !== 200) {
        result.addRefusal(problemCode(await response.body.text()));
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
    if (streamText(received) !== expected) {
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

  private async call(call: CallClass): Promise<void> {
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
      } else result.addRefusal(problemCode(text));
    } catch (error) {
      result.addUnanswered(error);
    }
  }

  /**
   * Sends to the daemons in turn; a daemon that cannot be connected to is passed over, as a balancer would.
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
        const unsent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
        if (!unsent || attempt >= ATTEMPTS_TO_CONNECT) throw error;
      }
    }
  }
}

function streamText(received: string): string {
  let text = '';
  for (const block of received.split('\n\n')) {
    if (!block.startsWith('data: {')) continue;
    const chunk = JSON.parse(block.slice('data: '.length)) as { choices: { text?: string }[] };
    text += chunk.choices[0].text ?? '';
  }
  return text;
}

function problemCode(text: string): string {
  try {
    const { type } = JSON.parse(text) as { type: string };
    return type.slice(type.lastIndexOf(':') + 1);
  } catch {
    return 'unreadable';
  }
}
