/** Membership: convergence, failures, refutation, healed partitions, restarts. */
import { expect } from 'chai';
import { DEFAULT_MEMBERSHIP_SETTINGS } from '../src/membership/membership-settings.js';
import { createInitialMember, overrides } from '../src/membership/member-rules.js';
import { Membership } from '../src/membership/membership.js';
import type { Member } from '../src/membership/membership-messages.js';
import { ProbeOrder } from '../src/membership/probe-order.js';
import { SeededRandom } from '../src/shared/random.js';

const TICK_MS = 100;

/** Membership state machines on a simulated network whose links can be cut. */
class Group {
  now = 0;
  readonly machines = new Map<string, Membership>();
  readonly down = new Set<string>();
  cut: (from: string, to: string) => boolean = () => false;
  private queue: (() => void)[] = [];

  constructor(
    count: number,
    private readonly seeds: (index: number) => string[] = () => ['10.0.0.0:7'],
  ) {
    for (let index = 0; index < count; index += 1)
      this.add(`10.0.0.${index}:7`, `d${index}.1`, `zone-${index % 3}`);
  }

  add(address: string, id: string, zone: string): void {
    const random = new SeededRandom(this.machines.size + 1);
    const emit: ConstructorParameters<typeof Membership>[4] = (effect) => {
      if (effect.kind !== 'sendMembership') return;
      this.queue.push(() => {
        const target = this.machines.get(effect.address);
        if (this.down.has(effect.address) || this.down.has(address) || this.cut(address, effect.address))
          return;
        target?.receive(id, address, effect.message, this.now);
      });
    };
    const self = createInitialMember({ id, address, zone, region: 'main' });
    this.machines.set(
      address,
      new Membership(
        self,
        this.seeds(Number(address.split('.')[3].split(':')[0])),
        DEFAULT_MEMBERSHIP_SETTINGS,
        random,
        emit,
        this.now,
      ),
    );
  }

  run(milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += TICK_MS) {
      for (const [address, machine] of this.machines) if (!this.down.has(address)) machine.tick(this.now);
      const messages = this.queue;
      this.queue = [];
      for (const deliver of messages) deliver();
    }
  }

  getAliveCounts(): number[] {
    return [...this.machines]
      .filter(([address]) => !this.down.has(address))
      .map(([, machine]) => machine.getContact().alive);
  }
}

describe('membership', () => {
  it('converges from one seed', () => {
    const group = new Group(24);
    group.run(12_000);
    expect(group.getAliveCounts()).to.deep.equal(Array(24).fill(24));
  });

  it('groups that formed around different seeds merge once they are connected', () => {
    const group = new Group(12, () => ['10.0.0.0:7', '10.0.0.1:7']);
    const isLeft = (address: string): boolean => Number(address.split('.')[3].split(':')[0]) % 2 === 0;
    group.cut = (from, to) => isLeft(from) !== isLeft(to);
    group.run(20_000);
    expect(group.getAliveCounts()).to.deep.equal(Array(12).fill(6));
    group.cut = () => false;
    group.run(12_000);
    expect(group.getAliveCounts()).to.deep.equal(Array(12).fill(12));
  });

  it('every daemon learns of a dead one after the suspicion timeout, and no live one is declared dead', () => {
    const group = new Group(16);
    group.run(12_000);
    group.down.add('10.0.0.5:7');
    group.run(20_000);
    expect(group.getAliveCounts()).to.deep.equal(Array(15).fill(15));
    for (const [address, machine] of group.machines) {
      if (address !== '10.0.0.5:7') expect(machine.get('d5.1')?.state).to.equal('dead');
    }
  });

  it('a daemon that one other cannot reach directly stays alive through indirect probes', () => {
    const group = new Group(8);
    group.run(10_000);
    group.cut = (from, to) => [from, to].sort().join() === '10.0.0.1:7,10.0.0.2:7';
    group.run(20_000);
    expect(group.getAliveCounts()).to.deep.equal(Array(8).fill(8));
  });

  it('the two sides of a partition declare each other dead and merge again when it heals', () => {
    const group = new Group(12);
    group.run(10_000);
    const isLeft = (address: string): boolean => Number(address.split('.')[3].split(':')[0]) < 5;
    group.cut = (from, to) => isLeft(from) !== isLeft(to);
    group.run(40_000);
    expect(group.getAliveCounts()).to.deep.equal([...Array(5).fill(5), ...Array(7).fill(7)]);
    const minority = group.machines.get('10.0.0.1:7')?.getContact();
    expect(minority).to.deep.equal({ alive: 5, known: 12 });
    group.cut = () => false;
    group.run(60_000);
    expect(group.getAliveCounts()).to.deep.equal(Array(12).fill(12));
  });

  it('a restarted daemon replaces its previous process and does not count twice', () => {
    const group = new Group(6);
    group.run(10_000);
    group.machines.delete('10.0.0.3:7');
    group.add('10.0.0.3:7', 'd3.2', 'zone-0');
    group.run(12_000);
    const contact = group.machines.get('10.0.0.1:7')?.getContact();
    expect(contact).to.deep.equal({ alive: 6, known: 6 });
  });

  it('the death of a daemon that joined late is detected as fast as that of any other', () => {
    const group = new Group(60);
    group.run(65_000);
    group.add('10.0.0.60:7', 'd60.1', 'zone-0');
    group.run(6000);
    group.down.add('10.0.0.60:7');
    group.run(25_000);
    expect(group.getAliveCounts()).to.deep.equal(Array(60).fill(60));
  });

  it('a member that joins during a round of probes is probed in the same round', () => {
    const order = new ProbeOrder(new SeededRandom(1));
    const members = Array.from({ length: 100 }, (_, index) => `d${index}`);
    for (let count = 0; count < 50; count += 1) order.pickNext(() => [...members]);
    order.add('late');
    const remaining = Array.from({ length: 51 }, () => order.pickNext(() => [...members]));
    expect(remaining).to.include('late');
    expect(new Set(remaining).size).to.equal(51);
  });

  it('a leaving daemon is removed from the active list when its message arrives, and never returns', () => {
    const group = new Group(6);
    group.run(10_000);
    group.machines.get('10.0.0.2:7')?.leave(group.now);
    group.run(300);
    const others = [...group.machines].filter(([address]) => address !== '10.0.0.2:7');
    for (const [, machine] of others)
      expect(machine.getActive().map((member) => member.id)).not.to.include('d2.1');
    const leaving: Member = {
      id: 'x',
      address: 'x',
      zone: 'z',
      region: 'r',
      incarnation: 1,
      state: 'leaving',
    };
    expect(overrides({ ...leaving, state: 'alive', incarnation: 9 }, leaving)).to.equal(false);
  });
});
