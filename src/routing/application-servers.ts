/**
 * The application servers of a daemon, and which of them gets a call. Owns what is known of each: whether it
 * leaves, calls in flight from here, and until when it is avoided after a failure.
 */
import type { RandomSource } from '../shared/random.js';

/** An application server as the machine list names it. */
export interface ApplicationServer {
  readonly id: string;
  address: string;
  leaving: boolean;
  /** Calls of this daemon. */
  inFlight: number;
  /** Monotonic milliseconds. */
  avoidUntil: number;
  /** It wants no calls from this daemon until then. Monotonic milliseconds. */
  backOffUntil: number;
}

/**
 * A server that could not be reached or broke off gets no call for so long, unless there is no other.
 * Milliseconds.
 */
const AVOID_AFTER_FAILURE_MS = 2000;

/** The servers that one daemon knows. Times are monotonic milliseconds. */
export class ApplicationServers {
  private readonly servers = new Map<string, ApplicationServer>();

  constructor(private readonly random: RandomSource) {}

  /** Takes the servers from the machine list. A server that said it is leaving stays so. */
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

  /** A server failed: others are preferred for a while. */
  addFailure(server: ApplicationServer, now: number): void {
    server.avoidUntil = now + AVOID_AFTER_FAILURE_MS;
  }

  /** A server wants no calls from this daemon for so long. What it has said before stays in force. */
  addBackOff(server: ApplicationServer, retryAfterMs: number, now: number): void {
    server.backOffUntil = Math.max(server.backOffUntil, now + retryAfterMs);
  }

  /** How long until the first server that stays wants calls again; undefined when none has asked to back off.
   * Milliseconds. */
  findBackOffMs(now: number): number | undefined {
    const backedOff = [...this.servers.values()].filter(
      ({ leaving, backOffUntil }) => !leaving && now < backOffUntil,
    );
    return backedOff.length > 0
      ? Math.min(...backedOff.map(({ backOffUntil }) => backOffUntil)) - now
      : undefined;
  }

  /**
   * The server that gets a call: of two that are drawn at random the one with fewer calls from here. Servers
   * that leave, that have asked this daemon to back off and those that the call excludes are left out, and those that failed lately wherever there are
   * others.
   */
  pick(excluded: ReadonlySet<string>, now: number): ApplicationServer | undefined {
    const able = [...this.servers.values()].filter(
      (server) => !server.leaving && now >= server.backOffUntil && !excluded.has(server.id),
    );
    const steady = able.filter((server) => now >= server.avoidUntil);
    const candidates = steady.length > 0 ? steady : able;
    if (candidates.length === 0) return undefined;
    const first = candidates[this.random.below(candidates.length)];
    const second = candidates[this.random.below(candidates.length)];
    return second.inFlight < first.inFlight ? second : first;
  }
}
