/** Converts the users' site profiles to options of the simulation. */
import type { SiteProfile } from '../lab/site-profiles.js';
import type { EngineAssignment } from '../src/contracts/engine-protocol.js';
import {
  DEFAULT_COMPLETION_DAEMON_SETTINGS,
  type CompletionDaemonSettings,
} from '../src/daemon/completion-daemon-settings.js';
import type { SimulatedSiteOptions } from './simulated-site.js';

const REGION = 'main';

/** Creates the options of a site of the profile's size, with one daemon per zone and one cell. */
export function createSiteOptions(
  profile: SiteProfile,
  seed: number,
  settings: Partial<CompletionDaemonSettings> = {},
): SimulatedSiteOptions {
  const place = (index: number): { zone: string; region: string } => ({
    zone: profile.zones[index % profile.zones.length],
    region: REGION,
  });
  const adapters = [
    ...new Set(profile.services.map((row) => row.adapter).filter((adapter) => adapter !== '')),
  ];
  // One object per engine: a shared one would be encoded as a reference in messages between daemons.
  const assignment = (): EngineAssignment => ({ role: 'mixed', model: profile.model, version: 1, adapters });
  return {
    seed,
    daemons: profile.zones.map((_zone, index) => place(index)),
    engines: Array.from({ length: profile.engines }, (_, index) => ({
      ...place(index),
      cell: profile.name,
      assignment: assignment(),
    })),
    applications: Array.from({ length: profile.applications }, (_, index) => place(index)),
    services: profile.services,
    network: { otherZoneMs: profile.zoneDelayMs },
    settings: {
      allocation: {
        ...DEFAULT_COMPLETION_DAEMON_SETTINGS.allocation,
        roleChangeCostSeconds: profile.roleChangeCostSeconds,
      },
      ...settings,
    },
  };
}
