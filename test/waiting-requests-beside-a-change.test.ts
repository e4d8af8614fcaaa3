/**
 * Guards against requests that are left without an answer, or get two, because the configuration or the records of back
 * ends change while they wait for a permit, for their quota, for the origin of their stream, or beside a successor.
 */
import { expect } from 'chai';
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { LAB_STAGES } from '../lab/stage-settings.js';
import { ForwardingDaemon } from '../src/daemon/forwarding-daemon.js';
import { TICK_MS } from '../src/shared/tick-interval.js';
import { DEFAULT_FORWARDING_SETTINGS } from '../src/daemon/forwarding-daemon-settings.js';
import type { ForwardingEffect, ForwardingEvent } from '../src/daemon/forwarding-messages.js';
import type { RecordRead, StoredRecord } from '../src/fleet/record-store.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { RouteConfiguration } from '../src/forwarding/routes/route.js';
import { SeededRandom } from '../src/shared/random.js';

const SETTINGS = {
  ...DEFAULT_FORWARDING_SETTINGS,
  retries: { ratio: 0.2, slack: 200, windowMs: 10_000, firstStart: true },
  stages: LAB_STAGES,
  duties: undefined,
  quotas: { windowMs: 4000, overage: 0.2, slackTokens: 2 },
};
const SERVICES = ['service', 'other', 'renamed'];
const BACKENDS = ['b1', 'b2', 'b3', 'b4', 'b5', 'b6'];
const KINDS = ['idempotent', 'nonIdempotent', 'stream'] as const;
const LOAD_MS = 12_000;
const LONGEST_TIMEOUT_MS = 3000;
const CHANGE_INTERVAL_MS = 300;
/** The clock of a daemon that has open requests ticks at this interval; one more for events at the same time. */
const LATENESS_MS = 2 * TICK_MS;

/** Longest time until a request is sent or refused: for the origin of its stream, its quota and a permit. Milliseconds. */
const LONGEST_WAIT_MS = 1200 + 150 + 150;

/** A request, and what became of it. */
interface Play {
  readonly submittedAt: number;
  readonly deadlineAt: number;
  /** When it was first sent or answered. */
  decidedAt: number;
  answers: string[];
  answeredAt: number;
  isCancelled: boolean;
}

interface Node {
  readonly id: string;
  readonly address: string;
  readonly daemon: ForwardingDaemon;
}

/** Two daemons that share a store, their back ends and a network that delays and loses messages, in virtual time. */
class ChangingSite {
  now = 0;
  readonly plays = new Map<string, Play>();
  readonly faults: string[] = [];
  /** Requests that were given each answer, that waited, and that were moved off a stalled attempt. */
  readonly counts = new Map<string, number>();
  private readonly queue: [at: number, run: () => void][] = [];
  private readonly nodes: Node[];
  private readonly random: SeededRandom;
  private readonly records = new Map<string, StoredRecord>();
  private readonly ended = new Set<string>();
  private readonly whole = new Set<string>();
  private configuration: RouteConfiguration;
  private revision = 0;
  private requests = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.nodes = ['10.1.0.1:1', '10.1.0.2:1'].map((address, index) => {
      const identity = { id: `daemon-${index}`, address, zone: 'zone-a', region: 'main' };
      const seeds = index === 0 ? [] : ['10.1.0.1:1'];
      const daemon = new ForwardingDaemon(identity, seeds, SETTINGS, new SeededRandom(seed + index), 0);
      return { id: identity.id, address, daemon };
    });
    this.configuration = this.drawConfiguration();
    this.write({ collection: 'configuration', revision: 0, value: this.configuration });
    for (const id of BACKENDS) this.writeBackend(id);
    for (const node of this.nodes) this.every(TICK_MS, Infinity, () => this.tick(node));
  }

  /** Plays requests and changes, then waits until the last deadline. */
  run(): void {
    this.every(15, LOAD_MS, () => this.submit());
    this.every(CHANGE_INTERVAL_MS, LOAD_MS, () => this.change());
    while (this.now < LOAD_MS + LONGEST_TIMEOUT_MS + LATENESS_MS) this.step();
  }

  countOpen(): number {
    return this.nodes.reduce((sum, { daemon }) => sum + daemon.countOpenRequests(), 0);
  }

  private step(): void {
    let first = 0;
    for (let i = 1; i < this.queue.length; i += 1) if (this.queue[i][0] < this.queue[first][0]) first = i;
    const [[at, run]] = this.queue.splice(first, 1);
    this.now = at;
    run();
  }

  private after(ms: number, run: () => void): void {
    this.queue.push([this.now + ms, run]);
  }

  private every(ms: number, until: number, run: () => void): void {
    this.after(ms, () => {
      if (this.now > until) return;
      run();
      this.every(ms, until, run);
    });
  }

  private chance(share: number): boolean {
    return this.random.next() < share;
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[this.random.below(items.length)];
  }

  private tick(node: Node): void {
    this.handle(node, { kind: 'tick', wallMs: 1_800_000_000_000 + this.now });
  }

  private handle(node: Node, event: ForwardingEvent): void {
    for (const effect of node.daemon.handle(event, this.now)) this.perform(node, effect);
  }

  private perform(node: Node, effect: ForwardingEffect): void {
    switch (effect.kind) {
      case 'sendPeer': {
        const target = this.nodes.find(({ address }) => address === effect.address);
        if (!target || this.chance(0.05)) return;
        const { message } = effect;
        const delayMs = this.chance(0.2) ? this.random.below(200) : 2;
        const { id: fromId, address: fromAddress } = node;
        this.after(delayMs, () => this.handle(target, { kind: 'peerMessage', fromId, fromAddress, message }));
        break;
      }
      case 'readRecords':
        this.answerRead(node, effect.read, this.now + effect.read.waitMs);
        break;
      case 'startAttempt':
        this.playAttempt(node, effect.start);
        break;
      case 'abortAttempt':
        this.ended.add(effect.attemptId);
        break;
      case 'replyWhole':
        if (!this.whole.has(effect.attemptId) || this.ended.has(effect.attemptId))
          this.faults.push(`${effect.attemptId} has no answer to pass on`);
        this.addAnswer(effect.requestId, 'whole');
        break;
      case 'replyFailure':
        this.addAnswer(effect.requestId, effect.failure);
        break;
      case 'replyBroken':
        this.addAnswer(effect.requestId, 'cut');
        break;
      case 'decision':
        if (effect.event === 'request.attempt-superseded') this.count(effect.event);
        break;
      default:
        break;
    }
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  private addAnswer(id: string, answer: string): void {
    const play = this.plays.get(id) as Play;
    this.count(answer);
    if (play.isCancelled) this.faults.push(`${id} was answered after its caller had left`);
    play.answers.push(answer);
    play.answeredAt = this.now;
    play.decidedAt = Math.min(play.decidedAt, this.now);
  }

  private answerRead(node: Node, read: RecordRead, until: number): void {
    const { collection, after } = read;
    const records = [...this.records.values()].filter(
      (record) => record.collection === collection && record.revision > (after ?? -1),
    );
    if (after !== undefined && records.length === 0 && this.now < until) {
      this.after(10, () => this.answerRead(node, read, until));
      return;
    }
    const kind = after === undefined ? 'snapshot' : 'changes';
    const result = { kind, revision: this.revision, records, storeMs: this.now } as const;
    this.after(2, () => this.handle(node, { kind: 'recordsRead', collection, result }));
  }

  private write(record: StoredRecord): void {
    this.revision += 1;
    const key = record.collection === 'backends' ? record.id : record.collection;
    this.records.set(key, { ...record, revision: this.revision } as StoredRecord);
  }

  private writeBackend(id: string): void {
    const service = this.chance(0.5) ? 'service' : this.pick(SERVICES);
    const state = this.chance(0.9) ? 'ready' : 'draining';
    const record = makeLabBackend(id, `10.0.0.1:${id.slice(1)}`);
    const value = this.chance(0.9)
      ? { ...record, service, state, slots: 2 + this.random.below(8) }
      : undefined;
    this.write({ collection: 'backends', id, revision: 0, value } as StoredRecord);
  }

  private drawConfiguration(): RouteConfiguration {
    const names = SERVICES.filter(() => this.chance(0.7));
    const routes = KINDS.filter(() => this.chance(0.9)).map((kind) =>
      makeLabRoute({
        name: kind,
        pathPrefix: `/${kind}/`,
        kind,
        resumable: kind === 'stream' && this.chance(0.8),
        timeoutMs: this.pick([200, 1000, LONGEST_TIMEOUT_MS]),
        targetLatencyMs: this.pick([50, 1200]),
        targetGapMs: 50,
        maximumAttempts: this.pick([1, 2, 5]),
        targets: (names.length > 0 ? names : SERVICES).map((service) => ({ service, weight: 1 })),
      }),
    );
    const quota = { ratePerSecond: this.pick([0.5, 50, 500]), burst: 1, countsTokens: false, plainCost: 1 };
    const tenants = this.chance(0.3)
      ? null
      : [{ name: 't', keyDigests: ['k'], ...(this.chance(0.8) && { quota }) }];
    const base = makeLabConfiguration(this.revision + 1, routes, tenants);
    const services = names.map((name) => ({
      ...base.services[0],
      name,
      engine: undefined,
      maximumConnections: this.pick([1, 4, 100]),
    }));
    return { ...base, services };
  }

  private change(): void {
    if (this.chance(0.7)) {
      this.configuration = this.drawConfiguration();
      this.write({ collection: 'configuration', revision: 0, value: this.configuration });
    }
    if (this.chance(0.7)) this.writeBackend(this.pick(BACKENDS));
  }

  private submit(): void {
    const node = this.pick(this.nodes);
    this.requests += 1;
    const id = `r${this.requests}`;
    const path = `/${this.pick(KINDS)}/x`;
    const callerDeadlineMs = this.pick([150, 1000, LONGEST_TIMEOUT_MS]);
    this.plays.set(id, {
      submittedAt: this.now,
      deadlineAt: this.now + callerDeadlineMs,
      decidedAt: Infinity,
      answers: [],
      answeredAt: -Infinity,
      isCancelled: false,
    });
    const firstAttemptId = this.chance(0.8) ? `r${1 + this.random.below(this.requests)}` : undefined;
    const resumption = this.chance(0.15) ? { firstAttemptId, lastEventId: '1' } : undefined;
    const request = { id, callerId: id, host: 'site.example', path, arrivedAt: this.now, callerDeadlineMs };
    const rest = { prompt: undefined, keyDigest: 'k', resumption };
    this.handle(node, { kind: 'submit', request: { ...request, ...rest } });
    if (this.plays.get(id)?.decidedAt === Infinity) this.count('waited');
    if (this.chance(0.05)) this.after(this.random.below(500), () => this.cancel(node, id));
  }

  private cancel(node: Node, id: string): void {
    const play = this.plays.get(id) as Play;
    if (play.answers.length > 0) return;
    play.isCancelled = true;
    this.handle(node, { kind: 'cancel', requestId: id });
  }

  /** Plays one attempt: it may be refused, broken, silent for good, silent for a while, or sound. */
  private playAttempt(node: Node, start: AttemptStart): void {
    const { requestId, attemptId } = start;
    const play = this.plays.get(requestId) as Play;
    play.decidedAt = Math.min(play.decidedAt, this.now);
    const send = (atMs: number, event: ForwardAttemptEvent): void =>
      this.after(atMs, () => {
        if (this.ended.has(attemptId)) return;
        if (event.kind === 'whole') this.whole.add(attemptId);
        this.handle(node, { kind: 'attempt', requestId, attemptId, event });
        if (['unreachable', 'notExecuted', 'broken', 'whole'].includes(event.kind) && event.kind !== 'whole')
          this.ended.add(attemptId);
      });
    const limit = this.chance(0.1) ? { requestsPerSecond: this.pick([5, 50]) } : {};
    const signals = {
      unreadable: [],
      isLeaving: false,
      retryAfterMs: undefined,
      requestsPerSecond: undefined,
      ...limit,
    };
    if (start.reportSent) send(1, { kind: 'sent' });
    const fate = this.random.next();
    const endMs = 5 + this.random.below(fate < 0.7 ? 100 : 1500);
    if (fate < 0.05) send(endMs, { kind: 'unreachable', reason: 'refused' });
    else if (fate < 0.1)
      send(endMs, { kind: 'notExecuted', status: 503, wrongIncarnation: this.chance(0.1) });
    else if (fate < 0.15) return;
    else if (fate < 0.2) {
      send(300, { kind: 'connectionSilent' });
      send(endMs + 1000, { kind: 'broken', reason: 'reset' });
    } else if (!start.stream) {
      const status = this.chance(0.1) ? 500 : 200;
      send(
        endMs,
        this.chance(0.1) ? { kind: 'broken', reason: 'reset' } : { kind: 'whole', status, signals },
      );
    } else {
      send(5, { kind: 'streamStarted', signals });
      const pauseMs = this.chance(0.3) ? this.pick([400, 800]) : 0;
      for (let event = 1; event <= 5; event += 1)
        send(5 + (endMs * event) / 5 + (event > 2 ? pauseMs : 0), {
          kind: 'streamProgress',
          lastEventId: String(event),
        });
      send(
        endMs + pauseMs + 10,
        this.chance(0.1) ? { kind: 'broken', reason: 'reset' } : { kind: 'whole', status: 200, signals },
      );
    }
  }
}

describe('requests that wait while the configuration and the back ends change', () => {
  for (let seed = 1; seed <= 12; seed += 1)
    it(`get exactly one answer each, at the latest at their deadlines (seed ${seed})`, () => {
      const site = new ChangingSite(seed);
      site.run();
      const faults = [...site.faults];
      for (const [
        id,
        { answers, answeredAt, deadlineAt, isCancelled, submittedAt, decidedAt },
      ] of site.plays) {
        if (answers.length !== (isCancelled ? 0 : 1)) faults.push(`${id}: ${answers.join() || 'no answer'}`);
        if (!isCancelled && decidedAt - submittedAt > LONGEST_WAIT_MS + LATENESS_MS)
          faults.push(`${id}: waited ${decidedAt - submittedAt} ms`);
        if (answeredAt > deadlineAt + LATENESS_MS) faults.push(`${id}: ${answeredAt - deadlineAt} ms late`);
      }
      expect(faults).to.deep.equal([]);
      expect(site.countOpen()).to.equal(0);
      expect(site.counts).to.include.keys('waited', 'whole', 'backend-limit', 'over-quota');
    });
});
