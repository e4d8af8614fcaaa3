/** A simulated fleet with back ends that crash: under requests that crash any back end that executes them, and on their own. */
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { FLEET_SETTINGS, ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import type { StartedAttempt } from '../simulation/forwarding-fleet.js';
import { SeededRandom } from '../src/shared/random.js';

/** Time after a disturbance until contact counts as regained. Milliseconds. */
export const CONTACT_MS = 3000;
/** Time from which callers send; the daemons have discovered each other by then. Milliseconds. */
export const TRAFFIC_START_MS = 15_000;
const STEP_MS = 5;
const EXECUTION_MS = 40;
/** Time from the start of an attempt until it crashes its back end. Milliseconds. */
const CRASH_DELAY_MS = 60;
/** Time after a crash until the record disappears, and until a successor starts. Milliseconds. */
const RECORD_LIFETIME_MS = 1800;
const RESTART_DELAY_MS = 3000;
const ALLOWED_CRASHES = 3;
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

/** The arrival of an attempt at a back end. */
interface Arrival {
  readonly key: string;
  readonly at: number;
  readonly node: FleetNode;
}

/** An incarnation of a back end. */
interface SimulatedBackend {
  readonly id: string;
  isRunning: boolean;
  readonly openAttempts: Set<StartedAttempt>;
}

/** Options of a site. */
export interface CrashSiteOptions {
  readonly daemons?: number;
  readonly backends?: number;
  /** Whether a successor has the id of the back end that crashed. */
  readonly keepsIds?: boolean;
  /** Maximum number of attempts for one request. */
  readonly attempts?: number;
}

/** The fleet, its back ends and its callers, with a log of arrivals and crashes. */
export class CrashSite {
  readonly fleet: ForwardingFleet;
  readonly random: SeededRandom;
  readonly requests = new Map<string, SentRequest>();
  readonly arrivals: Arrival[] = [];
  /** Crashes of back ends, with the key of the request that caused them; undefined for a crash without one. */
  readonly crashes: { readonly key: string | undefined; readonly at: number }[] = [];
  /** Callers whose requests crash no back end, whatever their content. */
  readonly harmlessCallers = new Set<string>();
  private readonly slots: SimulatedBackend[] = [];
  private readonly disturbedAt = new Map<FleetNode, number>();
  private readonly keepsIds: boolean;
  private handledAttempts = 0;
  private sentCount = 0;

  constructor(
    seed: number,
    { daemons = 7, backends = 12, keepsIds = false, attempts = 2 }: CrashSiteOptions = {},
  ) {
    this.random = new SeededRandom(seed);
    this.keepsIds = keepsIds;
    this.fleet = new ForwardingFleet(daemons, seed, {
      ...FLEET_SETTINGS,
      retries: { ...FLEET_SETTINGS.retries, slack: 200, firstStart: true },
    });
    this.fleet.isListening = (address) =>
      this.slots.some(({ isRunning }, slot) => isRunning && address === getAddress(slot));
    const value = makeLabConfiguration(1, [makeLabRoute({ timeoutMs: 8000, maximumAttempts: attempts })]);
    this.fleet.write({ collection: 'configuration', revision: 0, value });
    for (let slot = 0; slot < backends; slot += 1) this.startBackend(slot, 0);
    this.fleet.time.runUntil(TRAFFIC_START_MS);
  }

  /** Sends a request to the given daemon, or to a random one that is up. Returns undefined if it is down. */
  send(content: string, caller: string, node?: FleetNode): SentRequest | undefined {
    const up = this.fleet.nodes.filter(({ down }) => !down);
    const target = node ?? up[Math.floor(this.random.next() * up.length)];
    if (!target || target.down) return undefined;
    this.sentCount += 1;
    const id = `r${this.sentCount}`;
    const request: SentRequest = { content, caller, at: this.fleet.time.now() };
    this.requests.set(id, request);
    this.fleet.submit(target, id, '/a/x', { contentDigest: content, callerAddress: caller });
    return request;
  }

  /** Sends `perSecond` requests of other callers a second, each with different content; calls `onStep` at each step. */
  runTraffic(ms: number, perSecond: number, onStep: (at: number) => void = () => undefined): void {
    const until = this.fleet.time.now() + ms;
    for (let at = this.fleet.time.now(); at < until; at += STEP_MS) {
      this.fleet.time.runUntil(at);
      this.receiveAttempts();
      if (this.random.next() < (perSecond * STEP_MS) / 1000) this.sendOtherRequest();
      onStep(at);
      this.receiveAttempts();
    }
  }

  /** Kills a daemon and restarts it `downMs` later. */
  kill(node: FleetNode, downMs: number): void {
    this.fleet.kill(node, downMs);
    this.setDisturbed(node, downMs);
  }

  /** Marks a daemon as disturbed for `forMs` from now on. */
  setDisturbed(node: FleetNode, forMs: number): void {
    this.disturbedAt.set(node, this.fleet.time.now() + forMs);
  }

  /** Crashes a number of back ends at once, without a request. */
  crashBackends(count: number): void {
    const running = [...this.slots.keys()].filter((slot) => this.slots[slot].isRunning);
    for (const slot of running.slice(0, count)) this.crashBackend(slot, undefined);
  }

  /** Attempts of a request, of one caller or any, that daemons in contact sent later than the contact time after its third crash. */
  countLateRetries(content: string, caller?: string): number {
    const isCounted = makeFilter(content, caller);
    const third = this.crashes
      .filter(({ key }) => key !== undefined && isCounted(key))
      .at(ALLOWED_CRASHES - 1);
    if (!third) return 0;
    return this.arrivals.filter(({ key, at }) => isCounted(key) && at > third.at + CONTACT_MS).length;
  }

  /** Whether the limit of retries after the third crash holds for the request. */
  isRetryLimitKept(content: string, caller?: string): boolean {
    return this.countLateRetries(content, caller) <= ALLOWED_RETRIES;
  }

  /** Number of back ends that crashed under the request. */
  countCrashes(content: string, caller?: string): number {
    const isCounted = makeFilter(content, caller);
    return this.crashes.filter(({ key }) => key !== undefined && isCounted(key)).length;
  }

  /** Share of the counted requests sent since a time that a back end has answered, from 0 to 1. */
  getServedShare(since: number, isCounted: (request: SentRequest) => boolean): number {
    const counted = [...this.requests.values()].filter(
      (request) => request.at >= since && isCounted(request),
    );
    return counted.filter(({ status }) => status === 200).length / Math.max(1, counted.length);
  }

  private sendOtherRequest(): void {
    const caller = `10.9.0.${Math.floor(this.random.next() * OTHER_CALLERS)}`;
    this.send(`other ${this.sentCount}`, caller);
  }

  private isInContact(node: FleetNode): boolean {
    return this.fleet.time.now() - (this.disturbedAt.get(node) ?? -Infinity) >= CONTACT_MS;
  }

  private startBackend(slot: number, count: number): void {
    const id = this.keepsIds ? `b${slot}` : `b${slot}.${count}`;
    this.slots[slot] = { id, isRunning: true, openAttempts: new Set() };
    const value = { ...makeLabBackend(id, getAddress(slot)), bornMs: Math.round(this.fleet.time.now()) };
    this.fleet.write({ collection: 'backends', id, revision: 0, value });
  }

  private crashBackend(slot: number, key: string | undefined): void {
    const backend = this.slots[slot];
    if (!backend.isRunning) return;
    backend.isRunning = false;
    this.crashes.push({ key, at: this.fleet.time.now() });
    for (const attempt of backend.openAttempts)
      this.fleet.sendAttemptEvent(attempt, { kind: 'broken', reason: 'ECONNRESET' });
    backend.openAttempts.clear();
    const { id } = backend;
    if (!this.keepsIds)
      this.fleet.time.after(RECORD_LIFETIME_MS, () =>
        this.fleet.write({ collection: 'backends', id, revision: 0, value: undefined }),
      );
    this.fleet.time.after(RESTART_DELAY_MS, () => this.startBackend(slot, this.crashes.length));
  }

  /** Receives the attempts that the daemons have started since the last step. */
  private receiveAttempts(): void {
    for (; this.handledAttempts < this.fleet.attempts.length; this.handledAttempts += 1)
      this.receiveAttempt(this.fleet.attempts[this.handledAttempts]);
  }

  private receiveAttempt(attempt: StartedAttempt): void {
    const request = this.requests.get(attempt.requestId);
    const slot = this.slots.findIndex(({ id }) => id === attempt.backendId);
    const backend = this.slots.at(slot);
    if (!request) return;
    if (slot < 0 || !backend?.isRunning) {
      this.fleet.sendAttemptEvent(attempt, { kind: 'unreachable', reason: 'ECONNREFUSED' });
      return;
    }
    const key = makeKey(request.content, request.caller);
    if (this.isInContact(attempt.node))
      this.arrivals.push({ key, at: this.fleet.time.now(), node: attempt.node });
    backend.openAttempts.add(attempt);
    if (this.isCrashing(request))
      this.fleet.time.after(CRASH_DELAY_MS, () => this.crashUnderRequest(slot, backend, key));
    else
      this.fleet.time.after(EXECUTION_MS * (0.5 + this.random.next()), () =>
        this.answer(backend, attempt, request),
      );
  }

  private isCrashing({ content, caller }: SentRequest): boolean {
    return content.startsWith(CRASHING_PREFIX) && !this.harmlessCallers.has(caller);
  }

  private crashUnderRequest(slot: number, backend: SimulatedBackend, key: string): void {
    if (this.slots[slot] === backend) this.crashBackend(slot, key);
  }

  private answer(backend: SimulatedBackend, attempt: StartedAttempt, request: SentRequest): void {
    if (!backend.openAttempts.delete(attempt)) return;
    request.status = 200;
    this.fleet.sendAttemptEvent(attempt, { kind: 'whole', status: 200 });
  }
}

/** Requests whose content starts with this crash the back ends that execute them. */
export const CRASHING_PREFIX = 'crash';

/** Creates a predicate for the keys of a content, of one caller or any. */
function makeFilter(content: string, caller: string | undefined): (key: string) => boolean {
  if (caller !== undefined) return (key) => key === makeKey(content, caller);
  return (key) => key.startsWith(`${content} 10.`);
}

function makeKey(content: string, caller: string): string {
  return `${content} ${caller}`;
}

function getAddress(slot: number): string {
  return `10.1.0.${slot}:80`;
}
