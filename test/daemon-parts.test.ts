/** Checks which parts a daemon has by its settings, and that operators can tell them apart by name. */
import { expect } from 'chai';
import { DEFAULT_FORWARDING_SETTINGS } from '../src/daemon/forwarding-daemon-settings.js';
import { BackendDirectory } from '../src/forwarding/backends/backend-directory.js';
import { LeavingBackends } from '../src/forwarding/backends/leaving-backends.js';
import { BackendLimits } from '../src/forwarding/permits/backend-limits.js';
import { KvIndex } from '../src/forwarding/kv-cache/kv-index.js';
import { createParts } from '../src/parts/daemon-parts.js';
import type { PartContext } from '../src/parts/daemon-part.js';
import { SeededRandom } from '../src/shared/random.js';
import { checkPlatformSettings, createProcessSettings } from '../platform/settings.js';
import { formatSettings } from '../lab/soak/settings-file.js';
import { SOAK_BOUNDS } from '../lab/soak/soak-record.js';
import { makePaths, makePermits } from './forwarding-harness.js';

const ADDRESS = '127.0.0.1:1';

function makeContext({ hasDuties }: { hasDuties: boolean }): PartContext {
  const ports = { front: ADDRESS, ready: ADDRESS, control: ADDRESS, metrics: 2 };
  const file = formatSettings('daemon-1', 'zone-a', ports, [], SOAK_BOUNDS, ADDRESS, ADDRESS);
  const { daemon } = createProcessSettings(checkPlatformSettings(file));
  const directory = new BackendDirectory(DEFAULT_FORWARDING_SETTINGS.health);
  const duties = hasDuties ? daemon.duties : undefined;
  return {
    identity: { id: 'daemon-1.a', address: ADDRESS, zone: 'zone-a', region: 'region-a' },
    settings: { ...daemon, duties },
    random: new SeededRandom(1),
    directory,
    limits: new BackendLimits(directory, () => undefined),
    leaving: new LeavingBackends(directory, () => undefined),
    permits: makePermits(),
    paths: makePaths(directory),
    kvIndex: new KvIndex(),
    emit: () => undefined,
    getMembers: () => [],
    getFleet: () => ({ members: [], knownCount: 1, joined: true }),
    decideQuota: () => undefined,
    decideOrigin: () => undefined,
    backendsMayBeStale: () => false,
    getBackendsAgeMs: () => 0,
    isFirstReader: () => true,
    getRoutes: () => undefined,
    logChange: () => undefined,
  };
}

describe('parts of a daemon', () => {
  it('have unique names', () => {
    const names = createParts(makeContext({ hasDuties: true }), 0).map(({ name }) => name);
    expect(new Set(names).size).to.equal(names.length);
    expect(names).to.include('duties');
  });

  it('do not include regions in a fleet of a single region', () => {
    const names = createParts(makeContext({ hasDuties: false }), 0).map(({ name }) => name);
    expect(names).not.to.include('regions');
  });

  it('are left out if the settings do not enable them', () => {
    const names = createParts(makeContext({ hasDuties: false }), 0).map(({ name }) => name);
    expect(names).not.to.include('duties');
  });
});
