/**
 * A fleet in virtual time before back ends that say in their answers how much they take, that they leave or that they
 * want nothing for a while, with an observer that knows what reached each of them, from whom, and whom it had told.
 */
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';
import { SeededRandom } from '../src/shared/random.js';
import { FLEET_SETTINGS, ForwardingFleet, type CallerFields, type FleetNode } from './forwarding-fleet.js';

/** The rule: in any window a back end gets so many times its limit, and so many requests more, from those it told. */
const WINDOW_MS = 4000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_MORE = 5;
/** The rule counts from so long after a back end first named its limit. Milliseconds. */
const CONTACT_MS = 3000;
/** A daemon counts as told so long after it passed on such an answer. Milliseconds. */
const TOLD_MS = 500;
/**
 * Requests that callers send so long after a daemon passed on that a back end leaves must not reach it from there.
 * Milliseconds.
 */
const DRAIN_MS = 2000;
/** Requests that come sooner than this after a back end has asked to back off may have been on their way. Milliseconds. */
const BACK_OFF_FROM_MS = 500;
/** Until all daemons know each other and the store's records. Milliseconds. */
const SETTLED_MS = 6000;
/** Work of a back end, and the pause between looks at the callers. Milliseconds. */
const LEAST_WORK_MS = 15;
const MORE_WORK_MS = 30;
const STEP_MS = 5;

/** One request that reached a back end. */
interface SiteArrival {
  readonly backendId: string;
  readonly node: FleetNode;
  readonly at: number;
  readonly path: string;
  /** The daemon's life that sent it. */
  readonly life: string;
  /** When the caller sent the request. */
  readonly sentAt: number;
  /** The daemon had been told of the limit when it sent the request. */
  readonly told: boolean;
}

/** A request that a daemon answered itself. */
interface SiteRefusal {
  readonly path: string;
  readonly status: number;
  readonly heldMs: number;
  readonly retryAfterMs: number | undefined;
}

/** What a site begins with. */
interface SignalSiteOptions {
  readonly daemons: number;
  readonly backends: number;
  readonly seed: number;
  readonly routes?: readonly Route[];
  /** Every second back end computes prompts, the others generate. */
  readonly engines?: boolean;
}

/** The site. Times are those of its fleet. */
export class SignalSite {
  readonly fleet: ForwardingFleet;
  readonly arrivals: SiteArrival[] = [];
  /** Requests that were served, by path. */
  readonly served = new Map<string, number>();
  private readonly random: SeededRandom;
  /** Requests a second, by back end. */
  private readonly limits = new Map<string, number>();
  private readonly firstNamedAt = new Map<string, number>();
  private readonly largest = new Map<string, number>();
  /** When each life of a daemon passed on an answer of a back end with a limit. */
  private readonly toldAt = new Map<string, number>();
  private readonly leaving = new Set<string>();
  /** When each life of a daemon passed on that a back end leaves. */
  private readonly toldLeavingAt = new Map<string, number>();
  /** Part of the requests that a back end turns away, and for how long it asks daemons to back off. */
  private readonly backOffs = new Map<string, { share: number; backOffMs: number }>();
  private readonly backOffSpans: { life: string; from: number; until: number }[] = [];
  private readonly open = new Map<string, { path: string; at: number }>();
  private requests = 0;

  constructor(private readonly options: SignalSiteOptions) {
    const { daemons, seed, backends, routes = [makeLabRoute({})] } = options;
    this.random = new SeededRandom(seed);
    this.fleet = new ForwardingFleet(daemons, seed, FLEET_SETTINGS);
    this.fleet.write({ collection: 'configuration', revision: 0, value: makeLabConfiguration(1, routes) });
    for (let index = 0; index < backends; index += 1) this.writeBackend(index, 'ready');
    this.fleet.onAttempt = (node, start) => this.onAttempt(node, start);
    this.fleet.time.runUntil(SETTLED_MS);
  }

  /** Writes the record of a back end, or removes it. */
  writeBackend(index: number, state: BackendRecord['state'] | 'gone', bornMs?: number): void {
    if (state === 'gone') {
      this.fleet.write({ collection: 'backends', id: `b${index}`, revision: 0, value: undefined });
      return;
    }
    const id = `b${index}`;
    const stage = index % 2 === 0 ? 'prefill' : 'decode';
    const value: BackendRecord = {
      ...makeLabBackend(id, `10.1.0.${index}:80`),
      zone: `zone-${index % 3}`,
      state,
      bornMs,
    };
    const engine: BackendRecord = { ...value, stage };
    this.fleet.write({
      collection: 'backends',
      id,
      revision: 0,
      value: this.options.engines ? engine : value,
    });
  }

  /** A back end names a limit from now on; undefined: none any more. */
  setLimit(backendId: string, perSecond: number | undefined): void {
    if (perSecond === undefined) {
      this.limits.delete(backendId);
      return;
    }
    this.limits.set(backendId, perSecond);
    this.largest.set(backendId, Math.max(perSecond, this.largest.get(backendId) ?? 0));
    if (!this.firstNamedAt.has(backendId)) this.firstNamedAt.set(backendId, this.fleet.time.now());
  }

  /** Whether a back end says from now on that it leaves. */
  setLeaving(backendId: string, leaves = true): void {
    if (leaves) this.leaving.add(backendId);
    else this.leaving.delete(backendId);
  }

  /** A back end turns part of its requests away and asks daemons to back off; with a share of 0 no more. */
  setBackOff(backendId: string, share: number, backOffMs: number): void {
    this.backOffs.set(backendId, { share, backOffMs });
  }

  /** Requests that reached a back end too late after the daemon that sent them had passed on that it leaves. */
  findSentAfterLeaving(): SiteArrival[] {
    return this.arrivals.filter(
      ({ life, sentAt }) => sentAt > (this.toldLeavingAt.get(life) ?? Infinity) + DRAIN_MS,
    );
  }

  /** The most requests that a daemon sent to a back end in a time for which that had asked it to back off. */
  findMostDuringBackOff(): number {
    const counts = this.backOffSpans.map(({ life, from, until }) => {
      const within = this.arrivals.filter(
        (arrival) => arrival.life === life && arrival.at >= from + BACK_OFF_FROM_MS && arrival.at < until,
      );
      return within.length;
    });
    return Math.max(0, ...counts);
  }

  /** Callers send so many requests a second, by path, to daemons that run, for so long. */
  startLoad(ratesByPath: Readonly<Record<string, number>>, forMs: number, fields: CallerFields = {}): void {
    const until = this.fleet.time.now() + forMs;
    const step = (): void => {
      for (const [path, perSecond] of Object.entries(ratesByPath))
        if (this.random.next() < (perSecond * STEP_MS) / 1000) this.submit(path, fields);
      if (this.fleet.time.now() < until) this.fleet.time.after(STEP_MS, step);
    };
    step();
  }

  /** Back ends answer health checks from now on, and name their limits there too or not. */
  answerHealthChecks({ nameLimits }: { nameLimits: boolean }): void {
    const { fleet } = this;
    fleet.onProbe = (node, backend) => {
      const sentAt = fleet.time.now();
      fleet.time.after(2 * fleet.networkMs, () => {
        const requestsPerSecond = nameLimits ? this.limits.get(backend.id) : undefined;
        const isLeaving = this.leaving.has(backend.id);
        const signals = { requestsPerSecond, isLeaving, retryAfterMs: undefined, unreadable: [] };
        fleet.handle(node, { kind: 'backendSignalled', backend, signals, sentAt, isHealthCheck: true });
      });
    };
  }

  /** Back ends that a daemon believes to name a limit, the most of all daemons. */
  getKnownLimitCount(): number {
    const now = this.fleet.time.now();
    return Math.max(
      ...this.fleet.nodes.map(({ daemon }) => daemon.getPartFigures(now).backendSignals.limited ?? 0),
    );
  }

  /** Runs the fleet for so long. */
  run(forMs: number): void {
    this.fleet.time.runUntil(this.fleet.time.now() + forMs);
  }

  /** Requests that a back end got since a moment. */
  countSince(backendId: string, since: number): number {
    return this.arrivals.filter((arrival) => arrival.backendId === backendId && arrival.at >= since).length;
  }

  /** The worst window of a back end, and what is allowed, over the daemons that it had told and that ran on. */
  findWorstWindow(
    backendId: string,
    excused: ReadonlySet<FleetNode> = new Set(),
  ): { seen: number; allowed: number } {
    const from = (this.firstNamedAt.get(backendId) ?? Infinity) + CONTACT_MS;
    const counted = this.arrivals.filter(
      ({ backendId: id, node, at, told }) => id === backendId && told && at >= from && !excused.has(node),
    );
    let first = 0;
    let seen = 0;
    counted.forEach(({ at }, last) => {
      while (counted[first].at <= at - WINDOW_MS) first += 1;
      seen = Math.max(seen, last - first + 1);
    });
    const perSecond = this.largest.get(backendId) ?? 0;
    return { seen, allowed: (ALLOWED_FACTOR * perSecond * WINDOW_MS) / 1000 + ALLOWED_MORE };
  }

  /** Requests that daemons answered themselves. */
  findRefusals(): SiteRefusal[] {
    return this.fleet.nodes.flatMap(({ refusals }) =>
      refusals.map(({ requestId, status, retryAfterMs, at }) => {
        const { path = '', at: sentAt = at } = this.open.get(requestId) ?? {};
        return { path, status, heldMs: at - sentAt, retryAfterMs };
      }),
    );
  }

  private submit(path: string, fields: CallerFields): void {
    const running = this.fleet.nodes.filter(({ down, daemon }) => !down && daemon.ready());
    if (running.length === 0) return;
    const node = running[Math.floor(this.random.next() * running.length)];
    this.requests += 1;
    const id = `r${this.requests}`;
    this.open.set(id, { path, at: this.fleet.time.now() });
    this.fleet.submit(node, id, path, fields);
  }

  private onAttempt(node: FleetNode, start: AttemptStart): void {
    const { fleet } = this;
    const life = `${node.id} ${start.backend.id}`;
    const told = fleet.time.now() - (this.toldAt.get(life) ?? Infinity) >= TOLD_MS;
    const { path = '', at: sentAt = fleet.time.now() } = this.open.get(start.requestId) ?? {};
    fleet.time.after(fleet.networkMs, () => {
      const at = fleet.time.now();
      this.arrivals.push({ backendId: start.backend.id, node, life, at, path, sentAt, told });
      if (this.turnsAway(node, start, life)) return;
      const workMs = LEAST_WORK_MS + this.random.next() * MORE_WORK_MS;
      fleet.time.after(workMs, () => this.answer(node, start, life));
    });
  }

  /** Turns a request away, if the back end does so with this one. */
  private turnsAway(node: FleetNode, { requestId, attemptId, backend }: AttemptStart, life: string): boolean {
    const { fleet } = this;
    const { share, backOffMs } = this.backOffs.get(backend.id) ?? { share: 0, backOffMs: 0 };
    if (this.random.next() >= share) return false;
    const answeredAt = fleet.time.now();
    this.backOffSpans.push({ life, from: answeredAt, until: answeredAt + backOffMs });
    const signals = {
      requestsPerSecond: undefined,
      isLeaving: this.leaving.has(backend.id),
      retryAfterMs: backOffMs,
      unreadable: [],
    };
    const event = { kind: 'notExecuted', status: 503, wrongIncarnation: false, signals } as const;
    fleet.time.after(fleet.networkMs, () => {
      if (`${node.id} ${backend.id}` === life)
        fleet.handle(node, { kind: 'attempt', requestId, attemptId, event });
    });
    return true;
  }

  private answer(
    node: FleetNode,
    { requestId, attemptId, backend, prefillOnly }: AttemptStart,
    life: string,
  ): void {
    const { fleet } = this;
    const requestsPerSecond = this.limits.get(backend.id);
    const isLeaving = this.leaving.has(backend.id);
    const signals = { requestsPerSecond, isLeaving, retryAfterMs: undefined, unreadable: [] };
    const event: ForwardAttemptEvent = prefillOnly
      ? { kind: 'prefilled', handle: attemptId, signals }
      : { kind: 'whole', status: 200, signals };
    fleet.time.after(fleet.networkMs, () => {
      if (`${node.id} ${backend.id}` !== life) return;
      fleet.handle(node, { kind: 'attempt', requestId, attemptId, event });
      if (requestsPerSecond !== undefined && !this.toldAt.has(life)) this.toldAt.set(life, fleet.time.now());
      if (isLeaving && !this.toldLeavingAt.has(life)) this.toldLeavingAt.set(life, fleet.time.now());
      if (prefillOnly) return;
      const { path = '' } = this.open.get(requestId) ?? {};
      this.served.set(path, (this.served.get(path) ?? 0) + 1);
    });
  }
}
