/**
 * The allocation policy: which role and model each engine of a cell should have. Pure functions without
 * access to leases, orders or sockets. The cell's coordinator calls it at intervals with its current state
 * and applies at most the one change that is returned.
 */
import type { EngineAssignment, EngineCapability, EngineRole } from '../contracts/engine-protocol.js';
import { servableFactor, type RoleCounts, type TokenDemand } from './throughput-model.js';

/** The policy's view of an engine. */
export interface AllocatableEngine {
  readonly id: string;
  readonly assignment: EngineAssignment;
  readonly capability: EngineCapability;
  readonly streams: number;
  /** Share of prompt tokens that the prefix cache saves. */
  readonly cachedShare: number;
  /** Expected duration of a drain before a change. Milliseconds. */
  readonly drainMs: number;
  /** True while the engine drains or changes; it then counts with its future assignment. */
  readonly changing: boolean;
}

/** The services' demand on one version of one model. */
export interface ModelDemand extends TokenDemand {
  readonly model: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Settings of the policy. */
export interface AllocationSettings {
  /**
   * `adaptive` weighs gain against cost, `threshold` follows the share of prefill work without hysteresis,
   * `fixed` changes nothing. Default adaptive.
   */
  readonly policy: 'adaptive' | 'threshold' | 'fixed';
  /**
   * Cost of a role change beyond the engine time it takes, in seconds of one engine's goodput. A high value
   * avoids frequent changes, a low one follows every shift of the load. Default 10.
   */
  readonly roleChangeCostSeconds: number;
  /** Expected duration of a shift of the load between prefill and decode. Seconds. Default 30. */
  readonly horizonSeconds: number;
  /** Minimum time between two changes in a cell. Milliseconds. Default 2000. */
  readonly minimumIntervalMs: number;
  /**
   * Minimum capacity for complete requests per model, in engines: a mixed engine counts as one, and so does a
   * pair of a prefill and a decode engine. Default 1.
   */
  readonly floorPerModel: number;
  /** Capacity beyond this multiple of the demand has no value. Default 1.5. */
  readonly headroomFactor: number;
}

/** Default settings. */
export const DEFAULT_ALLOCATION_SETTINGS: AllocationSettings = {
  policy: 'adaptive',
  roleChangeCostSeconds: 10,
  horizonSeconds: 30,
  minimumIntervalMs: 2000,
  floorPerModel: 1,
  headroomFactor: 1.5,
};

/** One engine's new assignment and its expected gain. */
interface PlannedChange {
  readonly engineId: string;
  readonly assignment: EngineAssignment;
  /** Expected gain over the horizon minus the cost, in seconds of one engine's goodput. */
  readonly netGainSeconds: number;
}

const ROLES: readonly EngineRole[] = ['prefill', 'decode', 'mixed'];
/** Value of capacity beyond the demand, relative to capacity that serves the demand. */
const HEADROOM_VALUE = 0.1;
/** Share of its work that an engine loses while it drains. */
const DRAIN_LOSS = 0.5;
/** A change of model makes an engine unavailable for about this many times as long as a change of role. */
const MODEL_MOVE_COST_FACTOR = 3;

/** The key of a model version. */
export function modelKey(model: string, version: number): string {
  return `${model}@${version}`;
}

/** Plans the next change; undefined when none is worth its cost. */
export function planNextChange(
  engines: readonly AllocatableEngine[],
  demands: readonly ModelDemand[],
  settings: AllocationSettings,
): PlannedChange | undefined {
  if (settings.policy === 'fixed') return undefined;
  const computed = demands.map((demand) => subtractCached(engines, demand));
  return planUncached(engines, computed, settings);
}

/** The demand minus the prompt tokens that the prefix caches of the model's engines save. */
function subtractCached(engines: readonly AllocatableEngine[], demand: ModelDemand): ModelDemand {
  const group = engines.filter((engine) => serves(engine, demand));
  // Decode engines compute few prompts, so their cache hit rates are not representative.
  const computing = group.filter((engine) => engine.assignment.role !== 'decode');
  if (computing.length === 0) return demand;
  const saved = computing.reduce((sum, engine) => sum + engine.cachedShare, 0) / computing.length;
  return { ...demand, prefillPerSecond: demand.prefillPerSecond * (1 - saved) };
}

function planUncached(
  engines: readonly AllocatableEngine[],
  demands: readonly ModelDemand[],
  settings: AllocationSettings,
): PlannedChange | undefined {
  return (
    planAdapterLoad(engines, demands) ??
    planPlacement(engines, demands, settings) ??
    planRoleOrModel(engines, demands, settings)
  );
}

/** The better of the best change of role and the best move of an engine between models. */
function planRoleOrModel(
  engines: readonly AllocatableEngine[],
  demands: readonly ModelDemand[],
  settings: AllocationSettings,
): PlannedChange | undefined {
  const role = planRole(engines, demands, settings);
  const move = planModelMove(engines, demands, settings);
  if (!role || !move) return role ?? move;
  return role.netGainSeconds >= move.netGainSeconds ? role : move;
}

/**
 * Moves an engine to the model with the highest load from the one with the lowest, or from one that no
 * service uses.
 */
function planModelMove(
  engines: readonly AllocatableEngine[],
  demands: readonly ModelDemand[],
  settings: AllocationSettings,
): PlannedChange | undefined {
  const unused = engines.find(
    (engine) => !engine.changing && !demands.some((demand) => serves(engine, demand)),
  );
  const ratedGroups = demands
    .map((demand) => rateGroup(engines, demand))
    .sort((left, right) => left.factor - right.factor);
  const mostLoaded = ratedGroups[0];
  if (!mostLoaded) return undefined;
  const { model, version, adapters } = mostLoaded.demand;
  const assignment: EngineAssignment = { role: 'mixed', model, version, adapters };
  if (unused) return { engineId: unused.id, assignment, netGainSeconds: Infinity };
  const leastLoaded = ratedGroups[ratedGroups.length - 1];
  const donor = leastLoaded.group
    .filter((engine) => !engine.changing)
    .sort((left, right) => left.streams - right.streams)[0];
  if (leastLoaded === mostLoaded || !donor || !canSpare(donor, engines, demands, settings)) return undefined;
  const gain =
    getGroupValue([...mostLoaded.group, { ...donor, assignment }], mostLoaded.demand, settings) -
    mostLoaded.getValue(settings);
  const loss =
    leastLoaded.getValue(settings) -
    getGroupValue(
      leastLoaded.group.filter((engine) => engine !== donor),
      leastLoaded.demand,
      settings,
    );
  const gainPerSecond = gain * mostLoaded.group.length - loss * leastLoaded.group.length;
  const cost = MODEL_MOVE_COST_FACTOR * changeCost(donor, settings);
  const netGainSeconds = gainPerSecond * settings.horizonSeconds - cost;
  return netGainSeconds > 0 ? { engineId: donor.id, assignment, netGainSeconds } : undefined;
}

interface RatedGroup {
  readonly demand: ModelDemand;
  readonly group: readonly AllocatableEngine[];
  readonly factor: number;
  getValue(settings: AllocationSettings): number;
}

function rateGroup(engines: readonly AllocatableEngine[], demand: ModelDemand): RatedGroup {
  const group = engines.filter((engine) => serves(engine, demand));
  const factor = group.length === 0 ? 0 : servableFactor(countRoles(group), demand, group[0].capability);
  return { demand, group, factor, getValue: (settings) => getGroupValue(group, demand, settings) };
}

function getGroupValue(
  group: readonly AllocatableEngine[],
  demand: ModelDemand,
  settings: AllocationSettings,
): number {
  return group.length === 0 ? 0 : getValue(countRoles(group), demand, group[0].capability, settings);
}

/** Loads the adapters that an engine of a model lacks. Loading doesn't interrupt the engine's work. */
function planAdapterLoad(
  engines: readonly AllocatableEngine[],
  demands: readonly ModelDemand[],
): PlannedChange | undefined {
  for (const demand of demands) {
    for (const engine of engines) {
      if (engine.changing || !serves(engine, demand)) continue;
      const missing = demand.adapters.filter((adapter) => !engine.assignment.adapters.includes(adapter));
      if (missing.length === 0) continue;
      const assignment = { ...engine.assignment, adapters: [...engine.assignment.adapters, ...missing] };
      return { engineId: engine.id, assignment, netGainSeconds: Infinity };
    }
  }
  return undefined;
}

/** Gives a model version below its floor the least busy engine that another version can spare. */
function planPlacement(
  engines: readonly AllocatableEngine[],
  demands: readonly ModelDemand[],
  settings: AllocationSettings,
): PlannedChange | undefined {
  for (const demand of demands) {
    if (
      countCompleteRequestEngines(engines.filter((engine) => serves(engine, demand))) >=
      settings.floorPerModel
    )
      continue;
    const donor = engines
      .filter((engine) => !engine.changing && canSpare(engine, engines, demands, settings))
      .sort((left, right) => left.streams - right.streams)[0];
    if (!donor) continue;
    const assignment: EngineAssignment = {
      role: 'mixed',
      model: demand.model,
      version: demand.version,
      adapters: demand.adapters,
    };
    return { engineId: donor.id, assignment, netGainSeconds: Infinity };
  }
  return undefined;
}

function canSpare(
  engine: AllocatableEngine,
  engines: readonly AllocatableEngine[],
  demands: readonly ModelDemand[],
  settings: AllocationSettings,
): boolean {
  const donorDemand = demands.find((demand) => serves(engine, demand));
  if (!donorDemand) return true;
  const remaining = engines.filter((other) => other.id !== engine.id && serves(other, donorDemand));
  return countCompleteRequestEngines(remaining) >= settings.floorPerModel;
}

/** The best change of one engine's role within its model. */
function planRole(
  engines: readonly AllocatableEngine[],
  demands: readonly ModelDemand[],
  settings: AllocationSettings,
): PlannedChange | undefined {
  let best: PlannedChange | undefined;
  for (const demand of demands) {
    const group = engines.filter((engine) => serves(engine, demand));
    if (group.length < 2) continue;
    const change =
      settings.policy === 'threshold'
        ? thresholdChange(group, demand)
        : adaptiveChange(group, demand, settings);
    if (change && (!best || change.netGainSeconds > best.netGainSeconds)) best = change;
  }
  return best;
}

function adaptiveChange(
  group: readonly AllocatableEngine[],
  demand: ModelDemand,
  settings: AllocationSettings,
): PlannedChange | undefined {
  const counts = countRoles(group);
  const capability = group[0].capability;
  const presentValue = getValue(counts, demand, capability, settings);
  let best: PlannedChange | undefined;
  for (const engine of findLeastBusyPerRole(group)) {
    for (const role of ROLES) {
      if (role === engine.assignment.role) continue;
      const next = {
        ...counts,
        [engine.assignment.role]: counts[engine.assignment.role] - 1,
        [role]: counts[role] + 1,
      };
      if (!hasFloor(next, settings)) continue;
      const gainPerSecond = (getValue(next, demand, capability, settings) - presentValue) * group.length;
      const cost = changeCost(engine, settings);
      const netGainSeconds = gainPerSecond * settings.horizonSeconds - cost;
      if (netGainSeconds > 0 && (!best || netGainSeconds > best.netGainSeconds)) {
        best = { engineId: engine.id, assignment: { ...engine.assignment, role }, netGainSeconds };
      }
    }
  }
  return best;
}

/**
 * Cost of a change in seconds of one engine's goodput. A draining engine still does about half of its work.
 */
function changeCost(engine: AllocatableEngine, settings: AllocationSettings): number {
  const unavailableMs = engine.capability.roleChangeMs + engine.drainMs * DRAIN_LOSS;
  return unavailableMs / 1000 + settings.roleChangeCostSeconds;
}

/**
 * The baseline policy: the share of prefill engines follows the current share of prefill work, with a change
 * whenever they differ.
 */
function thresholdChange(
  group: readonly AllocatableEngine[],
  demand: ModelDemand,
): PlannedChange | undefined {
  const capability = group[0].capability;
  const prefillEngines = demand.prefillPerSecond / capability.prefillRate;
  const decodeEngines = demand.decodePerSecond / capability.decodeRate;
  if (prefillEngines + decodeEngines === 0) return undefined;
  const proportional = Math.round((group.length * prefillEngines) / (prefillEngines + decodeEngines));
  const target = Math.min(group.length - 1, Math.max(1, proportional));
  const counts = countRoles(group);
  const role: EngineRole = counts.prefill < target ? 'prefill' : 'decode';
  const needsChange = counts.prefill !== target || counts.mixed > 0;
  const donor = findLeastBusyPerRole(group).find((engine) => engine.assignment.role !== role);
  if (!needsChange || !donor) return undefined;
  return { engineId: donor.id, assignment: { ...donor.assignment, role }, netGainSeconds: 0 };
}

/** The share of the demand that is served, plus a small value for headroom. */
function getValue(
  counts: RoleCounts,
  demand: TokenDemand,
  capability: EngineCapability,
  settings: AllocationSettings,
): number {
  const factor = servableFactor(counts, demand, capability);
  const headroom = Math.max(0, Math.min(factor, settings.headroomFactor) - 1);
  return Math.min(factor, 1) + HEADROOM_VALUE * headroom;
}

function hasFloor(counts: RoleCounts, settings: AllocationSettings): boolean {
  return counts.mixed + Math.min(counts.prefill, counts.decode) >= settings.floorPerModel;
}

/** Capacity for complete requests: mixed engines, and pairs of a prefill and a decode engine. */
function countCompleteRequestEngines(engines: readonly AllocatableEngine[]): number {
  const counts = countRoles(engines);
  return counts.mixed + Math.min(counts.prefill, counts.decode);
}

function countRoles(engines: readonly AllocatableEngine[]): Record<EngineRole, number> {
  const counts: Record<EngineRole, number> = { prefill: 0, decode: 0, mixed: 0 };
  for (const engine of engines) counts[engine.assignment.role] += 1;
  return counts;
}

function findLeastBusyPerRole(group: readonly AllocatableEngine[]): AllocatableEngine[] {
  const leastBusy = new Map<EngineRole, AllocatableEngine>();
  for (const engine of group) {
    if (engine.changing) continue;
    const current = leastBusy.get(engine.assignment.role);
    if (!current || engine.streams < current.streams) leastBusy.set(engine.assignment.role, engine);
  }
  return [...leastBusy.values()];
}

function serves(engine: AllocatableEngine, demand: ModelDemand): boolean {
  return engine.assignment.model === demand.model && engine.assignment.version === demand.version;
}
