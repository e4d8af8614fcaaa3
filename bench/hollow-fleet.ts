/** A fleet of hollow daemons in one process, for measuring control traffic, work and recovery by size. */
import { encodePeerMessage } from '../src/adapters/peer-codec.js';
import { parseServiceRow, type ServiceRow } from '../src/configuration/service-row.js';
import type { PeerMessage } from '../src/daemon/daemon-messages.js';
import { DEFAULT_DAEMON_SETTINGS, type DaemonSettings } from '../src/daemon/daemon-settings.js';
import { SimulatedSite, type DaemonNode, type SimulationOptions } from '../simulation/simulated-site.js';

/** The shape of the users' target: two regions, five zones; sizes are scaled from 380 daemons and 690 servers. */
const ZONES: readonly { zone: string; region: string }[] = [
  { zone: 'zone-a', region: 'north' },
  { zone: 'zone-b', region: 'north' },
  { zone: 'zone-c', region: 'north' },
  { zone: 'zone-d', region: 'south' },
  { zone: 'zone-e', region: 'south' },
];
/** Full size of each thing that is scaled. */
export const TARGET = {
  daemons: 380,
  servers: 690,
  tenants: 4800,
  models: 6,
  requestsPerSecond: 4800,
  changesPerDay: 1500,
} as const;
/** Servers of one cell. */
const CELL_SERVERS = 16;
/** Bytes of TCP and IP headers on a message sent alone. */
const HEADER_BYTES = 52;
const LINE_END_BYTES = 1;

/** Traffic of one kind of message. */
export interface KindTraffic {
  messages: number;
  bytes: number;
}

/** Options of a fleet. */
export interface FleetOptions {
  readonly daemons: number;
  readonly seed: number;
  readonly settings?: Partial<DaemonSettings>;
  /** Share of tenants with a limit on concurrency; they need slots of an owner. */
  readonly limitedShare?: number;
  readonly tickMs?: number;
}

function services(count: number, limitedShare: number): ServiceRow[] {
  return Array.from({ length: count }, (_, index) =>
    parseServiceRow({
      name: `tenant-${index}`,
      model: `model-${index % TARGET.models}`,
      maximumConcurrency: index < count * limitedShare ? 8 : 0,
      weight: 1 + (index % 5),
    }),
  );
}

/** Hollow daemons, emulated engines and a platform, scaled from the target. */
export class HollowFleet {
  readonly site: SimulatedSite;
  readonly rows: ServiceRow[];
  readonly servers: number;
  readonly traffic = new Map<string, KindTraffic>();
  /** Bytes received plus sent by each daemon. */
  readonly bytesByDaemon = new Map<string, number>();
  private counting = false;

  constructor(options: FleetOptions) {
    const scale = options.daemons / TARGET.daemons;
    this.servers = Math.max(ZONES.length * 2, Math.round(TARGET.servers * scale));
    this.rows = services(Math.round(TARGET.tenants * scale), options.limitedShare ?? 0.5);
    this.site = new SimulatedSite(this.simulation(options));
  }

  /** Counts traffic from now on. */
  startCounting(): void {
    this.traffic.clear();
    this.bytesByDaemon.clear();
    this.counting = true;
  }

  /** Bytes a second that the busiest and the mean daemon send and receive. */
  bytesPerSecond(seconds: number): { mean: number; worst: number } {
    const all = [...this.bytesByDaemon.values()].map((bytes) => bytes / seconds);
    return {
      mean: all.reduce((sum, bytes) => sum + bytes, 0) / this.site.daemons.length,
      worst: Math.max(0, ...all),
    };
  }

  /** Whether every living daemon holds this configuration revision. */
  everywhere(revision: number): boolean {
    return this.living().every((node) => node.daemon.configurationRevision() >= revision);
  }

  /** Daemons whose process runs. */
  living(): DaemonNode[] {
    return this.site.daemons.filter((node) => node.alive);
  }

  /** Runs until `done`, at most `limitMs`; returns how long it took, or undefined. Milliseconds. */
  timeUntil(done: () => boolean, limitMs: number, stepMs = 100): number | undefined {
    const startedAt = this.site.time.now();
    while (this.site.time.now() - startedAt < limitMs) {
      if (done()) return this.site.time.now() - startedAt;
      this.site.time.runUntil(this.site.time.now() + stepMs);
    }
    return undefined;
  }

  private simulation(options: FleetOptions): SimulationOptions {
    const perZone = Math.ceil(this.servers / ZONES.length);
    return {
      seed: options.seed,
      daemons: Array.from({ length: options.daemons }, (_, index) => ZONES[index % ZONES.length]),
      engines: Array.from({ length: this.servers }, (_, index) => {
        const place = ZONES[index % ZONES.length];
        const cell = `${place.zone}-${Math.floor(Math.floor(index / ZONES.length) / Math.min(CELL_SERVERS, perZone))}`;
        const model = `model-${Math.floor(index / ZONES.length) % TARGET.models}`;
        return { ...place, cell, assignment: { role: 'mixed', model, version: 1, adapters: [] } };
      }),
      applications: [],
      services: this.rows,
      settings: { ...DEFAULT_DAEMON_SETTINGS, ...options.settings },
      tickMs: options.tickMs ?? 200,
      realTexts: false,
      tableRate: { perSecond: 2000, burst: 2000 },
      onPeerMessage: (from, to, message) => this.count(from, to, message),
    };
  }

  private count(from: string, to: string, message: PeerMessage): void {
    if (!this.counting) return;
    const bytes = Buffer.byteLength(encodePeerMessage(message)) + LINE_END_BYTES + HEADER_BYTES;
    const kind = this.traffic.get(message.kind) ?? { messages: 0, bytes: 0 };
    kind.messages += 1;
    kind.bytes += bytes;
    this.traffic.set(message.kind, kind);
    this.bytesByDaemon.set(from, (this.bytesByDaemon.get(from) ?? 0) + bytes);
    this.bytesByDaemon.set(to, (this.bytesByDaemon.get(to) ?? 0) + bytes);
  }
}
