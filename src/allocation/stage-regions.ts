/**
 * Decides in which region of a service an engine should change its stage. Each region follows its own mix,
 * since bursts come by region and a hand-over between regions takes the way between them; both stages are
 * kept wherever a region has two engines. A region whose decode engines are full does without a change while
 * others have room for the streams it is short of: a change takes an engine away for seconds, the way to
 * another region some milliseconds.
 */
import { isAmple, planStage, type StageDemand, type StagePlannerSettings } from './stage-planner.js';

/** A change of one engine in a region. */
export interface RegionStep {
  readonly region: string;
  readonly step: 'toPrefill' | 'toDecode';
}

/** Fewer engines cannot keep both stages: they count to another region. */
const MINIMUM_ENGINES = 2;

/** Puts items into groups by region. Those of a region with fewer than two count to the largest. */
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
    ([left, { length: ofLeft }], [right, { length: ofRight }]) => ofRight - ofLeft || (left < right ? -1 : 1),
  );
  for (const [region, group] of others) {
    if (group.length >= MINIMUM_ENGINES) continue;
    largest[1].push(...group);
    groups.delete(region);
  }
  return groups;
}

/**
 * The steps for these regions, at most one each, the most urgent first. A single region is planned as a fleet
 * without regions.
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
 * A stage that the region has no engine of, however busy the others are: its prompts or streams would all
 * leave the region.
 */
function planMissingStage({ prefillEngines, decodeEngines }: StageDemand): RegionStep['step'] | undefined {
  if (prefillEngines === 0) return 'toPrefill';
  return decodeEngines === 0 ? 'toDecode' : undefined;
}

/**
 * Within a region one engine of a stage will do, where the fleet has its minimum; plenty is judged over the
 * fleet.
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
 * Streams that the region should have room for: its own, less those that others have room for when it is
 * short, and those that others are short of as far as it has room. What a region is short of that has no
 * engine left to change, others make room for.
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
 * Decode engines that are missed come first, where streams fill most of the slots; then prefill engines,
 * where they fill least.
 */
function getUrgency(demands: ReadonlyMap<string, StageDemand>, { region, step }: RegionStep): number {
  const { streams, slots, decodeEngines } = demands.get(region) as StageDemand;
  const share = streams / Math.max(1, slots * decodeEngines);
  return step === 'toDecode' ? share : -1 / (1 + share) - 1;
}
