/** What a daemon believes of every daemon, with the counts and lists that others ask for at every event. */
import { hashText } from '../shared/rendezvous-hash.js';
import { getDaemonName, isGone } from './member-rules.js';
import type { Member } from './membership-messages.js';

/** The belief about one daemon. */
interface MemberRecord {
  readonly member: Member;
  /** When the belief changed. Monotonic milliseconds. */
  readonly changedAt: number;
}

/** Daemons in good contact, and all that count for a majority. */
export interface ContactCount {
  readonly alive: number;
  readonly known: number;
}

/** The beliefs of one daemon. Lists and counts are kept until a belief changes. */
export class MemberList {
  private readonly records = new Map<string, MemberRecord>();
  private cachedActive: Member[] | undefined;
  private cachedActiveIds: string[] | undefined;
  private cachedContact: ContactCount | undefined;
  private cachedNames: Set<string> | undefined;
  private cachedAddresses: Set<string> | undefined;
  /** Members that are not alive: only these have something to wait for. */
  private readonly notAlive = new Set<string>();

  /** How many daemons are known, dead ones included. */
  get size(): number {
    return this.records.size;
  }

  /** The belief about one daemon. */
  get(id: string): Member | undefined {
    return this.records.get(id)?.member;
  }

  /** Every belief, dead daemons included. */
  getAll(): readonly Member[] {
    return [...this.records.values()].map((record) => record.member);
  }

  /** Every member that is not dead or leaving. */
  getActive(): readonly Member[] {
    this.cachedActive ??= this.getAll().filter(
      (member) => member.state === 'alive' || member.state === 'suspect',
    );
    return this.cachedActive;
  }

  /** Ids of the active members; the same array until one of them changes. */
  getActiveIds(): readonly string[] {
    this.cachedActiveIds ??= this.getActive().map((member) => member.id);
    return this.cachedActiveIds;
  }

  /** The members that are not alive. */
  getNotAlive(): readonly MemberRecord[] {
    const records = [...this.notAlive].map((id) => this.records.get(id));
    return records.filter((record) => record !== undefined);
  }

  /**
   * Counts for the majority rule: daemons in good contact, and all that count. A dead daemon counts until it
   * is forgotten or another process of its name has taken its place; a daemon that left does not count.
   */
  getContact(): ContactCount {
    if (this.cachedContact) return this.cachedContact;
    const names = new Set(this.getActive().map((member) => getDaemonName(member.id)));
    let alive = 0;
    let known = 0;
    for (const { member } of this.records.values()) {
      if (member.state === 'alive') alive += 1;
      const missing = member.state === 'dead' && !names.has(getDaemonName(member.id));
      if (member.state === 'alive' || member.state === 'suspect' || missing) known += 1;
    }
    this.cachedContact = { alive, known };
    return this.cachedContact;
  }

  /** The same for the same beliefs, in whatever order they were learnt. */
  getDigest(): number {
    let combined = 0;
    for (const { member } of this.records.values()) {
      if (isGone(member.state)) continue;
      combined ^= hashText(`${member.id}/${member.incarnation}/${member.state}`);
    }
    return combined;
  }

  /**
   * Daemons that may be at work, by name and whatever is believed of them: one that is leaving serves for
   * seconds, one that is taken for dead may only be cut off. One that has gone for good counts until it is
   * forgotten.
   */
  getNameCount(): number {
    this.cachedNames ??= new Set(this.getAll().map((member) => getDaemonName(member.id)));
    return this.cachedNames.size;
  }

  /** Whether a daemon of this address is or was known. */
  hasAddress(address: string): boolean {
    this.cachedAddresses ??= new Set(this.getAll().map((member) => member.address));
    return this.cachedAddresses.has(address);
  }

  /** Takes a belief. */
  set(member: Member, now: number): void {
    this.records.set(member.id, { member, changedAt: now });
    if (member.state === 'alive') this.notAlive.delete(member.id);
    else this.notAlive.add(member.id);
    this.removeCaches();
  }

  /** Forgets a daemon. */
  remove(id: string): void {
    this.records.delete(id);
    this.notAlive.delete(id);
    this.removeCaches();
  }

  private removeCaches(): void {
    this.cachedActive = undefined;
    this.cachedActiveIds = undefined;
    this.cachedContact = undefined;
    this.cachedNames = undefined;
    this.cachedAddresses = undefined;
  }
}
