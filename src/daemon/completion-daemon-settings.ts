/**
 * Settings of the state machine of a daemon that serves completions, composed of the settings of its parts.
 * The keys are those of the settings file.
 */
import { DEFAULT_ALLOCATION_SETTINGS, type AllocationSettings } from '../allocation/role-allocator.js';
import { DEFAULT_COORDINATOR_SETTINGS, type CoordinatorSettings } from '../allocation/cell-coordinator.js';
import {
  DEFAULT_CONFIGURATION_SETTINGS,
  type ConfigurationSettings,
} from '../configuration/configuration-replica.js';
import { DEFAULT_LEASE_SETTINGS, type LeaseSettings } from '../lease/cell-lease.js';
import { DEFAULT_LEDGER_SETTINGS, type LedgerSettings } from '../ledger/at-most-once-ledger.js';
import { DEFAULT_LIMIT_SETTINGS, type LimitSettings } from '../limits/limit-messages.js';
import { DEFAULT_MEMBERSHIP_SETTINGS, type MembershipSettings } from '../membership/membership-settings.js';
import { DEFAULT_COMPLETION_SETTINGS, type CompletionSettings } from '../routing/completion-effects.js';
import { DEFAULT_DIRECTORY_SETTINGS, type DirectorySettings } from '../routing/engine-directory.js';
import { DEFAULT_PICKER_SETTINGS, type PickerSettings } from '../routing/engine-picker.js';

/** Settings for a daemon's part in cells. */
export interface CellSettings {
  /** Number of cells of its own zone that the daemon routes to. Default 2. */
  readonly ownZoneCells: number;
  /** Number of cells of other zones that the daemon routes to. Default 1. */
  readonly otherZoneCells: number;
  /** Shortest interval between digests of a coordinator. Milliseconds. Default 500. */
  readonly digestIntervalMs: number;
  /**
   * Largest rate at which a coordinator sends digests of a cell; it sends them less often to stay below.
   * Bytes per second. Default 3000.
   */
  readonly digestBudgetBytes: number;
  /** Interval between demand reports to a coordinator. Milliseconds. Default 3000. */
  readonly demandIntervalMs: number;
  /** Interval between reads of the machine list. Milliseconds. Default 2000. */
  readonly machineListIntervalMs: number;
  /** Time constant of the demand estimate. Milliseconds. Default 5000. */
  readonly demandTimeConstantMs: number;
}

/** Default cell settings. */
const DEFAULT_CELL_SETTINGS: CellSettings = {
  ownZoneCells: 2,
  otherZoneCells: 1,
  digestIntervalMs: 500,
  digestBudgetBytes: 3000,
  demandIntervalMs: 3000,
  machineListIntervalMs: 2000,
  demandTimeConstantMs: 5000,
};

/** All settings of the state machine. */
export interface CompletionDaemonSettings {
  readonly membership: MembershipSettings;
  readonly configuration: ConfigurationSettings;
  readonly lease: LeaseSettings;
  readonly coordinator: CoordinatorSettings;
  readonly allocation: AllocationSettings;
  readonly limits: LimitSettings;
  readonly ledger: LedgerSettings;
  readonly completion: CompletionSettings;
  readonly directory: DirectorySettings;
  readonly picker: PickerSettings;
  readonly cells: CellSettings;
}

/** Default settings. */
export const DEFAULT_COMPLETION_DAEMON_SETTINGS: CompletionDaemonSettings = {
  membership: DEFAULT_MEMBERSHIP_SETTINGS,
  configuration: DEFAULT_CONFIGURATION_SETTINGS,
  lease: DEFAULT_LEASE_SETTINGS,
  coordinator: DEFAULT_COORDINATOR_SETTINGS,
  allocation: DEFAULT_ALLOCATION_SETTINGS,
  limits: DEFAULT_LIMIT_SETTINGS,
  ledger: DEFAULT_LEDGER_SETTINGS,
  completion: DEFAULT_COMPLETION_SETTINGS,
  directory: DEFAULT_DIRECTORY_SETTINGS,
  picker: DEFAULT_PICKER_SETTINGS,
  cells: DEFAULT_CELL_SETTINGS,
};
