/** A daemon's view of all daemons, with cached counts and lists, which are read at every event. */
import { hashText } from '../shared/rendezvous-hash.js';
import { getDaemonName, isGone } from './member-rules.js';
import type { Member } from './membership-messages.js';

/** The state of one daemon in this view. */
interface MemberRecord {
  readonly member: Member;
  /** When the state changed. Monotonic milliseconds. */
  readonly changedAt: number;
}

/** Counts for the majority rule. */
export interface ContactCount {
  /** Daemons that are alive. */
  readonly alive: number;
  /** All daemons that count for a majority. */
  readonly known: number;
}

/** The view of one daemon. Lists and counts are cached until a state changes. */
export class MemberList {
  private readonly records = new Map<string, MemberRecord>();
  private cachedActive: Member[] | undefined;
  private cachedActiveIds: string[] | undefined;
  private cachedContact: ContactCount | undefined;
  private cachedNames: Set<string> | undefined;
  private cachedAddresses: Set<string> | undefined;
  /** Ids of the members that are not alive: only these have a timeout pending. */
  private readonly notAlive = new Set<string>();

  /** Number of known daemons, dead ones included. */
  get size(): number {
    return this.records.size;
  }

  /** The state of one daemon; undefined if it is unknown. */
  get(id: string): Member | undefined {
    return this.records.get(id)?.member;
  }

  /** All members, dead ones included. */
  getAll(): readonly Member[] {
    return [...this.records.values()].map((record) => record.member);
  }

  /** All members that are neither dead nor leaving. */
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
   * Counts for the majority rule. A dead daemon counts until its record is dropped or another process of the
   * same name replaces it; a daemon that left does not count.
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

  /** A digest of the view without dead and leaving daemons. It does not depend on the order of updates. */
  getDigest(): number {
    let combined = 0;
    for (const { member } of this.records.values()) {
      if (isGone(member.state)) continue;
      combined ^= hashText(`${member.id}/${member.incarnation}/${member.state}`);
    }
    return combined;
  }

  /**
   * Number of daemon names in any state, which is the number of daemons that may be serving: one that is
   * leaving serves for some more seconds, and one declared dead may only be unreachable. One that has stopped
   * permanently counts until its record is dropped.
   */
  getNameCount(): number {
    this.cachedNames ??= new Set(this.getAll().map((member) => getDaemonName(member.id)));
    return this.cachedNames.size;
  }

  /** Whether a daemon of this address is known, in any state. */
  hasAddress(address: string): boolean {
    this.cachedAddresses ??= new Set(this.getAll().map((member) => member.address));
    return this.cachedAddresses.has(address);
  }

  /** Sets the state of a daemon. */
  set(member: Member, now: number): void {
    this.records.set(member.id, { member, changedAt: now });
    if (member.state === 'alive') this.notAlive.delete(member.id);
    else this.notAlive.add(member.id);
    this.removeCaches();
  }

  /** Drops the record of a daemon. */
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
