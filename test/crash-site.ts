/** A fleet in virtual time before back ends that end: under requests that end whoever runs them, and by themselves. */
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { FLEET_SETTINGS, ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import type { StartedAttempt } from '../simulation/forwarding-fleet.js';
import { SeededRandom } from '../src/shared/random.js';

/** Contact counts as regained so long after a disturbance. Milliseconds. */
export const CONTACT_MS = 3000;
/** From here on callers send: the daemons know each other. */
export const SETTLED_MS = 15_000;
const STEP_MS = 5;
const RUN_MS = 40;
/** A run that ends its back end does so after this time. */
const CRASH_MS = 60;
/** A record outlives its back end by this time, and its successor comes after that one. */
const RECORD_LEFT_MS = 1800;
const DOWN_MS = 3000;
const ALLOWED_ENDS = 3;
const ALLOWED_RETRIES = 3;
const OTHER_CALLERS = 40;

/** A request that callers send. */
export interface SentRequest {
  readonly content: string;
  readonly caller: string;
  readonly at: number;
  /** Undefined until it is answered by a back end. */
  status?: number;
}

/** An arrival at a back end. */
interface Arrival {
  readonly key: string;
  readonly at: number;
  readonly node: FleetNode;
}

/** An incarnation of a back end. */
interface RunningBackend {
  readonly id: string;
  running: boolean;
  readonly open: Set<StartedAttempt>;
}

/** What a site is made of. */
export interface CrashSiteForm {
  readonly daemons?: number;
  readonly backends?: number;
  /** Whether a successor has the id of the back end before it. */
  readonly keepsIds?: boolean;
  /** Back ends that one request may be sent to. */
  readonly attempts?: number;
}

/** The site. */
export class CrashSite {
  readonly fleet: ForwardingFleet;
  readonly random: SeededRandom;
  readonly requests = new Map<string, SentRequest>();
  readonly arrivals: Arrival[] = [];
  /** When back ends ended, by the key of the request that ended them; those that ended by themselves have none. */
  readonly ends: { readonly key: string | undefined; readonly at: number }[] = [];
  /** Callers whose requests end no back end, whatever they ask. */
  readonly spared = new Set<string>();
  private readonly places: RunningBackend[] = [];
  private readonly disturbedAt = new Map<FleetNode, number>();
  private readonly keepsIds: boolean;
  private handled = 0;
  private sent = 0;

  constructor(
    seed: number,
    { daemons = 7, backends = 12, keepsIds = false, attempts = 2 }: CrashSiteForm = {},
  ) {
    this.random = new SeededRandom(seed);
    this.keepsIds = keepsIds;
    this.fleet = new ForwardingFleet(daemons, seed, {
      ...FLEET_SETTINGS,
      retries: { ...FLEET_SETTINGS.retries, slack: 200, firstStart: true },
    });
    this.fleet.isListening = (address) =>
      this.places.some(({ running }, place) => running && address === getAddress(place));
    const value = makeLabConfiguration(1, [makeLabRoute({ timeoutMs: 8000, maximumAttempts: attempts })]);
    this.fleet.write({ collection: 'configuration', revision: 0, value });
    for (let place = 0; place < backends; place += 1) this.start(place, 0);
    this.fleet.time.runUntil(SETTLED_MS);
  }

  /** Sends a request to a daemon, any one that is up if none is named. */
  send(content: string, caller: string, node?: FleetNode): SentRequest | undefined {
    const up = this.fleet.nodes.filter(({ down }) => !down);
    const target = node ?? up[Math.floor(this.random.next() * up.length)];
    if (!target || target.down) return undefined;
    this.sent += 1;
    const id = `r${this.sent}`;
    const request: SentRequest = { content, caller, at: this.fleet.time.now() };
    this.requests.set(id, request);
    this.fleet.submit(target, id, '/a/x', { contentDigest: content, callerAddress: caller });
    return request;
  }

  /** Other callers' requests, each of them another one, so many a second; `also` is called at each step. */
  runFor(ms: number, perSecond: number, also: (at: number) => void = () => undefined): void {
    const until = this.fleet.time.now() + ms;
    for (let at = this.fleet.time.now(); at < until; at += STEP_MS) {
      this.fleet.time.runUntil(at);
      this.answerAll();
      if (this.random.next() < (perSecond * STEP_MS) / 1000) this.sendOther();
      also(at);
      this.answerAll();
    }
  }

  /** Kills a daemon and starts it again `downMs` later. */
  kill(node: FleetNode, downMs: number): void {
    this.fleet.kill(node, downMs);
    this.disturb(node, downMs);
  }

  /** From now on, and so long, a daemon is disturbed. */
  disturb(node: FleetNode, forMs: number): void {
    this.disturbedAt.set(node, this.fleet.time.now() + forMs);
  }

  /** Ends so many back ends by themselves, all at once. */
  endBackends(count: number): void {
    const running = [...this.places.keys()].filter((place) => this.places[place].running);
    for (const place of running.slice(0, count)) this.end(place, undefined);
  }

  /** How often a caller's request, or anybody's, reached back ends by daemons in contact, from the contact time after its third end on. */
  countLateRetries(content: string, caller?: string): number {
    const isCounted = makeFilter(content, caller);
    const third = this.ends.filter(({ key }) => key !== undefined && isCounted(key)).at(ALLOWED_ENDS - 1);
    if (!third) return 0;
    return this.arrivals.filter(({ key, at }) => isCounted(key) && at > third.at + CONTACT_MS).length;
  }

  /** Whether the rule holds for the request. */
  isWithinRule(content: string, caller?: string): boolean {
    return this.countLateRetries(content, caller) <= ALLOWED_RETRIES;
  }

  /** Back ends that ended under the request. */
  countEnds(content: string, caller?: string): number {
    const isCounted = makeFilter(content, caller);
    return this.ends.filter(({ key }) => key !== undefined && isCounted(key)).length;
  }

  /** Part of the requests, since a moment, that a back end has answered; those of one content if it is named. */
  getServedShare(since: number, isCounted: (request: SentRequest) => boolean): number {
    const counted = [...this.requests.values()].filter(
      (request) => request.at >= since && isCounted(request),
    );
    return counted.filter(({ status }) => status === 200).length / Math.max(1, counted.length);
  }

  private sendOther(): void {
    const caller = `10.9.0.${Math.floor(this.random.next() * OTHER_CALLERS)}`;
    this.send(`other ${this.sent}`, caller);
  }

  private isInContact(node: FleetNode): boolean {
    return this.fleet.time.now() - (this.disturbedAt.get(node) ?? -Infinity) >= CONTACT_MS;
  }

  private start(place: number, count: number): void {
    const id = this.keepsIds ? `b${place}` : `b${place}.${count}`;
    this.places[place] = { id, running: true, open: new Set() };
    const value = { ...makeLabBackend(id, getAddress(place)), bornMs: Math.round(this.fleet.time.now()) };
    this.fleet.write({ collection: 'backends', id, revision: 0, value });
  }

  private end(place: number, key: string | undefined): void {
    const backend = this.places[place];
    if (!backend.running) return;
    backend.running = false;
    this.ends.push({ key, at: this.fleet.time.now() });
    for (const attempt of backend.open)
      this.fleet.endAttempt(attempt, { kind: 'broken', reason: 'ECONNRESET' });
    backend.open.clear();
    const { id } = backend;
    if (!this.keepsIds)
      this.fleet.time.after(RECORD_LEFT_MS, () =>
        this.fleet.write({ collection: 'backends', id, revision: 0, value: undefined }),
      );
    this.fleet.time.after(DOWN_MS, () => this.start(place, this.ends.length));
  }

  /** Takes what the daemons have sent since the last step. */
  private answerAll(): void {
    for (; this.handled < this.fleet.attempts.length; this.handled += 1)
      this.take(this.fleet.attempts[this.handled]);
  }

  private take(attempt: StartedAttempt): void {
    const request = this.requests.get(attempt.requestId);
    const place = this.places.findIndex(({ id }) => id === attempt.backendId);
    const backend = this.places.at(place);
    if (!request) return;
    if (place < 0 || !backend?.running) {
      this.fleet.endAttempt(attempt, { kind: 'unreachable', reason: 'ECONNREFUSED' });
      return;
    }
    const key = makeKey(request.content, request.caller);
    if (this.isInContact(attempt.node))
      this.arrivals.push({ key, at: this.fleet.time.now(), node: attempt.node });
    backend.open.add(attempt);
    if (this.isCrashing(request)) this.fleet.time.after(CRASH_MS, () => this.crash(place, backend, key));
    else
      this.fleet.time.after(RUN_MS * (0.5 + this.random.next()), () =>
        this.answer(backend, attempt, request),
      );
  }

  private isCrashing({ content, caller }: SentRequest): boolean {
    return content.startsWith(CRASHING) && !this.spared.has(caller);
  }

  private crash(place: number, backend: RunningBackend, key: string): void {
    if (this.places[place] === backend) this.end(place, key);
  }

  private answer(backend: RunningBackend, attempt: StartedAttempt, request: SentRequest): void {
    if (!backend.open.delete(attempt)) return;
    request.status = 200;
    this.fleet.endAttempt(attempt, { kind: 'whole', status: 200 });
  }
}

/** Requests whose content begins so end the back ends that run them. */
export const CRASHING = 'crash';

/** Picks the keys of one caller's request, or of anybody's. */
function makeFilter(content: string, caller: string | undefined): (key: string) => boolean {
  if (caller !== undefined) return (key) => key === makeKey(content, caller);
  return (key) => key.startsWith(`${content} 10.`);
}

function makeKey(content: string, caller: string): string {
  return `${content} ${caller}`;
}

function getAddress(place: number): string {
  return `10.1.0.${place}:80`;
}
