/** Fleets in virtual time whose back ends have software versions, and streams that callers take up there. */
import { makeLabBackend, makeLabConfiguration, makeLabRoute } from '../lab/forwarding-site.js';
import { ForwardingFleet, type FleetNode, type StartedAttempt } from '../simulation/forwarding-fleet.js';
import type { BackendRecord, Route } from '../src/forwarding/routes/route.js';

export const RESUMABLE: Partial<Route> = { kind: 'stream', resumable: true, maximumAttempts: 3 };

/** Time for all daemons to discover each other and read the store's records. Milliseconds. */
export const WARM_UP_MS = 6000;
/** Time in which a daemon finds out what it does not know, or rejects the stream. Milliseconds. */
export const LOOKUP_MS = 1000;

export function makeVersion(id: string, version: string): BackendRecord {
  return { ...makeLabBackend(id, `10.0.0.1:${id.slice(1)}`), version };
}

export const VERSION_OF: Readonly<Record<string, string>> = {
  b1: 'v1',
  b2: 'v2',
  b3: 'v1',
  b4: 'v2',
  b5: 'v2',
};
export const BACKENDS = Object.entries(VERSION_OF).map(([id, version]) => makeVersion(id, version));

export function startFleet(daemons = 24, backends: readonly BackendRecord[] = BACKENDS): ForwardingFleet {
  const fleet = new ForwardingFleet(daemons, 73);
  fleet.write({
    collection: 'configuration',
    revision: 0,
    value: makeLabConfiguration(1, [makeLabRoute(RESUMABLE)]),
  });
  for (const value of backends) fleet.write({ collection: 'backends', id: value.id, revision: 0, value });
  fleet.time.runUntil(WARM_UP_MS);
  return fleet;
}

/** Sends a new stream to the first daemon, which passes on its first event; then the caller breaks it off. */
export function beginStream(fleet: ForwardingFleet, id: string, node = fleet.nodes[0]): StartedAttempt {
  fleet.submit(node, id);
  const attempt = getAttempts(fleet, id).at(-1) as StartedAttempt;
  fleet.sendAttemptEvent(attempt, { kind: 'streamStarted' });
  fleet.sendAttemptEvent(attempt, { kind: 'streamProgress', lastEventId: '1' });
  fleet.handle(node, { kind: 'cancel', requestId: id });
  return attempt;
}

/** Counts of streams that were taken up at daemons in turn. */
interface Resumed {
  readonly wentOn: number;
  /** Streams that went on at another version. */
  readonly wrong: number;
}

/** Takes streams up at these daemons, in turn. */
export function resumeAll(
  fleet: ForwardingFleet,
  began: readonly StartedAttempt[],
  nodes: readonly FleetNode[],
): Resumed {
  began.forEach(({ requestId }, index) => {
    const resumption = { firstAttemptId: requestId, lastEventId: '1' };
    fleet.submit(nodes[index % nodes.length], `${requestId}-again`, '/a/x', { resumption });
  });
  fleet.time.runUntil(fleet.time.now() + LOOKUP_MS);
  const pairs = began.map((attempt) => {
    const next = getVersion(getAttempts(fleet, `${attempt.requestId}-again`).at(-1));
    return { began: getVersion(attempt), next };
  });
  const wentOn = pairs.filter(({ next }) => next !== undefined);
  return { wentOn: wentOn.length, wrong: wentOn.filter((pair) => pair.next !== pair.began).length };
}

/** Takes a stream up at a daemon; returns the attempt, undefined if the daemon rejects it. */
export function resume(
  fleet: ForwardingFleet,
  node: FleetNode,
  firstAttemptId: string,
): StartedAttempt | undefined {
  const id = `${firstAttemptId}-at-${node.address}-${fleet.time.now()}`;
  fleet.submit(node, id, '/a/x', { resumption: { firstAttemptId, lastEventId: '1' } });
  fleet.time.runUntil(fleet.time.now() + LOOKUP_MS);
  fleet.handle(node, { kind: 'cancel', requestId: id });
  return getAttempts(fleet, id).at(-1);
}

export function getAttempts(fleet: ForwardingFleet, requestId: string): StartedAttempt[] {
  return fleet.attempts.filter((attempt) => attempt.requestId === requestId);
}

export function getVersion(attempt: StartedAttempt | undefined): string | undefined {
  return attempt && VERSION_OF[attempt.backendId];
}
