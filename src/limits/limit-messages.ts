/**
 * Messages between the daemons that run requests and the daemon that owns a service's limits, and the
 * durations of both sides. Owns these types. `slotLeaseMs` is three renewals, so that two may be lost.
 */

/** Slots that a daemon holds of one service. */
export type HeldSlots = readonly [service: string, count: number];

/** Messages of the limiter. */
export type LimitMessage =
  /** Asks for one slot. `token` comes back with the answer. */
  | { readonly kind: 'slotRequest'; readonly service: string; readonly token: number }
  | { readonly kind: 'slotGrant'; readonly service: string; readonly token: number }
  | {
      readonly kind: 'slotRefuse';
      readonly service: string;
      readonly token: number;
      readonly retryAfterMs: number;
    }
  /** The request that waited for a slot went away. */
  | { readonly kind: 'slotCancel'; readonly service: string; readonly token: number }
  /** Gives slots back. */
  | { readonly kind: 'slotRelease'; readonly held: readonly HeldSlots[] }
  /** Says which slots are still in use; what is not named before its expiry is free again. */
  | { readonly kind: 'slotRenew'; readonly held: readonly HeldSlots[] }
  /** A leaving owner tells its successor what is held by whom, so that it need not wait. */
  | {
      readonly kind: 'slotHandover';
      readonly service: string;
      readonly holders: readonly (readonly [daemonId: string, count: number])[];
    };

/** Durations of the limiter. */
export interface LimitSettings {
  /** A slot that is not renewed for this long is free again. Milliseconds. Default 3000. */
  readonly slotLeaseMs: number;
  /** Interval of renewals. Milliseconds. Default 1000. */
  readonly renewIntervalMs: number;
  /** A request whose owner does not answer for this long is refused. Milliseconds. Default 2000. */
  readonly ownerTimeoutMs: number;
}

/** Default settings. */
export const DEFAULT_LIMIT_SETTINGS: LimitSettings = {
  slotLeaseMs: 3000,
  renewIntervalMs: 1000,
  ownerTimeoutMs: 2000,
};
