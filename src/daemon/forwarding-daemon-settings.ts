/** Settings of a forwarding daemon, by part, and their defaults. Each part documents its own settings. */
import { DEFAULT_FLEET_REPLICA_SETTINGS, type FleetReplicaSettings } from '../fleet/fleet-replica.js';
import { DEFAULT_PEER_EXCHANGE_SETTINGS, type PeerExchangeSettings } from '../fleet/peer-exchange.js';
import {
  DEFAULT_BACKEND_PICKER_SETTINGS,
  type BackendPickerSettings,
} from '../forwarding/choose/backend-picker-settings.js';
import {
  DEFAULT_BACKEND_HEALTH_SETTINGS,
  type BackendHealthSettings,
} from '../forwarding/backends/backend-health.js';
import { DEFAULT_FORWARD_SETTINGS, type ForwardSettings } from '../forwarding/forward-settings.js';
import { DEFAULT_KV_FOLLOWER_SETTINGS, type KvFollowerSettings } from '../forwarding/kv-cache/kv-follower.js';
import { type RetryAllowanceSettings } from '../forwarding/retry/retry-allowance.js';
import { DEFAULT_DISTANCE_SETTINGS, type DistanceSettings } from '../places/distance-settings.js';
import type { RegionByZone } from '../places/places.js';
import type { StageCoordinatorSettings } from '../allocation/stage-coordinator.js';
import { type DutySettings } from '../duties/duty-manager.js';
import type { QuotaSettings } from '../quotas/quota-settings.js';
import { DEFAULT_QUARANTINE_SETTINGS, type QuarantineSettings } from '../quarantine/quarantine-settings.js';
import { DEFAULT_MEMBERSHIP_SETTINGS, type MembershipSettings } from '../membership/membership-settings.js';

/** Settings of a forwarding daemon, by part. */
export interface ForwardingDaemonSettings {
  readonly membership: MembershipSettings;
  readonly replica: FleetReplicaSettings;
  readonly exchange: PeerExchangeSettings;
  readonly health: BackendHealthSettings;
  readonly picker: BackendPickerSettings;
  readonly distance: DistanceSettings;
  /** The region of each zone; empty where there is one region. */
  readonly regionByZone: RegionByZone;
  readonly forward: ForwardSettings;
  readonly kvFollower: KvFollowerSettings;
  readonly retries: RetryAllowanceSettings;
  readonly quarantine: QuarantineSettings;
  readonly stages: StageCoordinatorSettings;
  /** Undefined if the platform requires no duties. */
  readonly duties: DutySettings | undefined;
  /** Undefined if tenants' quotas are not enforced. */
  readonly quotas?: QuotaSettings | undefined;
}

/** Default settings; the retry budget, the stages and the duties have none. */
export const DEFAULT_FORWARDING_SETTINGS: Omit<ForwardingDaemonSettings, 'retries' | 'stages' | 'duties'> = {
  membership: DEFAULT_MEMBERSHIP_SETTINGS,
  replica: DEFAULT_FLEET_REPLICA_SETTINGS,
  exchange: DEFAULT_PEER_EXCHANGE_SETTINGS,
  health: DEFAULT_BACKEND_HEALTH_SETTINGS,
  picker: DEFAULT_BACKEND_PICKER_SETTINGS,
  distance: DEFAULT_DISTANCE_SETTINGS,
  regionByZone: {},
  forward: DEFAULT_FORWARD_SETTINGS,
  kvFollower: DEFAULT_KV_FOLLOWER_SETTINGS,
  quarantine: DEFAULT_QUARANTINE_SETTINGS,
};
