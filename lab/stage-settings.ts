/** Settings of stage changes for daemons under test: short durations, so that changes happen within seconds. */
import type { StageCoordinatorSettings } from '../src/allocation/stage-coordinator.js';
import { DEFAULT_STAGE_PLANNER_SETTINGS } from '../src/allocation/stage-planner.js';
import { DEFAULT_LEASE_SETTINGS } from '../src/lease/cell-lease.js';

/** The settings; durations in milliseconds. */
export const LAB_STAGES: StageCoordinatorSettings = {
  lease: DEFAULT_LEASE_SETTINGS,
  planner: DEFAULT_STAGE_PLANNER_SETTINGS,
  takeoverWaitMs: 3000,
  changingShare: 0.1,
  idleChangingShare: 0.3,
  orderPauseMs: 1500,
  returnAfterMs: 1000,
  changeTimeoutMs: 6000,
};
