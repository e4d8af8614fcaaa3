/**
 * The application servers that a daemon knows, and the choice of one for a call. Owns the state of each:
 * whether it is leaving, this daemon's calls in flight, and until when it is avoided after a failure or backs
 * off.
 */
import type { RandomSource } from '../shared/random.js';

/** An application server from the machine list, with its local state. */
export interface ApplicationServer {
  readonly id: string;
  address: string;
  leaving: boolean;
  /** Calls in flight from this daemon. */
  inFlight: number;
  /** Avoided after a failure until then. Monotonic milliseconds. */
  avoidUntil: number;
  /** The server asked this daemon to send no calls until then. Monotonic milliseconds. */
  backOffUntil: number;
}

/**
 * A server that was unreachable or broke a call gets no new call for this duration, unless there is no other
 * server. Milliseconds.
 */
const AVOID_AFTER_FAILURE_MS = 2000;

/** The servers that one daemon knows. Times are monotonic milliseconds. */
export class ApplicationServers {
  private readonly servers = new Map<string, ApplicationServer>();

  constructor(private readonly random: RandomSource) {}

  /** Updates the servers from the machine list. A server that reported that it is leaving stays leaving. */
  setServers(list: readonly { id: string; address: string; leaving: boolean }[]): void {
    const listed = new Set(list.map((server) => server.id));
    for (const id of [...this.servers.keys()]) if (!listed.has(id)) this.servers.delete(id);
    for (const { id, address, leaving } of list) {
      const known = this.servers.get(id);
      if (known) {
        known.address = address;
        known.leaving ||= leaving;
      } else {
        this.servers.set(id, {
          id,
          address,
          leaving,
          inFlight: 0,
          avoidUntil: -Infinity,
          backOffUntil: -Infinity,
        });
      }
    }
  }

  /** Records a failure: other servers are preferred for `AVOID_AFTER_FAILURE_MS`. */
  addFailure(server: ApplicationServer, now: number): void {
    server.avoidUntil = now + AVOID_AFTER_FAILURE_MS;
  }

  /**
   * Records that a server asked for a back-off of `retryAfterMs`. A shorter back-off doesn't end an earlier
   * one.
   */
  addBackOff(server: ApplicationServer, retryAfterMs: number, now: number): void {
    server.backOffUntil = Math.max(server.backOffUntil, now + retryAfterMs);
  }

  /**
   * Time until the first back-off of a server that is not leaving ends; undefined when none is in force.
   * Milliseconds.
   */
  findBackOffMs(now: number): number | undefined {
    const backedOff = [...this.servers.values()].filter(
      ({ leaving, backOffUntil }) => !leaving && now < backOffUntil,
    );
    return backedOff.length > 0
      ? Math.min(...backedOff.map(({ backOffUntil }) => backOffUntil)) - now
      : undefined;
  }

  /**
   * Picks a server for a call: the one with fewer calls in flight of two random candidates. Servers that are
   * leaving, backing off or in `excluded` are skipped, and so are those that failed recently unless there is
   * no other.
   */
  pick(excluded: ReadonlySet<string>, now: number): ApplicationServer | undefined {
    const eligible = [...this.servers.values()].filter(
      (server) => !server.leaving && now >= server.backOffUntil && !excluded.has(server.id),
    );
    const preferred = eligible.filter((server) => now >= server.avoidUntil);
    const candidates = preferred.length > 0 ? preferred : eligible;
    if (candidates.length === 0) return undefined;
    const first = candidates[this.random.below(candidates.length)];
    const second = candidates[this.random.below(candidates.length)];
    return second.inFlight < first.inFlight ? second : first;
  }
}
