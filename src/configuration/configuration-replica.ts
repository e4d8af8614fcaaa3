/**
 * The replica of the service table that each daemon keeps. A few daemons per zone poll the table; the others
 * pull from these. The revision of a row never decreases. The replica tracks when its contents were last known
 * to be current, by its own clock, and reports when a daemon must not admit requests on them.
 */
import { rankByRendezvous } from '../shared/rendezvous-hash.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { TableRequest, TableResult } from '../contracts/table-service.js';
import type { Member } from '../membership/membership-messages.js';
import { serviceRowSchema, type ServiceRow, type VersionedRow } from './service-row.js';

/** Settings of the distribution of the configuration. */
export interface ConfigurationSettings {
  /** Interval at which a poller reads the table. Milliseconds. Default 1000. */
  readonly pollIntervalMs: number;
  /** Interval at which the other daemons pull from a poller. Milliseconds. Default 3000. */
  readonly pullIntervalMs: number;
  /** Number of daemons per zone that poll the table. Default 5. */
  readonly pollersPerZone: number;
  /** Maximum age of a configuration on which requests are admitted. Milliseconds. Default 10000. */
  readonly maximumStalenessMs: number;
}

/** Default settings. */
export const DEFAULT_CONFIGURATION_SETTINGS: ConfigurationSettings = {
  pollIntervalMs: 1000,
  pullIntervalMs: 3000,
  pollersPerZone: 5,
  maximumStalenessMs: 10_000,
};

/** A row in the compact form of the messages. */
type RowUpdate = readonly [name: string, revision: number, row: ServiceRow | null];

/** Messages between replicas. */
export type ConfigurationMessage =
  | { readonly kind: 'configurationPull'; readonly sequence: number; readonly revision: number }
  | {
      readonly kind: 'configurationRows';
      readonly sequence: number;
      readonly revision: number;
      /** Time since the revision was last known to be current. Milliseconds; -1 when it never was. */
      readonly ageMs: number;
      /** Whether the sender's last read of the table failed. */
      readonly tableDown: boolean;
      readonly rows: readonly RowUpdate[];
    };

/** Effects of the replica, for the caller to perform. */
type ConfigurationEffect =
  | { readonly kind: 'sendConfiguration'; readonly address: string; readonly message: ConfigurationMessage }
  | { readonly kind: 'readTable'; readonly request: TableRequest }
  | { readonly kind: 'configurationChanged'; readonly revision: number };

/** The daemon's contact with its peers according to the membership. */
export interface PeerContact {
  readonly alive: number;
  readonly known: number;
  /** When a peer last answered a probe; the current time for a daemon without peers. */
  readonly lastContactAt: number;
}

/** Whether and why a daemon may admit requests on its configuration: on the first two kinds it may. */
export type Freshness =
  | { readonly kind: 'confirmed'; readonly ageMs: number }
  /**
   * No daemon in contact can read the table, and a majority is in contact: no edit can have been accepted
   * elsewhere.
   */
  | { readonly kind: 'majorityInOutage'; readonly ageMs: number }
  | { readonly kind: 'stale'; readonly ageMs: number }
  | { readonly kind: 'never' };

/** A pull times out after this number of pull intervals. */
const PULL_TIMEOUT_INTERVALS = 1.5;
/** A daemon without a configuration pulls this many times as often. */
const INITIAL_PULL_RATE_FACTOR = 8;
/** Number of unanswered pulls after which a daemon that is not a poller reads the table itself. */
const UNANSWERED_PULLS_BEFORE_POLL = 2;
/**
 * Share of `maximumStalenessMs` after which a daemon that is not a poller reads the table itself, and within
 * which it must have been in contact with peers to continue through an outage. Half leaves as much time for
 * the read as passed before it.
 */
const FALLBACK_STALENESS_SHARE = 0.5;

/** The configuration state machine of one daemon. Times are monotonic milliseconds. */
export class ConfigurationReplica {
  private readonly rows = new Map<string, VersionedRow>();
  private currentRevision = -1;
  private confirmedAt = -Infinity;
  private nextPollAt: number;
  private nextPullAt: number;
  private pollSentAt: number | undefined;
  private tableDownSince: number | undefined;
  private outageConfirmedAt = -Infinity;
  private pullSequence = 0;
  private pull: { sequence: number; sentAt: number } | undefined;
  private unansweredPulls = 0;

  constructor(
    private readonly selfId: string,
    private readonly settings: ConfigurationSettings,
    private readonly emit: EffectSink<ConfigurationEffect>,
    now: number,
  ) {
    this.nextPollAt = now;
    this.nextPullAt = now;
  }

  /** The revision in force at this daemon; -1 before the first one. */
  getRevision(): number {
    return this.currentRevision;
  }

  /** The row of a service; undefined when the configuration in force has none. */
  getService(name: string): ServiceRow | undefined {
    return this.rows.get(name)?.row ?? undefined;
  }

  /** Every row that is not deleted. */
  getServices(): VersionedRow[] {
    return [...this.rows.values()].filter((entry) => entry.row !== null);
  }

  /** Whether the last read of the table failed. */
  isTableDown(): boolean {
    return this.tableDownSince !== undefined;
  }

  /**
   * The machine was suspended for a time that the monotonic clock did not count: increases the age of the
   * contents by `forMs` milliseconds.
   */
  onMachineSuspended(forMs: number): void {
    this.confirmedAt -= forMs;
    this.outageConfirmedAt -= forMs;
  }

  /** How current the configuration is known to be. */
  getFreshness(now: number, contact: PeerContact): Freshness {
    if (this.currentRevision < 0) return { kind: 'never' };
    const ageMs = now - this.confirmedAt;
    if (ageMs <= this.settings.maximumStalenessMs) return { kind: 'confirmed', ageMs };
    const hasRecentOutage = now - this.outageConfirmedAt <= this.settings.maximumStalenessMs;
    const hasPeerContact =
      now - contact.lastContactAt <= this.settings.maximumStalenessMs * FALLBACK_STALENESS_SHARE;
    const hasMajority = contact.alive * 2 > contact.known;
    return hasRecentOutage && hasPeerContact && hasMajority
      ? { kind: 'majorityInOutage', ageMs }
      : { kind: 'stale', ageMs };
  }

  /** Advances timers. `members` are the active daemons, including this one. */
  tick(now: number, ownZone: string, members: readonly Member[]): void {
    const zoneMembers = members.filter((member) => member.zone === ownZone);
    const pollers = this.pickPollers(zoneMembers);
    const isPoller = pollers.some((member) => member.id === this.selfId);
    const needsFallbackPoll =
      now - this.confirmedAt > this.settings.maximumStalenessMs * FALLBACK_STALENESS_SHARE ||
      this.unansweredPulls >= UNANSWERED_PULLS_BEFORE_POLL;
    if ((isPoller || needsFallbackPoll) && now >= this.nextPollAt && this.pollSentAt === undefined)
      this.pollTable(now);
    if (isPoller && !this.isTableDown()) return;
    // In an outage pollers pull from any daemon of the zone; a zone's only daemon pulls from other zones.
    const others = (list: readonly Member[]): Member[] => list.filter((member) => member.id !== this.selfId);
    const sources = [isPoller ? zoneMembers : pollers, zoneMembers, members]
      .map(others)
      .find((list) => list.length > 0);
    if (sources) this.pullFromPeer(now, sources);
  }

  /** Polls the table at the next tick, after this daemon has accepted an edit. */
  pollSoon(): void {
    this.nextPollAt = 0;
  }

  /** Handles the result of a `readTable` effect. */
  receiveTableResult(result: TableResult, now: number): void {
    const sentAt = this.pollSentAt ?? now;
    this.pollSentAt = undefined;
    if (result.kind === 'changes') {
      this.tableDownSince = undefined;
      this.apply(
        result.revision,
        result.rows.map((row) => toRowUpdate(row.key, row.revision, row.value)),
      );
      this.confirmedAt = Math.max(this.confirmedAt, sentAt);
    } else if (result.kind === 'rateLimited') {
      this.nextPollAt = Math.max(this.nextPollAt, now + result.retryAfterMs);
    } else {
      this.tableDownSince ??= now;
      this.outageConfirmedAt = Math.max(this.outageConfirmedAt, sentAt);
    }
  }

  /** Handles a message from the replica at `address`. */
  receive(address: string, message: ConfigurationMessage, now: number): void {
    if (message.kind === 'configurationPull') this.sendRows(address, message, now);
    else this.receiveRows(message, now);
  }

  private sendRows(
    address: string,
    message: Extract<ConfigurationMessage, { kind: 'configurationPull' }>,
    now: number,
  ): void {
    const newer = [...this.rows.values()].filter((entry) => entry.revision > message.revision);
    this.emit({
      kind: 'sendConfiguration',
      address,
      message: {
        kind: 'configurationRows',
        sequence: message.sequence,
        revision: this.currentRevision,
        ageMs: Number.isFinite(this.confirmedAt) ? Math.round(now - this.confirmedAt) : -1,
        tableDown: this.isTableDown(),
        rows: newer.map((entry) => [entry.name, entry.revision, entry.row]),
      },
    });
  }

  private receiveRows(
    message: Extract<ConfigurationMessage, { kind: 'configurationRows' }>,
    now: number,
  ): void {
    if (this.pull?.sequence !== message.sequence) {
      // An answer to an older pull: its rows are valid, but its age cannot be mapped to the local clock.
      this.apply(message.revision, message.rows);
      return;
    }
    const sentAt = this.pull.sentAt;
    this.pull = undefined;
    this.unansweredPulls = 0;
    this.apply(message.revision, message.rows);
    if (message.ageMs >= 0)
      this.confirmedAt = Math.max(this.confirmedAt, Math.min(now, sentAt - message.ageMs));
    if (message.tableDown) this.outageConfirmedAt = Math.max(this.outageConfirmedAt, sentAt);
  }

  private pickPollers(zoneMembers: readonly Member[]): Member[] {
    const ids = zoneMembers.map((member) => member.id);
    const chosen = new Set(rankByRendezvous('configuration-poller', ids, this.settings.pollersPerZone));
    return zoneMembers.filter((member) => chosen.has(member.id));
  }

  private pollTable(now: number): void {
    this.nextPollAt = now + this.settings.pollIntervalMs;
    this.pollSentAt = now;
    this.emit({
      kind: 'readTable',
      request: { kind: 'changes', table: 'services', since: Math.max(0, this.currentRevision) },
    });
  }

  private pullFromPeer(now: number, sources: readonly Member[]): void {
    if (now < this.nextPullAt) return;
    if (this.pull && now - this.pull.sentAt > this.settings.pullIntervalMs * PULL_TIMEOUT_INTERVALS)
      this.pull = undefined;
    if (this.pull) this.unansweredPulls += 1;
    this.nextPullAt =
      now +
      (this.currentRevision < 0
        ? this.settings.pullIntervalMs / INITIAL_PULL_RATE_FACTOR
        : this.settings.pullIntervalMs);
    this.pullSequence += 1;
    this.pull = { sequence: this.pullSequence, sentAt: now };
    const index = (hashIndex(this.selfId) + this.pullSequence) % sources.length;
    const message: ConfigurationMessage = {
      kind: 'configurationPull',
      sequence: this.pullSequence,
      revision: this.currentRevision,
    };
    this.emit({ kind: 'sendConfiguration', address: sources[index].address, message });
  }

  /** The only method that changes rows. A row is replaced only by one of a higher revision. */
  private apply(revision: number, updates: readonly RowUpdate[]): void {
    let changed = false;
    for (const [name, rowRevision, row] of updates) {
      const current = this.rows.get(name);
      if (current && current.revision >= rowRevision) continue;
      this.rows.set(name, { name, revision: rowRevision, row });
      changed = true;
    }
    if (revision > this.currentRevision) {
      this.currentRevision = revision;
      changed = true;
    }
    if (changed) this.emit({ kind: 'configurationChanged', revision: this.currentRevision });
  }
}

function hashIndex(id: string): number {
  let sum = 0;
  for (const character of id) sum = (sum * 31 + character.charCodeAt(0)) >>> 0;
  return sum % 1024;
}

/** An invalid row is treated as deleted: it cannot be served, and it must not block the other rows. */
function toRowUpdate(name: string, revision: number, value: unknown): RowUpdate {
  if (value === null) return [name, revision, null];
  const parsed = serviceRowSchema.safeParse(value);
  return [name, revision, parsed.success ? parsed.data : null];
}
