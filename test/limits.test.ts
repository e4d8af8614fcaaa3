/** Limits of a service across daemons: grants with expiry, and what happens when the owner goes. */
import { expect } from 'chai';
import type { LimitMessage } from '../src/limits/limit-messages.js';
import { DEFAULT_LIMIT_SETTINGS } from '../src/limits/limit-messages.js';
import { SlotHolder, type HolderEffect } from '../src/limits/slot-holder.js';
import { SlotOwner } from '../src/limits/slot-owner.js';

const SERVICE = 'risk-grade';
const LIMIT = 3;
const TICK_MS = 100;

/** Daemons that are owners and holders at once, joined by an instant network. */
class Cluster {
  now = 10_000;
  owner = 'a';
  readonly effects: HolderEffect[] = [];
  private readonly up = new Set<string>();
  private readonly owners = new Map<string, SlotOwner>();
  readonly holders = new Map<string, SlotHolder>();
  waitingLimit = 2;

  constructor(...names: string[]) {
    for (const name of names) this.add(name);
  }

  add(name: string): void {
    this.up.add(name);
    const limits = { maximumConcurrency: LIMIT, maximumWaiting: this.waitingLimit };
    const send = (from: string) => (effect: { daemonId: string; message: LimitMessage }) =>
      this.send(from, effect.daemonId, effect.message);
    this.owners.set(name, new SlotOwner(DEFAULT_LIMIT_SETTINGS, () => limits, send(name), 0));
    const holder = new SlotHolder(
      DEFAULT_LIMIT_SETTINGS,
      () => this.owner,
      (effect) => {
        if (effect.kind === 'sendLimit') this.send(name, effect.daemonId, effect.message);
        else this.effects.push(effect);
      },
    );
    this.holders.set(name, holder);
  }

  acquire(holder: string, requestId: string): void {
    this.holders.get(holder)?.acquire(requestId, SERVICE, this.now);
  }

  granted(): string[] {
    return this.effects.flatMap((effect) => (effect.kind === 'slotGranted' ? [effect.requestId] : []));
  }

  /** The owner dies and another takes its place, without a handover. */
  loseOwner(next: string): void {
    this.up.delete(this.owner);
    this.owner = next;
    this.owners.get(next)?.onMembershipChanged(this.now);
  }

  handOver(next: string): void {
    const previous = this.owners.get(this.owner);
    previous?.handOver(() => next);
    this.owner = next;
  }

  run(milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += TICK_MS) {
      for (const [name, owner] of this.owners) if (this.up.has(name)) owner.tick(this.now);
      for (const [name, holder] of this.holders)
        if (this.up.has(name)) holder.tick(this.now, (id) => this.up.has(id));
    }
  }

  private send(from: string, to: string, message: LimitMessage): void {
    if (!this.up.has(from) || !this.up.has(to)) return;
    this.owners.get(to)?.receive(from, message, this.now);
    this.holders.get(to)?.receive(from, message);
  }
}

describe('limits of a service', () => {
  it('grants no more slots than the limit, over all daemons', () => {
    const cluster = new Cluster('a', 'b', 'c');
    for (const [index, holder] of ['a', 'b', 'c', 'b', 'c'].entries()) cluster.acquire(holder, `r${index}`);
    cluster.run(1000);
    expect(cluster.granted()).to.have.length(LIMIT);
  });

  it('refuses at once when the waiting limit is reached, and says when to come back', () => {
    const cluster = new Cluster('a', 'b');
    for (let index = 0; index < LIMIT + cluster.waitingLimit + 1; index += 1)
      cluster.acquire('b', `r${index}`);
    const refused = cluster.effects.filter((effect) => effect.kind === 'slotRefused');
    expect(refused).to.have.length(1);
    expect(refused[0].kind === 'slotRefused' && refused[0].retryAfterMs).to.be.greaterThan(0);
  });

  it('gives a released slot to the next that waits', () => {
    const cluster = new Cluster('a', 'b');
    for (let index = 0; index < LIMIT + 1; index += 1) cluster.acquire('b', `r${index}`);
    cluster.holders.get('b')?.release(SERVICE);
    cluster.run(200);
    expect(cluster.granted()).to.deep.equal(['r0', 'r1', 'r2', 'r3']);
  });

  it('holds when the owner is lost: the new owner learns from renewals before it grants', () => {
    const cluster = new Cluster('a', 'b', 'c');
    for (let index = 0; index < LIMIT; index += 1) cluster.acquire('b', `r${index}`);
    cluster.run(1500);
    cluster.loseOwner('c');
    cluster.acquire('b', 'later');
    cluster.run(8000);
    expect(cluster.granted()).to.have.length(LIMIT);
    cluster.holders.get('b')?.release(SERVICE);
    cluster.run(500);
    expect(cluster.granted()).to.include('later');
  });

  it('a handover spares the wait', () => {
    const cluster = new Cluster('a', 'b', 'c');
    cluster.acquire('b', 'first');
    cluster.run(200);
    cluster.handOver('c');
    cluster.acquire('b', 'second');
    cluster.run(200);
    expect(cluster.granted()).to.deep.equal(['first', 'second']);
  });

  it('slots of a daemon that vanished are free again after their lease', () => {
    const cluster = new Cluster('a', 'b', 'c');
    for (let index = 0; index < LIMIT; index += 1) cluster.acquire('b', `r${index}`);
    cluster.run(500);
    cluster.holders.delete('b');
    cluster.acquire('c', 'other');
    cluster.run(DEFAULT_LIMIT_SETTINGS.slotLeaseMs + 2000);
    expect(cluster.granted()).to.include('other');
  });
});
