/** Settings of the membership protocol. */

/** Durations and counts of the membership protocol. */
export interface MembershipSettings {
  /** Interval between probes. Milliseconds. Default 1000. */
  readonly probeIntervalMs: number;
  /** A probe without an answer after this time is sent indirectly, through other daemons. Milliseconds. Default 300. */
  readonly probeTimeoutMs: number;
  /**
   * A suspect that does not refute the suspicion within this time, multiplied by log10 of the number of members, is
   * declared dead. Milliseconds. Default 3000.
   */
  readonly suspicionMs: number;
  /** Number of other daemons that are asked to probe. Default 3. */
  readonly indirectProbes: number;
  /** Updates per message; up to four times as many while there is a backlog. Default 8. */
  readonly updatesPerMessage: number;
  /** Probability that a probe goes to the local zone. Default 0.8. */
  readonly ownZoneChance: number;
  /** Interval between exchanges of the complete list with one daemon. Milliseconds. Default 10000. */
  readonly syncIntervalMs: number;
  /** That interval while a seed is not among the active members. Milliseconds. Default 2000. */
  readonly strangerSyncIntervalMs: number;
  /**
   * Interval between probes of a dead member, through which both sides of a healed partition find each other
   * again. Milliseconds. Default 2000.
   */
  readonly deadProbeIntervalMs: number;
  /**
   * How long dead members are kept, and count against the majority. Milliseconds. Default 3600000.
   */
  readonly deadRetentionMs: number;
}

/** Default settings. */
export const DEFAULT_MEMBERSHIP_SETTINGS: MembershipSettings = {
  probeIntervalMs: 1000,
  probeTimeoutMs: 300,
  suspicionMs: 3000,
  indirectProbes: 3,
  updatesPerMessage: 8,
  ownZoneChance: 0.8,
  syncIntervalMs: 10_000,
  strangerSyncIntervalMs: 2000,
  deadProbeIntervalMs: 2000,
  deadRetentionMs: 3_600_000,
};
