/**
 * The state machine of a daemon that forwards requests by routes: dispatches each event to the machine or the
 * part that handles it. Owns the routes in force, whether the daemon is draining, and its rank among the
 * daemons that follow the store. The machines are created and wired in forwarding-machines.ts. It reads no
 * clock and opens no sockets.
 */
import type { FleetEffect } from '../fleet/fleet-replica.js';
import { RouteTable } from '../forwarding/routes/route-table.js';
import { TenantDirectory } from '../forwarding/routes/tenant-directory.js';
import type { TunnelRefusal } from '../forwarding/tunnel-messages.js';
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
 * Least number of daemons assumed to share the retry budget and the connections of back ends while some
 * daemons may be unknown.
 */
const MINIMUM_ASSUMED_DAEMONS = 32;
/**
 * Interval between scans of all back ends, for probes, followed caches and stages. Milliseconds. Every third
 * tick, since there may be hundreds of back ends.
 */
const BACKEND_SCAN_MS = 120;
/** A process that measures more than this time between two ticks was paused. Milliseconds. Six ticks. */
const PROCESS_PAUSE_MS = 250;
/** Rendezvous key by which daemons are ranked as readers of the store. */
const STORE_READER_KEY = 'store-reader';

/** The state machine of one forwarding daemon. Times are monotonic milliseconds. */
export class ForwardingDaemon {
  private outbox: ForwardingEffect[] = [];
  private readonly machines: ForwardingMachines;
  private readonly reports: IntervalReports;
  private readonly tenants = new TenantDirectory();
  private routes: RouteTable | undefined;
  private draining = false;
  private membersChanged = true;
  /** This daemon's rank among the daemons that follow the store. */
  private readerRank = 0;
  /** The time of the event that is being handled. */
  private eventAt: number;
  private lastTickAt: number;
  private lastScanAt = -Infinity;

  constructor(
    private readonly identity: DaemonIdentity,
    seeds: readonly string[],
    settings: ForwardingDaemonSettings,
    random: RandomSource,
    now: number,
  ) {
    this.lastTickAt = now;
    this.eventAt = now;
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
      getRoutes: () => this.routes,
      getDaemonCount: () => this.countSharingDaemons(),
      isFirstReader: () => this.readerRank === 0,
      getEventTime: () => this.eventAt,
      logChange,
      onMembership: (effect) => this.onMembership(effect),
      onFleet: (effect) => this.onFleet(effect),
    });
    this.reports = new IntervalReports(
      {
        retries: this.machines.retries,
        getMemberCount: () => this.getMemberCount(),
        getDaemonCount: () => this.countSharingDaemons(),
        logChange,
      },
      now,
    );
  }

  /** Handles one event and returns the effects to perform, in order. */
  handle(event: ForwardingEvent, now: number): ForwardingEffect[] {
    this.eventAt = now;
    this.dispatch(event, now);
    const effects = this.outbox;
    this.outbox = [];
    return effects;
  }

  /** Whether callers should send requests to this daemon. */
  ready(): boolean {
    return !this.draining && this.routes !== undefined && this.machines.replica.hasBackends();
  }

  /** Number of requests that are active or waiting. */
  countOpenRequests(): number {
    return this.machines.manager.getActiveCount();
  }

  /** The version of the configuration in force; -1 before the first. */
  configurationVersion(): number {
    return this.routes?.configuration.version ?? -1;
  }

  /** Time since the store last confirmed the configuration. Milliseconds. */
  configurationAgeMs(now: number): number {
    return this.machines.replica.getAgeMs('configuration', now);
  }

  /** Number of daemons believed to be running, including this one. */
  getMemberCount(): number {
    return this.machines.membership.getActive().length;
  }

  /** Number of requests of all daemons at a back end, as far as this daemon knows. */
  getInFlight(backendId: string): number {
    return this.machines.directory.get(backendId)?.inFlight() ?? 0;
  }

  /**
   * Why this daemon takes no tunnel to a back end for a peer; undefined if it takes one. `openTunnels` is the
   * number of those that it carries now.
   */
  checkTunnel(backendAddress: string, openTunnels: number): TunnelRefusal | undefined {
    return this.machines.paths.checkTunnel(backendAddress, openTunnels, this.eventAt);
  }

  /** The figures of each part, by its name, for operators. */
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
        this.machines.replica.receiveReadResult(event.collection, event.result, now);
        break;
      case 'submit':
        this.machines.manager.receiveRequest(event.request, now);
        break;
      case 'cancel':
        this.machines.manager.cancel(event.requestId, now);
        break;
      case 'requestFaulted':
        this.machines.manager.endFaulty(event.requestId, now);
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
      case 'endRequests':
        this.machines.manager.endRequests(now);
        break;
      default:
        for (const part of this.machines.parts) part.receiveAnswer?.(event, now);
    }
  }

  private tick(now: number): void {
    const sinceTickMs = now - this.lastTickAt;
    this.lastTickAt = now;
    if (sinceTickMs > PROCESS_PAUSE_MS) {
      this.logChange('process.paused', {
        forMs: Math.round(sinceTickMs),
        requests: this.countOpenRequests(),
      });
      this.onProcessResumed(now);
    }
    this.machines.membership.tick(now);
    this.setReaderRank();
    this.machines.replica.tick(now);
    this.machines.exchange.tick(now);
    this.machines.manager.tick(now);
    for (const part of this.machines.parts) part.tick?.(now);
    if (now - this.lastScanAt < BACKEND_SCAN_MS) return;
    this.lastScanAt = now;
    this.reports.tick(now);
    for (const part of this.machines.parts) part.scan?.(this.draining, now);
  }

  private onProcessResumed(now: number): void {
    this.machines.manager.onProcessResumed(now);
    for (const part of this.machines.parts) part.onProcessResumed?.(now);
  }

  /**
   * Besides the handling of a process pause, invalidates everything that is measured by the monotonic clock,
   * which did not count the suspension.
   */
  private onMachineSuspended(forMs: number, now: number): void {
    this.logChange('process.suspended', { forMs: Math.round(forMs), requests: this.countOpenRequests() });
    this.machines.replica.onMachineSuspended(forMs);
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
        // The other kinds are handled by parts, or used by daemons that serve completions only.
        break;
    }
  }

  private beginDrain(now: number): void {
    if (this.draining) return;
    this.draining = true;
    this.logChange('drain.started', { requests: this.countOpenRequests() });
    this.machines.paths.onStopping(now);
    this.machines.membership.leave(now);
  }

  /**
   * Computes this daemon's rank among those that follow the store. Before it knows any peer, it is the first.
   */
  private setReaderRank(): void {
    if (!this.membersChanged) return;
    this.membersChanged = false;
    this.machines.directory.peers.setDaemonCount(this.machines.membership.getActive().length);
    this.readerRank = getRendezvousRank(
      STORE_READER_KEY,
      this.machines.membership.getActiveIds(),
      this.identity.id,
    );
    this.machines.replica.setRank(this.readerRank);
  }

  /**
   * Number of daemons among which the retry budget and the connections of back ends are divided. A stopping
   * daemon counts until it is dropped from the members: it keeps serving for seconds, and if the shares of
   * the others grew meanwhile, the sum would exceed the limit (nine daemons stopped in turn sent 2.7 times
   * the retries that their budget allows).
   */
  private countSharingDaemons(): number {
    const sharing = this.machines.membership.getSharingDaemonCount();
    const knowsAll = this.machines.membership.hasJoined() && this.machines.membership.hasAllSeeds();
    return knowsAll ? sharing : Math.max(sharing, MINIMUM_ASSUMED_DAEMONS);
  }

  private onMembership(effect: MembershipEffect): void {
    if (effect.kind === 'sendMembership') {
      const { address } = effect;
      this.outbox.push({ kind: 'sendPeer', address, message: this.addPartFields(effect.message) });
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

  private addPartFields(message: MembershipMessage): MembershipMessage {
    return this.machines.parts.reduce(
      (sum, part) => part.addToMembership?.(sum, this.eventAt) ?? sum,
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
        for (const part of this.machines.parts) part.applyConfiguration?.(effect.configuration, this.eventAt);
        this.outbox.push({ kind: 'configurationInForce', configuration: effect.configuration });
        break;
      case 'backendChanged':
        this.machines.directory.put(effect.record);
        for (const part of this.machines.parts) part.applyBackend?.(effect.record, this.eventAt);
        break;
      case 'backendRemoved':
        this.machines.directory.remove(effect.id);
        for (const part of this.machines.parts) part.removeBackend?.(effect.id, this.eventAt);
        this.outbox.push({ kind: 'backendGone', backendId: effect.id });
        break;
    }
    this.outbox.push(makeFleetChange(effect));
  }

  private logChange(event: ChangeEvent, fields: Readonly<Record<string, unknown>>): void {
    this.outbox.push({ kind: 'change', event, fields });
  }
}
