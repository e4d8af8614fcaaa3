/**
 * The Prometheus metrics of a forwarding daemon's process. Owns the process's registry. The number of label
 * values is bounded.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { ChangeEffect } from '../daemon/change-log.js';
import type { ForwardEffect } from '../forwarding/forward-messages.js';
import type { TunnelRefusal } from '../forwarding/tunnel-messages.js';
import type { IdleCloseReason } from '../gateway/forward-server.js';
import { addGauges, type GaugeDescription } from './add-gauges.js';
import { SECOND_MS } from '../shared/units.js';

type Decision = Extract<ForwardEffect, { kind: 'decision' }>;

/** The state that gauges read at each scrape. */
interface ForwardingState {
  isReady(): boolean;
  getOpenRequestCount(): number;
  /** Requests of callers without a complete answer; those that are still being read are not open yet. */
  getUnansweredCount(): number;
  getConfigurationVersion(): number;
  /** Milliseconds. */
  getConfigurationAgeMs(): number;
  getMemberCount(): number;
  getDroppedLineCount(): number;
  /** Tunnels that peers have open through this daemon. */
  getOpenTunnelCount(): number;
  /** Figures of the daemon's parts, by part and name. */
  getPartFigures(): Readonly<Record<string, Readonly<Record<string, number>>>>;
}

/** Bucket bounds of the histogram of times to the first byte. Seconds. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5];
/** Services beyond this number share one label value, which bounds the number of time series. */
const MAXIMUM_SERVICES = 50;
const OTHER_SERVICES_LABEL = 'other';

/** Gauges of the daemon's state, in the order in which they are served. */
const GAUGES: readonly GaugeDescription<ForwardingState>[] = [
  {
    name: 'pulleyledge_ready',
    help: 'Whether callers should be sent here',
    read: (state) => Number(state.isReady()),
  },
  {
    name: 'pulleyledge_forward_requests',
    help: 'Requests in hand',
    read: (state) => state.getOpenRequestCount(),
  },
  {
    name: 'pulleyledge_caller_requests_unanswered',
    help: 'Requests of callers without a complete answer, those included that are still being read',
    read: (state) => state.getUnansweredCount(),
  },
  {
    name: 'pulleyledge_configuration_version',
    help: 'Configuration in force',
    read: (state) => state.getConfigurationVersion(),
  },
  {
    name: 'pulleyledge_configuration_age_seconds',
    help: 'Time since the store last confirmed the configuration',
    read: (state) => state.getConfigurationAgeMs() / SECOND_MS,
  },
  {
    name: 'pulleyledge_members_alive',
    help: 'Daemons believed to run',
    read: (state) => state.getMemberCount(),
  },
  {
    name: 'pulleyledge_log_lines_dropped',
    help: 'Log lines dropped since the start',
    read: (state) => state.getDroppedLineCount(),
  },
  {
    name: 'pulleyledge_tunnels_open',
    help: 'Tunnels to back ends that peers have open through this daemon',
    read: (state) => state.getOpenTunnelCount(),
  },
];

/** The metrics of one process. */
export class ForwardingMetrics {
  readonly registry = new Registry();
  private readonly services = new Set<string>();
  private readonly decisions: Counter<'event' | 'service' | 'reason'>;
  private readonly firstByteSeconds: Histogram<'service'>;
  private readonly storeCalls: Counter<'call' | 'outcome'>;
  private readonly changes: Counter<'event'>;
  private readonly dutyCalls: Counter<'call' | 'outcome'>;
  private readonly retries: Counter<'service' | 'outcome'>;
  private readonly tunnels: Counter<'outcome'>;
  private readonly tunnelBytes: Counter<'direction'>;
  private readonly idleClosed: Counter<'reason'>;

  constructor(state: ForwardingState) {
    const registers = [this.registry];
    this.decisions = new Counter({
      name: 'pulleyledge_forward_decisions_total',
      help: 'Decisions on requests by event, service and reason of a failure',
      labelNames: ['event', 'service', 'reason'],
      registers,
    });
    this.firstByteSeconds = new Histogram({
      name: 'pulleyledge_forward_first_byte_seconds',
      help: 'Time from the head of a request to its answer, or to the first byte of a stream',
      labelNames: ['service'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    this.storeCalls = new Counter({
      name: 'pulleyledge_store_calls_total',
      help: 'Calls to the store by kind and outcome',
      labelNames: ['call', 'outcome'],
      registers,
    });
    this.dutyCalls = new Counter({
      name: 'pulleyledge_duty_calls_total',
      help: 'Calls to the platform in the name of the fleet by kind and outcome',
      labelNames: ['call', 'outcome'],
      registers,
    });
    this.retries = new Counter({
      name: 'pulleyledge_retries_total',
      help: 'Repeats that the retry budget gave or refused, by service; told each second',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.tunnels = new Counter({
      name: 'pulleyledge_tunnels_total',
      help: 'Tunnels that peers asked for: opened, or refused by reason',
      labelNames: ['outcome'],
      registers,
    });
    this.tunnelBytes = new Counter({
      name: 'pulleyledge_tunnel_bytes_total',
      help: 'Bytes of closed tunnels by direction',
      labelNames: ['direction'],
      registers,
    });
    this.changes = new Counter({
      name: 'pulleyledge_belief_changes_total',
      help: 'Changes of what the daemon believes: members, configuration, back ends, store, lease, orders',
      labelNames: ['event'],
      registers,
    });
    this.idleClosed = new Counter({
      name: 'pulleyledge_caller_idle_connections_closed_total',
      help: 'Idle connections of callers that the daemon closed, by reason',
      labelNames: ['reason'],
      registers,
    });
    addGauges(this.registry, GAUGES, () => state);
    addPartGauge(this.registry, state);
  }

  /** Counts a decision on a request, and observes the time to the first byte where the decision gives it. */
  addDecision({ event, fields }: Decision): void {
    const service = this.getServiceLabel(fields.service);
    const reason = String(fields.failure ?? fields.reason ?? '');
    this.decisions.inc({ event, service, reason });
    const first = event === 'request.streaming' || (event === 'request.answered' && fields.streamed !== true);
    if (first) this.firstByteSeconds.observe({ service }, Number(fields.afterMs) / SECOND_MS);
  }

  /** Counts a change of state. */
  addChange({ event, fields }: ChangeEffect): void {
    this.changes.inc({ event });
    if (event === 'retries.used') this.addRetries(fields);
  }

  /** Counts a call to the store. */
  addStoreCall(call: string, outcome: string): void {
    this.storeCalls.inc({ call, outcome });
  }

  /** Counts a call to the platform on behalf of the fleet. */
  addDutyCall(call: string, outcome: string): void {
    this.dutyCalls.inc({ call, outcome });
  }

  /** Counts a tunnel that a peer asked for. */
  addTunnel(outcome: 'opened' | TunnelRefusal): void {
    this.tunnels.inc({ outcome });
  }

  /** Counts the bytes of a tunnel that has ended. */
  addTunnelBytes(toBackend: number, fromBackend: number): void {
    this.tunnelBytes.inc({ direction: 'toBackend' }, toBackend);
    this.tunnelBytes.inc({ direction: 'fromBackend' }, fromBackend);
  }

  /** Counts an idle connection of a caller that was closed. */
  addIdleClosed(reason: IdleCloseReason): void {
    this.idleClosed.inc({ reason });
  }

  private addRetries({ service: name, taken, refused }: ChangeEffect['fields']): void {
    const service = this.getServiceLabel(name);
    this.retries.inc({ service, outcome: 'taken' }, Number(taken));
    this.retries.inc({ service, outcome: 'refused' }, Number(refused));
  }

  private getServiceLabel(service: unknown): string {
    if (typeof service !== 'string') return '';
    if (this.services.size < MAXIMUM_SERVICES) this.services.add(service);
    return this.services.has(service) ? service : OTHER_SERVICES_LABEL;
  }
}

function addPartGauge(registry: Registry, state: ForwardingState): void {
  const figures: Gauge<'part' | 'figure'> = new Gauge({
    name: 'pulleyledge_part',
    help: "Figures of the daemon's parts",
    labelNames: ['part', 'figure'],
    registers: [registry],
    collect: () => {
      for (const [part, values] of Object.entries(state.getPartFigures()))
        for (const [figure, value] of Object.entries(values)) figures.set({ part, figure }, value);
    },
  });
}
