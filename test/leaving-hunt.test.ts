/**
 * Random faults of daemons, links and the store while back ends leave: each daemon that is in contact with the store
 * knows of each departure within the bound. `LEAVING_HUNT_SEEDS=N` runs N scenarios besides those of known faults.
 */
import { expect } from 'chai';
import type { ForwardingFleet, FleetNode } from '../simulation/forwarding-fleet.js';
import { SeededRandom } from '../src/shared/random.js';
import { makeBackendRecord, startSettledFleet } from './store-reader.js';

/**
 * Seeds that found faults. 4932: a daemon that had lost access once, 18 s before, waited longer for its first read and
 * held a removal. 4907: a daemon held removals because of its own outage. 4915: a report from a daemon whose copy of
 * the records had only just been started was taken for complete. 5797: a report of a change postponed a read that was
 * already overdue.
 */
const REGRESSION_SEEDS = [4932, 4907, 4915, 5797];
const FIRST_SEED = 4900;
const SEEDS = Number(process.env.LEAVING_HUNT_SEEDS ?? 7);
const RUN_MS = 40_000;
/** All daemons know that a back end is leaving within this time; the fleet's settings ensure it. Milliseconds. */
const BOUND_MS = 2000;
/** A daemon counts as in contact after this time without a fault. Milliseconds. */
const CONTACT_MS = 3000;
const STEP_MS = 50;
/** Probabilities per step that a back end changes and that a fault starts. */
const CHANGE_PROBABILITY = 0.08;
const FAULT_PROBABILITY = 0.02;
const MAXIMUM_FAULT_MS = 8000;
const BACKENDS = Array.from({ length: 12 }, (_unused, i) => `b${i}`);

interface Departure {
  readonly id: string;
  readonly state: 'draining' | 'gone';
  readonly at: number;
}

/** One random scenario. Tracks when each daemon last had a fault that affects its contact with the store. */
class Scenario {
  readonly lateDepartures: string[] = [];
  private readonly random: SeededRandom;
  private readonly fleet: ForwardingFleet;
  private readonly lastFaultAt = new Map<FleetNode, number>();
  private readonly faultUntil = new Map<FleetNode, number>();
  private readonly partitionedUntil = new Map<FleetNode, number>();
  private readonly silencedNodes = new Set<FleetNode>();
  private readonly readLostAt = new Map<FleetNode, number>();
  private readonly states = new Map(BACKENDS.map((id) => [id, 'ready' as string]));
  private readonly departures: Departure[] = [];

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.fleet = startSettledFleet(5 + this.random.below(16), seed, BACKENDS);
    this.fleet.isLinked = (from, to) => !this.isPartitioned(from) && !this.isPartitioned(to);
  }

  run(): void {
    const { time } = this.fleet;
    const end = time.now() + RUN_MS;
    while (time.now() < end) {
      time.runUntil(time.now() + STEP_MS);
      this.stopFaults();
      if (this.random.next() < CHANGE_PROBABILITY) this.changeBackend();
      if (this.random.next() < FAULT_PROBABILITY) this.startFault();
      this.checkDepartures();
    }
  }

  private isPartitioned(node: FleetNode): boolean {
    return this.fleet.time.now() < (this.partitionedUntil.get(node) ?? 0);
  }

  private changeBackend(): void {
    const id = BACKENDS[this.random.below(BACKENDS.length)];
    const state = this.states.get(id);
    const leaves = this.random.next() < 0.5 ? 'draining' : 'gone';
    const next = state === 'ready' ? leaves : state === 'draining' ? 'gone' : 'ready';
    this.states.set(id, next);
    this.fleet.write(makeBackendRecord(id, next));
    if (state === 'ready') this.departures.push({ id, state: leaves, at: this.fleet.time.now() });
  }

  /** Some daemons lose access to the store, restart, are partitioned from the others, or have a connection go silent. */
  private startFault(): void {
    const now = this.fleet.time.now();
    const until = now + this.random.next() * MAXIMUM_FAULT_MS;
    const kind = this.random.below(4);
    // Never all daemons: nothing is guaranteed while the store answers none of them.
    const maximum = kind === 0 ? Math.floor(this.fleet.nodes.length / 3) : 1;
    const access = this.random.next() < 0.5 ? 'refuses' : 'silent';
    for (let i = 0; i <= this.random.below(maximum + 1); i += 1) {
      const node = this.fleet.nodes[this.random.below(this.fleet.nodes.length)];
      if (kind === 0) this.removeAccess(node, access, until);
      else if (kind === 1) this.restart(node, now);
      else if (kind === 2) this.partitionedUntil.set(node, until);
      else this.silenceConnection(node, now);
    }
  }

  /**
   * Makes a connection go silent, unless a read of the daemon was lost shortly before. One lost read must do no harm.
   * With two in a row, two connections went silent within the time in which contact has to be regained, and nothing
   * is guaranteed for the daemon until then: in seed 5661, two reads of the first reader were lost in a row, and a
   * departure was known after 2,339 ms.
   */
  private silenceConnection(node: FleetNode, now: number): void {
    if (now - (this.readLostAt.get(node) ?? -Infinity) <= CONTACT_MS + BOUND_MS) return;
    node.silentConnections.add('backends');
    this.silencedNodes.add(node);
  }

  private removeAccess(node: FleetNode, access: 'refuses' | 'silent', until: number): void {
    node.access = access;
    this.faultUntil.set(node, until);
  }

  private restart(node: FleetNode, now: number): void {
    this.lastFaultAt.set(node, now + 500);
    node.backendStates.clear();
    this.fleet.kill(node, 500);
  }

  private stopFaults(): void {
    const now = this.fleet.time.now();
    for (const node of this.silencedNodes) {
      if (node.silentConnections.size > 0) continue;
      this.readLostAt.set(node, now);
      this.silencedNodes.delete(node);
    }
    for (const [node, until] of this.faultUntil) {
      this.lastFaultAt.set(node, now);
      if (now < until) continue;
      node.access = 'serves';
      this.faultUntil.delete(node);
    }
  }

  private checkDepartures(): void {
    const now = this.fleet.time.now();
    while (this.departures.length > 0 && this.departures[0].at + BOUND_MS <= now) {
      const departure = this.departures.shift();
      if (departure) this.checkDeparture(departure, now);
    }
  }

  private checkDeparture({ id, state, at }: Departure, now: number): void {
    for (const node of this.fleet.nodes) {
      const faultAt = this.lastFaultAt.get(node) ?? -Infinity;
      if (faultAt > now - CONTACT_MS - BOUND_MS || node.down) continue;
      const seen = node.backendStates.get(id);
      if (seen?.state === 'ready' && seen.at <= at)
        this.lateDepartures.push(`${id} ${state} at ${Math.round(at)}: ${node.id} still considers it ready`);
    }
  }
}

describe('back ends that leave during random faults', () => {
  it('are known in time to be leaving at every daemon in contact with the store', () => {
    const newSeeds = Array.from({ length: SEEDS }, (_unused, i) => FIRST_SEED + i);
    for (const seed of [...REGRESSION_SEEDS, ...newSeeds]) {
      const scenario = new Scenario(seed);
      scenario.run();
      expect(scenario.lateDepartures, `seed ${seed}`).to.deep.equal([]);
    }
  }).timeout((REGRESSION_SEEDS.length + SEEDS) * 10_000);
});
