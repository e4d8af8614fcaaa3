/** Messages and records of the membership protocol. */

/** What is believed of a daemon. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** Identity and place of a daemon process. A restarted daemon has a new id. */
export interface DaemonIdentity {
  /** `name.startId`; unique over restarts. */
  readonly id: string;
  /** Peer address, `ip:port`. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
}

/** A belief about a daemon. A higher incarnation overrides a lower one; see `overrides`. */
export interface Member extends DaemonIdentity {
  readonly incarnation: number;
  readonly state: MemberState;
}

/** A member in the short form that travels: id, address, zone, region, incarnation, state. */
export type MemberUpdate = readonly [string, string, string, string, number, MemberState];

/** Messages of the membership protocol. */
export type MembershipMessage =
  /** A probe. `target` is the id that the sender expects at the address. */
  | {
      readonly kind: 'ping';
      readonly sequence: number;
      readonly target: string;
      readonly updates: readonly MemberUpdate[];
      /** The sender's time of day; not told by older daemons. Milliseconds. */
      readonly wallMs?: number | undefined;
    }
  | {
      readonly kind: 'ack';
      readonly sequence: number;
      readonly updates: readonly MemberUpdate[];
      readonly wallMs?: number | undefined;
    }
  /** Asks a third daemon to probe `target` for the sender. */
  | { readonly kind: 'pingRequest'; readonly sequence: number; readonly target: string }
  /** A summary of the sender's list; one that differs is answered with the whole list. */
  | { readonly kind: 'syncDigest'; readonly digest: number }
  /** The whole list, to a daemon that joins or in anti-entropy; `reply` asks for the other's list. */
  | { readonly kind: 'sync'; readonly reply: boolean; readonly members: readonly MemberUpdate[] };

/** Turns a member into its short form. */
export function encodeMember(member: Member): MemberUpdate {
  return [member.id, member.address, member.zone, member.region, member.incarnation, member.state];
}

/** Turns the short form back into a member. */
export function decodeMember(update: MemberUpdate): Member {
  const [id, address, zone, region, incarnation, state] = update;
  return { id, address, zone, region, incarnation, state };
}
