/**
 * The state machine of a daemon that serves completions: dispatches each event to the machine that handles
 * it, and defers calls between machines until the transition that made them is finished. The machines are
 * created and wired in completion-machines.ts. Actors run it in a process, the simulator runs it in virtual
 * time; it reads no clock, opens no sockets, and uses only the random source that it is given.
 */
import type { Freshness } from '../configuration/configuration-replica.js';
import type { TableResult } from '../contracts/table-service.js';
import type { DaemonIdentity } from '../membership/membership-messages.js';
import type { RandomSource } from '../shared/random.js';
import type { CompletionDaemonSettings } from './completion-daemon-settings.js';
import { createCompletionMachines, type CompletionMachines } from './completion-machines.js';
import type {
  CompletionDaemonEffect,
  CompletionDaemonEvent,
  CompletionDaemonStatus,
  TableTag,
} from './completion-messages.js';
import { getPeerContact } from './peer-contact.js';
import type { PeerMessage } from './peer-messages.js';

/**
 * A process that handled no event for this duration was paused: ticks occur many times a second.
 * Milliseconds.
 */
const PROCESS_PAUSE_MS = 1000;

/** The state machine of one daemon. Times are monotonic milliseconds on the daemon's own clock. */
export class CompletionDaemon {
  private outbox: CompletionDaemonEffect[] = [];
  /** Calls between machines, which run after the transition that made them. */
  private readonly deferred: ((now: number) => void)[] = [];
  private readonly machines: CompletionMachines;
  private draining = false;
  private lastEventAt: number;

  constructor(
    private readonly identity: DaemonIdentity,
    seeds: readonly string[],
    settings: CompletionDaemonSettings,
    random: RandomSource,
    now: number,
  ) {
    this.lastEventAt = now;
    this.machines = createCompletionMachines({
      identity,
      seeds,
      settings,
      random,
      emit: (effect) => void this.outbox.push(effect),
      defer: (step) => void this.deferred.push(step),
      now,
    });
  }

  /** Handles one event and returns the effects to perform, in order. */
  handle(event: CompletionDaemonEvent, now: number): CompletionDaemonEffect[] {
    if (now - this.lastEventAt > PROCESS_PAUSE_MS)
      this.machines.cells.onProcessResumed(this.lastEventAt, now);
    this.lastEventAt = now;
    this.dispatch(event, now);
    while (this.deferred.length > 0) this.deferred.shift()?.(now);
    const effects = this.outbox;
    this.outbox = [];
    return effects;
  }

  /** Whether callers should send requests here. */
  readiness(now: number): { ready: boolean; reason: string } {
    if (this.draining) return { ready: false, reason: 'draining' };
    const { membership, cells } = this.machines;
    if (!membership.hasJoined()) return { ready: false, reason: 'no other daemon has answered yet' };
    const freshness = this.freshness(now);
    if (freshness.kind === 'never') return { ready: false, reason: 'no configuration is known yet' };
    if (freshness.kind === 'stale') return { ready: false, reason: 'the configuration is stale' };
    const unroutable = cells.findNotReadyReason(now);
    if (unroutable) return { ready: false, reason: unroutable };
    return { ready: true, reason: freshness.kind };
  }

  /** Number of requests that are active or waiting; a stopping process waits until there are none. */
  countOpenRequests(): number {
    const { completions, applications, admission } = this.machines;
    return completions.active() + applications.active() + admission.countWaitingForSlots();
  }

  /** Revision of the configuration in force; -1 before the first. */
  configurationRevision(): number {
    return this.machines.configuration.getRevision();
  }

  /** Number of unconfirmed writes to the table; a stopping process waits for them for a limited time. */
  countUnconfirmedWrites(): number {
    return this.machines.ledger.countPending();
  }

  /** The status document that `pulleyledge status` shows. */
  status(now: number): CompletionDaemonStatus {
    const { ready, reason } = this.readiness(now);
    const { configuration, membership, directory, cells, limits } = this.machines;
    const { completions, applications, admission } = this.machines;
    const freshness = this.freshness(now);
    return {
      ...this.identity,
      ready,
      draining: this.draining,
      reason,
      configurationRevision: configuration.getRevision(),
      configurationAgeMs: freshness.kind === 'never' ? -1 : Math.round(freshness.ageMs),
      members: membership.getAll().map(({ id, address, zone, state }) => ({ id, address, zone, state })),
      engines: directory.summary(),
      leases: cells.getLeases(now),
      limits: limits.getUsage(),
      requests: {
        active: completions.active(),
        waiting: completions.waiting() + admission.countWaitingForSlots(),
        applicationCalls: applications.active(),
      },
      roleChanges: cells.countRoleChanges(),
      services: configuration.getServices(),
    };
  }

  private dispatch(event: CompletionDaemonEvent, now: number): void {
    switch (event.kind) {
      case 'tick':
        this.tick(event.wallMs, now);
        break;
      case 'clockStoodStill':
        this.machines.cells.onMachineSuspended(now);
        this.machines.configuration.onMachineSuspended(event.forMs);
        break;
      case 'peerMessage':
        this.receivePeer(event.fromId, event.fromAddress, event.message, now);
        break;
      case 'tableResult':
        this.receiveTable(event.tag, event.result, now);
        break;
      case 'machineListing':
        this.machines.cells.receiveListing(event.listing, now);
        break;
      case 'engineControlResult':
        this.machines.cells.receiveControlResult(
          event.purpose,
          event.cell,
          event.engineId,
          event.result,
          now,
        );
        break;
      case 'submitCompletion':
        this.machines.admission.submitCompletion(event.request, now);
        break;
      case 'submitApplication':
        this.machines.admission.submitApplication(event.call, now);
        break;
      case 'cancelRequest':
        if (this.machines.admission.cancel(event.requestId)) break;
        this.machines.completions.cancel(event.requestId, now);
        this.machines.applications.cancel(event.requestId, now);
        break;
      case 'attemptEvent':
        this.machines.completions.onAttemptEvent(event.requestId, event.attemptId, event.event, now);
        break;
      case 'applicationEvent':
        this.machines.applications.onCallEvent(event.requestId, event.attemptId, event.event, now);
        break;
      case 'backendChecked':
        this.machines.quarantine.receiveCheck(event.backend, event.check, now);
        break;
      case 'editServices':
        this.machines.editor.begin(
          event.editId,
          event.edits,
          getPeerContact(this.machines.membership, now),
          now,
        );
        break;
      case 'beginDrain':
        this.beginDrain(now);
        break;
    }
  }

  private tick(wallMs: number | undefined, now: number): void {
    const { membership, quarantine, configuration, cells, limits } = this.machines;
    membership.tick(now);
    quarantine.tick(wallMs, now);
    configuration.tick(now, this.identity.zone, membership.getActive());
    cells.tick(now, !this.draining);
    limits.tick(now);
    const { ledger, editor, admission, completions, applications } = this.machines;
    ledger.tick(now);
    editor.tick(now);
    admission.tick(now);
    completions.tick(now);
    applications.tick(now);
  }

  private receivePeer(fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    switch (message.kind) {
      case 'ping':
      case 'ack':
      case 'pingRequest':
      case 'syncDigest':
      case 'sync':
        this.machines.membership.receive(fromId, fromAddress, message, now);
        break;
      case 'configurationPull':
      case 'configurationRows':
        this.machines.configuration.receive(fromAddress, message, now);
        break;
      case 'slotGrant':
      case 'slotRefuse':
      case 'slotRequest':
      case 'slotCancel':
      case 'slotRelease':
      case 'slotRenew':
      case 'slotHandover':
        this.machines.limits.receive(fromId, message, now);
        break;
      case 'cellDigest':
      case 'demandReport':
        this.machines.cells.receive(fromId, message, now);
        break;
      case 'quarantineNews':
      case 'quarantineDigest':
      case 'quarantineSync':
        this.machines.quarantine.receive(fromAddress, message, now);
        break;
      default:
        // The other kinds are used by forwarding daemons only.
        break;
    }
  }

  private receiveTable(tag: TableTag, result: TableResult, now: number): void {
    switch (tag.kind) {
      case 'configuration':
        this.machines.configuration.receiveTableResult(result, now);
        break;
      case 'ledger':
        this.machines.ledger.receiveTableResult(result, now);
        break;
      case 'quarantine':
        this.machines.quarantine.receiveTable(result, now);
        break;
      case 'lease':
        this.machines.cells.receiveLeaseResult(tag.cell, result, now);
        break;
      case 'edit':
        if (this.machines.editor.receiveTableResult(tag.editId, result, now))
          this.machines.configuration.pollSoon();
        break;
    }
  }

  private beginDrain(now: number): void {
    if (this.draining) return;
    this.draining = true;
    this.outbox.push({ kind: 'log', event: 'drain.started', fields: { requests: this.countOpenRequests() } });
    this.machines.cells.tick(now, false);
    this.machines.limits.handOver();
    this.machines.membership.leave(now);
  }

  /**
   * Refuses new requests from now on. Called when the listener closes, after callers had time to see that the
   * daemon is draining.
   */
  closeForNew(): void {
    this.machines.admission.closeForNew();
  }

  private freshness(now: number): Freshness {
    const { configuration, membership } = this.machines;
    return configuration.getFreshness(now, getPeerContact(membership, now));
  }
}
