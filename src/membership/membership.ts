/**
 * Membership of daemons: a gossip protocol based on SWIM (Das, Gupta and Motivala, 2002) with suspicion and
 * incarnations. Probes prefer the local zone, so that most traffic stays there.
 */
import type { EffectSink } from '../shared/effect-sink.js';
import type { RandomSource } from '../shared/random.js';
import { GossipQueue } from './gossip-queue.js';
import { MemberList, type ContactCount } from './member-list.js';
import { isGone, overrides } from './member-rules.js';
import type { MembershipSettings } from './membership-settings.js';
import { ProbeOrder } from './probe-order.js';
import {
  decodeMember,
  encodeMember,
  type Member,
  type MemberState,
  type MembershipMessage,
  type MemberUpdate,
} from './membership-messages.js';

/** Effects of the membership protocol: messages to send, and changes of a member's state. */
export type MembershipEffect =
  | { readonly kind: 'sendMembership'; readonly address: string; readonly message: MembershipMessage }
  | { readonly kind: 'memberChanged'; readonly member: Member; readonly previous: MemberState | undefined };

interface Probe {
  readonly sequence: number;
  readonly target: string;
  readonly sentAt: number;
  indirect: boolean;
  /** For a probe on behalf of another daemon: the address and the sequence number of the answer. */
  readonly onBehalfOf?: { readonly address: string; readonly sequence: number };
}

/** Approximate number of daemons in the fleet that contact a lost seed in one interval. */
const LOST_SEED_TRIES = 3;
/** Number of list exchanges at the short interval after a daemon has started. */
const STARTUP_SYNCS = 5;
/**
 * Interval of these, and of those before another daemon has answered. Milliseconds. 72 daemons that start
 * together agree within about a second; at 2000 their views were incomplete for 6 to 10 s, and several daemons
 * claimed ownership of the same object (virtual time, 12 seeds).
 */
const STARTUP_SYNC_INTERVAL_MS = 500;

/** The membership state machine of one daemon. Times are monotonic milliseconds. */
export class Membership {
  private readonly list = new MemberList();
  private readonly gossip = new GossipQueue();
  private readonly probes = new Map<number, Probe>();
  /** Rounds of probes over the local zone and over the other zones. */
  private readonly ownZoneOrder: ProbeOrder;
  private readonly otherZonesOrder: ProbeOrder;
  private sequence = 0;
  private nextProbeAt: number;
  private nextSyncAt: number;
  private nextDeadProbeAt = 0;
  private syncCount = 0;
  private joinedAt: number | undefined;
  private lastContactAt = -Infinity;

  constructor(
    private self: Member,
    private readonly seeds: readonly string[],
    private readonly settings: MembershipSettings,
    private readonly random: RandomSource,
    private readonly emit: EffectSink<MembershipEffect>,
    now: number,
  ) {
    this.ownZoneOrder = new ProbeOrder(random);
    this.otherZonesOrder = new ProbeOrder(random);
    this.list.set(self, now);
    this.nextProbeAt = now + random.next() * settings.probeIntervalMs;
    this.nextSyncAt = now;
    this.enqueueGossip(self.id);
  }

  /** All members that are neither dead nor leaving, this daemon included. */
  getActive(): readonly Member[] {
    return this.list.getActive();
  }

  /** Ids of the active members; the same array until one of them changes. */
  getActiveIds(): readonly string[] {
    return this.list.getActiveIds();
  }

  /** All members, dead ones included. */
  getAll(): readonly Member[] {
    return this.list.getAll();
  }

  /** The state of one daemon; undefined if it is unknown. */
  get(id: string): Member | undefined {
    return this.list.get(id);
  }

  /** Counts for the majority rule: daemons that are alive, and all that count. */
  getContact(): ContactCount {
    return this.list.getContact();
  }

  /** Number of daemons that may be serving, among which a limit of the whole fleet is divided. */
  getSharingDaemonCount(): number {
    return this.list.getNameCount();
  }

  /** Whether every seed is known. A group that started while partitioned from the others may not know their number. */
  hasAllSeeds(): boolean {
    return this.seeds.every((address) => address === this.self.address || this.list.hasAddress(address));
  }

  /** When the last answered probe was sent. Monotonic milliseconds; -Infinity before the first answer. */
  getLastContactAt(): number {
    return this.lastContactAt;
  }

  /** Whether another daemon has sent its list, or there is no seed. */
  hasJoined(): boolean {
    return this.joinedAt !== undefined || this.seeds.length === 0;
  }

  /** Announces to all active members that this daemon is leaving, so that they send it no more work. */
  leave(now: number): void {
    this.self = { ...this.self, state: 'leaving' };
    this.list.set(this.self, now);
    this.enqueueGossip(this.self.id);
    for (const member of this.getActive()) {
      this.send(member.address, { kind: 'sync', reply: false, members: [encodeMember(this.self)] });
    }
  }

  /** Advances timers: probes, suspicion, anti-entropy. */
  tick(now: number): void {
    this.checkProbes(now);
    this.checkSuspicion(now);
    if (now >= this.nextProbeAt) {
      this.nextProbeAt = now + this.settings.probeIntervalMs;
      this.probeNext(now);
    }
    if (now >= this.nextDeadProbeAt) this.probeDeadMember(now);
    if (now >= this.nextSyncAt) this.syncWithOne(now);
  }

  private probeDeadMember(now: number): void {
    this.nextDeadProbeAt = now + this.settings.deadProbeIntervalMs;
    const dead = this.getAll().filter((member) => member.state === 'dead');
    if (dead.length > 0) this.probe(dead[this.random.below(dead.length)].id, now);
  }

  /** Handles a message from the daemon `fromId` at `fromAddress`. */
  receive(fromId: string, fromAddress: string, message: MembershipMessage, now: number): void {
    switch (message.kind) {
      case 'ping':
        this.receivePing(fromAddress, message, now);
        break;
      case 'ack':
        this.receiveAck(fromId, message, now);
        break;
      case 'pingRequest':
        this.probe(message.target, now, { address: fromAddress, sequence: message.sequence });
        break;
      case 'syncDigest':
        if (message.digest !== this.list.getDigest()) {
          this.send(fromAddress, { kind: 'sync', reply: true, members: this.encodeAll() });
        }
        break;
      case 'sync':
        this.joinedAt ??= now;
        this.applyList(fromId, message.members, now);
        if (message.reply) this.send(fromAddress, { kind: 'sync', reply: false, members: this.encodeAll() });
        break;
    }
  }

  private receivePing(
    fromAddress: string,
    message: Extract<MembershipMessage, { kind: 'ping' }>,
    now: number,
  ): void {
    this.applyAll(message.updates, now);
    if (message.target !== this.self.id) {
      // The target was an earlier process at this address: report it as dead, and this daemon as its successor.
      const previous = this.list.get(message.target);
      if (previous) this.apply({ ...previous, state: 'dead' }, now);
      const updates = previous
        ? [encodeMember(this.self), encodeMember({ ...previous, state: 'dead' })]
        : [encodeMember(this.self)];
      this.send(fromAddress, { kind: 'sync', reply: false, members: updates });
      return;
    }
    this.send(fromAddress, { kind: 'ack', sequence: message.sequence, updates: this.takeGossip() });
  }

  private receiveAck(
    fromId: string,
    message: Extract<MembershipMessage, { kind: 'ack' }>,
    now: number,
  ): void {
    this.applyAll(message.updates, now);
    const probe = this.probes.get(message.sequence);
    if (!probe) return;
    this.probes.delete(message.sequence);
    this.lastContactAt = Math.max(this.lastContactAt, probe.sentAt);
    if (probe.onBehalfOf) {
      this.send(probe.onBehalfOf.address, { kind: 'ack', sequence: probe.onBehalfOf.sequence, updates: [] });
    }
    const known = this.list.get(fromId);
    if (known?.state === 'suspect') this.enqueueGossip(fromId);
  }

  private checkProbes(now: number): void {
    for (const probe of [...this.probes.values()]) {
      const age = now - probe.sentAt;
      if (probe.onBehalfOf) {
        if (age > this.settings.probeIntervalMs) this.probes.delete(probe.sequence);
      } else if (!probe.indirect && age >= this.settings.probeTimeoutMs) {
        probe.indirect = true;
        this.askOthersToProbe(probe);
      } else if (age >= this.settings.probeIntervalMs) {
        this.probes.delete(probe.sequence);
        this.suspect(probe.target, now);
      }
    }
  }

  private askOthersToProbe(probe: Probe): void {
    const others = this.getActive().filter((peer) => peer.id !== this.self.id && peer.id !== probe.target);
    for (let count = 0; count < this.settings.indirectProbes && others.length > 0; count += 1) {
      const [helper] = others.splice(this.random.below(others.length), 1);
      this.send(helper.address, { kind: 'pingRequest', sequence: probe.sequence, target: probe.target });
    }
  }

  private suspect(id: string, now: number): void {
    const member = this.list.get(id);
    if (member?.state === 'alive') this.apply({ ...member, state: 'suspect' }, now);
    else if (member?.state === 'leaving') this.apply({ ...member, state: 'dead' }, now);
  }

  private checkSuspicion(now: number): void {
    const notAlive = this.list.getNotAlive();
    if (notAlive.length === 0) return;
    const scale = Math.max(1, Math.log10(this.list.size + 1));
    for (const { member, changedAt } of notAlive) {
      if (member.id === this.self.id) continue;
      const age = now - changedAt;
      if (member.state === 'suspect' && age > this.settings.suspicionMs * scale) {
        this.apply({ ...member, state: 'dead' }, now);
      } else if (isGone(member.state) && age > this.settings.deadRetentionMs) {
        this.remove(member.id);
      }
    }
  }

  private remove(id: string): void {
    this.list.remove(id);
    this.gossip.remove(id);
  }

  private probeNext(now: number): void {
    const preferOwnZone = this.random.next() < this.settings.ownZoneChance;
    const orders = preferOwnZone
      ? [this.ownZoneOrder, this.otherZonesOrder]
      : [this.otherZonesOrder, this.ownZoneOrder];
    for (const order of orders) {
      const target = this.pickTarget(order);
      if (target === undefined) continue;
      this.probe(target, now);
      return;
    }
  }

  private pickTarget(order: ProbeOrder): string | undefined {
    const inOwnZone = order === this.ownZoneOrder;
    for (let attempt = 0; attempt <= this.list.size; attempt += 1) {
      const id = order.pickNext(() => this.getMembersToProbe(inOwnZone));
      if (id === undefined) return undefined;
      const state = this.list.get(id)?.state;
      if (state !== undefined && state !== 'dead') return id;
    }
    return undefined;
  }

  private getMembersToProbe(inOwnZone: boolean): string[] {
    const members = this.getAll().filter((member) => member.id !== this.self.id && member.state !== 'dead');
    return members
      .filter((member) => (member.zone === this.self.zone) === inOwnZone)
      .map((member) => member.id);
  }

  private probe(target: string, now: number, onBehalfOf?: Probe['onBehalfOf']): void {
    const member = this.list.get(target);
    if (!member) return;
    this.sequence += 1;
    this.probes.set(this.sequence, {
      sequence: this.sequence,
      target,
      sentAt: now,
      indirect: false,
      onBehalfOf,
    });
    // A suspect or dead daemon receives the claim about itself, so that it can refute it.
    const about = member.state !== 'alive' ? [encodeMember(member)] : [];
    this.send(member.address, {
      kind: 'ping',
      sequence: this.sequence,
      target,
      updates: [...about, ...this.takeGossip()],
    });
  }

  /**
   * Exchanges the complete list with one daemon. A seed that is not among the active members has priority: two
   * groups that formed around different seeds would otherwise never find each other.
   */
  private syncWithOne(now: number): void {
    const others = this.getActive().filter((member) => member.id !== this.self.id);
    const known = new Set(others.map((member) => member.address));
    const lostSeeds = this.seeds.filter((address) => address !== this.self.address && !known.has(address));
    // In a large fleet only a few daemons contact a lost seed in one interval, not all of them.
    const tryLostSeed = this.random.next() < LOST_SEED_TRIES / Math.max(1, known.size);
    const candidates = lostSeeds.length > 0 && tryLostSeed ? lostSeeds : [...known];
    const isStarting = this.syncCount < STARTUP_SYNCS || !this.hasJoined();
    this.syncCount += 1;
    const usual = lostSeeds.length > 0 ? this.settings.strangerSyncIntervalMs : this.settings.syncIntervalMs;
    const interval = isStarting ? STARTUP_SYNC_INTERVAL_MS : usual;
    this.nextSyncAt = now + interval * (0.75 + this.random.next() / 2);
    if (candidates.length === 0) return;
    const address = candidates[this.random.below(candidates.length)];
    if (candidates === lostSeeds || isStarting || !this.hasJoined()) {
      const members = this.hasJoined() ? this.encodeAll() : [encodeMember(this.self)];
      this.send(address, { kind: 'sync', reply: true, members });
    } else {
      this.send(address, { kind: 'syncDigest', digest: this.list.getDigest() });
    }
  }

  /** A dead daemon is alive again: a partition may have healed, so the next list exchange is made early. */
  private syncSoon(now: number): void {
    const soon = now + this.settings.strangerSyncIntervalMs * (0.5 + 2 * this.random.next());
    this.nextSyncAt = Math.min(this.nextSyncAt, soon);
  }

  private encodeAll(): MemberUpdate[] {
    return this.getAll().map(encodeMember);
  }

  private applyAll(updates: readonly MemberUpdate[], now: number): void {
    for (const update of updates) this.apply(decodeMember(update), now);
  }

  /** Applies a complete list. Only its sender and members that are not alive are forwarded by gossip. */
  private applyList(fromId: string, updates: readonly MemberUpdate[], now: number): void {
    for (const update of updates) {
      const member = decodeMember(update);
      this.apply(member, now, member.id === fromId || member.state !== 'alive');
    }
  }

  private apply(update: Member, now: number, forward = true): void {
    if (update.id === this.self.id) {
      this.refute(update);
      return;
    }
    const current = this.list.get(update.id);
    if (current ? !overrides(update, current) : update.state === 'dead') return;
    this.list.set(update, now);
    if (!current) (update.zone === this.self.zone ? this.ownZoneOrder : this.otherZonesOrder).add(update.id);
    if (current?.state === 'dead' && update.state === 'alive') this.syncSoon(now);
    if (forward) this.enqueueGossip(update.id);
    this.emit({ kind: 'memberChanged', member: update, previous: current?.state });
  }

  private refute(update: Member): void {
    const isDoubted = update.state === 'suspect' || update.state === 'dead';
    if (!isDoubted || update.incarnation < this.self.incarnation || this.self.state !== 'alive') return;
    this.self = { ...this.self, incarnation: update.incarnation + 1 };
    this.list.set(this.self, 0);
    this.enqueueGossip(this.self.id);
  }

  private enqueueGossip(id: string): void {
    this.gossip.add(id, this.list.size);
  }

  private takeGossip(): MemberUpdate[] {
    const updates: MemberUpdate[] = [];
    for (const id of this.gossip.take(this.settings.updatesPerMessage)) {
      const member = this.list.get(id);
      if (member) updates.push(encodeMember(member));
    }
    return updates;
  }

  private send(address: string, message: MembershipMessage): void {
    this.emit({ kind: 'sendMembership', address, message });
  }
}
