/**
 * A fleet of forwarding daemons in virtual time that share one record store. Runs the daemons' real state machines
 * without sockets; tests answer the attempts and health checks.
 */
import { ForwardingDaemon } from '../src/daemon/forwarding-daemon.js';
import {
  DEFAULT_FORWARDING_SETTINGS,
  type ForwardingDaemonSettings,
} from '../src/daemon/forwarding-daemon-settings.js';
import type { ForwardingEffect, ForwardingEvent } from '../src/daemon/forwarding-messages.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';
import type { BackendIncarnation } from '../src/quarantine/crash-detector.js';
import type { RecordRead, RecordReadResult, StoredRecord } from '../src/fleet/record-store.js';
import { SeededRandom } from '../src/shared/random.js';
import { TICK_MS } from '../src/shared/tick-interval.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { KvChangesCall } from '../src/forwarding/kv-cache/kv-follower.js';
import type { BackendRecord } from '../src/forwarding/routes/route.js';
import type { DutyAuthority, DutyCall } from '../src/duties/duty-messages.js';
import type { TableRequest, TableResult } from '../src/contracts/table-service.js';
import type { DutyModel } from '../lab/duty-model.js';
import { PlatformModel } from '../lab/platform-model.js';
import { LAB_STAGES } from '../lab/stage-settings.js';
import type { CallerFields, FleetNode, StartedAttempt } from './fleet-node.js';
import { SimulatedRecordStore } from './simulated-record-store.js';
import { VirtualTime } from './virtual-time.js';

export type { CallerFields, FleetNode, StartedAttempt, StoreAccess } from './fleet-node.js';

/** Wall-clock time at the start of a simulation; it is a multiple of every usual window length. Milliseconds. */
export const WALL_START_MS = 1_800_000_000_000;
/** Round trip of a call to the store or the table. Milliseconds. */
const STORE_MS = 4;
/** Status of the answers of a store that refuses. */
const STATUS_UNAVAILABLE = 503;
/** Time after which a daemon gives up a call to the table. Milliseconds. */
const TABLE_TIMEOUT_MS = 1000;
/** Delay after which a store with `appliesLate` applies a write; longer than the daemon's time-out. Milliseconds. */
const LATE_WRITE_MS = 2500;
/** Retry delay in the answers of a table that refuses calls. Milliseconds. */
const RETRY_AFTER_MS = 300;
/** Round trip of a call of a duty. Milliseconds. */
const DUTY_MS = 4;
/** Rate limit of the table, high enough for every fleet, as it is not under test here. */
const TABLE_RATE = { perSecond: 10_000, burst: 10_000 };

/** Default settings of the daemons. */
export const FLEET_SETTINGS: ForwardingDaemonSettings = {
  ...DEFAULT_FORWARDING_SETTINGS,
  retries: { ratio: 0.2, slack: 50, windowMs: 10_000, firstStart: false },
  stages: LAB_STAGES,
  duties: undefined,
};

/** The simulated fleet: daemons, the network between them, the record store and the table. */
export class ForwardingFleet {
  /** All attempts that daemons have started, in order. */
  readonly attempts: StartedAttempt[] = [];
  readonly time = new VirtualTime();
  readonly nodes: FleetNode[] = [];
  /** Number of messages between daemons, by kind. */
  readonly messageCounts = new Map<string, number>();
  /** Number of messages between daemons of different regions, by kind. */
  readonly regionMessageCounts = new Map<string, number>();
  /** Ids of the daemons that have sent the load digest of their zone to other relays. */
  readonly zoneDigestSenders = new Set<string>();
  /** Number of events that the daemons have handled, by kind. */
  readonly eventCounts = new Map<string, number>();
  /** The table of leases, usage reports and quarantined back ends. */
  readonly table = new PlatformModel(TABLE_RATE);
  private readonly random: SeededRandom;
  private readonly seeds: readonly string[];
  private readonly nodesByAddress = new Map<string, FleetNode>();
  private readonly store = new SimulatedRecordStore(this.time);

  constructor(
    count: number,
    seed: number,
    private readonly settings: ForwardingDaemonSettings = FLEET_SETTINGS,
    /** Undefined if the platform has no duties. */
    private readonly duties: DutyModel | undefined = undefined,
    /** Number of regions. Each has two zones; a single region has three. */
    private readonly regions = 1,
  ) {
    this.random = new SeededRandom(seed);
    this.seeds = ['10.0.0.0:1', '10.0.0.1:1', '10.0.0.2:1'].slice(0, count);
    for (let index = 0; index < count; index += 1) {
      const zone = `zone-${index % this.getZoneCount()}`;
      const identity = { id: `daemon-${index}.0`, address: `10.0.0.${index}:1`, zone };
      const node: FleetNode = {
        ...identity,
        daemon: this.createDaemon(identity),
        starts: 1,
        access: 'serves',
        silentConnections: new Set(),
        down: false,
        paused: false,
        clockErrorMs: 0,
        reads: 0,
        inForceAt: new Map(),
        backendStates: new Map(),
        removals: [],
        refusals: [],
        logLines: [],
      };
      this.nodes.push(node);
      this.nodesByAddress.set(node.address, node);
      this.time.after(this.random.next() * TICK_MS, () => this.tick(node));
    }
  }

  /** Starts the drain of a daemon, stops its process `stopMs` later and starts it again `downMs` after that. */
  restart(node: FleetNode, stopMs: number, downMs: number): void {
    this.handle(node, { kind: 'beginDrain' });
    this.time.after(stopMs, () => this.kill(node, downMs));
  }

  /** Kills a daemon and starts it again `downMs` later. Does nothing if it is down already. */
  kill(node: FleetNode, downMs: number): void {
    if (node.down) return;
    node.down = true;
    this.time.after(downMs, () => {
      node.id = `${node.id.slice(0, node.id.indexOf('.'))}.${node.starts}`;
      node.starts += 1;
      node.daemon = this.createDaemon(node);
      node.down = false;
    });
  }

  /** Reports a machine suspension of `forMs`, which the monotonic clock did not count, to a daemon. */
  suspend(node: FleetNode, forMs: number): void {
    this.handle(node, { kind: 'clockStoodStill', forMs });
  }

  private createDaemon({ id, address, zone }: Pick<FleetNode, 'id' | 'address' | 'zone'>): ForwardingDaemon {
    return new ForwardingDaemon(
      { id, address, zone, region: this.getRegion(zone) },
      this.seeds.filter((seed) => seed !== address),
      this.settings,
      new SeededRandom(Math.floor(this.random.next() * 2 ** 31)),
      this.time.now(),
    );
  }

  /** Gets the region of a zone. */
  getRegion(zone: string): string {
    if (this.regions === 1) return 'main';
    return `region-${Number(zone.slice('zone-'.length)) % this.regions}`;
  }

  private getZoneCount(): number {
    return this.regions === 1 ? 3 : 2 * this.regions;
  }

  /** Writes a record to the store, or removes it if its value is undefined. Returns the new revision. */
  write(record: StoredRecord): number {
    return this.store.write(record);
  }

  /** Sends a caller's request to a daemon. */
  submit(node: FleetNode, id: string, path = '/a/x', fields: CallerFields = {}): void {
    const arrivedAt = this.time.now();
    const caller = { id, callerId: id, host: 'site.example', path, arrivedAt, callerDeadlineMs: 5000 };
    this.handle(node, { kind: 'submit', request: { prompt: undefined, ...caller, ...fields } });
  }

  /** Called for each attempt that a daemon starts. */
  onAttempt: (node: FleetNode, start: AttemptStart) => void = () => undefined;

  /** Whether a process listens at the address of a back end, and the delay of its check. Milliseconds. */
  isListening: (address: string, from: FleetNode) => boolean = () => true;
  checkDelayMs = 0;

  /** Sends the outcome of an attempt to its daemon. */
  sendAttemptEvent({ node, requestId, attemptId }: StartedAttempt, event: ForwardAttemptEvent): void {
    this.handle(node, { kind: 'attempt', requestId, attemptId, event });
  }

  /** One-way delay of messages. Milliseconds. */
  networkMs = 1.5;

  /** How long a message between daemons takes; messages of one daemon to another arrive in order. Milliseconds. */
  getTransitMs: (from: FleetNode, to: FleetNode, message: PeerMessage) => number = () => this.networkMs;

  /** Whether one daemon can reach another. */
  isLinked: (from: FleetNode, to: FleetNode) => boolean = () => true;

  /** Services for whose lease a daemon has sent a table request. */
  readonly requestedLeases = new Set<string>();

  /** Engines whose state daemons have requested in order to change their stage; these requests are never answered. */
  readonly queriedEngines: { readonly node: FleetNode; readonly backendId: string }[] = [];

  /** Called for each health check that a daemon sends; it stays unanswered unless the test answers it. */
  onProbe: (node: FleetNode, backend: BackendRecord) => void = () => undefined;

  /** All health checks that daemons have sent, in order. */
  readonly probes: { readonly node: FleetNode; readonly backendId: string }[] = [];

  /** Gets the number of reads that all daemons have sent to the store. */
  getReadCount(): number {
    return this.nodes.reduce((sum, node) => sum + node.reads, 0);
  }

  private tick(node: FleetNode): void {
    const wallMs = WALL_START_MS + this.time.now() + node.clockErrorMs;
    if (!node.paused) this.handle(node, { kind: 'tick', wallMs });
    this.time.after(TICK_MS, () => this.tick(node));
  }

  /** Delivers an event to a daemon: at once, after it resumes if it is paused, or never if it is down. */
  handle(node: FleetNode, event: ForwardingEvent): void {
    if (node.down) return;
    if (node.paused) {
      this.time.after(TICK_MS, () => this.handle(node, event));
      return;
    }
    countKind(this.eventCounts, event.kind);
    for (const effect of node.daemon.handle(event, this.time.now())) this.perform(node, effect);
  }

  private perform(node: FleetNode, effect: ForwardingEffect): void {
    switch (effect.kind) {
      case 'sendPeer':
        this.sendPeer(node, effect.address, effect.message);
        break;
      case 'readRecords':
        this.read(node, effect.read);
        break;
      case 'startAttempt': {
        const { requestId, attemptId, backend, prefillOnly } = effect.start;
        this.onAttempt(node, effect.start);
        this.attempts.push({ node, requestId, attemptId, backendId: backend.id, prefillOnly });
        break;
      }
      case 'probeBackend':
        this.probes.push({ node, backendId: effect.probe.backend.id });
        this.onProbe(node, effect.probe.backend);
        break;
      case 'readKvChanges':
        this.answerKvChanges(node, effect.call);
        break;
      case 'leaseTable':
        this.requestedLeases.add(effect.cell);
        this.callTable(node, effect.request, (result) => ({
          kind: 'leaseTableResult',
          cell: effect.cell,
          result,
        }));
        break;
      case 'askEngine':
        this.queriedEngines.push({ node, backendId: effect.backend.id });
        break;
      case 'usageTable':
        this.callTable(node, effect.request, (result) => ({
          kind: 'usageTableResult',
          window: effect.window,
          result,
        }));
        break;
      case 'quarantineTable':
        this.callTable(node, effect.request, (result) => ({ kind: 'quarantineTableResult', result }));
        break;
      case 'checkBackend':
        this.checkBackend(node, effect.backend, effect.via);
        break;
      case 'callDuty':
        this.callDuty(node, effect.call, effect.authority);
        break;
      default:
        this.recordEffect(node, effect);
    }
  }

  /** Records the effects that tests inspect: refusals, configurations in force and changes of back ends. */
  private recordEffect(node: FleetNode, effect: ForwardingEffect): void {
    if (effect.kind === 'replyFailure') {
      const { requestId, status, retryAfterMs } = effect;
      node.refusals.push({ requestId, status, retryAfterMs, at: this.time.now() });
    } else if (effect.kind === 'configurationInForce')
      node.inForceAt.set(effect.configuration.version, this.time.now());
    else if (effect.kind === 'change') this.onChange(node, effect.event, effect.fields);
    else if (effect.kind === 'decision' && effect.event === 'request.refused') node.logLines.push(effect);
  }

  private sendPeer(node: FleetNode, address: string, message: PeerMessage): void {
    const target = this.nodesByAddress.get(address);
    countKind(this.messageCounts, message.kind);
    if (message.kind === 'loadDigest' && message.scope === 'zone') this.zoneDigestSenders.add(node.id);
    if (target && this.getRegion(target.zone) !== this.getRegion(node.zone))
      countKind(this.regionMessageCounts, message.kind);
    if (!target) return;
    this.time.after(this.getTransitMs(node, target, message), () => {
      if (!node.down && this.isLinked(node, target))
        this.handle(target, { kind: 'peerMessage', fromId: node.id, fromAddress: node.address, message });
    });
  }

  private checkBackend(node: FleetNode, backend: BackendIncarnation, via: string | undefined): void {
    const carrier = via === undefined ? node : this.nodesByAddress.get(via);
    const check = () => (carrier && this.isListening(backend.address, carrier) ? 'answered' : 'ended');
    const answer = (): void => this.handle(node, { kind: 'backendChecked', backend, check: check(), via });
    this.time.after(2 * this.networkMs + this.checkDelayMs, answer);
  }

  /** Answers as an idle engine: without changes, when the long poll expires. */
  private answerKvChanges(node: FleetNode, { backend, since, waitMs }: KvChangesCall): void {
    const answer = { epoch: '1', next: since, lost: false, changes: [] };
    this.time.after(waitMs, () => this.handle(node, { kind: 'kvChangesRead', backend, answer }));
  }

  private callTable(
    node: FleetNode,
    request: TableRequest,
    toEvent: (result: TableResult) => ForwardingEvent,
  ): void {
    const reply = (result: TableResult, delayMs: number): void =>
      this.time.after(delayMs, () => this.handle(node, toEvent(result)));
    const perform = (): TableResult =>
      this.table.applyTableRequest(request, this.time.now()) ?? { kind: 'noAnswer', reason: 'down' };
    if (node.access === 'refuses') reply({ kind: 'rateLimited', retryAfterMs: RETRY_AFTER_MS }, STORE_MS);
    else if (node.access === 'serves') this.time.after(STORE_MS / 2, () => reply(perform(), STORE_MS / 2));
    else {
      if (node.access === 'appliesLate') this.time.after(LATE_WRITE_MS, perform);
      reply({ kind: 'noAnswer', reason: 'TimeoutError' }, TABLE_TIMEOUT_MS);
    }
  }

  private callDuty(node: FleetNode, call: DutyCall, authority: DutyAuthority): void {
    this.time.after(DUTY_MS / 2, () => {
      const result = this.duties?.apply(node.address, call, authority, this.time.now());
      if (result) this.time.after(DUTY_MS / 2, () => this.handle(node, { kind: 'dutyResult', call, result }));
    });
  }

  private onChange(node: FleetNode, event: string, fields: Readonly<Record<string, unknown>>): void {
    if (event === 'configuration.changed') node.logLines.push({ event, fields });
    const at = this.time.now();
    const id = String(fields.backend);
    if (event === 'backend.changed') node.backendStates.set(id, { state: String(fields.state), at });
    if (event !== 'backend.removed') return;
    node.backendStates.set(id, { state: 'gone', at });
    node.removals.push(id);
  }

  private read(node: FleetNode, read: RecordRead): void {
    node.reads += 1;
    const { collection } = read;
    const reply = (result: RecordReadResult, delayMs: number): void =>
      this.time.after(delayMs, () => this.handle(node, { kind: 'recordsRead', collection, result }));
    if (node.access === 'refuses') reply({ kind: 'rejected', status: STATUS_UNAVAILABLE }, STORE_MS);
    else if (node.silentConnections.delete(collection) || node.access !== 'serves') {
      const waitedMs = read.after === undefined ? 0 : read.waitMs;
      reply({ kind: 'noAnswer', reason: 'TimeoutError' }, waitedMs + read.answerTimeoutMs);
    } else this.store.read(read, (result) => reply(result, STORE_MS));
  }
}

function countKind(counts: Map<string, number>, kind: string): void {
  counts.set(kind, (counts.get(kind) ?? 0) + 1);
}
