/**
 * A random run of a fleet of forwarding daemons in virtual time, with callers, back ends that answer, and
 * faults.
 */
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { DutyModel } from '../lab/duty-model.js';
import { FLEET_SETTINGS, ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import { DEFAULT_CAPACITY_DEMAND_SETTINGS } from '../src/capacity/capacity-demand.js';
import { DEFAULT_CAPACITY_MANAGER_SETTINGS } from '../src/capacity/capacity-manager.js';
import { DEFAULT_CAPACITY_PLANNER_SETTINGS } from '../src/capacity/capacity-planner.js';
import { ForwardingDaemon } from '../src/daemon/forwarding-daemon.js';
import type { ForwardingDaemonSettings } from '../src/daemon/forwarding-daemon-settings.js';
import type { ForwardingEffect } from '../src/daemon/forwarding-messages.js';
import type { DutySettings } from '../src/duties/duty-manager.js';
import { DEFAULT_USAGE_REPORTER_SETTINGS } from '../src/duties/usage-reporter.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { PromptOutline } from '../src/forwarding/forward-request.js';
import type { BackendRecord, Route, RouteConfiguration, Tenant } from '../src/forwarding/routes/route.js';
import { SeededRandom } from '../src/shared/random.js';
import { EffectsDigest, FORWARDING_LABELS } from './effects-digest.js';
import { watchEffects } from './watch-effects.js';

const FLEET_START_MS = 4000;
const RUN_MS = 30_000;
const STEP_MS = 10;
const REQUESTS_PER_STEP = 0.6;
const FAULT_PROBABILITY = 0.012;
const TENANTS: Tenant[] = ['anna', 'bert', 'cleo'].map((name, index) => ({
  name,
  keyDigests: [`key of ${name}`],
  priority: index === 2 ? 2 : undefined,
  quota: { ratePerSecond: 4000 + 2000 * index, burst: 9000, countsTokens: index !== 1, plainCost: 300 },
}));
const ROUTES: Route[] = [
  makeLabRoute({ name: 'plain', pathPrefix: '/a/', targets: [{ service: 'plain', weight: 1 }] }),
  makeLabRoute({
    name: 'once',
    pathPrefix: '/n/',
    kind: 'nonIdempotent',
    targets: [{ service: 'plain', weight: 1 }],
  }),
  makeLabRoute({
    name: 'stream',
    pathPrefix: '/s/',
    kind: 'stream',
    resumable: true,
    maximumAttempts: 3,
    targetLatencyMs: 500,
    timeoutMs: 4000,
  }),
  makeLabRoute({
    name: 'split',
    pathPrefix: '/w/',
    kind: 'stream',
    priority: 2,
    targets: [
      { service: 'service', weight: 3 },
      { service: 'plain', weight: 1 },
    ],
  }),
];

function makeDuties(fenced: boolean): DutySettings {
  return {
    lease: { durationMs: 3600, renewIntervalMs: 1200, marginMs: 600 },
    takeoverWaitMs: fenced ? 0 : 1000,
    reportsUsage: true,
    ordersServers: true,
    usage: { ...DEFAULT_USAGE_REPORTER_SETTINGS, windowMs: 5000, dueMs: 10_000 },
    capacity: { ...DEFAULT_CAPACITY_MANAGER_SETTINGS, planner: DEFAULT_CAPACITY_PLANNER_SETTINGS },
    demand: DEFAULT_CAPACITY_DEMAND_SETTINGS,
  };
}

/** A run whose load, faults and settings depend on the seed. */
export class RandomFleetRun {
  readonly digest = new EffectsDigest(FORWARDING_LABELS);
  private readonly random: SeededRandom;
  private readonly regions: number;
  private readonly fleet: ForwardingFleet;
  private readonly partitionedNodes = new Set<FleetNode>();
  private readonly stoppedAddresses = new Set<string>();
  private readonly orders = new Map<string, { stage: 'prefill' | 'decode'; count: number }>();
  private readonly backends = new Map<string, BackendRecord>();
  private version = 0;
  private requestCount = 0;

  constructor(private readonly seed: number) {
    this.random = new SeededRandom(seed * 7919);
    this.regions = seed % 4 === 3 ? 2 : 1;
    const duties = seed % 5 === 4 ? undefined : new DutyModel(seed % 2 === 0, 3000);
    this.fleet = new ForwardingFleet(3 + (seed % 5), seed, this.makeSettings(), duties, this.regions);
    this.fleet.isLinked = (from, to) => this.partitionedNodes.has(from) === this.partitionedNodes.has(to);
    this.fleet.isListening = (address) => !this.stoppedAddresses.has(address);
  }

  /** Executes the run. */
  run(): void {
    watchEffects(
      ForwardingDaemon,
      this.digest,
      () => this.runSteps(),
      (daemon, effects) => {
        const node = this.fleet.nodes.find((candidate) => candidate.daemon === daemon);
        if (node) for (const effect of effects as ForwardingEffect[]) this.answerEffect(node, effect);
      },
    );
  }

  private makeSettings(): ForwardingDaemonSettings {
    const zones = Array.from({ length: 4 }, (_, index) => [`zone-${index}`, `region-${index % 2}`] as const);
    return {
      ...FLEET_SETTINGS,
      retries: { ...FLEET_SETTINGS.retries, firstStart: this.seed % 2 === 1 },
      duties: this.seed % 5 === 4 ? undefined : makeDuties(this.seed % 2 === 0),
      quotas: this.seed % 3 === 0 ? undefined : { windowMs: 5000, overage: 0.1, slackTokens: 20_000 },
      regionByZone: this.regions === 1 ? {} : Object.fromEntries(zones),
    };
  }

  private runSteps(): void {
    this.writeConfiguration();
    for (let index = 0; index < 4; index += 1) this.startBackend(`p${index}`, undefined);
    for (let index = 0; index < 6; index += 1)
      this.startBackend(`e${index}`, index % 3 === 0 ? 'prefill' : 'decode');
    this.fleet.time.runUntil(FLEET_START_MS);
    for (let at = FLEET_START_MS; at < RUN_MS; at += STEP_MS) {
      this.fleet.time.runUntil(at);
      if (this.random.next() < REQUESTS_PER_STEP) this.sendRequest();
      if (this.random.next() < FAULT_PROBABILITY) this.injectFault();
    }
    this.fleet.time.runUntil(RUN_MS + 5000);
  }

  private writeConfiguration(): void {
    this.version += 1;
    const base = makeLabConfiguration(this.version, ROUTES, this.seed % 2 === 0 ? TENANTS : null);
    const value: RouteConfiguration = {
      ...base,
      services: [
        {
          ...base.services[0],
          scaling: {
            min: 2,
            max: 9,
            bootMs: 2000,
            spotPrice: 0.4,
            zonePrices: { 'zone-0': 1, 'zone-1': 1.2 },
          },
        },
        { name: 'plain', healthPath: '/healthz', maximumConnections: 40 + this.version },
      ] as RouteConfiguration['services'],
    };
    this.fleet.write({ collection: 'configuration', revision: 0, value });
  }

  private startBackend(id: string, stage: 'prefill' | 'decode' | undefined): void {
    const index = this.backends.size;
    const previous = this.backends.get(id);
    const value: BackendRecord = {
      ...makeLabBackend(id, previous?.address ?? `10.1.0.${index}:80`),
      service: stage ? 'service' : 'plain',
      zone: `zone-${Number(id.slice(1)) % (this.regions === 1 ? 3 : 4)}`,
      stage,
      isSpot: id === 'e5',
      bornMs: Math.round(this.fleet.time.now()),
    };
    this.stoppedAddresses.delete(value.address);
    this.backends.set(id, value);
    this.fleet.write({ collection: 'backends', id, revision: 0, value });
  }

  private pick<Value>(values: readonly Value[]): Value {
    return values[Math.floor(this.random.next() * values.length)];
  }

  private sendRequest(): void {
    this.requestCount += 1;
    const node = this.pick(this.fleet.nodes);
    const route = this.pick(['/a/x', '/n/x', '/s/x', '/s/x', '/s/x', '/w/x', '/none/x']);
    const caller = this.pick(['anna', 'bert', 'cleo']);
    const isCrashing = this.random.next() < 0.01;
    const prompt = route.startsWith('/s') || route.startsWith('/w') ? this.makePrompt() : undefined;
    this.fleet.submit(node, `r${this.requestCount}`, route, {
      prompt,
      usageTokens: prompt && prompt.promptTokens + prompt.maximumOutputTokens,
      bodyBytes: prompt && prompt.promptTokens * 4,
      keyDigest: this.random.next() < 0.95 ? `key of ${caller}` : undefined,
      contentDigest: isCrashing ? 'crash' : `content ${this.random.below(400)}`,
      callerAddress: `10.9.0.${this.random.below(20)}`,
      callerDeadlineMs: this.random.next() < 0.2 ? 800 : 5000,
    });
    if (this.random.next() < 0.04)
      this.fleet.time.after(this.random.next() * 300, () =>
        this.fleet.handle(node, { kind: 'cancel', requestId: `r${this.requestCount}` }),
      );
    if (isCrashing) this.crashingRequests.add(`r${this.requestCount}`);
  }

  private readonly crashingRequests = new Set<string>();

  private makePrompt(): PromptOutline {
    const shared = { id: `subject ${this.random.below(7)}`, tokens: this.pick([92, 1500, 13_300]) };
    const unique = { id: `own ${this.requestCount}`, tokens: this.pick([291, 3720]) };
    const promptTokens = shared.tokens + unique.tokens;
    return {
      model: 'model',
      parts: [shared, unique],
      promptTokens,
      maximumOutputTokens: this.pick([4, 11, 120]),
    };
  }

  private injectFault(): void {
    const node = this.pick(this.fleet.nodes);
    const forMs = 300 + this.random.below(6000);
    const stopLater = (stop: () => void): void => this.fleet.time.after(forMs, stop);
    const id = this.pick([...this.backends.keys()]);
    switch (this.random.below(11)) {
      case 0:
        this.fleet.kill(node, forMs);
        break;
      case 1:
        this.fleet.restart(node, 1000, forMs);
        break;
      case 2:
        node.paused = true;
        stopLater(() => (node.paused = false));
        break;
      case 3:
        this.fleet.suspend(node, forMs);
        break;
      case 4:
        node.access = this.pick(['refuses', 'silent', 'appliesLate'] as const);
        stopLater(() => (node.access = 'serves'));
        break;
      case 5:
        this.partitionedNodes.add(node);
        stopLater(() => this.partitionedNodes.delete(node));
        break;
      case 6:
        for (const each of this.fleet.nodes) each.access = 'silent';
        stopLater(() => this.fleet.nodes.forEach((each) => (each.access = 'serves')));
        break;
      case 7:
        node.clockErrorMs = this.random.below(8000) - 4000;
        break;
      case 8:
        this.stopBackend(id);
        break;
      case 9:
        this.drainBackend(id);
        break;
      default:
        this.writeConfiguration();
    }
  }

  private stopBackend(id: string): void {
    const record = this.backends.get(id);
    if (!record) return;
    this.stoppedAddresses.add(record.address);
    this.fleet.time.after(2500, () => this.startBackend(id, record.stage));
  }

  private drainBackend(id: string): void {
    const record = this.backends.get(id);
    if (!record) return;
    this.fleet.write({ collection: 'backends', id, revision: 0, value: { ...record, state: 'draining' } });
    this.fleet.time.after(2500, () =>
      this.fleet.write({ collection: 'backends', id, revision: 0, value: undefined }),
    );
    this.fleet.time.after(4000, () => this.startBackend(id, record.stage));
  }

  private answerEffect(node: FleetNode, effect: ForwardingEffect): void {
    const after = (ms: number, act: () => void): void => this.fleet.time.after(ms, act);
    switch (effect.kind) {
      case 'startAttempt':
        this.answerAttempt(node, effect.start);
        break;
      case 'askEngine': {
        const { backend } = effect;
        const orders = this.orders.get(backend.id);
        const status = { stage: orders?.stage ?? backend.stage, changing: false, orders: orders?.count ?? 0 };
        after(3, () =>
          this.fleet.handle(node, {
            kind: 'engineStatus',
            backend,
            status: this.stoppedAddresses.has(backend.address) ? undefined : status,
          }),
        );
        break;
      }
      case 'orderEngine': {
        const { order } = effect;
        const count = this.orders.get(order.backend.id)?.count ?? 0;
        const isAccepted = count === order.expectedOrders;
        if (isAccepted) {
          this.orders.set(order.backend.id, { stage: order.stage, count: count + 1 });
          after(1500, () => this.startBackend(order.backend.id, order.stage));
        }
        const result = isAccepted
          ? ({ kind: 'accepted' } as const)
          : ({ kind: 'refused', status: 409 } as const);
        after(3, () => this.fleet.handle(node, { kind: 'orderResult', order, result }));
        break;
      }
      case 'probeBackend': {
        const { id, address } = effect.probe.backend;
        after(3, () =>
          this.fleet.handle(node, {
            kind: 'probed',
            backendId: id,
            succeeded: !this.stoppedAddresses.has(address),
          }),
        );
        break;
      }
      default:
        break;
    }
  }

  private answerAttempt(node: FleetNode, start: AttemptStart): void {
    const { requestId, attemptId, backend } = start;
    const sendEvent = (ms: number, event: ForwardAttemptEvent): void =>
      this.fleet.time.after(ms, () =>
        this.fleet.handle(node, { kind: 'attempt', requestId, attemptId, event }),
      );
    if (this.stoppedAddresses.has(backend.address)) {
      const failure = start.via === undefined ? {} : ({ tunnelFailure: 'backend' } as const);
      return sendEvent(2, { kind: 'unreachable', reason: 'ECONNREFUSED', ...failure });
    }
    if (this.crashingRequests.has(requestId)) {
      this.stopBackend(backend.id);
      return sendEvent(40, { kind: 'broken', reason: 'ECONNRESET' });
    }
    const draw = this.random.next();
    const workMs = 10 + this.random.next() * 120;
    if (draw < 0.02) return sendEvent(3, { kind: 'notExecuted', status: 503, wrongIncarnation: false });
    if (draw < 0.03) return sendEvent(3, { kind: 'notExecuted', status: 421, wrongIncarnation: true });
    if (draw < 0.05) return sendEvent(workMs, { kind: 'broken', reason: 'UND_ERR_SOCKET' });
    if (draw < 0.06) return sendEvent(workMs, { kind: 'broken', reason: 'garbled', isInvalidAnswer: true });
    if (draw < 0.07) return sendEvent(workMs, { kind: 'connectionSilent' });
    if (draw < 0.08) return;
    if (start.prefillOnly) return sendEvent(workMs, { kind: 'prefilled', handle: `kv ${attemptId}` });
    if (!start.stream) return sendEvent(workMs, { kind: 'whole', status: draw < 0.1 ? 500 : 200 });
    sendEvent(workMs, { kind: 'streamStarted' });
    sendEvent(workMs + 20, { kind: 'streamProgress', lastEventId: '1' });
    if (draw < 0.12) sendEvent(workMs + 40, { kind: 'broken', reason: 'UND_ERR_SOCKET' });
    else sendEvent(workMs + 60, { kind: 'whole', status: 200 });
  }
}
