/**
 * Decides in which region of a service an engine should change its stage. Pure functions. Each region is
 * planned by its own load, since bursts are regional and a handover between regions adds the network latency
 * between them. A region with at least two engines keeps both stages. A region whose decode engines are full
 * changes none while other regions have room for its excess streams: a change makes an engine unavailable for
 * seconds, while another region adds a latency of some milliseconds.
 */
import { isAmple, planStage, type StageDemand, type StagePlannerSettings } from './stage-planner.js';

/** A change of one engine in a region. */
export interface RegionStep {
  readonly region: string;
  readonly step: 'toPrefill' | 'toDecode';
}

/** A region with fewer engines cannot keep both stages; its engines are assigned to another region. */
const MINIMUM_ENGINES = 2;

/** Groups items by region. Items of a region with fewer than two are added to the largest region. */
export function groupByRegion<Item>(
  items: readonly Item[],
  regionOf: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const region = regionOf(item);
    const group = groups.get(region);
    if (group) group.push(item);
    else groups.set(region, [item]);
  }
  const [largest, ...others] = [...groups].sort(
    ([left, { length: leftSize }], [right, { length: rightSize }]) =>
      rightSize - leftSize || (left < right ? -1 : 1),
  );
  for (const [region, group] of others) {
    if (group.length >= MINIMUM_ENGINES) continue;
    largest[1].push(...group);
    groups.delete(region);
  }
  return groups;
}

/**
 * Plans the steps for these regions, at most one for each, the most urgent first. A single region is planned
 * like a fleet without regions.
 */
export function planRegions(
  settings: StagePlannerSettings,
  demands: ReadonlyMap<string, StageDemand>,
): RegionStep[] {
  const regionSettings = demands.size > 1 ? getRegionSettings(settings, [...demands.values()]) : settings;
  const steps: RegionStep[] = [];
  for (const [region, demand] of demands) {
    const others = [...demands.values()].filter((other) => other !== demand);
    const streams = countStreams(settings, demand, others);
    const step =
      (others.length > 0 && planMissingStage(demand)) || planStage(regionSettings, { ...demand, streams });
    if (step !== 'none') steps.push({ region, step });
  }
  return steps.sort((left, right) => getUrgency(demands, right) - getUrgency(demands, left));
}

/**
 * Plans a step to a stage that the region has no engine of, regardless of the load, since all its prompts or
 * streams would otherwise leave the region.
 */
function planMissingStage({ prefillEngines, decodeEngines }: StageDemand): RegionStep['step'] | undefined {
  if (prefillEngines === 0) return 'toPrefill';
  return decodeEngines === 0 ? 'toDecode' : undefined;
}

/**
 * The settings for one region: the fleet's minimums are divided among the regions, and whether engines are
 * ample is determined for the whole fleet.
 */
function getRegionSettings(
  settings: StagePlannerSettings,
  demands: readonly StageDemand[],
): StagePlannerSettings {
  const total = (count: (demand: StageDemand) => number) =>
    demands.reduce((sum, demand) => sum + count(demand), 0);
  const ample = isAmple(settings, {
    prefillEngines: total(({ prefillEngines }) => prefillEngines),
    decodeEngines: total(({ decodeEngines }) => decodeEngines),
    slots: demands[0].slots,
    prompts: total(({ prompts }) => prompts),
    streams: total(({ streams }) => streams),
  });
  return {
    ...settings,
    minimumDecode: Math.ceil(settings.minimumDecode / demands.length),
    minimumPrefill: Math.ceil(settings.minimumPrefill / demands.length),
    ampleEngines: ample ? MINIMUM_ENGINES : Infinity,
  };
}

/**
 * The number of streams that the region should have room for: its streams, minus its excess streams that
 * other regions have room for, plus the excess streams of other regions as far as it has room. The excess of
 * regions that have no prefill engine left to change is added in full, so that other regions add capacity for
 * it.
 */
function countStreams(
  settings: StagePlannerSettings,
  demand: StageDemand,
  others: readonly StageDemand[],
): number {
  const { addAtStreamShare, returnAtStreamShare, minimumPrefill } = settings;
  const getRoom = ({ decodeEngines, slots, streams }: StageDemand, share: number) =>
    decodeEngines * slots * share - streams;
  const sum = (amounts: readonly number[]) =>
    amounts.reduce((total, amount) => total + Math.max(0, amount), 0);
  const shortfall = Math.max(0, -getRoom(demand, addAtStreamShare));
  const carriedElsewhere = Math.min(
    shortfall,
    sum(others.map((other) => getRoom(other, returnAtStreamShare))),
  );
  const getShortfall = (among: readonly StageDemand[]) =>
    sum(among.map((other) => -getRoom(other, addAtStreamShare)));
  const withoutDonors = others.filter(({ prefillEngines }) => prefillEngines <= minimumPrefill);
  const withDonors = others.filter((other) => !withoutDonors.includes(other));
  const carriedForOthers = Math.min(getShortfall(withDonors), Math.max(0, getRoom(demand, addAtStreamShare)));
  return demand.streams - carriedElsewhere + carriedForOthers + getShortfall(withoutDonors);
}

/**
 * Urgency of a step; higher values come first. Steps to decode precede steps to prefill, and both are ordered
 * by the share of slots in use, the highest first.
 */
function getUrgency(demands: ReadonlyMap<string, StageDemand>, { region, step }: RegionStep): number {
  const { streams, slots, decodeEngines } = demands.get(region) as StageDemand;
  const share = streams / Math.max(1, slots * decodeEngines);
  return step === 'toDecode' ? share : -1 / (1 + share) - 1;
}
