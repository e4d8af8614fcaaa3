/**
 * Messages between the daemons that forward requests (slot holders) and the daemon that owns a service's
 * limits, and the settings of both sides. Defines these types only. `slotLeaseMs` is three renewal intervals,
 * so that two renewals in a row may be lost.
 */

/** The number of slots of one service that a daemon holds. */
export type HeldSlots = readonly [service: string, count: number];

/** Messages between slot holders and slot owners. */
export type LimitMessage =
  /** Asks for one slot. The answer echoes `token`. */
  | { readonly kind: 'slotRequest'; readonly service: string; readonly token: number }
  | { readonly kind: 'slotGrant'; readonly service: string; readonly token: number }
  | {
      readonly kind: 'slotRefuse';
      readonly service: string;
      readonly token: number;
      readonly retryAfterMs: number;
    }
  /** The request that waited for a slot was cancelled. */
  | { readonly kind: 'slotCancel'; readonly service: string; readonly token: number }
  /** Returns slots. */
  | { readonly kind: 'slotRelease'; readonly held: readonly HeldSlots[] }
  /** Renews the slots that are still in use; the owner frees a slot that is not renewed before it expires. */
  | { readonly kind: 'slotRenew'; readonly held: readonly HeldSlots[] }
  /** A leaving owner sends its successor the slots of each holder, so that it can grant without delay. */
  | {
      readonly kind: 'slotHandover';
      readonly service: string;
      readonly holders: readonly (readonly [daemonId: string, count: number])[];
    };

/** Durations of slot leases. */
export interface LimitSettings {
  /** The owner frees a slot that was not renewed for this duration. Milliseconds. Default 3000. */
  readonly slotLeaseMs: number;
  /** Interval of renewals. Milliseconds. Default 1000. */
  readonly renewIntervalMs: number;
  /** A request is refused when the owner has been unreachable for this duration. Milliseconds. Default 2000. */
  readonly ownerTimeoutMs: number;
}

/** Default settings. */
export const DEFAULT_LIMIT_SETTINGS: LimitSettings = {
  slotLeaseMs: 3000,
  renewIntervalMs: 1000,
  ownerTimeoutMs: 2000,
};
