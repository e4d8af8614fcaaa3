/**
 * One cell in one daemon: its lease, its coordinator, and the digests and demand reports that this daemon
 * sends. Owns the lease, the coordinator and the demand reported by peers; relies on the daemon for members,
 * services and the local demand.
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

/** Effects that a cell requests. */
export type CellEffect =
  | (CoordinatorEffect & { readonly cell: string })
  | LeaseEffect
  | { readonly kind: 'sendCell'; readonly daemonId: string; readonly message: CellMessage };

interface ReceivedDemand {
  readonly entries: readonly DemandEntry[];
  readonly receivedAt: number;
}

/** One digest in this many describes every engine; the others describe only those that changed. */
const DIGESTS_PER_FULL_DESCRIPTION = 15;
/** Waiting prompt tokens are rounded to this multiple: equal numbers are encoded once in a digest. Tokens. */
const WAITING_ROUNDING_TOKENS = 16;
/** Up to this number of subscribers, the coordinator sends digests directly; beyond it, through relays. */
const MAXIMUM_DIRECT_SUBSCRIBERS = 8;
/** Ages of reports are rounded to this multiple, for the same reason. Milliseconds. */
const AGE_ROUNDING_MS = 50;
/** Estimated size of a digest without its engines. Bytes. */
const DIGEST_BYTES = 110;
/** Estimated size that each engine adds to a digest, including its share of the descriptions. Bytes. */
const DIGEST_BYTES_PER_ENGINE = 60;
/** A demand report expires after this many report intervals, so that two in a row may be lost. */
const DEMAND_EXPIRY_INTERVALS = 3;
/** Largest number of adapters requested for a model. */
const MAXIMUM_ADAPTERS_PER_MODEL = 64;

/** The state of the rest of the daemon that a tick reads. */
interface CellContext {
  readonly selfId: string;
  /** The daemon that should coordinate the cell. */
  readonly coordinatorId: string | undefined;
  /** The daemons that route to the cell. */
  readonly subscriberIds: () => readonly string[];
  readonly services: () => readonly VersionedRow[];
  /** The demand on the cell that this daemon sees itself. */
  readonly localDemand: () => readonly DemandEntry[];
  /** False while the daemon is draining: it then acquires no lease. */
  readonly eligible: boolean;
}

/** The state machine of one cell. Times are monotonic milliseconds. */
export class CellRuntime {
  readonly lease: CellLease;
  readonly coordinator: CellCoordinator;
  private readonly demandByDaemon = new Map<string, ReceivedDemand>();
  private readonly lastDescribed = new Map<string, EngineReport>();
  private readonly capabilities = new Map<string, EngineCapability>();
  private nextDigestAt = 0;
  private nextDemandAt = 0;
  private digestCount = 0;
  private lastSubscribers = '';

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

  /** Sets the cell's engines, from the machine list. */
  setEngines(engines: readonly CellEngine[], now: number): void {
    this.coordinator.setEngines(engines, now);
  }

  /** Receives the demand report of a daemon. */
  receiveDemand(daemonId: string, entries: readonly DemandEntry[], now: number): void {
    this.demandByDaemon.set(daemonId, { entries, receivedAt: now });
  }

  /** Advances timers. */
  tick(now: number, context: CellContext): void {
    const isCoordinator = context.coordinatorId === context.selfId;
    this.lease.tick(now, isCoordinator && context.eligible);
    const releasing = !isCoordinator || !context.eligible;
    if (releasing && this.coordinator.mayRelease(now)) this.lease.release(now);
    const lease = releasing ? undefined : this.lease.getHeldLease(now);
    if (now >= this.nextDemandAt) this.reportDemand(now, context);
    if (!isCoordinator && !lease) return;
    this.coordinator.tick(now, lease, () => this.getTotalDemand(now, context.services()));
    if (isCoordinator && now >= this.nextDigestAt) this.sendDigest(now, context);
  }

  private reportDemand(now: number, context: CellContext): void {
    this.nextDemandAt = now + this.settings.cells.demandIntervalMs;
    const entries = context.localDemand();
    if (context.coordinatorId === context.selfId || this.lease.getHeldLease(now))
      this.receiveDemand(context.selfId, entries, now);
    const hasNoDemand = entries.every((entry) => entry[2] === 0 && entry[3] === 0);
    if (context.coordinatorId === undefined || context.coordinatorId === context.selfId || hasNoDemand)
      return;
    const message: CellMessage = { kind: 'demandReport', cell: this.cell, demands: entries };
    this.emit({ kind: 'sendCell', daemonId: context.coordinatorId, message });
  }

  /**
   * The demand for every model version that a service names, summed over all reports that have not expired.
   */
  private getTotalDemand(now: number, services: readonly VersionedRow[]): ModelDemand[] {
    const totals = new Map<string, { prefill: number; decode: number }>();
    const expiryMs = this.settings.cells.demandIntervalMs * DEMAND_EXPIRY_INTERVALS;
    for (const [daemonId, received] of this.demandByDaemon) {
      if (now - received.receivedAt > expiryMs) {
        this.demandByDaemon.delete(daemonId);
        continue;
      }
      for (const [model, version, prefill, decode] of received.entries) {
        const total = totals.get(modelKey(model, version)) ?? { prefill: 0, decode: 0 };
        totals.set(modelKey(model, version), {
          prefill: total.prefill + prefill,
          decode: total.decode + decode,
        });
      }
    }
    return getServiceDemands(services, totals);
  }

  /** Grows with the number of subscribers and engines, to bound the coordinator's traffic. */
  private getDigestIntervalMs(subscribers: number): number {
    const sent = subscribers <= MAXIMUM_DIRECT_SUBSCRIBERS ? subscribers : Math.ceil(Math.sqrt(subscribers));
    const bytes = sent * (DIGEST_BYTES + DIGEST_BYTES_PER_ENGINE * this.coordinator.reports().length);
    const { digestIntervalMs, digestBudgetBytes } = this.settings.cells;
    return Math.max(digestIntervalMs, (bytes / digestBudgetBytes) * 1000);
  }

  /**
   * Rounds a report for sending. Engines of one kind share one capability object, which is then encoded once.
   */
  private roundReport(report: EngineReport): EngineReport {
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
    this.nextDigestAt = now + this.getDigestIntervalMs(subscriberIds.length);
    this.digestCount += 1;
    const subscribers = subscriberIds.join(' ');
    const describesAll =
      this.digestCount % DIGESTS_PER_FULL_DESCRIPTION === 1 || subscribers !== this.lastSubscribers;
    this.lastSubscribers = subscribers;
    const loads: EngineLoad[] = [];
    const descriptions: EngineDescription[] = [];
    for (const { id, address, zone, report, receivedAt } of this.coordinator.reports()) {
      loads.push(makeLoad(id, report, now - receivedAt));
      const described = this.lastDescribed.get(id);
      if (!describesAll && described && sameAssignment(described.assignment, report.assignment)) continue;
      this.lastDescribed.set(id, report);
      descriptions.push({ id, address, zone, report: this.roundReport(report) });
    }
    const others = subscriberIds.filter((id) => id !== context.selfId);
    for (const [first, ...relayTo] of makeRelayGroups(others, this.digestCount)) {
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
 * Divides the subscribers of a large cell into groups whose first member relays the digest to the others. The
 * groups rotate with each digest, so that a failed relay costs a daemon only some of the digests.
 */
function makeRelayGroups(ids: readonly string[], rotation: number): string[][] {
  if (ids.length <= MAXIMUM_DIRECT_SUBSCRIBERS) return ids.map((id) => [id]);
  const start = rotation % ids.length;
  const rotated = [...ids.slice(start), ...ids.slice(0, start)];
  const size = Math.ceil(Math.sqrt(ids.length));
  const groups: string[][] = [];
  for (let index = 0; index < rotated.length; index += size) groups.push(rotated.slice(index, index + size));
  return groups;
}

/** Rounds the numbers: repeated values are encoded once. */
function makeLoad(id: string, report: EngineReport, ageMs: number): EngineLoad {
  const waiting = Math.round(report.waitingPrefillTokens / WAITING_ROUNDING_TOKENS) * WAITING_ROUNDING_TOKENS;
  return [id, report.phase, report.streams, waiting, Math.round(ageMs / AGE_ROUNDING_MS) * AGE_ROUNDING_MS];
}

function getServiceDemands(
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
    adapters: [...adapters].sort().slice(0, MAXIMUM_ADAPTERS_PER_MODEL),
    prefillPerSecond: totals.get(key)?.prefill ?? 0,
    decodePerSecond: totals.get(key)?.decode ?? 0,
  }));
}
