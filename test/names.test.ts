/**
 * Snapshots of the names and schemas that callers, operators, peers, the platform and stored data depend on, so that
 * no refactoring changes one of them.
 */
import { execFile } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import type { Registry } from 'prom-client';
import * as z from 'zod';
import { HttpDialect } from '../platform/http-dialect.js';
import { configurationSchema, readConfiguration, readServer, serverSchema } from '../platform/records.js';
import {
  checkPlatformSettings,
  platformSettingsSchema,
  createProcessSettings,
} from '../platform/settings.js';
import { getSiteProfile } from '../lab/site-profiles.js';
import { createSiteOptions } from '../simulation/site-options.js';
import { SimulatedSite } from '../simulation/simulated-site.js';
import { peerMessageSchema } from '../src/adapters/peer-codec.js';
import { serviceRowSchema } from '../src/configuration/service-row.js';
import type { CompletionDaemonStatus } from '../src/daemon/completion-messages.js';
import * as errors from '../src/errors/index.js';
import type { AttemptStart } from '../src/forwarding/forward-messages.js';
import {
  tunnelAnswerSchema,
  tunnelEndRequestSchema,
  tunnelEndSchema,
  tunnelRequestSchema,
} from '../src/forwarding/tunnel-messages.js';
import { toProblem } from '../src/gateway/problem.js';
import { ForwardingMetrics } from '../src/process/forwarding-metrics.js';
import { CompletionMetrics } from '../src/process/completion-metrics.js';
import { checkSettings } from '../src/settings/settings.js';
import { Snapshot } from './snapshot.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const execute = promisify(execFile);
const BACKEND = {
  id: 'e1',
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  slots: 4,
  state: 'ready',
} as const;

/** Compares a value, as JSON, with a snapshot. */
function checkSnapshot(name: string, value: unknown): void {
  const snapshot = new Snapshot(`names-${name}`);
  snapshot.add(JSON.stringify(value, undefined, 1));
  snapshot.check();
}

function describeSchema(schema: z.ZodType): unknown {
  return z.toJSONSchema(schema, { unrepresentable: 'any', io: 'input' });
}

function digestFile(path: string): string {
  return createHash('sha256')
    .update(readFileSync(join(ROOT, path)))
    .digest('hex');
}

function describeShape(value: unknown): unknown {
  if (Array.isArray(value)) return value.slice(0, 1).map((entry) => describeShape(entry));
  if (typeof value !== 'object' || value === null) return typeof value;
  return Object.fromEntries(Object.entries(value).map(([key, entry]) => [key, describeShape(entry)]));
}

describe('external names do not change', () => {
  it('messages between daemons', () => checkSnapshot('peer-messages', describeSchema(peerMessageSchema)));

  it('lines that open a tunnel, and tell how it ended', () =>
    checkSnapshot(
      'tunnel-lines',
      [tunnelRequestSchema, tunnelAnswerSchema, tunnelEndRequestSchema, tunnelEndSchema].map(describeSchema),
    ));

  it('rows of the services table', () => checkSnapshot('service-row', describeSchema(serviceRowSchema)));

  it('records of the platform', () =>
    checkSnapshot('platform-records', [describeSchema(configurationSchema), describeSchema(serverSchema)]));

  it('settings of both programs, and their defaults', () => {
    const addresses = {
      callerAddress: '10.0.0.1:1',
      peerAddress: '10.0.0.1:2',
      operatorAddress: '10.0.0.1:3',
    };
    checkSnapshot(
      'settings',
      checkSettings({ name: 'd', zone: 'z', ...addresses, platform: ['10.0.0.9:1'] }),
    );
    checkSnapshot('platform-settings', describeSchema(platformSettingsSchema));
  });

  it('the deploy file and its days', () => {
    const days = readdirSync(join(ROOT, 'deploy/days')).sort();
    const files = [
      'deploy/system.toml',
      'lab/soak/regression-seeds.json',
      ...days.map((day) => `deploy/days/${day}`),
    ];
    checkSnapshot('deploy', Object.fromEntries(files.map((file) => [file, digestFile(file)])));
  });

  it('metrics and their labels', () => {
    const forwarding = new ForwardingMetrics({
      isReady: () => true,
      getOpenRequestCount: () => 0,
      getUnansweredCount: () => 0,
      getConfigurationVersion: () => 1,
      getConfigurationAgeMs: () => 1,
      getMemberCount: () => 1,
      getDroppedLineCount: () => 0,
      getOpenTunnelCount: () => 0,
      getPartFigures: () => ({ quotas: { owned: 1 } }),
    });
    const requests = { active: 0, waiting: 0, applicationCalls: 0 };
    const status = { ready: true, requests, members: [], leases: [], roleChanges: 0 };
    const completions = new CompletionMetrics(() => status as unknown as CompletionDaemonStatus);
    // prom-client does not export the label names of a metric.
    const describeMetrics = (registry: Registry): string[] =>
      registry
        .getMetricsAsArray()
        .filter(({ name }) => name.startsWith('pulleyledge'))
        .map((metric) => {
          const { labelNames } = metric as unknown as { labelNames?: readonly string[] };
          return `${metric.name} ${metric.type} (${(labelNames ?? []).join(', ')}): ${metric.help}`;
        });
    checkSnapshot('metrics', [describeMetrics(forwarding.registry), describeMetrics(completions.registry)]);
  });

  it('headers and requests sent to back ends', () => {
    const dialect = new HttpDialect();
    const start: AttemptStart = {
      requestId: 'r',
      attemptId: 'a',
      backend: { ...BACKEND, stage: 'decode' },
      tenant: 't',
      prefillOnly: true,
      kvSource: { address: '10.0.0.2:80', handle: 'h' },
      copyFrom: '10.0.0.3:80',
      remainingMs: 100,
      urgency: 3,
      stream: true,
      once: false,
      resumeAfter: '7',
    };
    const order = {
      backend: start.backend,
      stage: 'prefill',
      holder: 'd',
      fence: 4,
      expectedOrders: 2,
    } as const;
    checkSnapshot('headers', [
      dialect.createRequestHeaders(
        ['X-Mine', '1', 'X-Api-Key', 'k', 'Last-Event-Id', '3', 'X-Attempt-Id', 'i'],
        start,
      ),
      dialect.createFreeKvCall({ address: '10.0.0.2:80', handle: 'h/1' }),
      dialect.createKvChangesCall({ backend: start.backend, since: 3, waitMs: 100 }),
      dialect.createEngineStatusCall(),
      dialect.createOrderCall(order),
      [200, 202, 409, 421].map((status) => dialect.parseOrderResult(status)),
    ]);
  });

  it('problem documents', () => {
    const made = Object.values(errors)
      .filter((value): value is typeof errors.NotFoundError => typeof value === 'function')
      .filter((value) => value.prototype instanceof errors.PulleyledgeError)
      .map((type) =>
        toProblem(
          new (type as unknown as new (...values: unknown[]) => errors.PulleyledgeError)(1, 2, 3),
          'r',
        ),
      );
    checkSnapshot(
      'problems',
      made.map(({ type, title, status, notRun, context }) => [
        type,
        title,
        status,
        notRun,
        Object.keys(context),
      ]),
    );
  });

  it('the status document', () => {
    const site = new SimulatedSite(createSiteOptions(getSiteProfile('cundinamarca'), 1));
    site.time.runUntil(8000);
    checkSnapshot('status', describeShape(site.daemons[0].daemon.status(8000)));
  });

  it('exit codes', async () => {
    const runs = [
      ['dist/platform/main.js'],
      ['dist/src/cli/main.js', 'settings', 'check', '--settings', 'no-such-file'],
      ['dist/src/cli/main.js', 'no-such-command'],
    ];
    const codes = await Promise.all(
      runs.map((run) =>
        execute(process.execPath, run, { cwd: ROOT }).then(
          () => 0,
          (error: { code: number }) => error.code,
        ),
      ),
    );
    checkSnapshot('exit-codes', codes);
  });
});

const STORED_CONFIGURATIONS = [
  '{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/p/","route_kind":"streaming","timeout_ms":3000,"target_latency_ms":300,"target_itl_ms":150,"service":"s","resumable":true,"priority":1,"max_attempts":2}],"services":[{"name":"s","health_path":"/h","max_conns":9,"engine":{"slots":4,"kv_capacity":1000,"kv_ttl_s":5,"switch_s":3,"kv_bytes":16384,"link_mbps":1000,"moves":true,"replicas":true},"scaling":{"min":1,"max":4,"boot_s":2,"spot_price":0.4,"zone_prices":{"z":1}}}],"limits":{"max_header_bytes":1,"max_body_bytes":2,"header_timeout_ms":3,"idle_timeout_ms":4},"tenants":[{"name":"t","api_keys":["k"],"priority":2,"rate_per_s":10,"burst":20,"unit":"token_count","uncached_tokens":5}]}',
  '{"version":4,"routes":[{"name":"q","host":"h","path_prefix":"/q/","route_kind":"idempotent","timeout_ms":1000,"split":[{"service":"s","weight":2},{"service":"u","weight":1}],"public":true}],"services":[{"name":"s"},{"name":"u"}]}',
];
const STORED_SERVERS = [
  '{"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":3,"phase":"prefill","spot":true,"born":1800000000000}',
  '{"service":"s","addr":"10.0.0.2:80","zone":"z","slots":6,"state":"draining"}',
];

describe('stored data of earlier versions and other programs', () => {
  it('is read as the same values', () => {
    const values = [
      ...STORED_CONFIGURATIONS.map((text) => readConfiguration(text)),
      ...STORED_SERVERS.map((text) => readServer('i-1', text)),
    ];
    const digest = createHash('sha256').update(JSON.stringify(values.map((value) => listLeaves(value))));
    const snapshot = new Snapshot('names-old-rows');
    snapshot.add(digest.digest('hex'));
    snapshot.check();
  });

  it('has the same meaning in a settings file of the platform', () => {
    const text =
      'node="n"\nzone="z"\nip="10.0.0.1"\nport_range=[7000,7010]\nregion="r"\nheartbeat_ms=1200\nseeds=["10.0.0.2:1"]\nbootstrap=true\n' +
      '[zones]\nz="r"\ny="q"\n[listen]\nfront="10.0.0.1:1"\nready="10.0.0.1:2"\ncontrol="10.0.0.1:3"\n' +
      '[bounds]\nconfig_ms=2000\ndrain_ms=2000\ngrace_s=8\nlease_ms=3000\nthaw_ms=300\nretry_budget_ratio=0.2\nbudget_slack=54\nbudget_window_s=10\n' +
      'fencing_enforced=false\nwindow_s=5\nusage_late_s=10\nquota_window_s=5\nquota_overage=0.1\nquota_slack=1000\n' +
      '[limits]\nmax_fds=4100\n[platform]\naddr="10.0.0.9:1"\n[cloud]\naddr="10.0.0.9:2"\nduties=["metering","autoscale"]\n';
    const snapshot = new Snapshot('names-settings-meaning');
    snapshot.add(listLeaves(createProcessSettings(checkPlatformSettings(text))).join('\n'));
    snapshot.check();
  });
});

/** Lists the values of a structure in alphabetical order, without the names of its fields. */
function listLeaves(value: unknown): string[] {
  if (value === undefined) return [];
  if (typeof value !== 'object' || value === null) return [String(JSON.stringify(value) ?? value)];
  return Object.values(value)
    .flatMap((entry) => listLeaves(entry))
    .sort();
}
