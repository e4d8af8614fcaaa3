/** Rules about members that need no state. */
import type { DaemonIdentity, Member, MemberState } from './membership-messages.js';

const STATE_RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

/**
 * Whether `update` overrides `current`: a higher incarnation, or the same one and a later state. A leaving
 * daemon never comes back under its id. One wrongly declared dead comes back with a higher incarnation.
 */
export function overrides(update: Member, current: Member): boolean {
  if (current.state === 'leaving') return update.state === 'dead';
  if (update.state === 'leaving') return current.state !== 'dead' || update.incarnation > current.incarnation;
  if (update.incarnation !== current.incarnation) return update.incarnation > current.incarnation;
  return STATE_RANK[update.state] > STATE_RANK[current.state];
}

/** A daemon's first belief about itself. */
export function createInitialMember(identity: DaemonIdentity): Member {
  return { ...identity, incarnation: 1, state: 'alive' };
}

/** The name of a daemon, which its restarts share. */
export function daemonName(id: string): string {
  const end = id.lastIndexOf('.');
  return end < 0 ? id : id.slice(0, end);
}

/** Whether a state is one from which the same process does not serve again, unless it refutes. */
export function isGone(state: MemberState): boolean {
  return state === 'dead' || state === 'leaving';
}
