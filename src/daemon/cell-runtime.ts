/**
 * One cell in one daemon: who holds its lease, what its coordinator decides on, and the digests and demand
 * reports that go out. Owns the lease, the coordinator and the demand heard from other daemons; relies on the
 * daemon for members, services and its own demand.
 */
import { CellCoordinator, type CellEngine, type CoordinatorEffect } from '../allocation/cell-coordinator.js';
import { modelKey, type ModelDemand } from '../allocation/role-allocator.js';
import type { VersionedRow } from '../configuration/service-row.js';
import type { EngineCapability, EngineReport } from '../contracts/engine-protocol.js';
import { sameAssignment } from '../allocation/cell-coordinator.js';
import { CellLease, type LeaseEffect } from '../lease/cell-lease.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { CellMessage, DemandEntry, EngineDescription, EngineLoad } from './cell-messages.js';
import type { CompletionDaemonSettings } from './completion-daemon-settings.js';

/** What a cell asks its runner to do. */
export type CellEffect =
  | (CoordinatorEffect & { readonly cell: string })
  | LeaseEffect
  | { readonly kind: 'sendCell'; readonly daemonId: string; readonly message: CellMessage };

interface DemandFrom {
  readonly entries: readonly DemandEntry[];
  readonly receivedAt: number;
}

/** A digest in so many describes every engine; the others only those that changed. */
const DESCRIPTION_INTERVALS = 15;
/** Waiting prompt tokens are rounded to this, so that equal numbers repeat in a digest. Tokens. */
const WAITING_ROUNDING = 16;
/** Up to so many subscribers get digests from the coordinator itself; more are served by relays. */
const DIRECT_SUBSCRIBERS = 8;
/** Ages of reports are rounded to this, for the same reason. Milliseconds. */
const AGE_ROUNDING_MS = 50;
/** Size of a digest without its engines. Bytes. */
const DIGEST_BYTES = 110;
/** What each engine adds, with its share of the descriptions. Bytes. */
const DIGEST_BYTES_PER_ENGINE = 60;
/** A demand report counts for so many intervals of reports: two in a row may be lost. */
const DEMAND_EXPIRY_INTERVALS = 3;
/** Adapters that a model is asked to have loaded, at most. */
const MAXIMUM_ADAPTERS_PER_ENGINE = 64;

/** What a tick needs to know of the rest of the daemon. */
interface CellContext {
  readonly selfId: string;
  /** Who should coordinate the cell. */
  readonly coordinatorId: string | undefined;
  /** The daemons that route to the cell. */
  readonly subscriberIds: () => readonly string[];
  readonly services: () => readonly VersionedRow[];
  /** What this daemon itself sees asked of the cell. */
  readonly localDemand: () => readonly DemandEntry[];
  /** False while the daemon stops: it then takes no lease. */
  readonly eligible: boolean;
}

/** The cell machine. Times are monotonic milliseconds. */
export class CellRuntime {
  readonly lease: CellLease;
  readonly coordinator: CellCoordinator;
  private readonly demandFrom = new Map<string, DemandFrom>();
  private readonly describedAs = new Map<string, EngineReport>();
  private readonly capabilities = new Map<string, EngineCapability>();
  private nextDigestAt = 0;
  private nextDemandAt = 0;
  private digestCount = 0;
  private knownSubscribers = '';

  constructor(
    readonly cell: string,
    selfId: string,
    private readonly settings: CompletionDaemonSettings,
    private readonly emit: EffectSink<CellEffect>,
    now: number,
  ) {
    this.lease = new CellLease(cell, selfId, settings.lease, emit, now);
    this.coordinator = new CellCoordinator(settings.coordinator, settings.allocation, (effect) =>
      emit({ ...effect, cell }),
    );
  }

  /** Takes the cell's engines from the machine list. */
  setEngines(engines: readonly CellEngine[], now: number): void {
    this.coordinator.setEngines(engines, now);
  }

  /** Takes a demand report of another daemon. */
  receiveDemand(daemonId: string, entries: readonly DemandEntry[], now: number): void {
    this.demandFrom.set(daemonId, { entries, receivedAt: now });
  }

  /** Advances timers. */
  tick(now: number, context: CellContext): void {
    const coordinates = context.coordinatorId === context.selfId;
    this.lease.tick(now, coordinates && context.eligible);
    const releasing = !coordinates || !context.eligible;
    if (releasing && this.coordinator.mayRelease(now)) this.lease.release(now);
    const lease = releasing ? undefined : this.lease.getHeldLease(now);
    if (now >= this.nextDemandAt) this.reportDemand(now, context);
    if (!coordinates && !lease) return;
    this.coordinator.tick(now, lease, () => this.totalDemand(now, context.services()));
    if (coordinates && now >= this.nextDigestAt) this.sendDigest(now, context);
  }

  private reportDemand(now: number, context: CellContext): void {
    this.nextDemandAt = now + this.settings.cells.demandIntervalMs;
    const entries = context.localDemand();
    if (context.coordinatorId === context.selfId || this.lease.getHeldLease(now))
      this.receiveDemand(context.selfId, entries, now);
    const nothing = entries.every((entry) => entry[2] === 0 && entry[3] === 0);
    if (context.coordinatorId === undefined || context.coordinatorId === context.selfId || nothing) return;
    const message: CellMessage = { kind: 'demandReport', cell: this.cell, demands: entries };
    this.emit({ kind: 'sendCell', daemonId: context.coordinatorId, message });
  }

  /** Demand of every model version that a service names, summed over the daemons heard lately. */
  private totalDemand(now: number, services: readonly VersionedRow[]): ModelDemand[] {
    const totals = new Map<string, { prefill: number; decode: number }>();
    const expiry = this.settings.cells.demandIntervalMs * DEMAND_EXPIRY_INTERVALS;
    for (const [daemonId, from] of this.demandFrom) {
      if (now - from.receivedAt > expiry) {
        this.demandFrom.delete(daemonId);
        continue;
      }
      for (const [model, version, prefill, decode] of from.entries) {
        const total = totals.get(modelKey(model, version)) ?? { prefill: 0, decode: 0 };
        totals.set(modelKey(model, version), {
          prefill: total.prefill + prefill,
          decode: total.decode + decode,
        });
      }
    }
    return demandsOfServices(services, totals);
  }

  /** More subscribers and engines make digests rarer, so that a coordinator's traffic stays bounded. */
  private digestInterval(subscribers: number): number {
    const sent = subscribers <= DIRECT_SUBSCRIBERS ? subscribers : Math.ceil(Math.sqrt(subscribers));
    const bytes = sent * (DIGEST_BYTES + DIGEST_BYTES_PER_ENGINE * this.coordinator.reports().length);
    const { digestIntervalMs, digestBudgetBytes } = this.settings.cells;
    return Math.max(digestIntervalMs, (bytes / digestBudgetBytes) * 1000);
  }

  /** Rounds a report for travel; engines of one kind share one capability, which then travels once. */
  private compact(report: EngineReport): EngineReport {
    const rounded = Object.fromEntries(
      Object.entries(report.capability).map(([name, value]) => [name, Math.round(value)]),
    ) as unknown as EngineCapability;
    const key = JSON.stringify(rounded);
    const capability = this.capabilities.get(key) ?? rounded;
    this.capabilities.set(key, capability);
    return {
      ...report,
      capability,
      cachedShare: Math.round(report.cachedShare * 100) / 100,
      waitingPrefillTokens: Math.round(report.waitingPrefillTokens),
      clockMs: 0,
    };
  }

  private sendDigest(now: number, context: CellContext): void {
    const subscriberIds = context.subscriberIds();
    this.nextDigestAt = now + this.digestInterval(subscriberIds.length);
    this.digestCount += 1;
    const subscribers = subscriberIds.join(' ');
    const everything =
      this.digestCount % DESCRIPTION_INTERVALS === 1 || subscribers !== this.knownSubscribers;
    this.knownSubscribers = subscribers;
    const loads: EngineLoad[] = [];
    const descriptions: EngineDescription[] = [];
    for (const { id, address, zone, report, receivedAt } of this.coordinator.reports()) {
      loads.push(loadOf(id, report, now - receivedAt));
      const described = this.describedAs.get(id);
      if (!everything && described && sameAssignment(described.assignment, report.assignment)) continue;
      this.describedAs.set(id, report);
      descriptions.push({ id, address, zone, report: this.compact(report) });
    }
    const others = subscriberIds.filter((id) => id !== context.selfId);
    for (const [first, ...relayTo] of relayGroups(others, this.digestCount)) {
      const message: CellMessage = {
        kind: 'cellDigest',
        cell: this.cell,
        sequence: this.digestCount,
        coordinator: context.selfId,
        relayTo,
        loads,
        descriptions,
      };
      this.emit({ kind: 'sendCell', daemonId: first, message });
    }
  }
}

/**
 * Divides the subscribers of a large cell into groups whose first member passes the digest on to the others.
 * The groups turn with each digest, so that a lost relay hides at most some of them from a daemon.
 */
function relayGroups(ids: readonly string[], turn: number): string[][] {
  if (ids.length <= DIRECT_SUBSCRIBERS) return ids.map((id) => [id]);
  const start = turn % ids.length;
  const turned = [...ids.slice(start), ...ids.slice(0, start)];
  const size = Math.ceil(Math.sqrt(ids.length));
  const groups: string[][] = [];
  for (let index = 0; index < turned.length; index += size) groups.push(turned.slice(index, index + size));
  return groups;
}

/** Coarse numbers repeat, and what repeats travels once. */
function loadOf(id: string, report: EngineReport, ageMs: number): EngineLoad {
  const waiting = Math.round(report.waitingPrefillTokens / WAITING_ROUNDING) * WAITING_ROUNDING;
  return [id, report.phase, report.streams, waiting, Math.round(ageMs / AGE_ROUNDING_MS) * AGE_ROUNDING_MS];
}

function demandsOfServices(
  services: readonly VersionedRow[],
  totals: ReadonlyMap<string, { prefill: number; decode: number }>,
): ModelDemand[] {
  const byModel = new Map<string, { model: string; version: number; adapters: Set<string> }>();
  for (const { row } of services) {
    if (!row || row.kind !== 'completion') continue;
    const key = modelKey(row.model, row.version);
    const entry = byModel.get(key) ?? { model: row.model, version: row.version, adapters: new Set<string>() };
    if (row.adapter !== '') entry.adapters.add(row.adapter);
    byModel.set(key, entry);
  }
  return [...byModel].map(([key, { model, version, adapters }]) => ({
    model,
    version,
    adapters: [...adapters].sort().slice(0, MAXIMUM_ADAPTERS_PER_ENGINE),
    prefillPerSecond: totals.get(key)?.prefill ?? 0,
    decodePerSecond: totals.get(key)?.decode ?? 0,
  }));
}
