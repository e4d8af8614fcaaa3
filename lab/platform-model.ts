/** The platform's table service and machine list as a pure state machine with injected faults. */
import type { Machine, MachineListing } from '../src/contracts/machine-list.js';
import type { TableRequest, TableResult, TableRow } from '../src/contracts/table-service.js';

/** Faults to inject into the platform; the fields are also the body of `/faults`. */
export interface PlatformFaults {
  /** Whether the platform is down: requests have no effect and get no answer. */
  down: boolean;
  /** Probability with which a request has its effect but its answer is lost. */
  loseAnswers: number;
  /** Extra delay of each answer. Milliseconds. */
  slowMs: number;
}

type Commit = Extract<TableRequest, { kind: 'commit' }>;

const MAXIMUM_STORED_OUTCOMES = 100_000;

interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/** Default rate limit of the table service: transactions a second, and the size of a burst. */
const DEFAULT_TABLE_RATE: RateLimit = { perSecond: 200, burst: 100 };

/** The emulated platform. */
export class PlatformModel {
  readonly faults: PlatformFaults = { down: false, loseAnswers: 0, slowMs: 0 };
  private readonly rows = new Map<string, TableRow>();
  private readonly outcomes = new Map<string, TableResult>();
  private readonly machines = new Map<string, { machine: Machine; visibleAt: number }>();
  private readonly lastChange = new Map<string, number>();
  private revision = 0;
  private tokens: number;
  private refilledAt = 0;
  /** Every commit to the services table, in order. */
  readonly serviceCommits: { revision: number; at: number }[] = [];

  constructor(
    private readonly rate: RateLimit = DEFAULT_TABLE_RATE,
    private readonly machineLagMs = 1000,
  ) {
    this.tokens = rate.burst;
  }

  /** Applies a table request and returns its result; undefined when the platform is down. */
  applyTableRequest(request: TableRequest, now: number): TableResult | undefined {
    if (this.faults.down) return undefined;
    if (!this.removeToken(now))
      return { kind: 'rateLimited', retryAfterMs: Math.ceil(1000 / this.rate.perSecond) * 10 };
    switch (request.kind) {
      case 'read':
        return { kind: 'row', row: this.rows.get(`${request.table}/${request.key}`) ?? null };
      case 'list':
        return this.list(request.table, request.after ?? '');
      case 'changes':
        return this.changes(request.table, request.since);
      case 'commit':
        return this.commit(request.writeId, request, now);
    }
  }

  /** Returns a row without counting against the rate limit; for tests. */
  getRow(table: string, key: string): TableRow | undefined {
    return this.rows.get(`${table}/${key}`);
  }

  /** Adds a machine to the list at once, or changes a known one after the list's delay. */
  setMachine(machine: Machine, now: number): void {
    const known = this.machines.get(machine.id);
    const visibleAt = known ? now + this.machineLagMs : now;
    if (known && now < known.visibleAt) this.machines.set(machine.id, { machine, visibleAt });
    else if (known) this.pendingMachines.push({ machine, visibleAt });
    else this.machines.set(machine.id, { machine, visibleAt });
  }

  /**
   * The machine list: all cells, the engines of the requested cells, and every application server. Undefined when the
   * platform is down.
   */
  listMachines(cells: readonly string[], now: number): MachineListing | undefined {
    if (this.faults.down) return undefined;
    this.applyPendingMachines(now);
    const all = [...this.machines.values()].map((entry) => entry.machine);
    const zones = new Map(
      all.filter((machine) => machine.kind === 'engine').map((machine) => [machine.cell, machine.zone]),
    );
    const wanted = new Set(cells);
    return {
      cells: [...zones].map(([name, zone]) => ({ name, zone })),
      machines: all.filter((machine) => machine.kind === 'application' || wanted.has(machine.cell)),
    };
  }

  private pendingMachines: { machine: Machine; visibleAt: number }[] = [];

  private applyPendingMachines(now: number): void {
    for (const { machine, visibleAt } of this.pendingMachines) {
      if (visibleAt <= now && this.machines.has(machine.id))
        this.machines.set(machine.id, { machine, visibleAt });
    }
    this.pendingMachines = this.pendingMachines.filter((entry) => entry.visibleAt > now);
  }

  private commit(writeId: string, request: Commit, now: number): TableResult {
    const earlier = this.outcomes.get(writeId);
    if (earlier) return earlier;
    const result = this.apply(request, now);
    this.outcomes.set(writeId, result);
    if (this.outcomes.size > MAXIMUM_STORED_OUTCOMES) {
      const oldest = this.outcomes.keys().next();
      if (!oldest.done) this.outcomes.delete(oldest.value);
    }
    return result;
  }

  private apply({ writes, removes = [] }: Commit, now: number): TableResult {
    const conflicts: TableRow[] = [];
    for (const { table, key, expectedRevision } of writes) {
      const current = this.rows.get(`${table}/${key}`);
      if ((current?.revision ?? 0) !== expectedRevision)
        conflicts.push(current ?? { table, key, revision: 0, value: null });
    }
    if (conflicts.length > 0) return { kind: 'conflict', rows: conflicts };
    this.revision += 1;
    for (const { table, key, value } of writes) {
      this.rows.set(`${table}/${key}`, { table, key, revision: this.revision, value });
      this.lastChange.set(table, this.revision);
    }
    for (const { table, key } of removes) this.rows.delete(`${table}/${key}`);
    if (writes.some((write) => write.table === 'services'))
      this.serviceCommits.push({ revision: this.revision, at: now });
    return { kind: 'committed', revision: this.revision };
  }

  private list(table: string, after: string): TableResult {
    const rows = [...this.rows.values()].filter((row) => row.table === table && row.key > after);
    return { kind: 'rows', rows, more: false };
  }

  private changes(table: string, since: number): TableResult {
    const rows = [...this.rows.values()].filter((row) => row.table === table && row.revision > since);
    return { kind: 'changes', revision: this.lastChange.get(table) ?? 0, rows };
  }

  private removeToken(now: number): boolean {
    const refill = ((now - this.refilledAt) / 1000) * this.rate.perSecond;
    this.tokens = Math.min(this.rate.burst, this.tokens + Math.max(0, refill));
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
