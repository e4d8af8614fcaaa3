/**
 * A fleet of quota managers in virtual time, with a simulated membership and network. Records each granted and refused
 * request, so that tests can check the tokens of a tenant over all daemons.
 */
import { SeededRandom } from '../src/shared/random.js';
import { QuotaManager, type QuotaEffect } from '../src/quotas/quota-manager.js';
import type { QuotaLimit, QuotaSettings } from '../src/quotas/quota-settings.js';
import type { Member } from '../src/membership/membership-messages.js';
import { VirtualTime } from './virtual-time.js';

/** Interval of a manager's timer. Milliseconds. */
export const TICK_MS = 40;
/** Interval at which a daemon has contact with a random peer. Milliseconds. */
const GOSSIP_INTERVAL_MS = 300;
/** Time after which peers remove an unreachable daemon from their members. Milliseconds. */
const FAILURE_DETECTION_MS = 5600;
/** Longest time after which a peer adds a new daemon to its members. Milliseconds. */
const MAXIMUM_JOIN_MS = 1500;
/** A longer gap between ticks counts as a process pause. Milliseconds. */
const PAUSE_DETECTION_MS = 250;

/** One simulated daemon. */
export interface QuotaNode {
  readonly index: number;
  /** Changes with each restart. */
  id: string;
  manager: QuotaManager;
  /** The members that this daemon knows, itself included. */
  members: Member[];
  /** The process is not running. */
  down: boolean;
  /** Cut off from all other daemons. */
  partitioned: boolean;
  /** The process is paused. */
  paused: boolean;
  tickedAt: number;
  /** Deliveries that arrived while the process was paused. */
  pendingDeliveries: (() => void)[];
}

/** A decided request of one tenant. */
export interface Arrival {
  readonly tenant: string;
  /** Index of the daemon. */
  readonly node: number;
  readonly at: number;
  readonly tokens: number;
}

/** The simulated fleet. */
export class QuotaFleet {
  readonly time = new VirtualTime();
  readonly nodes: QuotaNode[] = [];
  /** Granted requests, in order. */
  readonly arrivals: Arrival[] = [];
  readonly refusals: (Arrival & { retryAfterMs: number; reason: unknown })[] = [];
  /** Number of quota messages that daemons have sent. */
  messageCount = 0;
  /** Chance that a message is lost. */
  lossRate = 0;
  /** Mean one-way delay of messages. Milliseconds. */
  networkMs = 1.5;
  private limits: ReadonlyMap<string, QuotaLimit>;
  private readonly random: SeededRandom;
  private readonly openRequests = new Map<string, { node: QuotaNode; tenant: string; tokens: number }>();
  private requests = 0;
  private starts = 0;

  constructor(
    count: number,
    seed: number,
    private readonly settings: QuotaSettings,
    limits: ReadonlyMap<string, QuotaLimit>,
  ) {
    this.random = new SeededRandom(seed);
    this.limits = limits;
    for (let index = 0; index < count; index += 1) this.nodes.push(this.createNode(index));
    const members = this.nodes.map((node) => createMember(node));
    for (const node of this.nodes) {
      node.members = members;
      this.startNode(node);
    }
  }

  /** Kills daemons without notice, as in a power failure, and starts them again after `downMs`. */
  kill(nodes: readonly QuotaNode[], downMs: number): void {
    for (const node of nodes) {
      node.down = true;
      const { id } = node;
      this.time.after(FAILURE_DETECTION_MS, () => this.removeMember(id));
      this.time.after(downMs, () => this.restart(node));
    }
  }

  /** Partitions a daemon from all others. Both sides detect it, and discover each other again when it ends. */
  partition(node: QuotaNode, forMs: number): void {
    node.partitioned = true;
    const { id } = node;
    this.time.after(FAILURE_DETECTION_MS, () => {
      if (!node.partitioned || node.id !== id) return;
      this.removeMember(id);
      node.members = node.members.filter((member) => member.id === node.id);
    });
    this.time.after(forMs, () => {
      node.partitioned = false;
      this.addToMembers(node);
    });
  }

  /** Pauses a daemon's process. */
  pause(node: QuotaNode, forMs: number): void {
    node.paused = true;
    this.time.after(forMs, () => {
      node.paused = false;
      const pending = node.pendingDeliveries;
      node.pendingDeliveries = [];
      if (!node.down) this.tickNode(node);
      for (const run of pending) run();
    });
  }

  /**
   * Puts a configuration into force at each daemon after a random delay, and not at all at the daemons of `without`.
   */
  configure(limits: ReadonlyMap<string, QuotaLimit>, without: readonly QuotaNode[] = []): void {
    this.limits = limits;
    for (const node of this.nodes) {
      if (without.includes(node)) continue;
      this.time.after(this.random.next() * 500, () => node.manager.setLimits(limits, this.time.now()));
    }
  }

  /** Sends a request of a tenant to a daemon, which must decide it within `waitMs`. Returns the request's id. */
  request(node: QuotaNode, tenant: string, tokens: number, waitMs = 60): string {
    this.requests += 1;
    const id = `r${this.requests}`;
    this.deliver(node, () => {
      const decision = node.manager.take(
        tenant,
        { requestId: id, tokens, decideBy: this.time.now() + waitMs },
        this.time.now(),
      );
      this.openRequests.set(id, { node, tenant, tokens });
      if (decision) this.receiveDecision(id, decision);
    });
    return id;
  }

  /** Cancels a waiting request, as when its caller disconnects. */
  cancelRequest(id: string): void {
    const open = this.openRequests.get(id);
    if (!open) return;
    this.openRequests.delete(id);
    open.node.manager.remove(id);
  }

  /** Gets the highest number of tokens granted to a tenant within any window of this length. */
  getWorstWindow(tenant: string, windowMs: number, from = -Infinity): number {
    const ofTenant = this.arrivals.filter((arrival) => arrival.tenant === tenant && arrival.at >= from);
    let first = 0;
    let sum = 0;
    let worst = 0;
    for (const { at, tokens } of ofTenant) {
      sum += tokens;
      while (ofTenant[first].at <= at - windowMs) sum -= ofTenant[first++].tokens;
      worst = Math.max(worst, sum);
    }
    return worst;
  }

  private createNode(index: number): QuotaNode {
    const node = {
      index,
      id: `daemon-${index}.0`,
      members: [] as Member[],
      down: false,
      partitioned: false,
      paused: false,
      tickedAt: 0,
      pendingDeliveries: [],
    };
    return Object.assign(node, { manager: this.createManager(node as unknown as QuotaNode) });
  }

  private createManager(node: QuotaNode): QuotaManager {
    return new QuotaManager(
      node.id,
      this.settings,
      () => {
        const { members } = node;
        const joined = members.length > 1 || this.nodes.length === 1;
        return { members, knownCount: this.nodes.length, joined };
      },
      this.random,
      (effect) => this.perform(node, effect),
    );
  }

  private startNode(node: QuotaNode): void {
    const { id } = node;
    node.manager.setLimits(this.limits, this.time.now());
    node.tickedAt = this.time.now();
    const tick = (): void => {
      if (node.id !== id || node.down) return;
      if (!node.paused) this.tickNode(node);
      this.time.after(TICK_MS, tick);
    };
    const gossip = (): void => {
      if (node.id !== id || node.down) return;
      const others = this.nodes.filter((other) => other !== node);
      const peer = others[Math.floor(this.random.next() * others.length)];
      for (const [from, to] of [
        [node, peer],
        [peer, node],
      ])
        this.send(from, to, () => to.manager.onContact(from.id, this.time.now()));
      this.time.after(GOSSIP_INTERVAL_MS, gossip);
    };
    this.time.after(this.random.next() * TICK_MS, tick);
    this.time.after(this.random.next() * GOSSIP_INTERVAL_MS, gossip);
  }

  private tickNode(node: QuotaNode): void {
    const now = this.time.now();
    if (now - node.tickedAt > PAUSE_DETECTION_MS) node.manager.onProcessResumed(now);
    node.tickedAt = now;
    node.manager.tick(now);
  }

  private restart(node: QuotaNode): void {
    this.starts += 1;
    node.id = `daemon-${node.index}.${this.starts}`;
    node.down = false;
    node.members = [createMember(node)];
    node.manager = this.createManager(node);
    this.startNode(node);
    this.time.after(200, () => this.addToMembers(node));
  }

  private addToMembers(node: QuotaNode): void {
    const self = createMember(node);
    const up = this.nodes.filter((other) => !other.down && !other.partitioned);
    node.members = up.map((other) => createMember(other));
    for (const other of up) {
      this.time.after(this.random.next() * MAXIMUM_JOIN_MS, () => {
        if (
          !other.down &&
          !node.down &&
          node.id === self.id &&
          !other.members.some(({ id }) => id === self.id)
        )
          other.members = [...other.members, self];
      });
    }
  }

  private removeMember(id: string): void {
    for (const node of this.nodes)
      node.members = node.members.filter((member) => member.id !== id || id === node.id);
  }

  private perform(node: QuotaNode, effect: QuotaEffect): void {
    if (effect.kind === 'decide') {
      this.receiveDecision(effect.requestId, effect.decision);
      return;
    }
    this.messageCount += 1;
    const target = this.nodes.find((other) => getAddress(other) === effect.address) as QuotaNode;
    const { id } = node;
    this.send(node, target, () => {
      target.manager.onContact(id, this.time.now());
      target.manager.receive(id, getAddress(node), effect.message, this.time.now());
    });
  }

  private send(from: QuotaNode, to: QuotaNode, run: () => void): void {
    const isLost = from.partitioned || from.down || from.paused || this.random.next() < this.lossRate;
    if (isLost && from !== to) return;
    const { id } = to;
    this.time.after(this.networkMs * (0.5 + this.random.next()), () => {
      if (to.id === id && (!to.partitioned || from === to)) this.deliver(to, run);
    });
  }

  private deliver(node: QuotaNode, run: () => void): void {
    if (node.down) return;
    if (node.paused) node.pendingDeliveries.push(run);
    else run();
  }

  private receiveDecision(
    id: string,
    decision:
      | { kind: 'granted' }
      | { kind: 'refused'; retryAfterMs: number; fields: Readonly<Record<string, unknown>> },
  ): void {
    const open = this.openRequests.get(id);
    if (!open) return;
    this.openRequests.delete(id);
    const arrival = { tenant: open.tenant, node: open.node.index, at: this.time.now(), tokens: open.tokens };
    if (decision.kind === 'granted') this.arrivals.push(arrival);
    else
      this.refusals.push({ ...arrival, retryAfterMs: decision.retryAfterMs, reason: decision.fields.reason });
  }
}

function getAddress({ index }: QuotaNode): string {
  return `10.0.0.${index}:1`;
}

function createMember(node: QuotaNode): Member {
  return {
    id: node.id,
    address: getAddress(node),
    zone: 'zone-a',
    region: 'main',
    incarnation: 0,
    state: 'alive',
  };
}
