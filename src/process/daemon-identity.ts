/**
 * Creates the identity of a daemon process: an id that is new at each start, a seeded random generator, and
 * the peer addresses through which it joins the fleet. Owns no state. Relies on the system clock and the
 * process id.
 */
import { SeededRandom } from '../shared/random.js';

/** Radix of the time and the process id within a daemon id. */
const ID_RADIX = 36;
/**
 * The process id is put into the upper half of the seed, so that processes that start in the same millisecond
 * get different random numbers. Bits.
 */
const PROCESS_ID_SHIFT = 16;

/** The settings that identify a daemon and place it in the fleet. Both programs have them. */
export interface DaemonPlacement {
  /** Name of the daemon; it stays the same across restarts. */
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** The address that other daemons connect to, `ip:port`. */
  readonly peerAddress: string;
  /** Peer addresses of some daemons, through which this one joins the fleet. */
  readonly seeds: readonly string[];
}

/** What one start of a daemon is created with. */
export interface DaemonStart {
  readonly identity: {
    /** Differs from the id of any earlier start, so that messages for an earlier process are not accepted. */
    readonly id: string;
    readonly address: string;
    readonly zone: string;
    readonly region: string;
  };
  /** Peer addresses through which to join, without the daemon's own. */
  readonly seeds: readonly string[];
  readonly random: SeededRandom;
}

/** Derives the identity of this start from the time of day and the process id. */
export function createDaemonStart({ name, zone, region, peerAddress, seeds }: DaemonPlacement): DaemonStart {
  const startId = `${Date.now().toString(ID_RADIX)}${process.pid.toString(ID_RADIX)}`;
  const seed = (Date.now() ^ (process.pid << PROCESS_ID_SHIFT)) | 0;
  return {
    identity: { id: `${name}.${startId}`, address: peerAddress, zone, region },
    seeds: seeds.filter((other) => other !== peerAddress),
    random: new SeededRandom(seed),
  };
}
