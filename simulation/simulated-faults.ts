/**
 * Faults of a simulated site as data, so that a generator can draw them and a failing run can be shown as a
 * short list, and what each kind does to the site. Relies on the site and the load it is given; owns no state
 * but a count of edits.
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
  /** When it begins. Milliseconds. */
  readonly atMs: number;
  /** How long it lasts. Milliseconds. */
  readonly durationMs: number;
  /** Picks the daemon, engine, server or zone. */
  readonly target: number;
}

// Chosen, not measured: large enough that a fault shows within the seconds it lasts.
const DUPLICATE_CHANCE = 0.3;
/** Milliseconds, beyond any delay of the network. */
const REORDER_MS = 400;
const LOSE_ANSWERS_CHANCE = 0.5;
/** Milliseconds, below the time after which a call to the platform is given up. */
const SLOW_TABLE_MS = 1200;
const SLOW_ENGINE_FACTOR = 8;
/** Callers notice a planned stop within this time. Milliseconds. */
const DRAIN_NOTICE_MS = 1000;
const RACING_OPERATORS = 3;
/** Weights that operators set lie between 1 and this. */
const RACING_WEIGHTS = 50;

/** What a fault harms, and what it may use to do so. */
interface FaultScene {
  readonly site: SimulatedSite;
  readonly workload: Workload;
  readonly fault: Fault;
  readonly daemon: DaemonNode;
  readonly engine: SimulatedEngine;
  /** Undefined at a site without application servers. */
  readonly server: SimulatedApplication | undefined;
  /** Numbers the operators' edits of a run. */
  readonly nextEdit: () => number;
}

/** Begins a fault. Returns what ends it, or undefined where nothing is to be ended. */
type Injection = (scene: FaultScene) => (() => unknown) | undefined;

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
  'cut-daemon': cutting(
    ({ daemon }) =>
      (from, to) =>
        from === daemon || to === daemon,
  ),
  'cut-daemon-inbound': cutting(
    ({ daemon }) =>
      (_from, to) =>
        to === daemon,
  ),
  'cut-from-platform': cutting(
    ({ daemon }) =>
      (from, to) =>
        (from === daemon && to.name === 'platform') || (to === daemon && from.name === 'platform'),
  ),
  'cut-zone': cutting(
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
  'operators-race': (scene) => {
    raceOperators(scene);
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

function cutting(makeCut: (scene: FaultScene) => Partition): Injection {
  return (scene) => scene.site.network.cut(makeCut(scene));
}

function crash(target: SimulatedEngine | SimulatedApplication | undefined): (() => void) | undefined {
  if (!target?.alive) return undefined;
  target.crash();
  return () => target.restart();
}

/** Several operators edit the same row at once, each from what its daemon showed. */
function raceOperators({ site, fault: { target }, nextEdit }: FaultScene): void {
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

  /** Schedules faults. */
  schedule(faults: readonly Fault[]): void {
    const { time } = this.site;
    for (const fault of faults) time.after(fault.atMs - time.now(), () => this.begin(fault));
  }

  private begin(fault: Fault): void {
    const { site, workload } = this;
    const engines = [...site.engines.values()];
    const servers = [...site.applications.values()];
    const end = INJECTIONS[fault.kind]({
      site,
      workload,
      fault,
      daemon: site.daemons[fault.target % site.daemons.length],
      engine: engines[fault.target % engines.length],
      server: servers[fault.target % Math.max(1, servers.length)],
      nextEdit: () => (this.editCount += 1),
    });
    if (end) site.time.after(fault.durationMs, end);
  }
}
