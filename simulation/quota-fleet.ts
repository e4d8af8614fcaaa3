/** The quotas of many daemons in virtual time, with an observer that sees every request that is granted. */
import { SeededRandom } from '../src/shared/random.js';
import { QuotaManager, type QuotaEffect } from '../src/quotas/quota-manager.js';
import type { QuotaLimit, QuotaSettings } from '../src/quotas/quota-settings.js';
import type { Member } from '../src/membership/membership-messages.js';
import { VirtualTime } from './virtual-time.js';

export const TICK_MS = 40;
const CHATTER_MS = 300;
/** A lost daemon is noticed after so long, a new one at most after so long. Milliseconds. */
const NOTICE_MS = 5600;
const JOIN_MS = 1500;
const PAUSE_MS = 250;

/** One daemon. */
export interface QuotaNode {
  readonly index: number;
  id: string;
  manager: QuotaManager;
  members: Member[];
  down: boolean;
  partitioned: boolean;
  paused: boolean;
  tickedAt: number;
  /** What arrived while it stood still. */
  pendingDeliveries: (() => void)[];
}

/** Tokens of one tenant that were sent to a server. */
export interface Arrival {
  readonly tenant: string;
  readonly node: number;
  readonly at: number;
  readonly tokens: number;
}

/** The fleet. */
export class QuotaFleet {
  readonly time = new VirtualTime();
  readonly nodes: QuotaNode[] = [];
  readonly arrivals: Arrival[] = [];
  readonly refusals: (Arrival & { retryAfterMs: number; reason: unknown })[] = [];
  messageCount = 0;
  lossRate = 0;
  networkMs = 1.5;
  private limits: ReadonlyMap<string, QuotaLimit>;
  private readonly random: SeededRandom;
  private readonly open = new Map<string, { node: QuotaNode; tenant: string; tokens: number }>();
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
    const members = this.nodes.map((node) => memberOf(node));
    for (const node of this.nodes) {
      node.members = members;
      this.begin(node);
    }
  }

  /** Kills daemons at once, as power goes, and starts them again. */
  kill(nodes: readonly QuotaNode[], downMs: number): void {
    for (const node of nodes) {
      node.down = true;
      const { id } = node;
      this.time.after(NOTICE_MS, () => this.forget(id));
      this.time.after(downMs, () => this.restart(node));
    }
  }

  /** Cuts a daemon off from all others; it and they notice, and find each other again after the end. */
  partition(node: QuotaNode, forMs: number): void {
    node.partitioned = true;
    const { id } = node;
    this.time.after(NOTICE_MS, () => {
      if (!node.partitioned || node.id !== id) return;
      this.forget(id);
      node.members = node.members.filter((member) => member.id === node.id);
    });
    this.time.after(forMs, () => {
      node.partitioned = false;
      this.meet(node);
    });
  }

  /** Lets a daemon stand still. */
  pause(node: QuotaNode, forMs: number): void {
    node.paused = true;
    this.time.after(forMs, () => {
      node.paused = false;
      const held = node.pendingDeliveries;
      node.pendingDeliveries = [];
      if (!node.down) this.tickNode(node);
      for (const run of held) run();
    });
  }

  /**
   * A configuration comes into force everywhere, at each daemon a little later, at those left out not at all.
   */
  configure(limits: ReadonlyMap<string, QuotaLimit>, without: readonly QuotaNode[] = []): void {
    this.limits = limits;
    for (const node of this.nodes) {
      if (without.includes(node)) continue;
      this.time.after(this.random.next() * 500, () => node.manager.setLimits(limits, this.time.now()));
    }
  }

  /** Sends a request of a tenant to a daemon. */
  request(node: QuotaNode, tenant: string, tokens: number, waitMs = 60): string {
    this.requests += 1;
    const id = `r${this.requests}`;
    this.deliver(node, () => {
      const decision = node.manager.take(
        tenant,
        { requestId: id, tokens, decideBy: this.time.now() + waitMs },
        this.time.now(),
      );
      this.open.set(id, { node, tenant, tokens });
      if (decision) this.decide(id, decision);
    });
    return id;
  }

  /** The caller of a request that waits leaves. */
  cancelRequest(id: string): void {
    const open = this.open.get(id);
    if (!open) return;
    this.open.delete(id);
    open.node.manager.remove(id);
  }

  /** The most tokens of a tenant within any window. */
  getWorstWindow(tenant: string, windowMs: number, from = -Infinity): number {
    const own = this.arrivals.filter((arrival) => arrival.tenant === tenant && arrival.at >= from);
    let first = 0;
    let sum = 0;
    let worst = 0;
    for (const { at, tokens } of own) {
      sum += tokens;
      while (own[first].at <= at - windowMs) sum -= own[first++].tokens;
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
      cut: false,
      frozen: false,
      tickedAt: 0,
      held: [],
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

  private begin(node: QuotaNode): void {
    const { id } = node;
    node.manager.setLimits(this.limits, this.time.now());
    node.tickedAt = this.time.now();
    const tick = (): void => {
      if (node.id !== id || node.down) return;
      if (!node.paused) this.tickNode(node);
      this.time.after(TICK_MS, tick);
    };
    const chatter = (): void => {
      if (node.id !== id || node.down) return;
      const others = this.nodes.filter((other) => other !== node);
      const peer = others[Math.floor(this.random.next() * others.length)];
      for (const [from, to] of [
        [node, peer],
        [peer, node],
      ])
        this.pass(from, to, () => to.manager.onContact(from.id, this.time.now()));
      this.time.after(CHATTER_MS, chatter);
    };
    this.time.after(this.random.next() * TICK_MS, tick);
    this.time.after(this.random.next() * CHATTER_MS, chatter);
  }

  private tickNode(node: QuotaNode): void {
    const now = this.time.now();
    if (now - node.tickedAt > PAUSE_MS) node.manager.onProcessResumed(now);
    node.tickedAt = now;
    node.manager.tick(now);
  }

  private restart(node: QuotaNode): void {
    this.starts += 1;
    node.id = `daemon-${node.index}.${this.starts}`;
    node.down = false;
    node.members = [memberOf(node)];
    node.manager = this.createManager(node);
    this.begin(node);
    this.time.after(200, () => this.meet(node));
  }

  private meet(node: QuotaNode): void {
    const own = memberOf(node);
    const up = this.nodes.filter((other) => !other.down && !other.partitioned);
    node.members = up.map((other) => memberOf(other));
    for (const other of up) {
      this.time.after(this.random.next() * JOIN_MS, () => {
        if (!other.down && !node.down && node.id === own.id && !other.members.some(({ id }) => id === own.id))
          other.members = [...other.members, own];
      });
    }
  }

  private forget(id: string): void {
    for (const node of this.nodes)
      node.members = node.members.filter((member) => member.id !== id || id === node.id);
  }

  private perform(node: QuotaNode, effect: QuotaEffect): void {
    if (effect.kind === 'decide') {
      this.decide(effect.requestId, effect.decision);
      return;
    }
    this.messageCount += 1;
    const target = this.nodes.find((other) => addressOf(other) === effect.address) as QuotaNode;
    const { id } = node;
    this.pass(node, target, () => {
      target.manager.onContact(id, this.time.now());
      target.manager.receive(id, addressOf(node), effect.message, this.time.now());
    });
  }

  private pass(from: QuotaNode, to: QuotaNode, run: () => void): void {
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

  private decide(
    id: string,
    decision:
      | { kind: 'granted' }
      | { kind: 'refused'; retryAfterMs: number; fields: Readonly<Record<string, unknown>> },
  ): void {
    const open = this.open.get(id);
    if (!open) return;
    this.open.delete(id);
    const arrival = { tenant: open.tenant, node: open.node.index, at: this.time.now(), tokens: open.tokens };
    if (decision.kind === 'granted') this.arrivals.push(arrival);
    else
      this.refusals.push({ ...arrival, retryAfterMs: decision.retryAfterMs, reason: decision.fields.reason });
  }
}

function addressOf({ index }: QuotaNode): string {
  return `10.0.0.${index}:1`;
}

function memberOf(node: QuotaNode): Member {
  return {
    id: node.id,
    address: addressOf(node),
    zone: 'zone-a',
    region: 'main',
    incarnation: 0,
    state: 'alive',
  };
}
