/**
 * Changes that a daemon writes to its log; a forwarding daemon also counts them in its metrics. They concern
 * members, configuration, back ends, store, leases, orders and quarantine. Owns the stable names of these
 * events and the fields of each; relies on the effects of the state machines that detect the changes.
 */
import type { StageEffect } from '../allocation/stage-coordinator.js';
import type { DutyEffect } from '../duties/duty-manager.js';
import type { FleetEffect } from '../fleet/fleet-replica.js';
import type { LeaseEffect } from '../lease/cell-lease.js';
import type { PartEffect } from '../quarantine/prompt-parts/part-quarantine.js';
import type { QuarantineEffect } from '../quarantine/quarantine-manager.js';

/** One change, for the log and the metrics. */
export interface ChangeEffect<Event extends ChangeEvent = ChangeEvent> {
  readonly kind: 'change';
  readonly event: Event;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Stable names of changes. Operators search the log for them. */
export type ChangeEvent =
  | 'member.changed'
  | 'members.found'
  | 'configuration.changed'
  | 'backend.changed'
  | 'backend.removed'
  | 'backend.lapsed'
  | 'backend.recovered'
  | 'backend.slow'
  | 'backend.sound'
  | 'backend.limited'
  | 'backend.limit-ended'
  | 'backend.leaving'
  | 'backend.back-off'
  | 'backend.signal-unreadable'
  | 'store.lost'
  | 'store.regained'
  | 'lease.acquired'
  | 'lease.lost'
  | 'order.given'
  | 'order.answered'
  | 'usage.reported'
  | 'servers.ordered'
  | 'usage.missed'
  | 'duty.failed'
  | 'drain.started'
  | 'process.paused'
  | 'process.suspended'
  | 'retries.used'
  | 'backend.ended'
  | 'request.quarantined'
  | 'request.released'
  | 'part.held'
  | 'part.released'
  | 'part.tried'
  | 'daemon.cut-off'
  | 'daemon.contact-regained'
  | 'region.lost'
  | 'region.regained';

type FleetChange = Exclude<FleetEffect, { kind: 'readRecords' | 'tellPeers' }>;
type DutyChange = Exclude<DutyEffect, { kind: 'leaseTable' | 'usageTable' | 'callDuty' | 'sendPeer' }>;
type QuarantineChange = Extract<
  QuarantineEffect,
  { kind: 'backendEnded' | 'requestQuarantined' | 'requestReleased' }
>;
type PartChange = Exclude<PartEffect, { kind: 'sendPeer' }>;
type LeaseChange = Extract<LeaseEffect, { kind: 'leaseAcquired' | 'leaseLost' }>;
type StageChange = Exclude<StageEffect, { kind: 'leaseTable' | 'askEngine' }>;

/** The log entry for a change in the replica. */
export function makeFleetChange(effect: FleetChange): ChangeEffect {
  switch (effect.kind) {
    case 'configurationChanged': {
      const { configuration, revision, origin } = effect;
      return makeChange('configuration.changed', { version: configuration.version, revision, ...origin });
    }
    case 'backendChanged': {
      const { record, revision, source } = effect;
      const { id: backend, bornMs, state, stage } = record;
      return makeChange('backend.changed', { backend, bornMs, state, stage, revision, source });
    }
    case 'backendRemoved': {
      const { id: backend, revision, source } = effect;
      return makeChange('backend.removed', { backend, revision, source });
    }
    case 'backendLapsed': {
      const { id: backend, revision, source, holdUntil } = effect;
      return makeChange('backend.lapsed', { backend, revision, source, holdUntil: Math.round(holdUntil) });
    }
    case 'storeLost':
      return makeChange('store.lost', { collection: effect.collection, reason: effect.reason });
    case 'storeRegained': {
      const { collection, outageMs } = effect;
      return makeChange('store.regained', { collection, outageMs: Math.round(outageMs) });
    }
  }
}

/** The log entry for a lease that was acquired or lost. */
export function makeLeaseChange(effect: LeaseChange): ChangeEffect<'lease.acquired' | 'lease.lost'> {
  const { cell, epoch } = effect;
  return makeChange(effect.kind === 'leaseAcquired' ? 'lease.acquired' : 'lease.lost', { cell, epoch });
}

/** The log entry for a change in the duties. */
export function makeDutyChange(effect: DutyChange): ChangeEffect {
  switch (effect.kind) {
    case 'leaseAcquired':
    case 'leaseLost':
      return makeLeaseChange(effect);
    case 'usageReported': {
      const { window, requests, lateMs } = effect;
      return makeChange('usage.reported', { window, requests, lateMs });
    }
    case 'usageMissed':
      return makeChange('usage.missed', { window: effect.window });
  }
}

/** The log entry for a change in a stage coordinator. */
export function makeStageChange(effect: StageChange): ChangeEffect {
  switch (effect.kind) {
    case 'leaseAcquired':
    case 'leaseLost':
      return makeLeaseChange(effect);
    case 'orderEngine': {
      const { backend, stage, fence, expectedOrders } = effect.order;
      return makeChange('order.given', { backend: backend.id, stage, fence, expectedOrders });
    }
  }
}

/** The log entry for a change in the quarantine. */
export function makeQuarantineChange(
  effect: QuarantineChange,
): ChangeEffect<'backend.ended' | 'request.quarantined' | 'request.released'> {
  switch (effect.kind) {
    case 'backendEnded':
      return makeChange('backend.ended', { backend: effect.backend.id, runs: effect.runs });
    case 'requestQuarantined':
      return makeChange('request.quarantined', { key: effect.key, ends: effect.ends });
    case 'requestReleased':
      return makeChange('request.released', { key: effect.key });
  }
}

/** The log entry for a change in the held parts of prompts; `backends` are those that crashed under the part. */
export function makePartChange(effect: PartChange): ChangeEffect {
  switch (effect.kind) {
    case 'partHeld': {
      const { part, incarnations } = effect.held;
      return makeChange('part.held', { part, ends: incarnations.length, backends: incarnations });
    }
    case 'partReleased':
      return makeChange('part.released', { part: effect.part });
    case 'partTried':
      return makeChange('part.tried', { part: effect.part, trial: effect.trial });
  }
}

function makeChange<Event extends ChangeEvent>(
  event: Event,
  fields: Readonly<Record<string, unknown>>,
): ChangeEffect<Event> {
  return { kind: 'change', event, fields };
}
