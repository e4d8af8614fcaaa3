/**
 * Faults of a simulated site and their injection. Faults are data, so that a generator can draw them and a failing
 * run can be reported as a short list. Relies on the site and the workload that it is given; its only state is a
 * counter of edits.
 */
import { parseServiceRow } from '../src/configuration/service-row.js';
import type { SimulatedApplication } from './simulated-application.js';
import type { SimulatedEngine } from './simulated-engine.js';
import type { Partition } from './simulated-network.js';
import type { DaemonNode, SimulatedSite } from './simulated-site.js';
import type { Workload } from './workload.js';

/** Every kind of fault that can be injected. */
export const FAULT_KINDS = [
  'kill-daemon',
  'pause-daemon',
  'cut-daemon',
  'cut-daemon-inbound',
  'cut-from-platform',
  'cut-zone',
  'table-down',
  'table-slow',
  'table-loses-answers',
  'crash-engine',
  'slow-engine',
  'leave-engine',
  'crash-application',
  'drain-daemon',
  'orders-delayed',
  'operators-race',
  'messages-duplicated',
  'messages-reordered',
] as const;

/** A kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** When it starts. Milliseconds. */
  readonly atMs: number;
  /** How long it lasts. Milliseconds. */
  readonly durationMs: number;
  /** Selects the daemon, engine, application server or zone, modulo their number. */
  readonly target: number;
}

// The values are large enough for a fault to have an effect within the seconds that it lasts.
const DUPLICATE_CHANCE = 0.3;
/** More than any delay of the network, so that messages overtake each other. Milliseconds. */
const REORDER_MS = 400;
const LOSE_ANSWERS_CHANCE = 0.5;
/** Less than the time-out of a call to the platform. Milliseconds. */
const SLOW_TABLE_MS = 1200;
const SLOW_ENGINE_FACTOR = 8;
/** Time in which callers notice a planned stop. Milliseconds. */
const DRAIN_NOTICE_MS = 1000;
const RACING_OPERATORS = 3;
/** Operators set weights from 1 to this. */
const RACING_WEIGHTS = 50;

/** The targets of a fault, and the site and workload that it acts on. */
interface FaultContext {
  readonly site: SimulatedSite;
  readonly workload: Workload;
  readonly fault: Fault;
  readonly daemon: DaemonNode;
  readonly engine: SimulatedEngine;
  /** Undefined at a site without application servers. */
  readonly server: SimulatedApplication | undefined;
  /** Gets the next number for an operator's edit. */
  readonly nextEdit: () => number;
}

/** Starts a fault. Returns a function that stops it, or undefined if it needs no stop. */
type Injection = (context: FaultContext) => (() => unknown) | undefined;

const INJECTIONS: Readonly<Record<FaultKind, Injection>> = {
  'kill-daemon': ({ site, workload, daemon }) => {
    if (!daemon.alive) return undefined;
    site.kill(daemon);
    workload.onDaemonKilled(daemon);
    return () => site.restart(daemon);
  },
  'pause-daemon': ({ site, daemon }) => {
    site.pause(daemon);
    return () => site.resume(daemon);
  },
  'cut-daemon': createPartitionFault(
    ({ daemon }) =>
      (from, to) =>
        from === daemon || to === daemon,
  ),
  'cut-daemon-inbound': createPartitionFault(
    ({ daemon }) =>
      (_from, to) =>
        to === daemon,
  ),
  'cut-from-platform': createPartitionFault(
    ({ daemon }) =>
      (from, to) =>
        (from === daemon && to.name === 'platform') || (to === daemon && from.name === 'platform'),
  ),
  'cut-zone': createPartitionFault(
    ({ daemon }) =>
      (from, to) =>
        from.zone !== to.zone && (from.zone === daemon.zone || to.zone === daemon.zone),
  ),
  'table-down': ({ site: { platform } }) => {
    platform.faults.down = true;
    return () => (platform.faults.down = false);
  },
  'table-slow': ({ site: { platform } }) => {
    platform.faults.slowMs = SLOW_TABLE_MS;
    return () => (platform.faults.slowMs = 0);
  },
  'table-loses-answers': ({ site: { platform } }) => {
    platform.faults.loseAnswers = LOSE_ANSWERS_CHANCE;
    return () => (platform.faults.loseAnswers = 0);
  },
  'crash-engine': ({ engine }) => crash(engine),
  'slow-engine': ({ engine }) => {
    engine.model.slowFactor = SLOW_ENGINE_FACTOR;
    return () => (engine.model.slowFactor = 1);
  },
  'leave-engine': ({ site, engine }) => {
    site.setEngineLeaving(engine);
    return undefined;
  },
  'crash-application': ({ server }) => crash(server),
  'drain-daemon': ({ site, daemon, fault }) => {
    if (daemon.alive && daemon.pausedSince === undefined)
      site.drain(daemon, DRAIN_NOTICE_MS, () =>
        site.time.after(fault.durationMs, () => site.restart(daemon)),
      );
    return undefined;
  },
  'orders-delayed': ({ site, daemon, fault }) => {
    site.controlDelayMs.set(daemon, fault.durationMs);
    return () => site.controlDelayMs.delete(daemon);
  },
  'operators-race': (context) => {
    raceOperators(context);
    return undefined;
  },
  'messages-duplicated': ({ site: { network } }) => {
    network.duplicateChance = DUPLICATE_CHANCE;
    return () => (network.duplicateChance = 0);
  },
  'messages-reordered': ({ site: { network } }) => {
    network.reorderMs = REORDER_MS;
    return () => (network.reorderMs = 0);
  },
};

function createPartitionFault(createPartition: (context: FaultContext) => Partition): Injection {
  return (context) => context.site.network.addPartition(createPartition(context));
}

function crash(target: SimulatedEngine | SimulatedApplication | undefined): (() => void) | undefined {
  if (!target?.alive) return undefined;
  target.crash();
  return () => target.restart();
}

/** Lets several operators edit the same row at once, each from the revision that its daemon shows. */
function raceOperators({ site, fault: { target }, nextEdit }: FaultContext): void {
  for (let operator = 0; operator < RACING_OPERATORS; operator += 1) {
    const node = site.daemons[(target + operator) % site.daemons.length];
    const services = node.alive ? node.daemon.status(site.time.now()).services : [];
    const present = services[target % Math.max(1, services.length)];
    if (!present?.row) continue;
    const edit = nextEdit();
    const row = parseServiceRow({ ...present.row, weight: 1 + ((edit * 7) % RACING_WEIGHTS) });
    const edits = [{ name: row.name, expectedRevision: present.revision, row }];
    site.deliver(node, { kind: 'editServices', editId: `edit-${edit}`, edits });
  }
}

/** Injects faults into a running site. */
export class FaultInjector {
  private editCount = 0;

  constructor(
    private readonly site: SimulatedSite,
    private readonly workload: Workload,
  ) {}

  /** Schedules faults at their virtual times. */
  schedule(faults: readonly Fault[]): void {
    const { time } = this.site;
    for (const fault of faults) time.after(fault.atMs - time.now(), () => this.start(fault));
  }

  private start(fault: Fault): void {
    const { site, workload } = this;
    const engines = [...site.engines.values()];
    const servers = [...site.applications.values()];
    const stop = INJECTIONS[fault.kind]({
      site,
      workload,
      fault,
      daemon: site.daemons[fault.target % site.daemons.length],
      engine: engines[fault.target % engines.length],
      server: servers[fault.target % Math.max(1, servers.length)],
      nextEdit: () => (this.editCount += 1),
    });
    if (stop) site.time.after(fault.durationMs, stop);
  }
}
