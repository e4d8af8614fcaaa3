/** Messages and records of the membership protocol. */

/** The state of a daemon in another daemon's view. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** Identity and location of a daemon process. A restarted daemon has a new id. */
export interface DaemonIdentity {
  /** `name.startId`; unique over restarts. */
  readonly id: string;
  /** Peer address, `ip:port`. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
}

/** A daemon and its state. A higher incarnation overrides a lower one; see `overrides`. */
export interface Member extends DaemonIdentity {
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A member as encoded in messages: id, address, zone, region, incarnation, state. */
export type MemberUpdate = readonly [string, string, string, string, number, MemberState];

/** Messages of the membership protocol. */
export type MembershipMessage =
  /** A probe. `target` is the id that the sender expects at the address. */
  | {
      readonly kind: 'ping';
      readonly sequence: number;
      readonly target: string;
      readonly updates: readonly MemberUpdate[];
      /** The sender's time of day; absent in messages of older daemons. Milliseconds. */
      readonly wallMs?: number | undefined;
      /** The sender takes tunnels to back ends; older daemons take none. */
      readonly tunnels?: boolean | undefined;
    }
  | {
      readonly kind: 'ack';
      readonly sequence: number;
      readonly updates: readonly MemberUpdate[];
      readonly wallMs?: number | undefined;
      readonly tunnels?: boolean | undefined;
    }
  /** Asks another daemon to probe `target` for the sender. */
  | { readonly kind: 'pingRequest'; readonly sequence: number; readonly target: string }
  /** A digest of the sender's list; a receiver whose digest differs answers with its complete list. */
  | { readonly kind: 'syncDigest'; readonly digest: number }
  /**
   * The complete list, from or to a daemon that joins, or for anti-entropy; `reply` asks for the receiver's
   * list.
   */
  | { readonly kind: 'sync'; readonly reply: boolean; readonly members: readonly MemberUpdate[] };

/** Encodes a member for a message. */
export function encodeMember(member: Member): MemberUpdate {
  return [member.id, member.address, member.zone, member.region, member.incarnation, member.state];
}

/** Decodes a member from a message. */
export function decodeMember(update: MemberUpdate): Member {
  const [id, address, zone, region, incarnation, state] = update;
  return { id, address, zone, region, incarnation, state };
}
