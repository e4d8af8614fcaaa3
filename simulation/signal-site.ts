/**
 * A fleet in virtual time whose back ends send signals in their answers: a request limit, that they leave, or a
 * back-off. Records each request that reaches a back end, its daemon, and which signals that daemon knew.
 */
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';
import { SeededRandom } from '../src/shared/random.js';
import { FLEET_SETTINGS, ForwardingFleet, type CallerFields, type FleetNode } from './forwarding-fleet.js';

/**
 * In any window, a back end may get this many times its limit plus this number of requests from the daemons that know
 * the limit.
 */
const WINDOW_MS = 4000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
/** The window check starts at this time after a back end first advertised a limit. Milliseconds. */
const LIMIT_SPREAD_MS = 3000;
/** A daemon is expected to know a limit at this time after it forwarded an answer that carried it. Milliseconds. */
const LIMIT_KNOWN_AFTER_MS = 500;
/**
 * Once a daemon has forwarded an answer that says a back end leaves, requests that callers send after this time must
 * not reach the back end from that daemon. Milliseconds.
 */
const LEAVING_GRACE_MS = 2000;
/** Requests that arrive within this time after a back end asked to back off may have been in flight. Milliseconds. */
const BACK_OFF_GRACE_MS = 500;
/** Time for all daemons to discover each other and read the store's records. Milliseconds. */
const WARM_UP_MS = 6000;
/** Processing time of a back end: a minimum and a random part. Milliseconds. */
const MINIMUM_WORK_MS = 15;
const WORK_SPREAD_MS = 30;
/** Interval at which callers' arrivals are drawn at random. Milliseconds. */
const ARRIVAL_STEP_MS = 5;

/** One request that reached a back end. */
interface SiteArrival {
  readonly backendId: string;
  readonly node: FleetNode;
  readonly at: number;
  readonly path: string;
  /** The daemon's incarnation that sent it and the back end, as one key. */
  readonly pair: string;
  /** When the caller sent the request. */
  readonly sentAt: number;
  /** The daemon was expected to know the back end's limit when it sent the request. */
  readonly knewLimit: boolean;
}

/** A request that a daemon refused itself. */
interface SiteRefusal {
  readonly path: string;
  readonly status: number;
  /** Time from the caller's request to the refusal. Milliseconds. */
  readonly heldMs: number;
  readonly retryAfterMs: number | undefined;
}

/** The size and routes of a site. */
interface SignalSiteOptions {
  readonly daemons: number;
  readonly backends: number;
  readonly seed: number;
  readonly routes?: readonly Route[];
  /** Back ends are engines: prefill and decode engines alternate. */
  readonly engines?: boolean;
}

/** The simulated site. Times are virtual times of its fleet. */
export class SignalSite {
  readonly fleet: ForwardingFleet;
  readonly arrivals: SiteArrival[] = [];
  /** Number of completed requests, by path. */
  readonly served = new Map<string, number>();
  private readonly random: SeededRandom;
  /** Present limits in requests per second, by back end. */
  private readonly limits = new Map<string, number>();
  private readonly firstAdvertisedAt = new Map<string, number>();
  /** Largest limit that each back end has advertised, in requests per second. */
  private readonly largestLimits = new Map<string, number>();
  /** When a daemon's incarnation first forwarded an answer of a back end with a limit, by pair. */
  private readonly limitForwardedAt = new Map<string, number>();
  private readonly leaving = new Set<string>();
  /** When a daemon's incarnation first forwarded an answer that says a back end leaves, by pair. */
  private readonly leavingForwardedAt = new Map<string, number>();
  /** Share of the requests that each back end rejects, and the back-off that it asks for. */
  private readonly backOffs = new Map<string, { share: number; backOffMs: number }>();
  private readonly backOffSpans: { pair: string; from: number; until: number }[] = [];
  private readonly openRequests = new Map<string, { path: string; at: number }>();
  private requests = 0;

  constructor(private readonly options: SignalSiteOptions) {
    const { daemons, seed, backends, routes = [makeLabRoute({})] } = options;
    this.random = new SeededRandom(seed);
    this.fleet = new ForwardingFleet(daemons, seed, FLEET_SETTINGS);
    this.fleet.write({ collection: 'configuration', revision: 0, value: makeLabConfiguration(1, routes) });
    for (let index = 0; index < backends; index += 1) this.writeBackend(index, 'ready');
    this.fleet.onAttempt = (node, start) => this.onAttempt(node, start);
    this.fleet.time.runUntil(WARM_UP_MS);
  }

  /** Writes the record of a back end, or removes it if the state is `gone`. */
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

  /** Sets the limit that a back end advertises, in requests per second; undefined for none. */
  setLimit(backendId: string, perSecond: number | undefined): void {
    if (perSecond === undefined) {
      this.limits.delete(backendId);
      return;
    }
    this.limits.set(backendId, perSecond);
    this.largestLimits.set(backendId, Math.max(perSecond, this.largestLimits.get(backendId) ?? 0));
    if (!this.firstAdvertisedAt.has(backendId)) this.firstAdvertisedAt.set(backendId, this.fleet.time.now());
  }

  /** Sets whether a back end's answers say that it leaves. */
  setLeaving(backendId: string, leaves = true): void {
    if (leaves) this.leaving.add(backendId);
    else this.leaving.delete(backendId);
  }

  /** Makes a back end reject a share of its requests and ask for a back-off; a share of 0 ends that. */
  setBackOff(backendId: string, share: number, backOffMs: number): void {
    this.backOffs.set(backendId, { share, backOffMs });
  }

  /** Finds requests that a daemon sent to a back end too long after it had forwarded that the back end leaves. */
  findSentAfterLeaving(): SiteArrival[] {
    return this.arrivals.filter(
      ({ pair, sentAt }) => sentAt > (this.leavingForwardedAt.get(pair) ?? Infinity) + LEAVING_GRACE_MS,
    );
  }

  /** Finds the highest number of requests that a daemon sent to a back end during one back-off. */
  findMostDuringBackOff(): number {
    const counts = this.backOffSpans.map(({ pair, from, until }) => {
      const within = this.arrivals.filter(
        (arrival) => arrival.pair === pair && arrival.at >= from + BACK_OFF_GRACE_MS && arrival.at < until,
      );
      return within.length;
    });
    return Math.max(0, ...counts);
  }

  /** Starts callers that send requests to ready daemons for `forMs`, at rates per second by path. */
  startLoad(ratesByPath: Readonly<Record<string, number>>, forMs: number, fields: CallerFields = {}): void {
    const until = this.fleet.time.now() + forMs;
    const step = (): void => {
      for (const [path, perSecond] of Object.entries(ratesByPath))
        if (this.random.next() < (perSecond * ARRIVAL_STEP_MS) / 1000) this.submit(path, fields);
      if (this.fleet.time.now() < until) this.fleet.time.after(ARRIVAL_STEP_MS, step);
    };
    step();
  }

  /** Makes back ends answer health checks, with their limits if `advertiseLimits` is set. */
  answerHealthChecks({ advertiseLimits }: { advertiseLimits: boolean }): void {
    const { fleet } = this;
    fleet.onProbe = (node, backend) => {
      const sentAt = fleet.time.now();
      fleet.time.after(2 * fleet.networkMs, () => {
        const requestsPerSecond = advertiseLimits ? this.limits.get(backend.id) : undefined;
        const isLeaving = this.leaving.has(backend.id);
        const signals = { requestsPerSecond, isLeaving, retryAfterMs: undefined, unreadable: [] };
        fleet.handle(node, { kind: 'backendSignalled', backend, signals, sentAt, isHealthCheck: true });
      });
    };
  }

  /** Gets the number of back ends whose limit a daemon knows, as the maximum over all daemons. */
  getKnownLimitCount(): number {
    const now = this.fleet.time.now();
    return Math.max(
      ...this.fleet.nodes.map(({ daemon }) => daemon.getPartFigures(now).backendSignals.limited ?? 0),
    );
  }

  /** Runs the fleet for this duration. Milliseconds. */
  run(forMs: number): void {
    this.fleet.time.runUntil(this.fleet.time.now() + forMs);
  }

  /** Counts the requests that reached a back end since a time. */
  countSince(backendId: string, since: number): number {
    return this.arrivals.filter((arrival) => arrival.backendId === backendId && arrival.at >= since).length;
  }

  /**
   * Finds the highest number of requests to a back end in any window, and the number allowed. Counts only requests of
   * daemons that knew the limit and are not exempt, for example because they were paused.
   */
  findWorstWindow(
    backendId: string,
    exempt: ReadonlySet<FleetNode> = new Set(),
  ): { seen: number; allowed: number } {
    const from = (this.firstAdvertisedAt.get(backendId) ?? Infinity) + LIMIT_SPREAD_MS;
    const counted = this.arrivals.filter(
      ({ backendId: id, node, at, knewLimit }) =>
        id === backendId && knewLimit && at >= from && !exempt.has(node),
    );
    let first = 0;
    let seen = 0;
    counted.forEach(({ at }, last) => {
      while (counted[first].at <= at - WINDOW_MS) first += 1;
      seen = Math.max(seen, last - first + 1);
    });
    const perSecond = this.largestLimits.get(backendId) ?? 0;
    return { seen, allowed: (ALLOWED_FACTOR * perSecond * WINDOW_MS) / 1000 + ALLOWED_EXTRA };
  }

  /** Finds the requests that daemons refused themselves. */
  findRefusals(): SiteRefusal[] {
    return this.fleet.nodes.flatMap(({ refusals }) =>
      refusals.map(({ requestId, status, retryAfterMs, at }) => {
        const { path = '', at: sentAt = at } = this.openRequests.get(requestId) ?? {};
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
    this.openRequests.set(id, { path, at: this.fleet.time.now() });
    this.fleet.submit(node, id, path, fields);
  }

  private onAttempt(node: FleetNode, start: AttemptStart): void {
    const { fleet } = this;
    const pair = `${node.id} ${start.backend.id}`;
    const knewLimit =
      fleet.time.now() - (this.limitForwardedAt.get(pair) ?? Infinity) >= LIMIT_KNOWN_AFTER_MS;
    const { path = '', at: sentAt = fleet.time.now() } = this.openRequests.get(start.requestId) ?? {};
    fleet.time.after(fleet.networkMs, () => {
      const at = fleet.time.now();
      this.arrivals.push({ backendId: start.backend.id, node, pair, at, path, sentAt, knewLimit });
      if (this.sendRejection(node, start, pair)) return;
      const workMs = MINIMUM_WORK_MS + this.random.next() * WORK_SPREAD_MS;
      fleet.time.after(workMs, () => this.answer(node, start, pair));
    });
  }

  /** Rejects a request with the back end's configured chance, and asks for a back-off. Returns whether it did. */
  private sendRejection(
    node: FleetNode,
    { requestId, attemptId, backend }: AttemptStart,
    pair: string,
  ): boolean {
    const { fleet } = this;
    const { share, backOffMs } = this.backOffs.get(backend.id) ?? { share: 0, backOffMs: 0 };
    if (this.random.next() >= share) return false;
    const answeredAt = fleet.time.now();
    this.backOffSpans.push({ pair, from: answeredAt, until: answeredAt + backOffMs });
    const signals = {
      requestsPerSecond: undefined,
      isLeaving: this.leaving.has(backend.id),
      retryAfterMs: backOffMs,
      unreadable: [],
    };
    const event = { kind: 'notExecuted', status: 503, wrongIncarnation: false, signals } as const;
    fleet.time.after(fleet.networkMs, () => {
      if (`${node.id} ${backend.id}` === pair)
        fleet.handle(node, { kind: 'attempt', requestId, attemptId, event });
    });
    return true;
  }

  private answer(
    node: FleetNode,
    { requestId, attemptId, backend, prefillOnly }: AttemptStart,
    pair: string,
  ): void {
    const { fleet } = this;
    const requestsPerSecond = this.limits.get(backend.id);
    const isLeaving = this.leaving.has(backend.id);
    const signals = { requestsPerSecond, isLeaving, retryAfterMs: undefined, unreadable: [] };
    const event: ForwardAttemptEvent = prefillOnly
      ? { kind: 'prefilled', handle: attemptId, signals }
      : { kind: 'whole', status: 200, signals };
    fleet.time.after(fleet.networkMs, () => {
      if (`${node.id} ${backend.id}` !== pair) return;
      fleet.handle(node, { kind: 'attempt', requestId, attemptId, event });
      if (requestsPerSecond !== undefined && !this.limitForwardedAt.has(pair))
        this.limitForwardedAt.set(pair, fleet.time.now());
      if (isLeaving && !this.leavingForwardedAt.has(pair))
        this.leavingForwardedAt.set(pair, fleet.time.now());
      if (prefillOnly) return;
      const { path = '' } = this.openRequests.get(requestId) ?? {};
      this.served.set(path, (this.served.get(path) ?? 0) + 1);
    });
  }
}
