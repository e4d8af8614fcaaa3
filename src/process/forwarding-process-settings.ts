/**
 * The settings of a forwarding daemon's process. `platform/settings.ts` reads them from the platform's
 * settings file. Declares types only.
 */
import type { ForwardingDaemonSettings } from '../daemon/forwarding-daemon-settings.js';
import type { DaemonPlacement } from './daemon-identity.js';
import type { DecisionLogSettings } from './decision-log.js';

/** Addresses and settings of one process. */
export interface ForwardingProcessSettings extends DaemonPlacement {
  /** The address that callers connect to, `ip:port`. */
  readonly callerAddress: string;
  /** The address of the readiness endpoint, `ip:port`. */
  readonly readyAddress: string;
  readonly readyPath: string;
  /** The address at which metrics are served, `ip:port`; undefined to serve none. */
  readonly metricsAddress: string | undefined;
  /** The platform kills the process this long after asking it to stop. Milliseconds. */
  readonly stopGraceMs: number;
  /** Maximum number of connections that callers may have open at once. */
  readonly maximumCallerConnections: number;
  readonly daemon: ForwardingDaemonSettings;
  readonly log: DecisionLogSettings;
}
