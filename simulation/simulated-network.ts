/** A simulated network: delays by zone and region, partitions, duplicated and reordered messages. */
import type { RandomSource } from '../src/shared/random.js';
import type { VirtualTime } from './virtual-time.js';

/** A node on the network. */
export interface Endpoint {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
}

/** One-way delays in milliseconds, and their jitter. */
export interface NetworkSettings {
  readonly sameZoneMs: number;
  readonly otherZoneMs: number;
  readonly otherRegionMs: number;
  /** Largest random addition to each delay, as a share of it. */
  readonly jitter: number;
}

/** Decides whether a message from one endpoint to another is lost. */
export type Partition = (from: Endpoint, to: Endpoint) => boolean;

/** The simulated network. */
export class SimulatedNetwork {
  private readonly partitions = new Set<Partition>();
  /** Chance that a message is delivered twice. */
  duplicateChance = 0;
  /** Extra random delay, which reorders messages. Milliseconds. */
  reorderMs = 0;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: RandomSource,
    private readonly settings: NetworkSettings,
  ) {}

  /** Adds a partition. The returned function removes it. */
  addPartition(partition: Partition): () => void {
    this.partitions.add(partition);
    return () => this.partitions.delete(partition);
  }

  /** Whether messages from one endpoint can reach another now. */
  isConnected(from: Endpoint, to: Endpoint): boolean {
    for (const partition of this.partitions) if (partition(from, to)) return false;
    return true;
  }

  /** Draws the one-way delay between two endpoints, jitter and reordering included. Milliseconds. */
  getDelay(from: Endpoint, to: Endpoint): number {
    const { sameZoneMs, otherZoneMs, otherRegionMs, jitter } = this.settings;
    const base = from.region !== to.region ? otherRegionMs : from.zone !== to.zone ? otherZoneMs : sameZoneMs;
    return base * (1 + this.random.next() * jitter) + this.random.next() * this.reorderMs;
  }

  /** Delivers after the delay, unless partitioned when sent or on arrival. Returns whether it was sent. */
  send(from: Endpoint, to: Endpoint, deliver: () => void): boolean {
    if (!this.isConnected(from, to)) return false;
    const arrive = (): void => {
      if (this.isConnected(from, to)) deliver();
    };
    this.time.after(this.getDelay(from, to), arrive);
    if (this.duplicateChance > 0 && this.random.next() < this.duplicateChance)
      this.time.after(this.getDelay(from, to), arrive);
    return true;
  }

  /** Creates a channel that delivers in order, as a connection does. Sending returns false while partitioned. */
  createChannel(from: Endpoint, to: Endpoint): (deliver: () => void) => boolean {
    let lastArrival = 0;
    return (deliver) => {
      if (!this.isConnected(from, to)) return false;
      lastArrival = Math.max(lastArrival, this.time.now() + this.getDelay(from, to));
      this.time.after(lastArrival - this.time.now(), () => {
        if (this.isConnected(from, to)) deliver();
      });
      return true;
    };
  }
}
