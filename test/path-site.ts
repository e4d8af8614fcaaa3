/**
 * A fleet in virtual time whose links to back ends can fail: connections that hang, are reset or are refused, back
 * ends that are silent or down, and tunnels through peers. Callers send to every daemon at a steady rate.
 */
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode } from '../simulation/forwarding-fleet.js';
import type { ForwardingEffect } from '../src/daemon/forwarding-messages.js';
import type { AttemptStart, ForwardAttemptEvent } from '../src/forwarding/forward-messages.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';

/**
 * A link from a daemon to a back end. `silent`: all connections hang, new ones time out. `refused`: open connections are
 * reset, new ones refused. `newRefused`: open connections live on, new ones are refused.
 */
export type LinkState = 'sound' | 'silent' | 'refused' | 'newRefused';

/** What became of one request. Milliseconds. */
export interface Outcome {
  readonly node: FleetNode;
  readonly sentAt: number;
  endedAt?: number;
  /** 200, the status of a failure, or 0 for an answer that broke off. */
  status?: number;
  retryAfterMs?: number | undefined;
}

interface LiveAttempt {
  readonly node: FleetNode;
  readonly start: AttemptStart;
  /** Whether its connection has been established. */
  connected: boolean;
}

/** Time in which a sound back end answers. Milliseconds. */
const SERVICE_MS = 20;
/** Time-outs of a connection, of a health check, of the opening of a tunnel, and of a peer's connection for one. */
const CONNECT_TIMEOUT_MS = 500;
const PROBE_TIMEOUT_MS = 1000;
const TUNNEL_TIMEOUT_MS = 400;
const TUNNEL_CONNECT_TIMEOUT_MS = 300;
const ROUND_TRIP_MS = 1;
/** The fleet is formed and has its records by then. Milliseconds. */
export const STARTED_MS = 4000;

/** The fleet, its back ends, and the requests sent. */
export class PathSite {
  readonly fleet: ForwardingFleet;
  readonly outcomes = new Map<string, Outcome>();
  readonly attempts: { readonly at: number; readonly node: FleetNode; readonly start: AttemptStart }[] = [];
  readonly changes: { readonly at: number; readonly node: FleetNode; readonly event: string }[] = [];
  readonly closedTunnels: { readonly at: number; readonly node: FleetNode; readonly via: string }[] = [];
  readonly backends: readonly BackendRecord[];
  /** Back ends that answer nothing until a time; what reaches them is kept. */
  private readonly silentUntil = new Map<string, number>();
  private readonly down = new Map<string, 'silent' | 'refused'>();
  private readonly links = new Map<string, LinkState>();
  private readonly live = new Map<string, LiveAttempt>();
  private readonly idleConnections = new Map<string, number>();
  /** Daemons of an older build, to which peers can't open tunnels. */
  readonly refusesTunnels = new Set<FleetNode>();
  private requestCount = 0;

  constructor(daemons: number, backends: number, seed: number, route: Partial<Route> = {}) {
    this.fleet = new ForwardingFleet(daemons, seed);
    this.backends = Array.from({ length: backends }, (_, index) => ({
      ...makeLabBackend(`b${index}`, `10.1.0.${index}:80`),
      zone: `zone-${index % 3}`,
    }));
    const value = makeLabConfiguration(1, [makeLabRoute(route)]);
    this.fleet.write({ collection: 'configuration', revision: 0, value });
    for (const record of this.backends)
      this.fleet.write({ collection: 'backends', id: record.id, revision: 0, value: record });
    this.fleet.onAttempt = (node, start) => this.startAttempt(node, start);
    this.fleet.onProbe = (node, { id }) => this.probe(node, id);
    this.fleet.isListening = (address, from) => this.isListening(address, from);
    for (const node of this.fleet.nodes) this.watch(node);
    this.fleet.time.runUntil(STARTED_MS);
  }

  /** Sets the links of daemons to back ends. */
  setLinks(nodes: readonly FleetNode[], state: LinkState, backends = this.backends): void {
    for (const node of nodes) for (const { id } of backends) this.setLink(node, id, state);
  }

  /** Makes back ends silent for `forMs`; they lose nothing and go on afterwards. */
  silence(backends: readonly BackendRecord[], forMs: number): void {
    for (const { id } of backends) this.silentUntil.set(id, this.fleet.time.now() + forMs);
  }

  /** Stops back ends for good. */
  stop(backends: readonly BackendRecord[], how: 'silent' | 'refused'): void {
    for (const { id } of backends) {
      this.down.set(id, how);
      for (const attempt of [...this.live.values()])
        if (attempt.start.backend.id === id && how === 'refused') this.breakOff(attempt);
    }
  }

  /** Sends requests to each of the daemons at a rate until a time; requests a second, milliseconds. */
  run(nodes: readonly FleetNode[], perSecond: number, until: number): void {
    const intervalMs = 1000 / perSecond;
    nodes.forEach((node, index) => {
      const offsetMs = (intervalMs * (index + 1)) / (nodes.length + 1);
      for (let at = this.fleet.time.now() + offsetMs; at < until; at += intervalMs)
        this.fleet.time.after(at - this.fleet.time.now(), () => this.submit(node));
    });
    this.fleet.time.runUntil(until);
  }

  /** Sends one request to a daemon. */
  submit(node: FleetNode): void {
    this.requestCount += 1;
    const id = `r${this.requestCount}`;
    this.outcomes.set(id, { node, sentAt: this.fleet.time.now() });
    const content = { contentDigest: id, callerAddress: '10.9.0.1' };
    this.fleet.submit(node, id, '/a/x', { callerDeadlineMs: 2000, ...content });
  }

  /** The requests that were sent to these daemons from one time to another. */
  getOutcomes(nodes: readonly FleetNode[], from: number, to = Infinity): Outcome[] {
    return [...this.outcomes.values()].filter(
      ({ node, sentAt }) => nodes.includes(node) && sentAt >= from && sentAt < to,
    );
  }

  /** Share of these requests that were served. */
  getServedShare(nodes: readonly FleetNode[], from: number, to = Infinity): number {
    const outcomes = this.getOutcomes(nodes, from, to);
    return outcomes.filter(({ status }) => status === 200).length / outcomes.length;
  }

  /** Attempts that a daemon sent through a peer. */
  getTunnelled(from = 0, to = Infinity): AttemptStart[] {
    return this.attempts
      .filter(({ at, start }) => start.via !== undefined && at >= from && at < to)
      .map(({ start }) => start);
  }

  /** Times of a change in the log of these daemons. */
  getChangeTimes(nodes: readonly FleetNode[], event: string): number[] {
    return this.changes.filter((one) => one.event === event && nodes.includes(one.node)).map(({ at }) => at);
  }

  private setLink(node: FleetNode, id: string, state: LinkState): void {
    this.links.set(getKey(node, id), state);
    if (state !== 'refused') return;
    this.idleConnections.delete(getKey(node, id));
    for (const attempt of [...this.live.values()]) {
      const carrier = this.getCarrier(attempt.node, attempt.start);
      if (carrier === node && attempt.start.backend.id === id) this.breakOff(attempt);
    }
  }

  private getLink(node: FleetNode, id: string): LinkState {
    return this.links.get(getKey(node, id)) ?? 'sound';
  }

  /** The daemon whose connection reaches the back end. */
  private getCarrier(node: FleetNode, { via }: AttemptStart): FleetNode | undefined {
    return via === undefined ? node : this.fleet.nodes.find(({ address }) => address === via);
  }

  private startAttempt(node: FleetNode, start: AttemptStart): void {
    this.attempts.push({ at: this.fleet.time.now(), node, start });
    const attempt: LiveAttempt = { node, start, connected: false };
    this.live.set(start.attemptId, attempt);
    if (start.via === undefined) this.connectDirectly(attempt);
    else this.openTunnel(attempt);
  }

  private connectDirectly(attempt: LiveAttempt): void {
    const { node, start } = attempt;
    const key = getKey(node, start.backend.id);
    const idle = this.idleConnections.get(key) ?? 0;
    if (idle > 0) {
      this.idleConnections.set(key, idle - 1);
      attempt.connected = true;
      this.serve(attempt);
      return;
    }
    const how = this.getConnectFailure(node, start.backend.id);
    const heldMs = this.getHeldMs(node, start.backend.id);
    if (how === undefined || heldMs < CONNECT_TIMEOUT_MS) {
      attempt.connected = true;
      this.after(ROUND_TRIP_MS + (how === undefined ? 0 : heldMs), () => this.serve(attempt));
    } else
      this.end(attempt, how === 'silent' ? CONNECT_TIMEOUT_MS : ROUND_TRIP_MS, {
        kind: 'unreachable',
        reason: how === 'silent' ? 'UND_ERR_CONNECT_TIMEOUT' : 'ECONNREFUSED',
      });
  }

  private openTunnel(attempt: LiveAttempt): void {
    const { start, node } = attempt;
    const peer = this.getCarrier(node, start);
    if (!peer || peer.down || !this.fleet.isLinked(node, peer) || this.refusesTunnels.has(peer)) {
      const event = { kind: 'unreachable', reason: 'peer', tunnelFailure: 'peer' } as const;
      this.end(attempt, peer && !peer.down ? TUNNEL_TIMEOUT_MS : ROUND_TRIP_MS, event);
      return;
    }
    const refusal = peer.daemon.checkTunnel(start.backend.address, 0);
    const how = this.getConnectFailure(peer, start.backend.id);
    if (refusal !== undefined)
      this.end(attempt, 2 * ROUND_TRIP_MS, {
        kind: 'unreachable',
        reason: refusal,
        tunnelFailure: 'peer',
      });
    else if (how !== undefined)
      this.end(attempt, how === 'silent' ? TUNNEL_CONNECT_TIMEOUT_MS : 2 * ROUND_TRIP_MS, {
        kind: 'unreachable',
        reason: 'unreachable',
        tunnelFailure: 'backend',
      });
    else {
      attempt.connected = true;
      this.after(2 * ROUND_TRIP_MS, () => this.serve(attempt));
    }
  }

  private isListening(address: string, from: FleetNode): boolean {
    const backend = this.backends.find((record) => record.address === address);
    return backend !== undefined && this.getConnectFailure(from, backend.id) === undefined;
  }

  private getConnectFailure(node: FleetNode, id: string): 'silent' | 'refused' | undefined {
    const down = this.down.get(id);
    if (down) return down;
    const link = this.getLink(node, id);
    if (link === 'silent') return 'silent';
    if (link !== 'sound') return 'refused';
    return this.isSilent(id) ? 'silent' : undefined;
  }

  /** How long a back end that is silent holds what it is sent; Infinity where nothing reaches it. Milliseconds. */
  private getHeldMs(node: FleetNode, id: string): number {
    if (this.getLink(node, id) !== 'sound' || this.down.has(id)) return Infinity;
    return Math.max(0, (this.silentUntil.get(id) ?? 0) - this.fleet.time.now());
  }

  private isSilent(id: string): boolean {
    return (this.silentUntil.get(id) ?? 0) > this.fleet.time.now();
  }

  /** The request is at the back end, if the link passes bytes; the answer waits while the back end is silent. */
  private serve(attempt: LiveAttempt): void {
    const { node, start } = attempt;
    const { id } = start.backend;
    const carrier = this.getCarrier(node, start);
    if (!this.isLive(attempt) || !carrier || this.getLink(carrier, id) === 'silent' || this.down.has(id))
      return;
    const until = this.silentUntil.get(id) ?? 0;
    this.after(Math.max(SERVICE_MS, until - this.fleet.time.now()), () => {
      if (!this.isLive(attempt) || this.getLink(carrier, id) === 'silent' || this.down.has(id)) return;
      if (start.via === undefined) {
        const key = getKey(node, id);
        this.idleConnections.set(key, (this.idleConnections.get(key) ?? 0) + 1);
      }
      this.end(attempt, 0, { kind: 'whole', status: 200 });
    });
  }

  private breakOff(attempt: LiveAttempt): void {
    if (attempt.connected) this.end(attempt, ROUND_TRIP_MS, { kind: 'broken', reason: 'ECONNRESET' });
  }

  private end(attempt: LiveAttempt, afterMs: number, event: ForwardAttemptEvent): void {
    const { node, start } = attempt;
    this.after(afterMs, () => {
      if (!this.isLive(attempt)) return;
      this.live.delete(start.attemptId);
      const { requestId, attemptId } = start;
      this.fleet.handle(node, { kind: 'attempt', requestId, attemptId, event });
    });
  }

  private isLive({ start }: LiveAttempt): boolean {
    return this.live.has(start.attemptId);
  }

  private probe(node: FleetNode, id: string): void {
    const how = this.getConnectFailure(node, id);
    const heldMs = this.getHeldMs(node, id);
    const succeeded = how === undefined || (how === 'silent' && heldMs < PROBE_TIMEOUT_MS);
    const afterMs =
      how === undefined ? 2 : how === 'refused' ? ROUND_TRIP_MS : Math.min(heldMs, PROBE_TIMEOUT_MS);
    this.after(afterMs, () => this.fleet.handle(node, { kind: 'probed', backendId: id, succeeded }));
  }

  private watch(node: FleetNode): void {
    const { daemon } = node;
    const handle = daemon.handle.bind(daemon);
    daemon.handle = (event, now) => {
      const effects = handle(event, now);
      for (const effect of effects) this.onEffect(node, effect);
      return effects;
    };
  }

  private onEffect(node: FleetNode, effect: ForwardingEffect): void {
    const at = this.fleet.time.now();
    if (effect.kind === 'replyWhole') this.finish(effect.requestId, 200);
    else if (effect.kind === 'replyBroken') this.finish(effect.requestId, 0);
    else if (effect.kind === 'replyFailure')
      this.finish(effect.requestId, effect.status, effect.retryAfterMs);
    else if (effect.kind === 'abortAttempt') this.live.delete(effect.attemptId);
    else if (effect.kind === 'change') this.changes.push({ at, node, event: effect.event });
    else if (effect.kind === 'closeTunnels') this.closedTunnels.push({ at, node, via: effect.via });
  }

  private finish(requestId: string, status: number, retryAfterMs?: number): void {
    const outcome = this.outcomes.get(requestId);
    if (!outcome) return;
    if (outcome.endedAt !== undefined) throw new Error(`a second answer to ${requestId}`);
    Object.assign(outcome, { status, retryAfterMs, endedAt: this.fleet.time.now() });
  }

  private after(ms: number, run: () => void): void {
    this.fleet.time.after(ms, run);
  }
}

function getKey(node: FleetNode, id: string): string {
  return `${node.address}/${id}`;
}
