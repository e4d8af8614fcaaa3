/**
 * The state machine of a daemon that forwards requests by routes: routes each event to the machine or the
 * part that it is for. Owns the routes in force, whether the daemon drains, and its rank among those that
 * follow the store. Which machines there are and how they are wired is in forwarding-machines.ts. It reads no
 * clock and opens no socket.
 */
import type { FleetEffect } from '../fleet/fleet-replica.js';
import { RouteTable } from '../forwarding/routes/route-table.js';
import { TenantDirectory } from '../forwarding/routes/tenant-directory.js';
import type { MembershipEffect } from '../membership/membership.js';
import type { DaemonIdentity, MembershipMessage } from '../membership/membership-messages.js';
import type { PartFigures } from '../parts/daemon-part.js';
import type { RandomSource } from '../shared/random.js';
import { getRendezvousRank } from '../shared/rendezvous-hash.js';
import { makeFleetChange, type ChangeEvent } from './change-log.js';
import type { ForwardingDaemonSettings } from './forwarding-daemon-settings.js';
import { createForwardingMachines, type ForwardingMachines } from './forwarding-machines.js';
import type { ForwardingEffect, ForwardingEvent } from './forwarding-messages.js';
import { IntervalReports } from './interval-reports.js';
import type { PeerMessage } from './peer-messages.js';

/**
 * Daemons assumed, at least, to share the retry budget and the connections of back ends while some may
 * not be known.
 */
const UNKNOWN_FLEET_SIZE = 32;
/**
 * Interval between ticks. Milliseconds. What waits for a tick (a deadline, a stalled attempt, a digest) bears
 * so much delay; each tick costs a process some 0.05 ms.
 */
export const TICK_MS = 40;
/**
 * Interval between looks at every back end: probes, followed caches, stages. Milliseconds. Every third
 * tick, since there may be hundreds of back ends.
 */
const BACKEND_SCAN_MS = 120;
/** A process that saw so much time pass between two ticks was paused. Milliseconds. Six ticks. */
const OWN_PAUSE_MS = 250;
/** Daemons are ranked as readers of the store by this key. */
const READER_KEY = 'store-reader';

/** The state machine of one forwarding daemon. Times are monotonic milliseconds. */
export class ForwardingDaemon {
  private outbox: ForwardingEffect[] = [];
  private readonly machines: ForwardingMachines;
  private readonly reports: IntervalReports;
  private readonly tenants = new TenantDirectory();
  private routes: RouteTable | undefined;
  private draining = false;
  private membersChanged = true;
  /** This daemon's place among those that follow the store. */
  private rank = 0;
  /** The time of the event that is handled now. */
  private handledAt: number;
  private tickedAt: number;
  private scannedAt = -Infinity;

  constructor(
    private readonly identity: DaemonIdentity,
    seeds: readonly string[],
    settings: ForwardingDaemonSettings,
    random: RandomSource,
    now: number,
  ) {
    this.tickedAt = now;
    this.handledAt = now;
    const logChange = (event: ChangeEvent, fields: Readonly<Record<string, unknown>>): void =>
      this.logChange(event, fields);
    this.machines = createForwardingMachines({
      identity,
      seeds,
      settings,
      random,
      tenants: this.tenants,
      now,
      emit: (effect) => void this.outbox.push(effect),
      routes: () => this.routes,
      daemons: () => this.countSharingDaemons(),
      isFirstReader: () => this.rank === 0,
      getEventTime: () => this.handledAt,
      logChange,
      onMembership: (effect) => this.onMembership(effect),
      onFleet: (effect) => this.onFleet(effect),
    });
    this.reports = new IntervalReports(
      {
        retries: this.machines.retries,
        members: () => this.members(),
        daemons: () => this.countSharingDaemons(),
        logChange,
      },
      now,
    );
  }

  /** Handles one event and returns what is to be done, in order. */
  handle(event: ForwardingEvent, now: number): ForwardingEffect[] {
    this.handledAt = now;
    this.dispatch(event, now);
    const effects = this.outbox;
    this.outbox = [];
    return effects;
  }

  /** Whether callers should be sent here. */
  ready(): boolean {
    return !this.draining && this.routes !== undefined && this.machines.replica.knowsBackends();
  }

  /** Requests in hand. */
  countOpenRequests(): number {
    return this.machines.manager.getActiveCount();
  }

  /** The version of the configuration in force; -1 before the first. */
  configurationVersion(): number {
    return this.routes?.configuration.version ?? -1;
  }

  /** How long ago the store last confirmed the configuration. Milliseconds. */
  configurationAgeMs(now: number): number {
    return this.machines.replica.ageMs('configuration', now);
  }

  /** Daemons believed to run, this one included. */
  members(): number {
    return this.machines.membership.active().length;
  }

  /** Requests of all daemons at a back end, as far as this one knows. */
  getInFlight(backendId: string): number {
    return this.machines.directory.get(backendId)?.inFlight() ?? 0;
  }

  /** What an operator sees of each part. */
  getPartFigures(now: number): Readonly<Record<string, PartFigures>> {
    return Object.fromEntries(this.machines.parts.map((part) => [part.name, part.getFigures?.(now) ?? {}]));
  }

  private dispatch(event: ForwardingEvent, now: number): void {
    switch (event.kind) {
      case 'tick':
        for (const part of this.machines.parts) part.receiveClock?.(event.wallMs, now);
        this.tick(now);
        break;
      case 'clockStoodStill':
        this.onMachineSuspended(event.forMs, now);
        break;
      case 'peerMessage':
        this.receivePeer(event.fromId, event.fromAddress, event.message, now);
        break;
      case 'recordsRead':
        this.machines.replica.receive(event.collection, event.result, now);
        break;
      case 'submit':
        this.machines.manager.receiveRequest(event.request, now);
        break;
      case 'cancel':
        this.machines.manager.cancel(event.requestId, now);
        break;
      case 'attempt':
        this.machines.manager.receiveAttemptEvent(event.requestId, event.attemptId, event.event, now);
        break;
      case 'beginDrain':
        this.beginDrain(now);
        break;
      case 'closeForNew':
        this.machines.manager.closeForNew();
        break;
      default:
        for (const part of this.machines.parts) part.receiveAnswer?.(event, now);
    }
  }

  private tick(now: number): void {
    const sinceTickMs = now - this.tickedAt;
    this.tickedAt = now;
    if (sinceTickMs > OWN_PAUSE_MS) {
      this.logChange('process.paused', {
        forMs: Math.round(sinceTickMs),
        requests: this.countOpenRequests(),
      });
      this.onProcessResumed(now);
    }
    this.machines.membership.tick(now);
    this.rankReader();
    this.machines.replica.tick(now);
    this.machines.exchange.tick(now);
    this.machines.manager.tick(now);
    for (const part of this.machines.parts) part.tick?.(now);
    if (now - this.scannedAt < BACKEND_SCAN_MS) return;
    this.scannedAt = now;
    this.reports.tick(now);
    for (const part of this.machines.parts) part.scan?.(this.draining, now);
  }

  private onProcessResumed(now: number): void {
    this.machines.manager.onProcessResumed(now);
    for (const part of this.machines.parts) part.onProcessResumed?.(now);
  }

  /**
   * As after a pause, and beside that nothing that is measured by the clock of this process counts any more.
   */
  private onMachineSuspended(forMs: number, now: number): void {
    this.logChange('process.suspended', { forMs: Math.round(forMs), requests: this.countOpenRequests() });
    this.machines.replica.clockStoodStill(forMs);
    for (const part of this.machines.parts) part.onMachineSuspended?.(forMs);
    this.onProcessResumed(now);
  }

  private receivePeer(fromId: string, fromAddress: string, message: PeerMessage, now: number): void {
    for (const part of this.machines.parts) part.receivePeer?.(fromId, fromAddress, message, now);
    switch (message.kind) {
      case 'ping':
      case 'ack':
      case 'pingRequest':
      case 'syncDigest':
      case 'sync':
        this.machines.membership.receive(fromId, fromAddress, message, now);
        break;
      case 'loadDigest':
      case 'recordsPull':
      case 'recordsSnapshot':
      case 'recordsChanged':
        this.machines.exchange.receive(fromId, fromAddress, message, now);
        break;
      default:
        // For a part, or of daemons that serve completions.
        break;
    }
  }

  private beginDrain(now: number): void {
    if (this.draining) return;
    this.draining = true;
    this.logChange('drain.started', { requests: this.countOpenRequests() });
    this.machines.membership.leave(now);
  }

  /**
   * Finds this daemon's place among those that follow the store. Before it knows any peer it is the first.
   */
  private rankReader(): void {
    if (!this.membersChanged) return;
    this.membersChanged = false;
    this.machines.directory.peers.setDaemonCount(this.machines.membership.active().length);
    this.rank = getRendezvousRank(READER_KEY, this.machines.membership.activeIds(), this.identity.id);
    this.machines.replica.setRank(this.rank);
  }

  /**
   * Daemons that share what back ends bear. One that is stopping counts until it is forgotten: it serves for
   * seconds, and shares that grow meanwhile add up to more than the whole (nine daemons stopped in turn
   * repeated 2.7 times what their budget allows).
   */
  private countSharingDaemons(): number {
    const sharing = this.machines.membership.countSharing();
    const knowsAll = this.machines.membership.joined() && this.machines.membership.knowsSeeds();
    return knowsAll ? sharing : Math.max(sharing, UNKNOWN_FLEET_SIZE);
  }

  private onMembership(effect: MembershipEffect): void {
    if (effect.kind === 'sendMembership') {
      const { address } = effect;
      this.outbox.push({ kind: 'sendPeer', address, message: this.addFromParts(effect.message) });
      return;
    }
    this.membersChanged = true;
    const { member, previous } = effect;
    if (previous === undefined && member.state === 'alive') {
      this.reports.addMember();
      return;
    }
    this.logChange('member.changed', { member: member.id, state: member.state, previous });
  }

  private addFromParts(message: MembershipMessage): MembershipMessage {
    return this.machines.parts.reduce(
      (sum, part) => part.addToMembership?.(sum, this.handledAt) ?? sum,
      message,
    );
  }

  private onFleet(effect: FleetEffect): void {
    switch (effect.kind) {
      case 'readRecords':
        this.outbox.push(effect);
        return;
      case 'tellPeers':
        this.machines.exchange.sendChanges(effect.message);
        return;
      case 'configurationChanged':
        this.routes = new RouteTable(effect.configuration);
        this.tenants.apply(effect.configuration.tenants);
        for (const part of this.machines.parts)
          part.applyConfiguration?.(effect.configuration, this.handledAt);
        this.outbox.push({ kind: 'configurationInForce', configuration: effect.configuration });
        break;
      case 'backendChanged':
        this.machines.directory.put(effect.record);
        for (const part of this.machines.parts) part.applyBackend?.(effect.record, this.handledAt);
        break;
      case 'backendRemoved':
        this.machines.directory.remove(effect.id);
        for (const part of this.machines.parts) part.removeBackend?.(effect.id, this.handledAt);
        this.outbox.push({ kind: 'backendGone', backendId: effect.id });
        break;
    }
    this.outbox.push(makeFleetChange(effect));
  }

  private logChange(event: ChangeEvent, fields: Readonly<Record<string, unknown>>): void {
    this.outbox.push({ kind: 'change', event, fields });
  }
}
