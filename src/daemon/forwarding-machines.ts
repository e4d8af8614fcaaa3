/**
 * Creates and wires the state machines of a forwarding daemon: which machine reads the state of which other,
 * and where the effects of each go. Owns no state. The daemon dispatches events to the machines created here;
 * everything besides forwarding is in the parts (src/parts), which are plugged in.
 */
import { FleetReplica, type FleetEffect } from '../fleet/fleet-replica.js';
import { PeerExchange } from '../fleet/peer-exchange.js';
import { BackendDirectory } from '../forwarding/backends/backend-directory.js';
import { LeavingBackends } from '../forwarding/backends/leaving-backends.js';
import { BackendPaths } from '../forwarding/paths/backend-paths.js';
import { BackendDistance } from '../forwarding/choose/backend-distance.js';
import { BackendPicker } from '../forwarding/choose/backend-picker.js';
import { ForwardManager } from '../forwarding/forward-manager.js';
import { KvIndex, type PartPlacement } from '../forwarding/kv-cache/kv-index.js';
import { BackendLimits } from '../forwarding/permits/backend-limits.js';
import { PermitManager } from '../forwarding/permits/permit-manager.js';
import { RetryAllowance } from '../forwarding/retry/retry-allowance.js';
import type { RouteTable } from '../forwarding/routes/route-table.js';
import type { TenantDirectory } from '../forwarding/routes/tenant-directory.js';
import { createInitialMember } from '../membership/member-rules.js';
import { Membership, type MembershipEffect } from '../membership/membership.js';
import type { DaemonIdentity } from '../membership/membership-messages.js';
import type { FleetView } from '../quotas/owner-ranking.js';
import type { DaemonPart } from '../parts/daemon-part.js';
import { createParts } from '../parts/daemon-parts.js';
import { createRequestHooks } from '../parts/request-hooks.js';
import { DistanceCost } from '../places/distance-cost.js';
import { Places } from '../places/places.js';
import { RoundTrips } from '../places/round-trips.js';
import type { EffectSink } from '../shared/effect-sink.js';
import type { RandomSource } from '../shared/random.js';
import type { ChangeEvent } from './change-log.js';
import type { ForwardingDaemonSettings } from './forwarding-daemon-settings.js';
import type { ForwardingEffect } from './forwarding-messages.js';

/** What the machines are created from, and the functions of the daemon that they call. */
interface ForwardingContext {
  readonly identity: DaemonIdentity;
  /** Addresses of the daemons that are contacted first to find the others. */
  readonly seeds: readonly string[];
  readonly settings: ForwardingDaemonSettings;
  readonly random: RandomSource;
  readonly tenants: TenantDirectory;
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly emit: EffectSink<ForwardingEffect>;
  /** The routes in force; undefined before the first configuration. */
  getRoutes(): RouteTable | undefined;
  /** Number of daemons that share the retry budget and the connections of back ends. */
  getDaemonCount(): number;
  /** Whether this daemon is the first in rank among those that follow the store. */
  isFirstReader(): boolean;
  /** The time of the event that is being handled. Monotonic milliseconds. */
  getEventTime(): number;
  logChange(event: ChangeEvent, fields: Readonly<Record<string, unknown>>): void;
  onMembership(effect: MembershipEffect): void;
  onFleet(effect: FleetEffect): void;
}

/** The machines of one daemon. */
export interface ForwardingMachines {
  /** The daemons of the fleet. */
  readonly membership: Membership;
  /** The configuration and the back ends' records, as last received from the store or a peer. */
  readonly replica: FleetReplica;
  /** The back ends and their known load and health. */
  readonly directory: BackendDirectory;
  /** Maps prompts to the back ends that hold their KV cache. */
  readonly kvIndex: KvIndex;
  /** The retry budget. */
  readonly retries: RetryAllowance;
  /** The requests that are active or waiting. */
  readonly manager: ForwardManager;
  /** Exchanges load digests and record changes with peers. */
  readonly exchange: PeerExchange;
  /** The paths to back ends: direct ones, and tunnels through peers. */
  readonly paths: BackendPaths;
  /** Everything that the daemon does besides forwarding requests. */
  readonly parts: readonly DaemonPart[];
}

/** Distances to back ends. */
interface Distances {
  readonly places: Places;
  readonly roundTrips: RoundTrips;
  readonly distance: BackendDistance;
}

/** Creates the machines. Machines that depend on each other are wired by functions that are called later. */
export function createForwardingMachines(context: ForwardingContext): ForwardingMachines {
  const { identity, seeds, settings, random, now } = context;
  const directory = new BackendDirectory(settings.health, settings.picker.pace);
  const kvIndex = new KvIndex();
  const membership = new Membership(
    createInitialMember(identity),
    seeds,
    settings.membership,
    random,
    (effect) => context.onMembership(effect),
    now,
  );
  const replica = new FleetReplica(settings.replica, random, (effect) => context.onFleet(effect), now);
  const distances = createDistances(context);
  const picker = new BackendPicker(settings.picker, distances.distance, directory, kvIndex, random);
  const retries = new RetryAllowance(settings.retries, now);
  const getParts = (): readonly DaemonPart[] => parts;
  const signals = createSignalMachines(context, {
    directory,
    membership,
    sendWaiting: (service, at) => manager.sendWaiting(service, at),
    sendDigestSoon: (at) => exchange.sendDigestSoon(at),
  });
  const { permits } = signals;
  const paths = new BackendPaths({
    identity,
    random,
    directory,
    getMembers: () => membership.getActive(),
    hasHealthCheck: (service) => context.getRoutes()?.getService(service)?.healthPath !== undefined,
    closeTunnels: (via) => context.emit({ kind: 'closeTunnels', via }),
    onOfferChanged: (at) => exchange.sendDigestSoon(at),
    logChange: context.logChange,
  });
  const manager = createManager(context, { replica, picker, kvIndex, retries, permits, paths, getParts });
  const exchange = createExchange(context, { replica, directory, kvIndex, signals, membership, paths });
  const parts = createDaemonParts(context, {
    replica,
    directory,
    kvIndex,
    membership,
    signals,
    manager,
    distances,
    paths,
  });
  return { membership, replica, directory, kvIndex, retries, manager, exchange, paths, parts };
}

/** The fleet as this daemon sees it. */
function getFleetView(membership: Membership): FleetView {
  const members = membership.getActive();
  return { members, knownCount: membership.getContact().known, joined: membership.hasJoined() };
}

/** What back ends report about themselves, and the permits for sending to those that advertise a limit. */
interface SignalMachines {
  readonly limits: BackendLimits;
  readonly leaving: LeavingBackends;
  readonly permits: PermitManager;
}

interface SignalContext extends Pick<ForwardingMachines, 'directory' | 'membership'> {
  /** Tries to send the service's requests that wait for a permit. */
  sendWaiting(service: string, now: number): void;
  /** Sends a digest to the peers at once. */
  sendDigestSoon(now: number): void;
}

function createSignalMachines(context: ForwardingContext, machines: SignalContext): SignalMachines {
  const { identity, random, emit, logChange } = context;
  const { directory, membership, sendWaiting, sendDigestSoon } = machines;
  const permits = new PermitManager({
    selfId: identity.id,
    random,
    getFleet: () => getFleetView(membership),
    onDecision: sendWaiting,
    emit,
  });
  const limits = new BackendLimits(directory, ({ record }, requestsPerSecond, at) => {
    if (requestsPerSecond === undefined) logChange('backend.limit-ended', { backend: record.id });
    else logChange('backend.limited', { backend: record.id, requestsPerSecond });
    permits.setLimited(limits.getLimited(), at);
    sendDigestSoon(at);
    sendWaiting(record.service, at);
  });
  const leaving = new LeavingBackends(directory, ({ record }, at) => {
    logChange('backend.leaving', { backend: record.id, bornMs: record.bornMs });
    sendDigestSoon(at);
  });
  return { limits, leaving, permits };
}

function createDistances({ identity, settings }: ForwardingContext): Distances {
  const roundTrips = new RoundTrips(settings.distance.roundTripMs);
  const places = new Places(settings.regionByZone);
  const cost = new DistanceCost(settings.distance, places, roundTrips);
  return { places, roundTrips, distance: new BackendDistance(identity.zone, cost) };
}

interface ManagerMachines extends Pick<ForwardingMachines, 'replica' | 'kvIndex' | 'retries' | 'paths'> {
  readonly picker: BackendPicker;
  readonly permits: PermitManager;
  readonly getParts: () => readonly DaemonPart[];
}

function createManager(context: ForwardingContext, machines: ManagerMachines): ForwardManager {
  const { replica, picker, kvIndex, retries, permits, paths, getParts } = machines;
  return new ForwardManager(
    context.settings.forward,
    {
      getRoutes: () => context.getRoutes(),
      tenants: context.tenants,
      configurationMayBeStale: (at) => replica.mayBeStale('configuration', at),
      getConfigurationEvidence: (at) => ({ ...replica.getEvidence('configuration', at) }),
      getOutageMs: (at) => replica.getOutageMs('configuration', at),
      getDaemonCount: () => context.getDaemonCount(),
      permits,
      paths,
      ...createRequestHooks(getParts),
    },
    picker,
    kvIndex,
    retries,
    context.emit,
  );
}

interface ExchangeMachines extends Pick<
  ForwardingMachines,
  'replica' | 'directory' | 'kvIndex' | 'membership' | 'paths'
> {
  readonly signals: SignalMachines;
}

function createExchange(context: ForwardingContext, machines: ExchangeMachines): PeerExchange {
  const { identity, settings, random, emit, now } = context;
  const { replica, directory, kvIndex, signals, membership, paths } = machines;
  // A placement is used only if the configuration states the KV cache capacity of the service's engines.
  const applyPlacement = (placement: PartPlacement): void => {
    const service = directory.get(placement[0])?.record.service;
    if (service === undefined) return;
    const capacityTokens = context.getRoutes()?.getService(service)?.engine?.kvCapacityTokens;
    if (capacityTokens !== undefined) kvIndex.applyPeerPlacement(placement, capacityTokens);
  };
  return new PeerExchange(
    settings.exchange,
    replica,
    directory,
    {
      placements: { take: () => kvIndex.takeRecentPlacements(), addPlacement: applyPlacement },
      paths,
      ...signals,
    },
    {
      selfAddress: identity.address,
      zone: identity.zone,
      region: identity.region,
      getActive: () => membership.getActive(),
    },
    random,
    ({ address, message }) => emit({ kind: 'sendPeer', address, message }),
    now,
  );
}

interface PartMachines extends Pick<
  ForwardingMachines,
  'replica' | 'directory' | 'kvIndex' | 'membership' | 'manager' | 'paths'
> {
  readonly distances: Distances;
  readonly signals: SignalMachines;
}

function createDaemonParts(context: ForwardingContext, machines: PartMachines): readonly DaemonPart[] {
  const { identity, settings, random, emit, now } = context;
  const { replica, directory, kvIndex, membership, signals, manager, distances, paths } = machines;
  return createParts(
    {
      identity,
      settings,
      random,
      directory,
      kvIndex,
      ...signals,
      paths,
      regions: distances.places.hasSeveralRegions() ? distances : undefined,
      emit,
      getMembers: () => membership.getActive(),
      getFleet: () => getFleetView(membership),
      decideQuota: (requestId, decision) => manager.applyQuota(requestId, decision, context.getEventTime()),
      decideOrigin: (requestId, origin) => manager.applyOrigin(requestId, origin, context.getEventTime()),
      backendsMayBeStale: (at) => replica.mayBeStale('backends', at),
      getBackendsAgeMs: (at) => replica.getAgeMs('backends', at),
      isFirstReader: () => context.isFirstReader(),
      getRoutes: () => context.getRoutes(),
      logChange: (event, fields) => context.logChange(event, fields),
    },
    now,
  );
}
