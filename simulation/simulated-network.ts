/** The network of a simulation: delays by zone, cuts, duplicates and reordering. */
import type { RandomSource } from '../src/shared/random.js';
import type { VirtualTime } from './virtual-time.js';

/** A place on the network. */
export interface Endpoint {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
}

/** Delays and disturbances. One-way milliseconds. */
export interface NetworkSettings {
  readonly sameZoneMs: number;
  readonly otherZoneMs: number;
  readonly otherRegionMs: number;
  /** Random part of each delay, as a share of it. */
  readonly jitter: number;
}

/** Decides whether a message from one endpoint to another is lost. */
export type Partition = (from: Endpoint, to: Endpoint) => boolean;

/** The simulated network. */
export class SimulatedNetwork {
  private readonly cuts = new Set<Partition>();
  /** Chance that a message between daemons arrives twice. */
  duplicateChance = 0;
  /** Extra random delay, which reorders messages. Milliseconds. */
  reorderMs = 0;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: RandomSource,
    private readonly settings: NetworkSettings,
  ) {}

  /** Loses what `cut` says until the returned function is called. */
  cut(cut: Partition): () => void {
    this.cuts.add(cut);
    return () => this.cuts.delete(cut);
  }

  /** Whether messages get through now. */
  isConnected(from: Endpoint, to: Endpoint): boolean {
    for (const cut of this.cuts) if (cut(from, to)) return false;
    return true;
  }

  /** The one-way delay between two endpoints, with its random part. */
  getDelay(from: Endpoint, to: Endpoint): number {
    const { sameZoneMs, otherZoneMs, otherRegionMs, jitter } = this.settings;
    const base = from.region !== to.region ? otherRegionMs : from.zone !== to.zone ? otherZoneMs : sameZoneMs;
    return base * (1 + this.random.next() * jitter) + this.random.next() * this.reorderMs;
  }

  /** Delivers after the delay, unless cut at sending or at arrival. Returns whether it was sent. */
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

  /** A channel from one endpoint to another that keeps the order of what is sent, as a connection does. */
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
