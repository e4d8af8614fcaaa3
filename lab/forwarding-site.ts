/** A forwarding daemon in this process, with back ends and an in-memory record store that the test controls. */
import { HttpDialect } from '../platform/http-dialect.js';
import type { BackendDialect } from '../src/adapters/backend-dialect.js';
import { DEFAULT_FORWARDING_SETTINGS } from '../src/daemon/forwarding-daemon-settings.js';
import type { TableStore } from '../src/contracts/table-service.js';
import {
  RecordStore,
  type RecordRead,
  type RecordReadResult,
  type StoredRecord,
} from '../src/fleet/record-store.js';
import type {
  BackendRecord,
  EngineTraits,
  Route,
  RouteConfiguration,
  Tenant,
} from '../src/forwarding/routes/route.js';
import { DEFAULT_DECISION_LOG_SETTINGS } from '../src/process/decision-log.js';
import { ForwardingProcess } from '../src/process/forwarding-process.js';
import { findFreeAddresses } from './free-ports.js';
import { LAB_STAGES } from './stage-settings.js';

/** An in-memory store: a reader gets a snapshot first, then the changes after each `put`. */
class MemoryRecordStore extends RecordStore {
  private readonly records: StoredRecord[] = [];
  private readonly waitingReads = new Set<() => void>();

  /** Adds records and completes the waiting reads. */
  put(...records: StoredRecord[]): void {
    this.records.push(...records);
    for (const resolve of this.waitingReads) resolve();
    this.waitingReads.clear();
  }

  async read(request: RecordRead): Promise<RecordReadResult> {
    const after = request.after ?? 0;
    if (request.after !== undefined && !this.hasChanged(request, after)) {
      await new Promise<void>((resolve) => {
        this.waitingReads.add(resolve);
        setTimeout(resolve, request.waitMs).unref();
      });
    }
    const records = this.records.filter(
      (record) => record.collection === request.collection && record.revision > after,
    );
    const revision = Math.max(after, ...records.map((record) => record.revision));
    const kind = request.after === undefined ? 'snapshot' : 'changes';
    return { kind, revision, records, storeMs: performance.now() };
  }

  private hasChanged(request: RecordRead, after: number): boolean {
    return this.records.some((record) => record.collection === request.collection && record.revision > after);
  }
}

/** Makes a route for tests; `fields` override the defaults. */
export function makeLabRoute(fields: Partial<Route>): Route {
  return {
    name: 'route',
    host: 'site.example',
    pathPrefix: '/a/',
    kind: 'idempotent',
    resumable: false,
    timeoutMs: 2000,
    targetLatencyMs: 200,
    targetGapMs: 150,
    priority: 0,
    maximumAttempts: 2,
    targets: [{ service: 'service', weight: 1 }],
    isPublic: false,
    ...fields,
  };
}

const LAB_ENGINE: EngineTraits = {
  slots: 32,
  kvCapacityTokens: 440_000,
  kvHandleLifetimeMs: 5000,
  tokenBytes: 18_432,
  linkMbps: 370_000,
};

/** Makes a configuration for tests with these routes. */
export function makeLabConfiguration(
  version: number,
  routes: readonly Route[],
  tenants: readonly Tenant[] | null = null,
): RouteConfiguration {
  return {
    version,
    tenants,
    routes,
    services: [{ name: 'service', healthPath: '/healthz', maximumConnections: 100, engine: LAB_ENGINE }],
    limits: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 65_536,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 5000,
    },
  };
}

/** Makes a record of a plain back end for tests. */
export function makeLabBackend(id: string, address: string): BackendRecord {
  return {
    id,
    service: 'service',
    address,
    zone: 'zone-a',
    slots: 8,
    state: 'ready',
    stage: undefined,
    version: '',
  };
}

/** A table store that is never available. */
const UNAVAILABLE_TABLE: TableStore = {
  perform: () => Promise.resolve({ kind: 'noAnswer', reason: 'down' }),
};

/**
 * A running daemon with its store; `callers`, `ready` and `peers` are its addresses for callers, for readiness checks
 * and for other daemons.
 */
export interface ForwardingSite {
  readonly callers: string;
  readonly ready: string;
  readonly peers: string;
  readonly store: MemoryRecordStore;
  readonly daemon: ForwardingProcess;
}

/** What differs from the defaults of a site. */
interface ProcessLimits {
  readonly maximumCallerConnections?: number;
  /** Milliseconds. */
  readonly stopGraceMs?: number;
  readonly dialect?: BackendDialect;
}

/** Starts a daemon with these routes and back ends, and waits until it is ready. */
export async function startForwardingSite(
  routes: readonly Route[],
  backends: readonly BackendRecord[],
  tenants: readonly Tenant[] | null = null,
  {
    maximumCallerConnections = Infinity,
    stopGraceMs = 4000,
    dialect = new HttpDialect(),
  }: ProcessLimits = {},
): Promise<ForwardingSite> {
  const store = new MemoryRecordStore();
  store.put({ collection: 'configuration', revision: 1, value: makeLabConfiguration(1, routes, tenants) });
  backends.forEach((value, index) =>
    store.put({ collection: 'backends', id: value.id, revision: 2 + index, value }),
  );
  const [callers, ready, peers] = await findFreeAddresses(3);
  const daemon = new ForwardingProcess(
    {
      name: 'daemon-1',
      zone: 'zone-a',
      region: 'main',
      callerAddress: callers,
      readyAddress: ready,
      readyPath: '/ready',
      metricsAddress: undefined,
      peerAddress: peers,
      seeds: [],
      stopGraceMs,
      maximumCallerConnections,
      log: { ...DEFAULT_DECISION_LOG_SETTINGS, linesPerSecond: 0, maximumLinesPerSecond: 0 },
      daemon: {
        ...DEFAULT_FORWARDING_SETTINGS,
        retries: { ratio: 0.2, slack: 50, windowMs: 10_000, firstStart: true },
        stages: LAB_STAGES,
        duties: undefined,
      },
    },
    { dialect, store, table: UNAVAILABLE_TABLE, duties: undefined },
  );
  await daemon.start();
  await waitUntilReady(ready);
  return { callers, ready, peers, store, daemon };
}

async function waitUntilReady(address: string): Promise<void> {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const answer = await fetch(`http://${address}/ready`);
    if (answer.status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  throw new Error('the daemon did not become ready');
}
