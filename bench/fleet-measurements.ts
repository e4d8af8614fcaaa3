/** What is measured of a hollow fleet of one size. */
import { parseServiceRow } from '../src/configuration/service-row.js';
import type { DaemonNode } from '../simulation/simulated-site.js';
import { exponential, SeededRandom } from '../src/shared/random.js';
import { HollowFleet, TARGET } from './hollow-fleet.js';

/** Figures of one size. Bytes count both directions, with 52 bytes of headers a message. */
export interface FleetFigures {
  readonly daemons: number;
  readonly servers: number;
  readonly tenants: number;
  readonly convergenceMs: number | undefined;
  /** Without requests. */
  readonly idleBytesMean: number;
  readonly idleBytesWorst: number;
  /** Processor time of the state machines, the simulated network and idle engines together. Milliseconds per daemon and second. */
  readonly cpuMsPerSecond: number;
  /** Heap of daemon state, engines and simulator. Kilobytes per daemon. */
  readonly heapKilobytes: number;
  /** Transactions and reads that the table takes a second. */
  readonly tablePerSecond: number;
  /** Bytes a second and daemon by message kind. */
  readonly byKind: Readonly<Record<string, number>>;
  /** With the target's requests: the slot messages of the limiter come on top. */
  readonly loadedBytesMean: number;
  readonly loadedBytesWorst: number;
  /** Time from an accepted edit until it is in force at every daemon. */
  readonly editInForceMs: number | undefined;
  readonly recoveries: readonly Recovery[];
}

/** A failure and what it costs. */
export interface Recovery {
  readonly failure: string;
  /** Until every living daemon's list is right again. */
  readonly membersRightMs: number | undefined;
  /** Until every cell has a lease holder again. */
  readonly leasesHeldMs: number | undefined;
  /** Bytes a second and daemon, mean and worst, from the failure until then. */
  readonly bytesMean: number;
  readonly bytesWorst: number;
}

const SETTLE_MS = 20_000;
const MEASURE_MS = 20_000;
const LIMIT_MS = 120_000;
const LOAD_MS = 6000;
const REGION_CUT_MS = 60_000;

/** Measures a fleet of this many daemons. */
export function measureFleet(daemons: number, seed: number): FleetFigures {
  const heapBefore = heapUsed();
  const fleet = new HollowFleet({ daemons, seed });
  const { site } = fleet;
  const convergenceMs = fleet.timeUntil(() => membersRight(fleet), LIMIT_MS);
  site.time.runUntil(site.time.now() + SETTLE_MS);
  const heapKilobytes = (heapUsed() - heapBefore) / 1024 / daemons;
  const idle = measureIdle(fleet);
  const editInForceMs = measureEdit(fleet);
  const loaded = measureLoaded(fleet, seed);
  return {
    daemons,
    servers: fleet.servers,
    tenants: fleet.rows.length,
    convergenceMs,
    heapKilobytes,
    ...idle,
    editInForceMs,
    ...loaded,
    recoveries: measureRecoveries(fleet),
  };
}

function heapUsed(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
}

function membersRight(fleet: HollowFleet): boolean {
  const living = fleet.living();
  return living.every((node) => node.daemon.membersInContact().alive === living.length);
}

type IdleFigures = Pick<
  FleetFigures,
  'idleBytesMean' | 'idleBytesWorst' | 'cpuMsPerSecond' | 'tablePerSecond' | 'byKind'
>;

function measureIdle(fleet: HollowFleet): IdleFigures {
  const seconds = MEASURE_MS / 1000;
  const daemons = fleet.site.daemons.length;
  const requestsBefore = fleet.site.platform.requests;
  const cpuBefore = process.cpuUsage();
  fleet.site.time.runUntil(fleet.site.time.now() + MEASURE_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const tablePerSecond = (fleet.site.platform.requests - requestsBefore) / seconds;
  fleet.startCounting();
  fleet.site.time.runUntil(fleet.site.time.now() + MEASURE_MS);
  const bytes = fleet.bytesPerSecond(seconds);
  const byKind = Object.fromEntries(
    [...fleet.traffic].map(([kind, traffic]) => [kind, traffic.bytes / seconds / daemons]),
  );
  return {
    idleBytesMean: bytes.mean,
    idleBytesWorst: bytes.worst,
    cpuMsPerSecond: (cpu.user + cpu.system) / 1000 / daemons / seconds,
    tablePerSecond,
    byKind,
  };
}

function measureEdit(fleet: HollowFleet): number | undefined {
  const { site } = fleet;
  const [editor] = site.daemons;
  const row = parseServiceRow({ ...fleet.rows[0], weight: 9 });
  const before = editor.daemon.configurationRevision();
  site.deliver(editor, {
    kind: 'editServices',
    editId: `edit-${site.time.now()}`,
    edits: [{ name: row.name, expectedRevision: 1, row }],
  });
  const commits = site.platform.serviceCommits;
  fleet.timeUntil(() => commits[commits.length - 1].revision > before, LIMIT_MS, 5);
  const { revision, at } = commits[commits.length - 1];
  fleet.timeUntil(() => fleet.everywhere(revision), LIMIT_MS, 20);
  return fleet.everywhere(revision) ? site.time.now() - at : undefined;
}

/** The target's requests, scaled; engines are kept out of it, what counts is the limiter's traffic. */
function measureLoaded(
  fleet: HollowFleet,
  seed: number,
): Pick<FleetFigures, 'loadedBytesMean' | 'loadedBytesWorst'> {
  const { site } = fleet;
  const random = new SeededRandom(seed);
  const perSecond = TARGET.requestsPerSecond * (site.daemons.length / TARGET.daemons);
  const endsAt = site.time.now() + LOAD_MS;
  let serial = 0;
  const arrive = (): void => {
    if (site.time.now() >= endsAt) return;
    site.time.after(exponential(random, 1000 / perSecond), () => {
      serial += 1;
      const service = fleet.rows[random.below(fleet.rows.length)].name;
      const prompt = { text: '', tokens: 20, prefixKey: service };
      const requestId = `load-${site.time.now()}-${serial}`;
      const request = {
        requestId,
        service,
        prompt,
        maximumTokens: 4,
        receivedAt: site.time.now(),
        timeoutMs: undefined,
      };
      site.deliver(site.daemons[random.below(site.daemons.length)], { kind: 'submitCompletion', request });
      arrive();
    });
  };
  arrive();
  fleet.startCounting();
  site.time.runUntil(endsAt);
  const bytes = fleet.bytesPerSecond(LOAD_MS / 1000);
  return { loadedBytesMean: bytes.mean, loadedBytesWorst: bytes.worst };
}

function measureRecoveries(fleet: HollowFleet): Recovery[] {
  const { site } = fleet;
  const inZone = (zone: string): DaemonNode[] => site.daemons.filter((node) => node.zone === zone);
  const holder = site.daemons.find((node) =>
    node.daemon.status(site.time.now()).leases.some((lease) => lease.heldHere),
  );
  const rack = inZone('zone-b').slice(0, Math.max(1, Math.round(site.daemons.length / 20)));
  const recoveries = [
    kill(fleet, 'one machine (a lease holder)', holder ? [holder] : [site.daemons[0]]),
    kill(fleet, 'a rack (5% of daemons)', rack),
    kill(fleet, 'a zone (20% of daemons)', inZone('zone-c')),
  ];
  recoveries.push(cutRegions(fleet));
  return recoveries;
}

/** Kills daemons, waits until the others are right, and starts them again. */
function kill(fleet: HollowFleet, failure: string, nodes: readonly DaemonNode[]): Recovery {
  const { site } = fleet;
  for (const node of nodes) site.kill(node);
  const recovery = recover(fleet, failure);
  for (const node of nodes) site.restart(node);
  fleet.timeUntil(() => membersRight(fleet), LIMIT_MS);
  site.time.runUntil(site.time.now() + SETTLE_MS);
  return recovery;
}

function cutRegions(fleet: HollowFleet): Recovery {
  const { site } = fleet;
  const heal = site.network.cut(
    (from, to) => from.region !== to.region && from.name !== 'platform' && to.name !== 'platform',
  );
  site.time.runUntil(site.time.now() + REGION_CUT_MS);
  heal();
  return recover(fleet, `after ${REGION_CUT_MS / 1000} s without contact between regions`);
}

function recover(fleet: HollowFleet, failure: string): Recovery {
  const { site } = fleet;
  const startedAt = site.time.now();
  fleet.startCounting();
  let membersRightMs: number | undefined;
  let leasesHeldMs: number | undefined;
  fleet.timeUntil(
    () => {
      const now = site.time.now() - startedAt;
      if (membersRightMs === undefined && membersRight(fleet)) membersRightMs = now;
      if (leasesHeldMs === undefined && everyCellHeld(fleet)) leasesHeldMs = now;
      return membersRightMs !== undefined && leasesHeldMs !== undefined;
    },
    LIMIT_MS,
    200,
  );
  const seconds = Math.max(1, (site.time.now() - startedAt) / 1000);
  const bytes = fleet.bytesPerSecond(seconds);
  return { failure, membersRightMs, leasesHeldMs, bytesMean: bytes.mean, bytesWorst: bytes.worst };
}

function everyCellHeld(fleet: HollowFleet): boolean {
  const now = fleet.site.time.now();
  const held = new Set<string>();
  const cells = new Set([...fleet.site.engines.values()].map((engine) => engine.cell));
  for (const node of fleet.living()) {
    for (const lease of node.daemon.status(now).leases) if (lease.heldHere) held.add(lease.cell);
  }
  return held.size === cells.size;
}
