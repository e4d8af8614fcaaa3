/** Changes of what a daemon believes, as its log names them. */
import type { StageEffect } from '../allocation/stage-coordinator.js';
import type { DutyEffect } from '../duties/duty-manager.js';
import type { FleetEffect } from '../fleet/fleet-replica.js';
import type { QuarantineEffect } from '../quarantine/quarantine-manager.js';

/** A change of what the daemon believes, for the log. */
export interface BeliefEffect {
  readonly kind: 'belief';
  readonly event: BeliefEvent;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Stable names of changes of belief. */
export type BeliefEvent =
  | 'member.changed'
  | 'members.found'
  | 'configuration.changed'
  | 'backend.changed'
  | 'backend.removed'
  | 'backend.recovered'
  | 'backend.slow'
  | 'backend.sound'
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
  | 'region.lost'
  | 'region.regained';

type FleetBelief = Exclude<FleetEffect, { kind: 'readRecords' | 'tellPeers' }>;
type DutyBelief = Exclude<DutyEffect, { kind: 'leaseTable' | 'usageTable' | 'callDuty' | 'sendPeer' }>;
type QuarantineBelief = Extract<
  QuarantineEffect,
  { kind: 'backendEnded' | 'requestQuarantined' | 'requestReleased' }
>;
type StageBelief = Exclude<StageEffect, { kind: 'leaseTable' | 'askEngine' }>;

/** The belief that a change of the replica makes. */
export function makeFleetBelief(effect: FleetBelief): BeliefEffect {
  switch (effect.kind) {
    case 'configurationChanged': {
      const { configuration, source } = effect;
      return makeBelief('configuration.changed', { version: configuration.version, source });
    }
    case 'backendChanged': {
      const { record, revision, source } = effect;
      const { id: backend, state, stage } = record;
      return makeBelief('backend.changed', { backend, state, stage, revision, source });
    }
    case 'backendRemoved': {
      const { id: backend, revision, source } = effect;
      return makeBelief('backend.removed', { backend, revision, source });
    }
    case 'storeLost':
      return makeBelief('store.lost', { collection: effect.collection, reason: effect.reason });
    case 'storeRegained':
      return makeBelief('store.regained', { collection: effect.collection });
  }
}

/** The belief that a step of the duties makes. */
export function makeDutyBelief(effect: DutyBelief): BeliefEffect {
  switch (effect.kind) {
    case 'leaseAcquired':
      return makeBelief('lease.acquired', { cell: effect.cell, epoch: effect.epoch });
    case 'leaseLost':
      return makeBelief('lease.lost', { cell: effect.cell, epoch: effect.epoch });
    case 'usageReported': {
      const { window, requests, lateMs } = effect;
      return makeBelief('usage.reported', { window, requests, lateMs });
    }
    case 'usageMissed':
      return makeBelief('usage.missed', { window: effect.window });
  }
}

/** The belief that a step of a stage coordinator makes. */
export function makeStageBelief(effect: StageBelief): BeliefEffect {
  switch (effect.kind) {
    case 'leaseAcquired':
      return makeBelief('lease.acquired', { cell: effect.cell, epoch: effect.epoch });
    case 'leaseLost':
      return makeBelief('lease.lost', { cell: effect.cell, epoch: effect.epoch });
    case 'orderEngine': {
      const { backend, stage, fence, expectedOrders } = effect.order;
      return makeBelief('order.given', { backend: backend.id, stage, fence, expectedOrders });
    }
  }
}

/** The belief that a step of the quarantine makes. */
export function makeQuarantineBelief(effect: QuarantineBelief): BeliefEffect {
  switch (effect.kind) {
    case 'backendEnded':
      return makeBelief('backend.ended', { backend: effect.backend.id, runs: effect.runs });
    case 'requestQuarantined':
      return makeBelief('request.quarantined', { key: effect.key, ends: effect.ends });
    case 'requestReleased':
      return makeBelief('request.released', { key: effect.key });
  }
}

function makeBelief(event: BeliefEvent, fields: Readonly<Record<string, unknown>>): BeliefEffect {
  return { kind: 'belief', event, fields };
}
