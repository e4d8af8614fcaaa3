/** Forwarding daemons in virtual time before one store of records: their real state machines, no sockets. */
import { ForwardingDaemon, TICK_MS } from '../src/daemon/forwarding-daemon.js';
import {
  DEFAULT_FORWARDING_SETTINGS,
  type ForwardingDaemonSettings,
} from '../src/daemon/forwarding-daemon-settings.js';
import type { ForwardingEffect, ForwardingEvent } from '../src/daemon/forwarding-messages.js';
import type { PeerMessage } from '../src/daemon/peer-messages.js';
import type { BackendIncarnation } from '../src/quarantine/break-watch.js';
import type { RecordRead, RecordReadResult, StoredRecord } from '../src/fleet/record-store.js';
import { SeededRandom } from '../src/shared/random.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { KvChangesCall } from '../src/forwarding/kv-cache/kv-follower.js';
import type { BackendRecord } from '../src/forwarding/routes/route.js';
import type { DutyAuthority, DutyCall } from '../src/duties/duty-messages.js';
import type { TableRequest, TableResult } from '../src/contracts/table-service.js';
import type { DutyModel } from '../lab/duty-model.js';
import { PlatformModel } from '../lab/platform-model.js';
import { LAB_STAGES } from '../lab/stage-settings.js';
import type { CallerFields, FleetNode, StartedAttempt } from './fleet-node.js';
import { VirtualTime } from './virtual-time.js';

export type { CallerFields, FleetNode, StartedAttempt, StoreAccess } from './fleet-node.js';

/** The true time of day when a simulation begins: the start of a window of any usual length. */
export const WALL_START_MS = 1_800_000_000_000;
const STORE_MS = 4;
const STATUS_BUSY = 503;
const TABLE_TIMEOUT_MS = 1000;
/** A write that is carried out late is, so long after it was sent. Milliseconds. */
const LATE_WRITE_MS = 2500;
const REJECTED_PAUSE_MS = 300;
const DUTY_MS = 4;
/** Ample for every fleet: the rate of the store is not what is tested here. */
const TABLE_RATE = { perSecond: 10_000, burst: 10_000 };

/** The settings of the daemons, unless a test has others. */
export const FLEET_SETTINGS: ForwardingDaemonSettings = {
  ...DEFAULT_FORWARDING_SETTINGS,
  retries: { ratio: 0.2, slack: 50, windowMs: 10_000, firstStart: false },
  stages: LAB_STAGES,
  duties: undefined,
};

interface WaitingRead {
  readonly node: FleetNode;
  readonly read: RecordRead;
  readonly answer: () => void;
  done: boolean;
}

/** The fleet. */
export class ForwardingFleet {
  /** Attempts so far, the newest last. */
  readonly attempts: StartedAttempt[] = [];
  readonly time = new VirtualTime();
  readonly nodes: FleetNode[] = [];
  /** Messages between daemons so far, by kind. */
  readonly messageCounts = new Map<string, number>();
  /** The same of messages that cross from one region to another. */
  readonly regionMessageCounts = new Map<string, number>();
  /** Daemons that have told other relays the load of their zone. */
  readonly zoneDigestSenders = new Set<string>();
  /** Events that the daemons have handled so far, by kind. */
  readonly eventCounts = new Map<string, number>();
  /** The table for leases and reports. */
  readonly table = new PlatformModel(TABLE_RATE);
  private readonly random: SeededRandom;
  private readonly seeds: readonly string[];
  private readonly nodesByAddress = new Map<string, FleetNode>();
  private readonly records = new Map<string, StoredRecord>();
  private readonly log: StoredRecord[] = [];
  private readonly waiting = new Set<WaitingRead>();
  private revision = 0;

  constructor(
    count: number,
    seed: number,
    private readonly settings: ForwardingDaemonSettings = FLEET_SETTINGS,
    /** Undefined where the platform asks for no duties. */
    private readonly duties: DutyModel | undefined = undefined,
    /** Each has two zones; a single one has three. */
    private readonly regions = 1,
  ) {
    this.random = new SeededRandom(seed);
    this.seeds = ['10.0.0.0:1', '10.0.0.1:1', '10.0.0.2:1'].slice(0, count);
    for (let index = 0; index < count; index += 1) {
      const zone = `zone-${index % this.countZones()}`;
      const place = { id: `daemon-${index}.0`, address: `10.0.0.${index}:1`, zone };
      const node: FleetNode = {
        ...place,
        daemon: this.createDaemon(place),
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
      };
      this.nodes.push(node);
      this.nodesByAddress.set(node.address, node);
      this.time.after(this.random.next() * TICK_MS, () => this.tick(node));
    }
  }

  /** Asks a daemon to stop, ends it `stopMs` later and starts it again `downMs` after that. */
  restart(node: FleetNode, stopMs: number, downMs: number): void {
    this.handle(node, { kind: 'beginDrain' });
    this.time.after(stopMs, () => this.kill(node, downMs));
  }

  /** Ends a daemon at once and starts it again `downMs` later. One that is down already stays so. */
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

  /** A daemon goes on after a suspension that its clock has not counted. */
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

  /** The region of a zone. */
  getRegion(zone: string): string {
    if (this.regions === 1) return 'main';
    return `region-${Number(zone.slice('zone-'.length)) % this.regions}`;
  }

  private countZones(): number {
    return this.regions === 1 ? 3 : 2 * this.regions;
  }

  /** Writes a record to the store, or removes a back end. Returns its revision. */
  write(record: StoredRecord): number {
    this.revision += 1;
    const written = { ...record, revision: this.revision };
    const key = written.collection === 'backends' ? written.id : 'configuration';
    if (written.value === undefined) this.records.delete(key);
    else this.records.set(key, written);
    this.log.push(written);
    for (const waiting of [...this.waiting]) waiting.answer();
    return this.revision;
  }

  /** Sends a caller's request to a daemon. */
  submit(node: FleetNode, id: string, path = '/a/x', fields: CallerFields = {}): void {
    const arrivedAt = this.time.now();
    const caller = { id, callerId: id, host: 'site.example', path, arrivedAt, callerDeadlineMs: 5000 };
    this.handle(node, { kind: 'submit', request: { prompt: undefined, ...caller, ...fields } });
  }

  /** Hears of each attempt that a daemon starts. */
  onAttempt: (node: FleetNode, start: AttemptStart) => void = () => undefined;

  /** Whether somebody listens at the address of a back end. */
  isListening: (address: string) => boolean = () => true;

  /** Tells a daemon what became of an attempt. */
  sendAttemptEvent({ node, requestId, attemptId }: StartedAttempt, event: ForwardAttemptEvent): void {
    this.handle(node, { kind: 'attempt', requestId, attemptId, event });
  }

  /** Time that a message between daemons takes. Milliseconds. */
  networkMs = 1.5;

  /** Whether messages pass from one daemon to another. */
  isLinked: (from: FleetNode, to: FleetNode) => boolean = () => true;

  /** Services whose lease some daemon has asked for. */
  readonly requestedLeases = new Set<string>();

  /** Engines that daemons have asked for their state, to change their stage; they never answer. */
  readonly queriedEngines: { readonly node: FleetNode; readonly backendId: string }[] = [];

  /** Hears of each health check that a daemon asks for; none is answered unless the test does. */
  onProbe: (node: FleetNode, backend: BackendRecord) => void = () => undefined;

  /** Health checks that daemons have asked for. */
  readonly probes: { readonly node: FleetNode; readonly backendId: string }[] = [];

  /** Reads that the store has seen from all daemons. */
  getReadCount(): number {
    return this.nodes.reduce((sum, node) => sum + node.reads, 0);
  }

  private tick(node: FleetNode): void {
    const wallMs = WALL_START_MS + this.time.now() + node.clockErrorMs;
    if (!node.paused) this.handle(node, { kind: 'tick', wallMs });
    this.time.after(TICK_MS, () => this.tick(node));
  }

  /** Gives an event to a daemon: at once, later if it stands still, never if it is down. */
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
        const { requestId, attemptId, backend } = effect.start;
        this.onAttempt(node, effect.start);
        this.attempts.push({ node, requestId, attemptId, backendId: backend.id });
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
        this.checkBackend(node, effect.backend);
        break;
      case 'callDuty':
        this.callDuty(node, effect.call, effect.authority);
        break;
      default:
        this.note(node, effect);
    }
  }

  /** Keeps what tests look at: answers of a daemon's own, configurations in force and states of back ends. */
  private note(node: FleetNode, effect: ForwardingEffect): void {
    if (effect.kind === 'replyFailure') {
      const { requestId, status, retryAfterMs } = effect;
      node.refusals.push({ requestId, status, retryAfterMs, at: this.time.now() });
    } else if (effect.kind === 'configurationInForce')
      node.inForceAt.set(effect.configuration.version, this.time.now());
    else if (effect.kind === 'change') this.onChange(node, effect.event, effect.fields);
  }

  private sendPeer(node: FleetNode, address: string, message: PeerMessage): void {
    const target = this.nodesByAddress.get(address);
    countKind(this.messageCounts, message.kind);
    if (message.kind === 'loadDigest' && message.scope === 'zone') this.zoneDigestSenders.add(node.id);
    if (target && this.getRegion(target.zone) !== this.getRegion(node.zone))
      countKind(this.regionMessageCounts, message.kind);
    this.time.after(this.networkMs, () => {
      if (target && !node.down && this.isLinked(node, target))
        this.handle(target, { kind: 'peerMessage', fromId: node.id, fromAddress: node.address, message });
    });
  }

  private checkBackend(node: FleetNode, backend: BackendIncarnation): void {
    const check = this.isListening(backend.address) ? 'answered' : 'ended';
    this.time.after(2 * this.networkMs, () => this.handle(node, { kind: 'backendChecked', backend, check }));
  }

  /** An engine without work: it holds the call as long as it may and then tells of no change. */
  private answerKvChanges(node: FleetNode, { backend, since, waitMs }: KvChangesCall): void {
    const answer = { epoch: '1', next: since, lost: false, changes: [] };
    this.time.after(waitMs, () => this.handle(node, { kind: 'kvChangesRead', backend, answer }));
  }

  private callTable(
    node: FleetNode,
    request: TableRequest,
    toEvent: (result: TableResult) => ForwardingEvent,
  ): void {
    const give = (result: TableResult, delayMs: number): void =>
      this.time.after(delayMs, () => this.handle(node, toEvent(result)));
    const perform = (): TableResult =>
      this.table.applyTableRequest(request, this.time.now()) ?? { kind: 'noAnswer', reason: 'down' };
    if (node.access === 'refuses') give({ kind: 'rateLimited', retryAfterMs: REJECTED_PAUSE_MS }, STORE_MS);
    else if (node.access === 'serves') this.time.after(STORE_MS / 2, () => give(perform(), STORE_MS / 2));
    else {
      if (node.access === 'appliesLate') this.time.after(LATE_WRITE_MS, perform);
      give({ kind: 'noAnswer', reason: 'TimeoutError' }, TABLE_TIMEOUT_MS);
    }
  }

  private callDuty(node: FleetNode, call: DutyCall, authority: DutyAuthority): void {
    this.time.after(DUTY_MS / 2, () => {
      const result = this.duties?.apply(node.address, call, authority, this.time.now());
      if (result) this.time.after(DUTY_MS / 2, () => this.handle(node, { kind: 'dutyResult', call, result }));
    });
  }

  private onChange(node: FleetNode, event: string, fields: Readonly<Record<string, unknown>>): void {
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
    const give = (result: RecordReadResult, delayMs: number): void =>
      this.time.after(delayMs, () => this.handle(node, { kind: 'recordsRead', collection, result }));
    if (node.access === 'refuses') {
      give({ kind: 'rejected', status: STATUS_BUSY }, STORE_MS);
    } else if (node.silentConnections.delete(collection) || node.access !== 'serves') {
      const heldMs = read.after === undefined ? 0 : read.waitMs;
      give({ kind: 'noAnswer', reason: 'TimeoutError' }, heldMs + read.answerTimeoutMs);
    } else if (read.after === undefined) {
      const records = [...this.records.values()].filter((record) => record.collection === collection);
      give({ kind: 'snapshot', revision: this.revision, records, storeMs: this.time.now() }, STORE_MS);
    } else this.feed(node, read, read.after, give);
  }

  private feed(
    node: FleetNode,
    read: RecordRead,
    after: number,
    give: (result: RecordReadResult, delayMs: number) => void,
  ): void {
    const changes = (): StoredRecord[] =>
      this.log.filter((record) => record.collection === read.collection && record.revision > after);
    const waiting: WaitingRead = {
      node,
      read,
      done: false,
      answer: () => {
        if (waiting.done || (changes().length === 0 && this.time.now() < until)) return;
        waiting.done = true;
        this.waiting.delete(waiting);
        const storeMs = this.time.now();
        give({ kind: 'changes', revision: this.revision, records: changes(), storeMs }, STORE_MS);
      },
    };
    const until = this.time.now() + read.waitMs;
    this.waiting.add(waiting);
    this.time.after(read.waitMs, waiting.answer);
    waiting.answer();
  }
}

function countKind(counts: Map<string, number>, kind: string): void {
  counts.set(kind, (counts.get(kind) ?? 0) + 1);
}
