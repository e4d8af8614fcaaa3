/** The metrics of a completion daemon's process, in the Prometheus form. */
import { collectDefaultMetrics, Counter, Histogram, Registry } from 'prom-client';
import type { CompletionDaemonStatus } from '../daemon/completion-messages.js';
import { addGauges, type GaugeDescription } from './add-gauges.js';
import { SECOND_MS } from '../shared/units.js';

/** Upper bounds of the histogram of times to the first token. Seconds. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** Gauges of the daemon's state, in the order in which they are served. */
const GAUGES: readonly GaugeDescription<CompletionDaemonStatus>[] = [
  {
    name: 'pulleyledge_configuration_revision',
    help: 'Revision of the configuration in force',
    read: (status) => status.configurationRevision,
  },
  {
    name: 'pulleyledge_configuration_age_seconds',
    help: 'Time since the configuration was certainly current',
    read: (status) => status.configurationAgeMs / SECOND_MS,
  },
  {
    name: 'pulleyledge_ready',
    help: 'Whether the daemon takes requests',
    read: (status) => Number(status.ready),
  },
  {
    name: 'pulleyledge_requests_active',
    help: 'Completions in hand',
    read: (status) => status.requests.active,
  },
  {
    name: 'pulleyledge_requests_waiting',
    help: 'Requests that wait for a slot or an engine',
    read: (status) => status.requests.waiting,
  },
  {
    name: 'pulleyledge_members_alive',
    help: 'Daemons believed alive',
    read: (status) => status.members.filter((member) => member.state === 'alive').length,
  },
  {
    name: 'pulleyledge_leases_held',
    help: 'Cell leases held here',
    read: (status) => status.leases.filter((lease) => lease.heldHere).length,
  },
  {
    name: 'pulleyledge_role_changes',
    help: 'Changes of assignment ordered by this daemon',
    read: (status) => status.roleChanges,
  },
];

/** The metrics of one daemon. */
export class CompletionMetrics {
  readonly registry = new Registry();
  private readonly peerBytes: Counter<'direction' | 'kind'>;
  private readonly peerMessages: Counter<'direction' | 'kind'>;
  private readonly transitionSeconds: Counter<'event'>;
  private readonly requests: Counter<'outcome'>;
  private readonly tokens: Counter;
  private readonly firstToken: Histogram;

  constructor(status: () => CompletionDaemonStatus) {
    const registers = [this.registry];
    collectDefaultMetrics({ register: this.registry });
    this.peerBytes = new Counter({
      name: 'pulleyledge_peer_bytes_total',
      help: 'Bytes of control traffic between daemons, by message kind',
      labelNames: ['direction', 'kind'],
      registers,
    });
    this.peerMessages = new Counter({
      name: 'pulleyledge_peer_messages_total',
      help: 'Messages between daemons, by kind',
      labelNames: ['direction', 'kind'],
      registers,
    });
    this.transitionSeconds = new Counter({
      name: 'pulleyledge_transition_seconds_total',
      help: 'Time spent in the state machine, by event kind',
      labelNames: ['event'],
      registers,
    });
    this.requests = new Counter({
      name: 'pulleyledge_requests_total',
      help: 'Requests by outcome: ok, or the code of the failure',
      labelNames: ['outcome'],
      registers,
    });
    this.tokens = new Counter({
      name: 'pulleyledge_tokens_total',
      help: 'Tokens passed to callers',
      registers,
    });
    this.firstToken = new Histogram({
      name: 'pulleyledge_first_token_seconds',
      help: 'Time from receipt to the first token',
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    });
    addGauges(this.registry, GAUGES, status);
  }

  /** Counts a message between daemons. */
  addPeerMessage(direction: 'sent' | 'received', kind: string, bytes: number): void {
    this.peerBytes.inc({ direction, kind }, bytes);
    this.peerMessages.inc({ direction, kind });
  }

  /** Counts time in the state machine. */
  addTransition(event: string, milliseconds: number): void {
    this.transitionSeconds.inc({ event }, milliseconds / SECOND_MS);
  }

  /** Counts tokens passed on. */
  addTokens(count: number): void {
    this.tokens.inc(count);
  }

  /** Records the time to the first token. */
  addFirstToken(milliseconds: number): void {
    this.firstToken.observe(milliseconds / SECOND_MS);
  }

  /** Counts a request that is over. */
  addRequest(outcome: string): void {
    this.requests.inc({ outcome });
  }
}
